"""Channels of an entry host to the dispatchers of other hosts.

Channels to the dispatchers of this data centre are kept open; one to another data
centre is opened when its dispatcher is asked for its capacity, and closed when no job
has been sent over it for some time.

Invariants: when a channel closes, every caller that waits for a job over it gets the
result that the outcome is unknown; a job counts as running until its dispatcher has
said that it is not, or until the leases of a dispatcher that can't be heard any more
have expired.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

import msgspec
import trio

from ..clock import now_s
from ..codes import ResultCode
from ..ids import HostId
from ..isolation import isolated
from ..submission import Submission
from .capacity_view import CapacityView
from .channel import PING_INTERVAL_S, Channel, open_channel
from .fleet_view import FleetView
from .groups import EndpointGroup
from .job_claims import ClaimState, RunningParts
from .lease_times import LEASE_EXPIRY_WAIT_S, SILENT_EXPIRY_WAIT_S
from .messages import (
    CancelJob,
    CapacityReport,
    CapacityRequest,
    ClaimJob,
    ClaimReply,
    HostHello,
    JobEnded,
    Message,
    ReleaseJob,
    RunJob,
    RunsEnded,
)
from .reply_delays import ReplyDelays

__all__ = ["IDLE_PING_INTERVAL_S", "CapacityQuestion", "RemoteDispatchers"]

# A connection between data centres is set up in 3 ms.
RECONNECT_DELAY_S = 0.05
# Interval of pings on a channel over which no job runs.
IDLE_PING_INTERVAL_S = 1.0
# A reply from another data centre takes 3 ms, and as long again on a busy host.
ASK_TIMEOUT_S = 0.02
# Several times the run time of a job.
UNUSED_CHANNEL_S = 5.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A caller that waits for the end of a job."""

    ended: trio.Event
    reply: JobEnded


