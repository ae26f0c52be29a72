"""Connections to all dispatchers: those of this host and those of other entry hosts.

Invariant: when a channel closes, every caller that waits for a job over it gets the
result that the outcome is unknown.
"""

import dataclasses
from collections.abc import Callable, Iterable
from functools import partial

import msgspec
import trio

from ..clock import now_s
from ..codes import ResultCode
from ..ids import HostId, job_id
from ..kernel import ServiceName
from ..metrics import HostLoad
from ..submission import Submission
from .capacity_updates import (
    CapacityUpdateFilter,
    max_update_interval_s,
    min_update_interval_s,
)
from .channel import PING_INTERVAL_S, Channel, accept_channel, encode, open_channel
from .fleet_state import Ownership
from .fleet_view import FleetView
from .groups import EndpointGroup
from .local_dispatch import LocalDispatch
from .messages import (
    CancelJob,
    CapacityReport,
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
# Free capacity changes fast; an older report says nothing about it.
REPORT_TTL_S = 1.0
# Interval of pings to a dispatcher that runs no job of this host.
IDLE_PING_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A caller that waits for the end of a job."""

    ended: trio.Event
    reply: JobEnded


class _RemoteHost:
    """Another entry host and the channel to it, if it is connected."""

    def __init__(self, host: HostId, address: str) -> None:
        self.host = host
        self.address = address
        self.channel: Channel | None = None
        self.scope = trio.CancelScope()


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
    """

    name = ServiceName("dispatchers")

    def __init__(
        self,
        hello: HostHello,
        view: FleetView,
        make_local: Callable[[Ownership], LocalDispatch],
    ) -> None:
        self._hello = hello
        self._view = view
        self._make_local = make_local
        self._local: dict[EndpointGroup, LocalDispatch] = {}
        self._remote: dict[str, _RemoteHost] = {}
        self._reports: dict[EndpointGroup, tuple[float, CapacityReport]] = {}
        self._waiters: dict[Channel | None, dict[int, _Waiter]] = {None: {}}
        self._delays: dict[Channel, ReplyDelays] = {}
        self._last_request = 0
        self._accepted: dict[Channel, HostHello | None] = {}
        self._view_changed = trio.Event()
        self._dispatching = trio.Event()
        self._capacity_changed = trio.Event()
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
            nursery.start_soon(self._report_loop)
            task_status.started()
            while True:
                self._apply_ownerships(nursery)
                with trio.move_on_after(CHECK_INTERVAL_S):
                    await self._view_changed.wait()
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
        """Return the last capacity report of each dispatcher that can be reached."""
        now = now_s()
        reports = {
            group: report
            for group, (received_s, report) in self._reports.items()
            if now - received_s < REPORT_TTL_S
            and report.serving
            and self._is_connected(group)
        }
        for group, local in self._local.items():
            if local.serving:
                reports[group] = local.capacity_report()
        return reports

    def reserve_capacity(self, group: EndpointGroup, tasks: int) -> None:
        """Subtract tasks that were just sent to a dispatcher from its free capacity.

        The reduced value is replaced by the next report of the dispatcher.
        """
        entry = self._reports.get(group)
        if entry is not None:
            received_s, report = entry
            reduced = msgspec.structs.replace(report, free=max(0, report.free - tasks))
            self._reports[group] = (received_s, reduced)

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

    def _note_capacity_change(self) -> None:
        self._capacity_changed.set()

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
                    local.on_capacity_change = self._note_capacity_change
                    nursery.start_soon(local.run)
                    self._dispatching.set()
                continue
            address = self._view.address_of(ownership)
            if address is not None and address not in self._remote:
                remote = self._remote[address] = _RemoteHost(ownership.host, address)
                nursery.start_soon(self._connect_loop, remote)
        self._view.set_dispatching(bool(self._local))

    def _channel(self, group: EndpointGroup) -> Channel | None:
        """Return the channel to a group's owner, if there is one.

        The owner need not be connected to any control host.
        """
        ownership = self._view.owner(group)
        if ownership is None:
            return None
        for remote in self._remote.values():
            if remote.host == ownership.host:
                return remote.channel
        return None

    def _is_connected(self, group: EndpointGroup) -> bool:
        channel = self._channel(group)
        return channel is not None and not channel.closed

    # Channels to dispatchers.

    async def _connect_loop(self, remote: _RemoteHost) -> None:
        """Keep a channel to another entry host."""
        while True:
            channel = await open_channel(remote.address, IDLE_PING_INTERVAL_S)
            if channel is not None:
                channel.send(self._hello)
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
                        for waiter in self._waiters.pop(channel, {}).values():
                            waiter.ended.set()
            await trio.sleep(RECONNECT_DELAY_S)

    def _process(self, channel: Channel, message: Message) -> None:
        match message:
            case CapacityReport():
                previous = self._reports.get(message.group)
                if previous is None or message.epoch >= previous[1].epoch:
                    self._reports[message.group] = (now_s(), message)
            case JobEnded():
                self._delays[channel].note_reply(message.request, message.elapsed_s)
                waiter = self._waiters.get(channel, {}).get(message.request)
                if waiter is not None:
                    waiter.reply = message
                    waiter.ended.set()

    # Channels from other entry hosts.

    async def _accept(self, stream: trio.SocketStream) -> None:
        channel = accept_channel(stream)
        scopes: dict[int, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._accepted[channel] = None
            for local in self._local.values():
                channel.send(local.capacity_report())
            try:
                async for message in channel.messages():
                    match message:
                        case HostHello():
                            self._accepted[channel] = message
                        case RunJob():
                            nursery.start_soon(self._serve, channel, message, scopes)
                        case CancelJob(request):
                            if request in scopes:
                                scopes[request].cancel()
            finally:
                del self._accepted[channel]
                nursery.cancel_scope.cancel()

    async def _serve(
        self, channel: Channel, message: RunJob, scopes: dict[int, trio.CancelScope]
    ) -> None:
        """Run a job for another host; it is cancelled if that host disconnects."""
        local = self._local.get(message.group)
        if local is None:
            reply = JobEnded(
                message.request,
                ResultCode.NOT_RUN_NO_PRIMARY,
                "this host does not dispatch there",
            )
            channel.send(reply)
            return
        received_s = now_s()
        with trio.CancelScope() as scope:
            scopes[message.request] = scope
            try:
                reply = await self._run_local(
                    local, message.request, message.submission
                )
                elapsed_s = now_s() - received_s
                channel.send(msgspec.structs.replace(reply, elapsed_s=elapsed_s))
            finally:
                del scopes[message.request]

    async def _report_loop(self) -> None:
        """Send capacity reports to other hosts, in detail to those of this data centre.

        In the dictionaries, the key tells whether hosts are of this data centre.
        """
        filters = {
            True: CapacityUpdateFilter(exact=True),
            False: CapacityUpdateFilter(exact=False),
        }
        while True:
            if not self._local:
                self._dispatching = trio.Event()
                await self._dispatching.wait()
            receivers: dict[bool, list[Channel]] = {True: [], False: []}
            for channel, hello in self._accepted.items():
                near = hello is None or hello.data_centre == self._hello.data_centre
                receivers[near].append(channel)
            intervals_s = {
                near: (
                    0.0 if near else min_update_interval_s(len(self._accepted)),
                    max_update_interval_s(len(self._accepted)),
                )
                for near in receivers
            }
            self._capacity_changed = trio.Event()
            wake_s = now_s() + max_update_interval_s(len(self._accepted))
            for local in self._local.values():
                report = local.capacity_report()
                for near, channels in receivers.items():
                    if not channels:
                        continue
                    if filters[near].should_send(report, *intervals_s[near]):
                        self._broadcast(report, channels)
                    wake_s = min(
                        wake_s, filters[near].due_s(report, *intervals_s[near])
                    )
            await trio.sleep(min_update_interval_s(len(receivers[True])))
            if not self._capacity_changed.is_set():
                with trio.move_on_at(wake_s):
                    await self._capacity_changed.wait()
                    # Tasks that were just queued are placed first.
                    await trio.lowlevel.checkpoint()

    def _broadcast(self, report: CapacityReport, channels: Iterable[Channel]) -> None:
        """Send a report to hosts; it takes the place of their pings."""
        ping_s = max(PING_INTERVAL_S, max_update_interval_s(len(self._accepted)))
        body = encode(report)
        for channel in channels:
            channel.ping_every(ping_s)
            channel.send_encoded(body)
