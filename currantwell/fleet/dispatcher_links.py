"""Connections to dispatchers: those of this host and those of other entry hosts.

Channels to the dispatchers of this data centre are kept open; one to another data
centre is opened when its dispatcher is asked for its capacity, and closed when no job
has been sent over it for some time.

Invariant: when a channel closes, every caller that waits for a job over it gets the
result that the outcome is unknown.
"""

import dataclasses
import random
from collections.abc import Callable, Collection, Iterable
from functools import partial

import msgspec
import trio

from ..clock import now_s
from ..codes import ResultCode
from ..ids import HostId, job_id
from ..isolation import isolated
from ..kernel import ServiceName
from ..metrics import HostLoad
from ..submission import Submission
from .capacity_view import CapacityView
from .channel import PING_INTERVAL_S, Channel, accept_channel, open_channel
from .fleet_state import Ownership
from .fleet_view import FleetView
from .groups import EndpointGroup
from .local_dispatch import LocalDispatch
from .messages import (
    CancelJob,
    CapacityReport,
    CapacityRequest,
    HostHello,
    JobEnded,
    Message,
    RunJob,
)
from .reply_delays import ReplyDelays

__all__ = ["DispatcherLinks"]

# Interval of checks for changes that come without a notification.
CHECK_INTERVAL_S = 0.5
# A connection between data centres is set up in 3 ms.
RECONNECT_DELAY_S = 0.05
# Interval of pings on a channel over which no job runs.
IDLE_PING_INTERVAL_S = 1.0
# A reply from another data centre takes 3 ms, and as long again on a busy host.
ASK_TIMEOUT_S = 0.02
# The leases of the endpoints have run out by then.
RESTART_PAUSE_S = 0.8
# Several times the run time of a job.
UNUSED_CHANNEL_S = 5.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A caller that waits for the end of a job."""

    ended: trio.Event
    reply: JobEnded


class _RemoteHost:
    """Another entry host and the channel to it, if it is connected.

    Attributes
    ----------
    wanted : trio.Event
        Set while there is to be a channel.
    keep : bool
        Whether the channel is kept without being used.
    used_s : float
        Time when the channel was last needed.
    """

    def __init__(self, host: HostId, address: str) -> None:
        self.host = host
        self.address = address
        self.channel: Channel | None = None
        self.wanted = trio.Event()
        self.keep = False
        self.used_s = 0.0


class _CapacityQuestion:
    """Dispatchers that were asked for their capacity and have not answered yet."""

    def __init__(self, groups: Iterable[EndpointGroup]) -> None:
        self.unanswered = set(groups)
        self.answered = trio.Event()

    def note_answer(self, group: EndpointGroup) -> None:
        """Stop waiting for a dispatcher."""
        self.unanswered.discard(group)
        if not self.unanswered:
            self.answered.set()


class DispatcherLinks:
    """The service that runs this host's dispatchers and connects to those of others.

    Parameters
    ----------
    hello : HostHello
        Describes this host.
    view : FleetView
        Provides the ownerships and the addresses of hosts.
    make_local : callable
        Creates the dispatcher of an ownership.
    source : random.Random or None
        Draws the dispatchers to ask for their capacity.
    """

    name = ServiceName("dispatchers")

    def __init__(
        self,
        hello: HostHello,
        view: FleetView,
        make_local: Callable[[Ownership], LocalDispatch],
        source: random.Random | None = None,
    ) -> None:
        self._hello = hello
        self._view = view
        self._make_local = make_local
        self._local: dict[EndpointGroup, LocalDispatch] = {}
        self._remote: dict[str, _RemoteHost] = {}
        self._remote_of: dict[HostId, _RemoteHost] = {}
        self._capacity = CapacityView(hello.data_centre, source or random.Random())
        self._questions: set[_CapacityQuestion] = set()
        self._waiters: dict[Channel | None, dict[int, _Waiter]] = {None: {}}
        self._delays: dict[Channel, ReplyDelays] = {}
        self._last_request = 0
        self._accepted: set[Channel] = set()
        self._view_changed = trio.Event()
        self._draining = False
        self._nursery: trio.Nursery | None = None
        view.on_change = self._note_change

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve other hosts and keep channels to dispatchers until cancelled."""
        host, _, port = self._hello.address.rpartition(":")
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            serve = partial(trio.serve_tcp, self._accept, int(port), host=host)
            await nursery.start(serve)
            task_status.started()
            check_s = now_s() + CHECK_INTERVAL_S
            while True:
                self._apply_ownerships(nursery)
                with trio.move_on_at(check_s):
                    await self._view_changed.wait()
                if now_s() >= check_s:
                    check_s = now_s() + CHECK_INTERVAL_S
                    self._close_unused_channels()
                    if not self.capacity_reports():
                        # Dispatchers of other data centres may take what comes.
                        self._ask(self._more_to_ask(1, self._owned_groups(), now_s()))
                self._view_changed = trio.Event()

    async def drain(self) -> None:
        """Let this host's dispatchers finish their jobs."""
        self._draining = True
        async with trio.open_nursery() as nursery:
            for local in list(self._local.values()):
                nursery.start_soon(local.drain)

    def load(self) -> HostLoad:
        """Return the sum of the loads of this host's dispatchers."""
        loads = [local.load() for local in self._local.values()]
        fields = [field.name for field in dataclasses.fields(HostLoad)]
        return HostLoad(
            *(sum(getattr(load, field) for load in loads) for field in fields)
        )

    # Requests of the router.

    def capacity_reports(self) -> dict[EndpointGroup, CapacityReport]:
        """Return the capacity reports to place a job by, of reachable dispatchers."""
        now = now_s()
        self._record_local_capacity(now)
        return self._capacity.reports(self._reachable_groups(), now)

    def dispatcher_groups(self) -> set[EndpointGroup]:
        """Return the groups that have a dispatcher, reachable or not."""
        return set(self._owned_groups())

    async def learn_capacity(
        self, tasks: int, without: Collection[EndpointGroup] = ()
    ) -> None:
        """Ask a few dispatchers for their capacity if too little is known.

        Parameters
        ----------
        tasks : int
            Number of tasks of the job that is to be placed.
        without : collection of EndpointGroup
            Groups that the job can't be sent to.
        """
        groups = [group for group in self._owned_groups() if group not in without]
        self._record_local_capacity(now_s())
        for choose in (self._capacity.near_to_ask, self._more_to_ask):
            question = self._ask(choose(tasks, groups, now_s()))
            if question.unanswered:
                await self._wait_for_answers(question)

    def reserve_capacity(self, group: EndpointGroup, tasks: int) -> None:
        """Subtract tasks that were just sent to a dispatcher from its free capacity.

        The reduced value is replaced by the next report of the dispatcher.
        """
        self._capacity.reserve(group, tasks)

    def delay_s(self, group: EndpointGroup) -> float:
        """Return how much longer the replies of a dispatcher take than its work."""
        channel = None if group in self._local else self._channel(group)
        delays = None if channel is None else self._delays.get(channel)
        return 0.0 if delays is None else delays.delay_s()

    def late_groups(self, left_s: float) -> set[EndpointGroup]:
        """Return the groups whose dispatchers' replies take a time or longer."""
        late = {
            channel
            for channel, delays in self._delays.items()
            if delays.delay_s() >= left_s
        }
        if not late:
            return set()
        return {
            group for group in self.capacity_reports() if self._channel(group) in late
        } - self._local.keys()

    async def run_job(self, group: EndpointGroup, submission: Submission) -> JobEnded:
        """Have a dispatcher run a job; cancelling the call cancels the job."""
        self._last_request += 1
        request = self._last_request
        local = self._local.get(group)
        if local is not None:
            return await self._run_local(local, request, submission)
        channel = self._channel(group)
        if channel is None:
            return JobEnded(
                request, ResultCode.NOT_RUN_NO_PRIMARY, "no dispatcher is reached"
            )
        return await self._run_remote(channel, group, request, submission)

    async def _run_local(
        self, local: LocalDispatch, request: int, submission: Submission
    ) -> JobEnded:
        done = False
        try:
            reply = await local.run_job(request, submission)
            done = True
            return reply
        finally:
            if not done and self._nursery is not None:
                job = job_id(submission.team, submission.key)
                self._nursery.start_soon(local.cancel, job)

    async def _run_remote(
        self,
        channel: Channel,
        group: EndpointGroup,
        request: int,
        submission: Submission,
    ) -> JobEnded:
        unknown = JobEnded(
            request, ResultCode.UNKNOWN_OWNER_UNREACHABLE, "channel closed"
        )
        waiter = _Waiter(trio.Event(), unknown)
        waiters = self._waiters.setdefault(channel, {})
        waiters[request] = waiter
        channel.ping_every(PING_INTERVAL_S)
        if not waiters.keys() - {request}:
            channel.expect_message_within(PING_INTERVAL_S)
        self._note_use(group)
        self._delays[channel].note_request(request)
        channel.send(RunJob(request, group, submission))
        try:
            await waiter.ended.wait()
        finally:
            waiters.pop(request, None)
            if not waiters:
                channel.ping_every(IDLE_PING_INTERVAL_S)
            if not waiter.ended.is_set():
                channel.send(CancelJob(request))
        return waiter.reply

    # Ownerships.

    def _note_change(self) -> None:
        self._view_changed.set()

    def _apply_ownerships(self, nursery: trio.Nursery) -> None:
        """Start and stop this host's dispatchers, and connect to new remote hosts."""
        own = self._hello
        for ownership in self._view.ownerships:
            local = self._local.get(ownership.group)
            if local is not None and local.ownership != ownership:
                local.close()
                del self._local[ownership.group]
                local = None
            if (ownership.host, ownership.incarnation) == (own.host, own.incarnation):
                if local is None and not self._draining:
                    local = self._local[ownership.group] = self._make_local(ownership)
                    local.on_serving_change = partial(self._broadcast_capacity, local)
                    nursery.start_soon(self._run_dispatcher, local)
                continue
            address = self._view.address_of(ownership)
            if address is not None and address not in self._remote:
                remote = self._remote[address] = _RemoteHost(ownership.host, address)
                nursery.start_soon(self._connect_loop, remote)
            if address is not None:
                self._remote_of[ownership.host] = self._remote[address]
        self._keep_near_channels()
        self._view.set_dispatching(bool(self._local))

    async def _run_dispatcher(self, local: LocalDispatch) -> None:
        """Run a dispatcher; one that an unexpected error has ended is made anew."""
        failed = True
        with isolated("dispatcher"):
            await local.run()
            failed = False
        if failed:
            await trio.sleep(RESTART_PAUSE_S)
            if self._local.get(local.ownership.group) is local:
                del self._local[local.ownership.group]
                self._note_change()

    def _keep_near_channels(self) -> None:
        """Keep the channels to the dispatchers of this data centre open."""
        near = {
            ownership.host
            for ownership in self._view.ownerships
            if ownership.group.data_centre == self._hello.data_centre
        }
        for host, remote in self._remote_of.items():
            remote.keep = host in near
            if remote.keep:
                remote.wanted.set()

    def _close_unused_channels(self) -> None:
        """Close the channels to other data centres that no job needs any more.

        While no dispatcher of this data centre is reached, they are kept.
        """
        home = self._hello.data_centre
        if not any(group.data_centre == home for group in self._reachable_groups()):
            return
        now = now_s()
        for remote in self._remote.values():
            channel = remote.channel
            if channel is None or remote.keep or self._waiters.get(channel):
                continue
            if now - remote.used_s > UNUSED_CHANNEL_S:
                remote.wanted = trio.Event()
                channel.close()

    def _owned_groups(self) -> list[EndpointGroup]:
        return [ownership.group for ownership in self._view.ownerships]

    def _reachable_groups(self) -> set[EndpointGroup]:
        """Return the groups that a job can be sent to now."""
        return {
            group
            for group in self._owned_groups()
            if group in self._local or self._is_connected(group)
        }

    def _remote_owner(self, group: EndpointGroup) -> _RemoteHost | None:
        """Return the host that owns a group, if its address is known.

        The owner need not be connected to any control host.
        """
        ownership = self._view.owner(group)
        return None if ownership is None else self._remote_of.get(ownership.host)

    def _channel(self, group: EndpointGroup) -> Channel | None:
        """Return the channel to a group's owner, if there is one."""
        remote = self._remote_owner(group)
        return None if remote is None else remote.channel

    def _is_connected(self, group: EndpointGroup) -> bool:
        channel = self._channel(group)
        return channel is not None and not channel.closed

    def _note_use(self, group: EndpointGroup) -> None:
        remote = self._remote_owner(group)
        if remote is not None:
            remote.used_s = now_s()

    # Capacity of dispatchers.

    def _record_local_capacity(self, now: float) -> None:
        for local in self._local.values():
            self._capacity.record(local.capacity_report(), now)

    def _more_to_ask(
        self, tasks: int, groups: Collection[EndpointGroup], now: float
    ) -> list[EndpointGroup]:
        connected = [group for group in groups if self._is_connected(group)]
        return self._capacity.more_to_ask(tasks, groups, connected, now)

    def _ask(self, groups: Iterable[EndpointGroup]) -> _CapacityQuestion:
        """Ask dispatchers for their capacity, connecting to them if necessary.

        A host that accepts a channel sends its reports without being asked. While an
        earlier question is open a dispatcher is not asked again.
        """
        asked = {group for each in self._questions for group in each.unanswered}
        question = _CapacityQuestion(filter(self._can_be_asked, groups))
        for group in question.unanswered - asked:
            remote = self._remote_owner(group)
            if remote is None:
                continue
            if remote.channel is not None:
                remote.channel.send(CapacityRequest(group))
            elif not remote.wanted.is_set():
                remote.used_s = now_s()
                remote.wanted.set()
        return question

    def _can_be_asked(self, group: EndpointGroup) -> bool:
        """Return whether a dispatcher could answer now, or after a connection."""
        remote = self._remote_owner(group)
        return remote is not None and (remote.channel is not None or not remote.keep)

    async def _wait_for_answers(self, question: _CapacityQuestion) -> None:
        self._questions.add(question)
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                await question.answered.wait()
        finally:
            self._questions.discard(question)
        for group in question.unanswered:
            self._capacity.note_silence(group, now_s())

    def _record_capacity(self, report: CapacityReport) -> None:
        self._capacity.record(report, now_s())
        for question in self._questions:
            question.note_answer(report.group)

    # Channels to dispatchers.

    async def _connect_loop(self, remote: _RemoteHost) -> None:
        """Keep a channel to another entry host while it is wanted."""
        while True:
            await remote.wanted.wait()
            channel = await open_channel(remote.address, IDLE_PING_INTERVAL_S)
            if channel is not None:
                channel.send(self._hello)
                with isolated("channel to a dispatcher"):
                    await self._receive(remote, channel)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _receive(self, remote: _RemoteHost, channel: Channel) -> None:
        """Process what another host sends until the channel closes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            remote.channel = channel
            self._delays[channel] = ReplyDelays()
            try:
                async for message in channel.messages():
                    self._process(channel, message)
            finally:
                remote.channel = None
                del self._delays[channel]
                self._forget_capacity_of(remote)
                for waiter in self._waiters.pop(channel, {}).values():
                    waiter.ended.set()

    def _forget_capacity_of(self, remote: _RemoteHost) -> None:
        for ownership in self._view.ownerships:
            if ownership.host == remote.host:
                self._capacity.forget(ownership.group)

    def _process(self, channel: Channel, message: Message) -> None:
        match message:
            case CapacityReport():
                self._record_capacity(message)
            case JobEnded():
                if message.capacity is not None:
                    self._record_capacity(message.capacity)
                self._delays[channel].note_reply(message.request, message.elapsed_s)
                waiter = self._waiters.get(channel, {}).get(message.request)
                if waiter is not None:
                    waiter.reply = message
                    waiter.ended.set()

    # Channels from other entry hosts.

    async def _accept(self, stream: trio.SocketStream) -> None:
        channel = accept_channel(stream, IDLE_PING_INTERVAL_S)
        with isolated("channel of another host"):
            await self._serve_channel(channel)

    async def _serve_channel(self, channel: Channel) -> None:
        scopes: dict[int, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._accepted.add(channel)
            for local in self._local.values():
                channel.send(local.capacity_report())
            try:
                async for message in channel.messages():
                    match message:
                        case CapacityRequest(group):
                            self._answer_question(channel, group)
                        case RunJob(request):
                            scopes[request] = trio.CancelScope()
                            nursery.start_soon(self._serve, channel, message, scopes)
                        case CancelJob(request):
                            if request in scopes:
                                scopes[request].cancel()
            finally:
                self._accepted.discard(channel)
                nursery.cancel_scope.cancel()

    async def _serve(
        self, channel: Channel, message: RunJob, scopes: dict[int, trio.CancelScope]
    ) -> None:
        """Run a job for another host; it is cancelled if that host disconnects."""
        scope = scopes[message.request]
        local = self._local.get(message.group)
        if local is None or scope.cancel_called:
            del scopes[message.request]
            reply = JobEnded(
                message.request,
                ResultCode.NOT_RUN_NO_PRIMARY,
                "this host does not dispatch there",
            )
            channel.send(reply)
            return
        received_s = now_s()
        channel.ping_every(PING_INTERVAL_S)
        with scope:
            try:
                reply = JobEnded(
                    message.request,
                    ResultCode.UNKNOWN_OWNER_UNREACHABLE,
                    "internal error",
                )
                with isolated("job"):
                    reply = await self._run_local(
                        local, message.request, message.submission
                    )
                channel.send(
                    msgspec.structs.replace(
                        reply,
                        elapsed_s=now_s() - received_s,
                        capacity=local.capacity_report(),
                    )
                )
            finally:
                del scopes[message.request]
                if not scopes:
                    channel.ping_every(IDLE_PING_INTERVAL_S)

    def _answer_question(self, channel: Channel, group: EndpointGroup) -> None:
        local = self._local.get(group)
        if local is not None:
            channel.send(local.capacity_report())

    def _broadcast_capacity(self, local: LocalDispatch) -> None:
        """Tell all connected hosts that a dispatcher accepts jobs, or no longer."""
        report = local.capacity_report()
        for channel in self._accepted:
            channel.send(report)