class CapacityQuestion:
    """Dispatchers that were asked for their capacity and have not answered yet."""

    def __init__(self, groups: Iterable[EndpointGroup]) -> None:
        self.unanswered = set(groups)
        self.answered = trio.Event()

    def note_answer(self, group: EndpointGroup) -> None:
        """Stop waiting for a dispatcher."""
        self.unanswered.discard(group)
        if not self.unanswered:
            self.answered.set()


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
    delays : ReplyDelays
        Delays of the replies over the channel.
    waiters : dict
        Callers that wait for jobs over the channel, by the id of their request.
    running : dict
        Jobs whose attempts may be running, by the id of their request.
    reachable : bool or None
        Whether the channel is open; False if the last attempt to open it has failed,
        None if there was none since it was needed.
    claims : dict
        What to call with the reply to a claim, by the id of its request.
    unsent : list of ClaimJob or ReleaseJob
        What is sent as soon as the channel is open.
    """

    def __init__(self, host: HostId, address: str) -> None:
        self.host = host
        self.address = address
        self.channel: Channel | None = None
        self.wanted = trio.Event()
        self.reachable: bool | None = None
        self.keep = False
        self.used_s = 0.0
        self.delays = ReplyDelays()
        self.waiters: dict[int, _Waiter] = {}
        self.running: dict[int, RunningParts] = {}
        self.claims: dict[int, Callable[[ClaimState | None], None]] = {}
        self.unsent: list[ClaimJob | ReleaseJob] = []

    def want(self) -> None:
        """Have a channel opened, as long as it is used."""
        self.used_s = now_s()
        self.wanted.set()

    def close_if_unused(self) -> None:
        """Close the channel, or stop trying to open it, if no job needs it."""
        used = self.keep or self.waiters or self.running
        if not used and now_s() - self.used_s > UNUSED_CHANNEL_S:
            if self.wanted.is_set():
                self.wanted = trio.Event()
            self.reachable = None
            if self.channel is not None:
                self.channel.close()


class RemoteDispatchers:
    """Runs jobs on the dispatchers of other hosts, and asks for their capacity.

    Parameters
    ----------
    hello : HostHello
        Describes this host.
    view : FleetView
        Provides the ownerships and the addresses of hosts.
    capacity : CapacityView
        Receives what the dispatchers report.

    Attributes
    ----------
    on_connect : callable
        Called after a channel was opened.
    """

    def __init__(
        self, hello: HostHello, view: FleetView, capacity: CapacityView
    ) -> None:
        self._hello = hello
        self._view = view
        self._capacity = capacity
        self._by_address: dict[str, _RemoteHost] = {}
        self._by_host: dict[HostId, _RemoteHost] = {}
        self._questions: set[CapacityQuestion] = set()
        self._nursery: trio.Nursery | None = None
        self.on_connect: Callable[[], None] = lambda: None

    def follow_owners(self, nursery: trio.Nursery) -> None:
        """Connect to the owners of groups of this data centre; others may be asked.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the channels.
        """
        self._nursery = nursery
        own = self._hello
        near = set()
        for ownership in self._view.ownerships:
            if (ownership.host, ownership.incarnation) == (own.host, own.incarnation):
                continue
            if ownership.group.data_centre == own.data_centre:
                near.add(ownership.host)
            address = self._view.address_of(ownership)
            if address is None:
                continue
            remote = self._by_address.get(address)
            if remote is None:
                remote = self._by_address[address] = _RemoteHost(
                    ownership.host, address
                )
                nursery.start_soon(self._connect_loop, remote)
            self._by_host[ownership.host] = remote
        for host, remote in self._by_host.items():
            remote.keep = host in near
            if remote.keep:
                remote.want()

    def close_unused(self) -> None:
        """Close the channels to other data centres that no job needs any more."""
        for remote in self._by_address.values():
            remote.close_if_unused()

    def is_connected(self, group: EndpointGroup) -> bool:
        """Return whether there is a channel to the dispatcher of a group."""
        remote = self._owner(group)
        return (
            remote is not None
            and remote.channel is not None
            and not remote.channel.closed
        )

    def delay_s(self, group: EndpointGroup) -> float:
        """Return how much longer the replies of a dispatcher take than its work."""
        remote = self._owner(group)
        return 0.0 if remote is None else remote.delays.delay_s()

    # Jobs.

    async def run_job(
        self,
        group: EndpointGroup,
        request: int,
        submission: Submission,
        running: RunningParts,
    ) -> JobEnded:
        """Have a dispatcher run a job; cancelling the call cancels the job.

        Parameters
        ----------
        group : EndpointGroup
            Group of the dispatcher.
        request : int
            Id of the request, unique at this host.
        submission : Submission
            The job.
        running : RunningParts
            Counts the job until none of its attempts can be running.
        """
        remote = self._owner(group)
        channel = None if remote is None else remote.channel
        if remote is None or channel is None:
            return JobEnded(
                request, ResultCode.NOT_RUN_NO_PRIMARY, "no dispatcher is reached"
            )
        unknown = JobEnded(
            request, ResultCode.UNKNOWN_OWNER_UNREACHABLE, "channel closed"
        )
        waiters = remote.waiters
        channel.ping_every(PING_INTERVAL_S)
        if not remote.running:
            channel.expect_message_within(PING_INTERVAL_S)
        waiter = waiters[request] = _Waiter(trio.Event(), unknown)
        running.begin()
        remote.running[request] = running
        remote.used_s = now_s()
        remote.delays.note_request(request)
        channel.send(RunJob(request, group, submission, now_s()))
        try:
            await waiter.ended.wait()
        finally:
            waiters.pop(request, None)
            if not waiter.ended.is_set():
                channel.send(CancelJob(request))
        return waiter.reply

    def _note_runs_ended(self, remote: _RemoteHost, request: int) -> None:
        """Stop counting a job as running."""
        running = remote.running.pop(request, None)
        if running is not None:
            running.end()
        if not remote.running and remote.channel is not None:
            remote.channel.ping_every(IDLE_PING_INTERVAL_S)

    # Claims.

    def silent_for_s(self, group: EndpointGroup) -> float:
        """Return the time since the dispatcher of a group has sent anything."""
        remote = self._owner(group)
        if remote is None or remote.channel is None:
            return math.inf
        return remote.channel.silent_for_s

    def send_claim(
        self, message: ClaimJob, on_reply: Callable[[ClaimState | None], None]
    ) -> None:
        """Send a claim to a dispatcher, connecting to it if necessary.

        Parameters
        ----------
        message : ClaimJob
            The claim.
        on_reply : callable
            Called once with the reply, or with None if there will be none; not called
            while the dispatcher is silent.
        """
        remote = self._owner(message.group)
        if remote is None:
            on_reply(None)
            return
        remote.want()
        if remote.channel is None and remote.reachable is False:
            on_reply(None)
            return
        remote.claims[message.request] = on_reply
        _send_when_open(remote, message)

    def release(self, group: EndpointGroup, message: ReleaseJob) -> None:
        """Tell a dispatcher that a claim ends."""
        remote = self._owner(group)
        if remote is not None:
            remote.want()
            _send_when_open(remote, message)

    # Capacity.

    def ask(self, groups: Iterable[EndpointGroup]) -> CapacityQuestion:
        """Ask dispatchers for their capacity, connecting to them if necessary.

        A host that accepts a channel sends its reports without being asked. While an
        earlier question is open a dispatcher is not asked again.
        """
        asked = {group for each in self._questions for group in each.unanswered}
        question = CapacityQuestion(filter(self._can_be_asked, groups))
        for group in question.unanswered - asked:
            remote = self._owner(group)
            if remote is not None and remote.channel is not None:
                remote.channel.send(CapacityRequest(group))
            elif remote is not None:
                remote.want()
        return question

    async def wait_for_answers(self, question: CapacityQuestion) -> None:
        """Wait until all have answered, or it has taken too long."""
        if not question.unanswered:
            return
        self._questions.add(question)
        try:
            with trio.move_on_after(ASK_TIMEOUT_S):
                await question.answered.wait()
        finally:
            self._questions.discard(question)
        for group in question.unanswered:
            self._capacity.note_silence(group, now_s())

    def _can_be_asked(self, group: EndpointGroup) -> bool:
        """Return whether a dispatcher could answer now, or after a connection."""
        remote = self._owner(group)
        return remote is not None and (remote.channel is not None or not remote.keep)

    def _record_capacity(self, report: CapacityReport) -> None:
        self._capacity.record(report, now_s())
        for question in self._questions:
            question.note_answer(report.group)

    # Channels.

    def _owner(self, group: EndpointGroup) -> _RemoteHost | None:
        """Return the host that owns a group, if its address is known.

        The owner need not be connected to any control host.
        """
        ownership = self._view.owner(group)
        return None if ownership is None else self._by_host.get(ownership.host)

    async def _connect_loop(self, remote: _RemoteHost) -> None:
        """Keep a channel to another entry host while it is wanted."""
        while True:
            await remote.wanted.wait()
            channel = await open_channel(remote.address, IDLE_PING_INTERVAL_S)
            if channel is not None:
                channel.send(self._hello)
                with isolated("channel to a dispatcher"):
                    await self._receive(remote, channel)
            else:
                remote.reachable = False
                _abandon_claims(remote)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _receive(self, remote: _RemoteHost, channel: Channel) -> None:
        """Process what another host sends until the channel closes."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            remote.channel = channel
            remote.reachable = True
            for unsent in remote.unsent:
                channel.send(unsent)
            remote.unsent.clear()
            self.on_connect()
            try:
                async for message in channel.messages():
                    self._process(remote, message)
            finally:
                remote.channel, remote.reachable = None, None
                _abandon_claims(remote)
                remote.delays = ReplyDelays()
                self._forget_capacity_of(remote)
                self._end_jobs(
                    remote,
                    SILENT_EXPIRY_WAIT_S
                    if channel.is_silent()
                    else LEASE_EXPIRY_WAIT_S,
                )

    def _process(self, remote: _RemoteHost, message: Message) -> None:
        match message:
            case CapacityReport():
                self._record_capacity(message)
            case ClaimReply(request, state):
                on_reply = remote.claims.pop(request, None)
                if on_reply is not None:
                    on_reply(state)
            case RunsEnded(request):
                self._note_runs_ended(remote, request)
            case JobEnded():
                if message.capacity is not None:
                    self._record_capacity(message.capacity)
                remote.delays.note_reply(message.request, message.elapsed_s)
                waiter = remote.waiters.get(message.request)
                if waiter is not None:
                    waiter.reply = message
                    waiter.ended.set()
                if not message.running:
                    self._note_runs_ended(remote, message.request)

    def _end_jobs(self, remote: _RemoteHost, expiry_wait_s: float) -> None:
        """End the wait for the jobs of a lost dispatcher; they may still be running.

        Parameters
        ----------
        remote : _RemoteHost
            The host of the dispatcher.
        expiry_wait_s : float
            Time until the leases of its endpoints have expired, in seconds.
        """
        waiters, remote.waiters = remote.waiters, {}
        for waiter in waiters.values():
            waiter.reply = msgspec.structs.replace(
                waiter.reply, retry_after_s=expiry_wait_s
            )
            waiter.ended.set()
        running, remote.running = remote.running, {}

        async def expire() -> None:
            await trio.sleep(expiry_wait_s)
            for each in running.values():
                each.end()

        if running and self._nursery is not None:
            self._nursery.start_soon(expire)

    def _forget_capacity_of(self, remote: _RemoteHost) -> None:
        for ownership in self._view.ownerships:
            if ownership.host == remote.host:
                self._capacity.forget(ownership.group)


def _send_when_open(remote: _RemoteHost, message: ClaimJob | ReleaseJob) -> None:
    """Send a message, or keep it until the channel is open if that is expected."""
    if remote.channel is not None:
        remote.channel.send(message)
    elif remote.reachable is not False:
        remote.unsent.append(message)


def _abandon_claims(remote: _RemoteHost) -> None:
    """Reply to the claims that wait for a host that can't be reached."""
    remote.unsent.clear()
    claims, remote.claims = remote.claims, {}
    for on_reply in claims.values():
        on_reply(None)
