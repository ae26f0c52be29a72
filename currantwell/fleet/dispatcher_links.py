"""The dispatchers of this host and of others, as the router uses them.

Serves the dispatchers of this host to other entry hosts.

Invariants: a job that another host sent is cancelled when that host cancels it or
disconnects, from the moment it has been read, and no later than that host counts it as
expired, however long it was on its way; that host is told when none of its attempts is
running any more.
"""

import dataclasses
import random
from collections.abc import Callable, Collection
from functools import partial

import msgspec
import trio

from ..clock import now_s
from ..codes import ResultCode
from ..ids import DataCentre, JobId, job_id
from ..isolation import isolated
from ..kernel import ServiceName
from ..metrics import HostLoad
from ..submission import Submission
from .capacity_view import CapacityView
from .channel import PING_INTERVAL_S, SILENCE_TIMEOUT_S, Channel, accept_channel
from .fleet_state import Ownership
from .fleet_view import FleetView
from .groups import EndpointGroup
from .job_claims import ClaimState, ClaimTable, RunningParts
from .lease_times import LEASE_EXPIRY_WAIT_S, START_TOGETHER_S
from .local_dispatch import LocalDispatch
from .messages import (
    CancelJob,
    CapacityReport,
    CapacityRequest,
    ClaimJob,
    ClaimReply,
    HostHello,
    JobEnded,
    ReleaseJob,
    RunJob,
    RunsEnded,
)
from .remote_dispatchers import IDLE_PING_INTERVAL_S, RemoteDispatchers

__all__ = ["DispatcherLinks"]

