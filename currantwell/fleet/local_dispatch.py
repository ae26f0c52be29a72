"""The dispatcher that this host runs for a group, under one ownership."""

import dataclasses
from collections.abc import Callable, Iterable

import msgspec
import trio

from .. import events
from ..answers import Answer, Refusal, TaskState
from ..clock import now_s
from ..codes import ResultCode
from ..dispatcher import Dispatcher
from ..errors import Deposed
from ..ids import EndpointId, Incarnation, JobId, job_id
from ..metrics import HostLoad
from ..submission import Submission
from .fleet_state import Ownership
from .fleet_view import FleetView
from .messages import CapacityReport, JobEnded

__all__ = ["LocalDispatch", "MakeDispatcher", "code_of"]

# As often as a dispatcher looks for lost endpoints itself.
MEET_INTERVAL_S = 0.1
# An endpoint that was given up is tried again; it is silent, so one look is cheap.
MEET_AGAIN_S = 0.3
# Five heartbeats of 1.5 s: it is neither heard by a control host nor answers.
FORGET_AFTER_S = 7.5

MakeDispatcher = Callable[[Ownership], Dispatcher]


@dataclasses.dataclass(slots=True)
class _Meeting:
    """How often an endpoint was met, and when last."""

    born_unix_ms: int
    number: int
    met_s: float


class LocalDispatch:
    """Runs a dispatcher for as long as the ownership lasts.

    Parameters
    ----------
    ownership : Ownership
        What makes this host the dispatcher.
    view : FleetView
        Knows the endpoints.
    make_dispatcher : callable
        Makes the dispatcher.
    """

    def __init__(
        self, ownership: Ownership, view: FleetView, make_dispatcher: MakeDispatcher
    ) -> None:
        self.ownership = ownership
        self.serving = False
        self._view = view
        self._dispatcher = make_dispatcher(ownership)
        self._meetings: dict[EndpointId, _Meeting] = {}
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Dispatch until closed or deposed."""
        owned = self.ownership
        events.DISPATCHER_STARTED.log(group=str(owned.group), epoch=owned.epoch)
        ground = "a newer ownership"
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(self._dispatcher.run)
                    self.serving = True
                    await self._meet_loop()
        except* Deposed as group:
            ground = str(group.exceptions[0])
        finally:
            self.serving = False
            events.DISPATCHER_STOPPED.log(
                group=str(owned.group), epoch=owned.epoch, ground=ground
            )

    def close(self) -> None:
        """Stop dispatching."""
        self._scope.cancel()

    async def drain(self) -> None:
        """Take no new job and return once all are answered."""
        self.serving = False
        await self._dispatcher.drain()

    def load(self) -> HostLoad:
        """Return what there is to do."""
        return self._dispatcher.load()

    def capacity_report(self) -> CapacityReport:
        """Return how much room there is."""
        room = self._dispatcher.free_capacity()
        owned = self.ownership
        return CapacityReport(
            owned.group,
            owned.epoch,
            self.serving,
            room.free,
            room.slots,
            round(room.waiting_s, 2),
        )

    async def run_job(self, request: int, submission: Submission) -> JobEnded:
        """Run a job to its end."""
        if not self.serving:
            return JobEnded(
                request, ResultCode.NOT_RUN_SHUTTING_DOWN, "dispatcher is stopping"
            )
        job = job_id(submission.team, submission.key)
        try:
            told = await self._dispatcher.submit(submission)
            if isinstance(told, Refusal):
                return JobEnded(
                    request, told.code, told.detail, told.retry_after_s or 0.0
                )
            told = await self._dispatcher.wait(job, submission.deadline_s)
        except Deposed as error:
            return JobEnded(request, ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        if isinstance(told, Refusal):
            return JobEnded(request, told.code, told.detail)
        code = code_of(told)
        statuses = await self._dispatcher.tasks(job)
        assert not isinstance(statuses, Refusal)
        events.JOB_PART_ENDED.log(
            job=submission.key,
            epoch=self.ownership.epoch,
            code=code.name,
            tasks=[
                (task.state.value, task.endpoint, task.attempts) for task in statuses
            ],
        )
        return JobEnded(request, code, _detail_of(told))

    async def cancel(self, job: JobId) -> None:
        """Stop a job that nobody waits for."""
        try:
            await self._dispatcher.cancel(job)
        except Deposed:
            return

    # Endpoints.

    async def _meet_loop(self) -> None:
        while True:
            for endpoint in self._own_endpoints():
                await self._meet(endpoint)
            await trio.sleep(MEET_INTERVAL_S)

    def _own_endpoints(self) -> Iterable[EndpointId]:
        group = self.ownership.group
        return [
            endpoint
            for endpoint, known in self._view.endpoints.items()
            if group.holds(known.report.announcement.data_centre, endpoint)
        ]

    async def _meet(self, endpoint: EndpointId) -> None:
        """Tell the dispatcher of an endpoint, under a new name if it was given up."""
        known = self._view.endpoints[endpoint]
        report = known.report
        meeting = self._meetings.get(endpoint)
        now = now_s()
        in_use = meeting is not None and self._dispatcher.is_in_use(
            endpoint, _incarnation(meeting)
        )
        if meeting is None or meeting.born_unix_ms != report.born_unix_ms:
            number = meeting.number + 1 if meeting else 1
            meeting = _Meeting(report.born_unix_ms, number, now)
        elif in_use:
            said = self._dispatcher.announcement(endpoint)
            if said is not None and said.draining == report.announcement.draining:
                return
        elif now - known.last_heartbeat_s > FORGET_AFTER_S:
            self._view.forget(endpoint)
            return
        elif now - meeting.met_s < MEET_AGAIN_S:
            return
        else:
            meeting = _Meeting(report.born_unix_ms, meeting.number + 1, now)
        self._meetings[endpoint] = meeting
        await self._dispatcher.announce(
            msgspec.structs.replace(
                report.announcement, incarnation=_incarnation(meeting)
            )
        )


def _incarnation(meeting: _Meeting) -> Incarnation:
    """Return the name of an incarnation; one that was given up is never used again."""
    return Incarnation(f"{meeting.born_unix_ms}.{meeting.number}")


def code_of(answer: Answer) -> ResultCode:
    """Return what became of a job as a whole.

    Not run only if nothing was started, and failed only if a task failed for good: an
    attempt that fails while its job is stopped says nothing of the job.
    """
    if answer.code in (ResultCode.COMPLETE, ResultCode.JOB_FAILED):
        return answer.code
    states = {task.state for task in answer.tasks}
    if answer.tasks and states <= {TaskState.NOT_RUN}:
        return ResultCode.NOT_RUN_DEADLINE
    return ResultCode.DEADLINE_PASSED


def _detail_of(answer: Answer) -> str:
    """Return how the tasks that are not done stand."""
    odd = [
        f"{task.task}: {task.code.name} at {task.endpoint}"
        for task in answer.tasks
        if task.state is not TaskState.DONE
    ]
    return "; ".join(odd[:4])
