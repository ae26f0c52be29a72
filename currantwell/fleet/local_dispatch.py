"""The dispatcher that this host runs for a group under one ownership."""

import dataclasses
import math
from collections.abc import Callable, Iterable

import msgspec
import trio

from .. import events
from ..answers import Answer, Refusal, TaskState
from ..clock import now_s
from ..codes import ResultCode
from ..decisions import PlacementDecision
from ..dispatcher import Dispatcher
from ..errors import Deposed
from ..ids import EndpointId, Incarnation, JobId, job_id
from ..metrics import HostLoad
from ..submission import Submission
from .fleet_state import Ownership
from .fleet_view import FleetView
from .lease_times import LEASE_EXPIRY_WAIT_S
from .messages import CapacityReport, JobEnded

__all__ = ["LocalDispatch", "MakeDispatcher", "job_result_code"]

# As often as a dispatcher itself checks for lost endpoints.
REGISTER_INTERVAL_S = 0.1
# An endpoint that was lost is registered again after this delay. If it is still
# unresponsive, that costs one request.
REGISTER_RETRY_S = 0.3
# Five heartbeats of 1.5 s. By then no control host has received a heartbeat of the
# endpoint, and it does not answer its dispatcher either.
FORGET_AFTER_S = 7.5

MakeDispatcher = Callable[[Ownership], Dispatcher]


@dataclasses.dataclass(slots=True)
class _Registration:
    """The last registration of an endpoint with the dispatcher.

    ``number`` counts the registrations of the endpoint.
    """

    born_unix_ms: int
    number: int
    registered_s: float