# Interval of checks for changes that come without a notification.
CHECK_INTERVAL_S = 0.5
# The leases of the endpoints have run out by then.
RESTART_PAUSE_S = 0.8
# Hosts that run jobs connect to a new dispatcher and tell it their claims by then.
RESTORE_S = 0.1


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

    Attributes
    ----------
    on_owners_change : callable
        Called after the dispatchers of groups may have changed.
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
        self._capacity = CapacityView(hello.data_centre, source or random.Random())
        self._remote = RemoteDispatchers(hello, view, self._capacity)
        self._started_s = now_s()
        self._claims = ClaimTable()
        self._last_request = 0
        self.on_owners_change: Callable[[], None] = lambda: None
        self._accepted: set[Channel] = set()
        self._view_changed = trio.Event()
        self._draining = False
        self._nursery: trio.Nursery | None = None
        view.on_change = self._note_change
        self._remote.on_connect = self._note_change

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
                    self._check_channels()
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
            question = self._remote.ask(choose(tasks, groups, now_s()))
            await self._remote.wait_for_answers(question)

    def reserve_capacity(self, group: EndpointGroup, tasks: int) -> None:
        """Subtract tasks that were just sent to a dispatcher from its free capacity.

        The reduced value is replaced by the next report of the dispatcher.
        """
        self._capacity.reserve(group, tasks)

    def delay_s(self, group: EndpointGroup) -> float:
        """Return how much longer the replies of a dispatcher take than its work."""
        return 0.0 if group in self._local else self._remote.delay_s(group)

    def late_groups(self, left_s: float) -> set[EndpointGroup]:
        """Return the groups whose dispatchers' replies take a time or longer."""
        return {
            group
            for group in self._owned_groups()
            if group not in self._local and self._remote.delay_s(group) >= left_s
        }

    async def run_job(
        self, group: EndpointGroup, submission: Submission, running: RunningParts
    ) -> JobEnded:
        """Have a dispatcher run a job; cancelling the call cancels the job.

        Parameters
        ----------
        group : EndpointGroup
            Group of the dispatcher.
        submission : Submission
            The job.
        running : RunningParts
            Counts the job until none of its attempts can be running.
        """
        request = self._next_request()
        local = self._local.get(group)
        if local is None:
            return await self._remote.run_job(group, request, submission, running)
        running.begin()
        return await self._run_local(local, request, submission, running.end)

    async def _run_local(
        self,
        local: LocalDispatch,
        request: int,
        submission: Submission,
        on_runs_ended: Callable[[], None],
    ) -> JobEnded:
        """Run a job on a dispatcher of this host.

        Parameters
        ----------
        local : LocalDispatch
            The dispatcher.
        request : int
            Id of the request.
        submission : Submission
            The job.
        on_runs_ended : callable
            Called once none of its attempts is running.
        """
        job = job_id(submission.team, submission.key)
        reply: JobEnded | None = None
        try:
            reply = await local.run_job(request, submission)
            return reply
        finally:
            if reply is not None and not reply.running:
                on_runs_ended()
            elif self._nursery is not None:
                self._nursery.start_soon(
                    _end_job, local, job, reply is None, on_runs_ended
                )

    def _next_request(self) -> int:
        self._last_request += 1
        return self._last_request

    # Claims.

    def keeper_counts(self) -> dict[DataCentre, int]:
        """Return the number of groups of each data centre that has dispatchers."""
        return {group.data_centre: group.count for group in self._owned_groups()}

    def owner_of(self, group: EndpointGroup) -> Ownership | None:
        """Return the latest ownership of a group, if it has one."""
        return self._view.owner(group)

    def silent_for_s(self, group: EndpointGroup) -> float:
        """Return the time since the dispatcher of a group was last heard."""
        return 0.0 if group in self._local else self._remote.silent_for_s(group)

    def claim(
        self, message: ClaimJob, on_reply: Callable[[ClaimState | None], None]
    ) -> None:
        """Ask the dispatcher of a group for the claim of a job.

        Parameters
        ----------
        message : ClaimJob
            The claim, whose request is replaced by the next one.
        on_reply : callable
            Called once with the reply, or with None if there will be none; not called
            while the dispatcher is silent.
        """
        if message.group in self._local:
            on_reply(self._grant(message))
            return
        self._remote.send_claim(
            msgspec.structs.replace(message, request=self._next_request()), on_reply
        )

    def release(self, group: EndpointGroup, job: str, token: str, done: bool) -> None:
        """Tell the dispatcher of a group that a claim ends."""
        if group in self._local:
            self._claims.release(job, token, done)
        else:
            self._remote.release(group, ReleaseJob(job, token, done))

    def _grant(self, message: ClaimJob) -> ClaimState | None:
        """Return the reply to a claim, None if it is for another host."""
        local = self._local.get(message.group)
        if local is None:
            return None
        now = now_s()
        ends_s = now + message.lasts_s
        if message.restored:
            self._claims.restore(message.job, message.team, message.token, ends_s, now)
        settled = self._knows_all_claims(local, now)
        return self._claims.claim(
            message.job, message.team, message.token, ends_s, now, settled
        )

    def _knows_all_claims(self, local: LocalDispatch, now: float) -> bool:
        """Return whether the claims granted by earlier dispatchers are known or over.

        What was lost with the start of this process has ended a lease after it.
        """
        serving_since_s = now - local.serving_for_s
        started_together = serving_since_s < self._started_s + START_TOGETHER_S
        settle_s = RESTORE_S if started_together else LEASE_EXPIRY_WAIT_S
        return now >= max(
            self._started_s + LEASE_EXPIRY_WAIT_S, serving_since_s + settle_s
        )

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
            owner = (ownership.host, ownership.incarnation)
            is_own = owner == (own.host, own.incarnation)
            if is_own and local is None and not self._draining:
                local = self._local[ownership.group] = self._make_local(ownership)
                local.on_serving_change = partial(self._broadcast_capacity, local)
                nursery.start_soon(self._run_dispatcher, local)
        self._remote.follow_owners(nursery)
        self._view.set_dispatching(bool(self._local))
        self.on_owners_change()

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

    def _check_channels(self) -> None:
        """Close channels that are no longer used, or open one if there is none.

        While no dispatcher of this data centre is reached, those of others may take
        what comes, and channels to them are kept.
        """
        home = self._hello.data_centre
        if any(group.data_centre == home for group in self._reachable_groups()):
            self._remote.close_unused()
        elif not self.capacity_reports():
            self._remote.ask(self._more_to_ask(1, self._owned_groups(), now_s()))

    def _owned_groups(self) -> list[EndpointGroup]:
        return [ownership.group for ownership in self._view.ownerships]

    def _reachable_groups(self) -> set[EndpointGroup]:
        """Return the groups that a job can be sent to now."""
        return {
            group
            for group in self._owned_groups()
            if group in self._local or self._remote.is_connected(group)
        }

    # Capacity of dispatchers.

    def _record_local_capacity(self, now: float) -> None:
        for local in self._local.values():
            self._capacity.record(local.capacity_report(), now)

    def _more_to_ask(
        self, tasks: int, groups: Collection[EndpointGroup], now: float
    ) -> list[EndpointGroup]:
        connected = [group for group in groups if self._remote.is_connected(group)]
        return self._capacity.more_to_ask(tasks, groups, connected, now)

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
                        case ClaimJob():
                            state = self._grant(message)
                            channel.send(ClaimReply(message.request, state))
                        case ReleaseJob(job, token, done):
                            self._claims.release(job, token, done)
            finally:
                self._accepted.discard(channel)
                nursery.cancel_scope.cancel()

    async def _serve(
        self, channel: Channel, message: RunJob, scopes: dict[int, trio.CancelScope]
    ) -> None:
        """Run a job for another host; it is cancelled if that host disconnects."""
        request = message.request
        scope = scopes[request]
        local = self._local.get(message.group)
        submission = _without_delay(
            message.submission, channel.delay_s(message.clock_s)
        )
        if scope.cancel_called or local is None or submission is None:
            del scopes[request]
            if scope.cancel_called:
                # It was cancelled before this task had its first turn.
                channel.send(RunsEnded(request))
            elif local is None:
                detail = "this host does not dispatch there"
                channel.send(JobEnded(request, ResultCode.NOT_RUN_NO_PRIMARY, detail))
            else:
                detail = "the request was on its way for too long"
                channel.send(JobEnded(request, ResultCode.NOT_RUN_DEADLINE, detail))
            return
        received_s = now_s()
        channel.ping_every(PING_INTERVAL_S)
        channel.expect_message_within(PING_INTERVAL_S)
        replied = runs_ended = False

        def note_runs_ended() -> None:
            nonlocal runs_ended
            runs_ended = True
            if replied:
                channel.send(RunsEnded(request))

        with scope:
            try:
                code = ResultCode.UNKNOWN_OWNER_UNREACHABLE
                reply = JobEnded(request, code, "internal error", running=True)
                with isolated("job"):
                    reply = await self._run_local(
                        local, request, submission, note_runs_ended
                    )
                channel.send(
                    msgspec.structs.replace(
                        reply,
                        elapsed_s=now_s() - received_s,
                        capacity=local.capacity_report(),
                    )
                )
                runs_ended = runs_ended and reply.running
            finally:
                replied = True
                if runs_ended:
                    channel.send(RunsEnded(request))
                del scopes[request]
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


async def _end_job(
    local: LocalDispatch,
    job: JobId,
    cancelled: bool,
    on_runs_ended: Callable[[], None],
) -> None:
    """Cancel a job, or wait for its end, and tell when no attempt of it is running.

    After an error nothing is told, and the claim of the job ends by itself.
    """
    with isolated("end of a job"):
        if cancelled:
            await local.cancel(job)
        else:
            await local.wait_ended(job)
        on_runs_ended()


def _without_delay(submission: Submission, delay_s: float) -> Submission | None:
    """Return a submission with the times that are left, None if it is not to be run.

    It has expired, or its sender may have taken this host for lost meanwhile.

    Parameters
    ----------
    submission : Submission
        A submission whose times count from when it was sent.
    delay_s : float
        Time since then that its sender has not allowed for, in seconds.
    """
    if delay_s >= min(submission.deadline_s, SILENCE_TIMEOUT_S):
        return None
    start_within_s, aim_s = submission.start_within_s, submission.aim_s
    return msgspec.structs.replace(
        submission,
        deadline_s=submission.deadline_s - delay_s,
        start_within_s=(
            None if start_within_s is None else max(0.0, start_within_s - delay_s)
        ),
        aim_s=None if aim_s is None else aim_s - delay_s,
    )