class LocalDispatch:
    """Runs a dispatcher for as long as its ownership lasts.

    Parameters
    ----------
    ownership : Ownership
        The ownership under which this host dispatches.
    view : FleetView
        Provides the endpoints.
    make_dispatcher : callable
        Creates the dispatcher of an ownership.

    Attributes
    ----------
    serving : bool
        Whether the dispatcher accepts jobs.
    on_serving_change : callable
        Called when `serving` has changed.
    """

    def __init__(
        self, ownership: Ownership, view: FleetView, make_dispatcher: MakeDispatcher
    ) -> None:
        self.ownership = ownership
        self.serving = False
        self._serving_since_s = math.inf
        self._view = view
        self.on_serving_change: Callable[[], None] = lambda: None
        self._dispatcher = make_dispatcher(ownership)
        self._registrations: dict[EndpointId, _Registration] = {}
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Dispatch until closed, or deposed by an endpoint with a newer epoch."""
        ownership = self.ownership
        events.DISPATCHER_STARTED.log(group=str(ownership.group), epoch=ownership.epoch)
        reason = "a newer ownership"
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(self._dispatcher.run)
                    self.serving = True
                    self._serving_since_s = now_s()
                    self.on_serving_change()
                    await self._register_loop()
        except* Deposed as group:
            reason = str(group.exceptions[0])
        finally:
            self.serving = False
            self._serving_since_s = math.inf
            self.on_serving_change()
            events.DISPATCHER_STOPPED.log(
                group=str(ownership.group), epoch=ownership.epoch, ground=reason
            )

    @property
    def serving_for_s(self) -> float:
        """Time since the dispatcher was ready, in seconds; negative unless it runs."""
        return now_s() - self._serving_since_s

    def close(self) -> None:
        """Stop dispatching."""
        self._scope.cancel()

    async def drain(self) -> None:
        """Accept no new job, and return once all accepted jobs are answered."""
        self.serving = False
        self.on_serving_change()
        await self._dispatcher.drain()

    def load(self) -> HostLoad:
        """Return the current load of the dispatcher."""
        return self._dispatcher.load()

    def capacity_report(self) -> CapacityReport:
        """Return the current free capacity of the dispatcher."""
        capacity = self._dispatcher.free_capacity()
        ownership = self.ownership
        return CapacityReport(
            ownership.group,
            ownership.epoch,
            self.serving,
            capacity.free,
            capacity.slots,
            round(capacity.waiting_s, 2),
        )

    async def run_job(self, request: int, submission: Submission) -> JobEnded:
        """Run a job to its end."""
        if not self.serving:
            return JobEnded(
                request, ResultCode.NOT_RUN_SHUTTING_DOWN, "dispatcher is stopping"
            )
        job = job_id(submission.team, submission.key)
        try:
            reply = await self._dispatcher.submit(submission)
            if isinstance(reply, Refusal):
                return JobEnded(
                    request, reply.code, reply.detail, reply.retry_after_s or 0.0
                )
            reply = await self._dispatcher.wait(job, submission.deadline_s)
        except Deposed as error:
            return JobEnded(
                request,
                ResultCode.UNKNOWN_OWNER_UNREACHABLE,
                str(error),
                running=True,
            )
        if isinstance(reply, Refusal):
            return JobEnded(request, reply.code, reply.detail)
        code = job_result_code(reply)
        running = not self._dispatcher.has_ended(job)
        events.JOB_PART_ENDED.log(
            job=submission.key,
            epoch=self.ownership.epoch,
            code=code.name,
            tasks=[
                (task.state.value, task.endpoint, task.attempts)
                for task in self._dispatcher.current_tasks(job)
            ],
            placements=[
                _placement_row(placed) for placed in self._dispatcher.placements(job)
            ],
        )
        return JobEnded(request, code, _describe_unfinished(reply), running=running)

    async def cancel(self, job: JobId) -> None:
        """Cancel a job whose caller no longer waits for it.

        Returns once none of its attempts is running.
        """
        try:
            await self._dispatcher.cancel(job)
        except Deposed:
            await trio.sleep(LEASE_EXPIRY_WAIT_S)
            return
        await self.wait_ended(job)

    async def wait_ended(self, job: JobId) -> None:
        """Return once no attempt of a job is running."""
        try:
            await self._dispatcher.wait(job, math.inf)
        except Deposed:
            await trio.sleep(LEASE_EXPIRY_WAIT_S)

    # Endpoints.

    async def _register_loop(self) -> None:
        """Keep the endpoints of the group registered with the dispatcher."""
        while True:
            for endpoint in self._group_endpoints():
                await self._register(endpoint)
            await trio.sleep(REGISTER_INTERVAL_S)

    def _group_endpoints(self) -> Iterable[EndpointId]:
        group = self.ownership.group
        return [
            endpoint
            for endpoint, record in self._view.endpoints.items()
            if group.contains(record.report.announcement.data_centre, endpoint)
        ]

    async def _register(self, endpoint: EndpointId) -> None:
        """Register an endpoint or its changed announcement with the dispatcher.

        An endpoint that the dispatcher marked as lost is registered under a new
        incarnation; one without a recent heartbeat is removed instead.
        """
        record = self._view.endpoints[endpoint]
        report = record.report
        registration = self._registrations.get(endpoint)
        now = now_s()
        in_use = registration is not None and self._dispatcher.is_in_use(
            endpoint, _incarnation(registration)
        )
        if registration is None or registration.born_unix_ms != report.born_unix_ms:
            number = registration.number + 1 if registration else 1
            registration = _Registration(report.born_unix_ms, number, now)
        elif in_use:
            current = self._dispatcher.announcement(endpoint)
            if current is not None and current.draining == report.announcement.draining:
                return
        elif now - record.last_heartbeat_s > FORGET_AFTER_S:
            self._view.remove_endpoint(endpoint)
            return
        elif now - registration.registered_s < REGISTER_RETRY_S:
            return
        else:
            registration = _Registration(
                report.born_unix_ms, registration.number + 1, now
            )
        self._registrations[endpoint] = registration
        await self._dispatcher.announce(
            msgspec.structs.replace(
                report.announcement, incarnation=_incarnation(registration)
            )
        )
        if in_use and report.announcement.draining:
            events.DRAIN_APPLIED.log(
                endpoint=endpoint,
                born_unix_ms=report.born_unix_ms,
                sequence=report.sequence,
                after_s=round(now_s() - record.received_s, 3),
            )


def _incarnation(registration: _Registration) -> Incarnation:
    """Return the incarnation of a registration.

    It is unique per registration, so a lost incarnation is never used again.
    """
    return Incarnation(f"{registration.born_unix_ms}.{registration.number}")


def job_result_code(answer: Answer) -> ResultCode:
    """Return the result code of a job as a whole.

    The job has not run only if no task was started, and has failed only if a task
    failed for good: an attempt that fails while its job is being cancelled does not
    make the job a failed one.
    """
    if answer.code in (ResultCode.COMPLETE, ResultCode.JOB_FAILED):
        return answer.code
    states = {task.state for task in answer.tasks}
    if answer.tasks and states <= {TaskState.NOT_RUN}:
        return ResultCode.NOT_RUN_DEADLINE
    return ResultCode.DEADLINE_PASSED


def _placement_row(placed: PlacementDecision) -> tuple[object, ...]:
    """Return a placement as a row of the log, with times in seconds."""
    return (
        placed.task,
        placed.attempt,
        placed.endpoint,
        placed.reason.name,
        round(placed.waited_s, 3),
        round(placed.estimate_s, 3),
        round(placed.speed, 2),
        round(placed.processors, 2),
    )


def _describe_unfinished(answer: Answer) -> str:
    """Return a description of up to four tasks that are not done."""
    unfinished = [
        f"{task.task}: {task.code.name} at {task.endpoint}"
        for task in answer.tasks
        if task.state is not TaskState.DONE
    ]
    return "; ".join(unfinished[:4])
