"""The scheduler: which waiting task starts where, and which job is let in.

The scheduler does no I/O and reads no clock: its caller tells it what happened and
when, and carries out the placements that `Scheduler.plan` returns. What varies
between policies stands behind the `Placement`, `Ordering` and `Admission`
protocols.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from .answers import Refusal
from .codes import ResultCode
from .endpoint_protocol import Announcement, AttemptRef
from .ids import EndpointId, Incarnation, JobId, Team
from .submission import TaskSpec

__all__ = [
    "Admission",
    "AdmitAll",
    "EndpointLoad",
    "FifoOrdering",
    "JobRequest",
    "LeastLoaded",
    "Ordering",
    "PlacedTask",
    "Placement",
    "Scheduler",
    "WaitingTask",
]


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """What the scheduler knows of a job.

    Parameters
    ----------
    job : JobId
        The job.
    team : Team
        The team that submitted it.
    tasks : sequence of TaskSpec
        Its tasks.
    deadline_s : float
        When it is too late to start a task, on the runtime's clock.
    """

    job: JobId
    team: Team
    tasks: Sequence[TaskSpec]
    deadline_s: float


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A task that may be started now."""

    job: JobId
    team: Team
    task: int
    attempt: int
    spec: TaskSpec
    deadline_s: float
    since_s: float


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """What the scheduler knows of an endpoint.

    Parameters
    ----------
    announcement : Announcement
        What it last said of itself.
    running : dict
        The attempts placed there that have not ended.
    reachable : bool
        Whether it answers now.
    refusing : bool
        Whether it has refused a start since it last announced itself.
    """

    announcement: Announcement
    running: dict[AttemptRef, WaitingTask]
    reachable: bool = True
    refusing: bool = False

    @property
    def usable(self) -> bool:
        """Whether it may get starts now."""
        return self.reachable and not self.refusing and not self.announcement.draining

    @property
    def id(self) -> EndpointId:
        """The endpoint's id."""
        return self.announcement.endpoint

    def fits(self, spec: TaskSpec) -> bool:
        """Tell whether the endpoint has room for a task now."""
        said = self.announcement
        held = self.running.values()
        if not self.usable or len(held) >= said.slots:
            return False
        return (
            self.could_run(spec)
            and sum(t.spec.processors for t in held) + spec.processors
            <= said.processors
            and sum(t.spec.memory_mb for t in held) + spec.memory_mb <= said.memory_mb
            and sum(t.spec.accelerators for t in held) + spec.accelerators
            <= said.accelerators
        )

    def could_run(self, spec: TaskSpec) -> bool:
        """Tell whether the endpoint could run a task if it were empty."""
        said = self.announcement
        return (
            spec.processors <= said.processors
            and spec.memory_mb <= said.memory_mb
            and spec.accelerators <= said.accelerators
            and spec.data_centre in (None, said.data_centre)
            and spec.endpoint in (None, said.endpoint)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedTask:
    """A decision to start a task at an endpoint."""

    task: WaitingTask
    endpoint: EndpointId
    incarnation: Incarnation

    @property
    def ref(self) -> AttemptRef:
        """The attempt that the decision starts."""
        return AttemptRef(self.task.job, self.task.task, self.task.attempt)


class Placement(Protocol):
    """Chooses the endpoint of a task."""

    def choose(
        self, task: WaitingTask, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> EndpointLoad | None:
        """Return one of the endpoints, all of which have room, or None to wait."""
        ...

    def ended(
        self, endpoint: EndpointId, task: WaitingTask, ok: bool, run_s: float
    ) -> None:
        """Learn from an attempt that ran for so long at an endpoint."""
        ...


class Ordering(Protocol):
    """Keeps the waiting tasks in the order in which they are placed."""

    def add(self, task: WaitingTask) -> None:
        """Add a task."""
        ...

    def candidates(self, now_s: float) -> Sequence[WaitingTask]:
        """Return the waiting tasks, first to start first."""
        ...

    def discard(self, task: WaitingTask) -> None:
        """Take a task out."""
        ...


class Admission(Protocol):
    """Decides whether a job is let in."""

    def check(
        self, request: JobRequest, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> Refusal | None:
        """Return why the job is refused, or None."""
        ...


class LeastLoaded:
    """Places a task at the endpoint with the smallest share of busy slots."""

    def choose(
        self, task: WaitingTask, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> EndpointLoad | None:
        """Return the least loaded endpoint."""
        return min(
            endpoints,
            key=lambda e: len(e.running) / e.announcement.slots,
            default=None,
        )

    def ended(
        self, endpoint: EndpointId, task: WaitingTask, ok: bool, run_s: float
    ) -> None:
        """Learn nothing."""


class FifoOrdering:
    """First come, first served."""

    def __init__(self) -> None:
        self._tasks: dict[tuple[JobId, int], WaitingTask] = {}

    def add(self, task: WaitingTask) -> None:
        """Add a task at the end."""
        self._tasks[task.job, task.task] = task

    def candidates(self, now_s: float) -> Sequence[WaitingTask]:
        """Return the waiting tasks, oldest first."""
        return list(self._tasks.values())

    def discard(self, task: WaitingTask) -> None:
        """Take a task out."""
        self._tasks.pop((task.job, task.task), None)


class AdmitAll:
    """Lets in every job that some endpoint could run."""

    def check(
        self, request: JobRequest, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> Refusal | None:
        """Refuse a job with a task that no known endpoint could ever run."""
        for index, spec in enumerate(request.tasks):
            if not any(endpoint.could_run(spec) for endpoint in endpoints):
                return Refusal(
                    ResultCode.NOT_RUN_IMPOSSIBLE,
                    "no known endpoint could run this task",
                    field=f"tasks[{index}]",
                )
        return None


class Scheduler:
    """Holds waiting tasks and endpoints, and matches them.

    Parameters
    ----------
    placement : Placement
        Chooses endpoints.
    ordering : Ordering
        Keeps the queue.
    admission : Admission
        Lets jobs in.
    """

    def __init__(
        self, placement: Placement, ordering: Ordering, admission: Admission
    ) -> None:
        self._placement = placement
        self._ordering = ordering
        self._admission = admission
        self._endpoints: dict[EndpointId, EndpointLoad] = {}
        self._waiting: dict[JobId, dict[int, WaitingTask]] = {}
        self._placed: dict[AttemptRef, tuple[EndpointId, WaitingTask]] = {}

    @property
    def endpoints(self) -> Sequence[EndpointLoad]:
        """All known endpoints."""
        return list(self._endpoints.values())

    def admit(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Return why a new job is refused, or None if it may be added."""
        return self._admission.check(request, self.endpoints, now_s)

    def add(self, request: JobRequest, attempts: dict[int, int], now_s: float) -> None:
        """Queue tasks of a job.

        Parameters
        ----------
        request : JobRequest
            The job.
        attempts : dict
            For each task to queue, the number of its next attempt.
        now_s : float
            The runtime's clock.
        """
        for index, attempt in attempts.items():
            task = WaitingTask(
                request.job,
                request.team,
                index,
                attempt,
                request.tasks[index],
                request.deadline_s,
                now_s,
            )
            self._waiting.setdefault(request.job, {})[index] = task
            self._ordering.add(task)

    def hold(self, ref: AttemptRef, endpoint: EndpointId, task: WaitingTask) -> None:
        """Count an attempt that an endpoint was found to hold."""
        self._placed[ref] = (endpoint, task)
        if endpoint in self._endpoints:
            self._endpoints[endpoint].running[ref] = task

    def endpoint_announced(self, announcement: Announcement, now_s: float) -> None:
        """Take in what an endpoint says of itself."""
        load = self._endpoints.get(announcement.endpoint)
        if load is None:
            running = {
                ref: task
                for ref, (endpoint, task) in self._placed.items()
                if endpoint == announcement.endpoint
            }
            load = EndpointLoad(announcement, running)
            self._endpoints[announcement.endpoint] = load
        load.announcement = announcement
        load.refusing = False

    def endpoint_reachable(self, endpoint: EndpointId, reachable: bool) -> None:
        """Note whether an endpoint answers; one that does not gets no start."""
        if endpoint in self._endpoints:
            self._endpoints[endpoint].reachable = reachable

    def endpoint_refused(self, endpoint: EndpointId) -> None:
        """Place nothing at an endpoint until it announces itself again."""
        if endpoint in self._endpoints:
            self._endpoints[endpoint].refusing = True

    def endpoint_removed(self, endpoint: EndpointId) -> None:
        """Forget an endpoint; its attempts stay placed until they end."""
        self._endpoints.pop(endpoint, None)

    def plan(self, now_s: float) -> list[PlacedTask]:
        """Place waiting tasks; each returned placement counts as started."""
        placed: list[PlacedTask] = []
        room = [load for load in self._endpoints.values() if load.usable]
        for task in self._ordering.candidates(now_s):
            if not room:
                break
            if task.deadline_s <= now_s:
                continue
            fitting = [load for load in room if load.fits(task.spec)]
            load = self._placement.choose(task, fitting, now_s) if fitting else None
            if load is not None:
                placed.append(self._place(task, load))
                if len(load.running) >= load.announcement.slots:
                    room.remove(load)
        return placed

    def ended(self, ref: AttemptRef, ok: bool | None, run_s: float) -> None:
        """Free what an attempt took.

        Parameters
        ----------
        ref : AttemptRef
            The attempt.
        ok : bool or None
            Whether it succeeded; None if it never ran or no one knows.
        run_s : float
            How long it ran.
        """
        endpoint, task = self._placed.pop(ref, (None, None))
        if endpoint is None or task is None:
            return
        if endpoint in self._endpoints:
            self._endpoints[endpoint].running.pop(ref, None)
        if ok is not None:
            self._placement.ended(endpoint, task, ok, run_s)

    def expired(self, now_s: float) -> list[JobId]:
        """Return the jobs with waiting tasks whose deadline has passed."""
        return [
            job
            for job, tasks in self._waiting.items()
            if any(task.deadline_s <= now_s for task in tasks.values())
        ]

    def remove(self, job: JobId) -> None:
        """Take all waiting tasks of a job out of the queue."""
        for task in self._waiting.pop(job, {}).values():
            self._ordering.discard(task)

    def explain(self, job: JobId) -> list[str]:
        """Say for each waiting or started task of a job why it stands there."""
        lines = [
            f"task {task.task}: waits since {task.since_s:.3f} s"
            for task in self._waiting.get(job, {}).values()
        ]
        lines.extend(
            f"task {ref.task}: attempt {ref.attempt} placed at {endpoint}"
            for ref, (endpoint, _) in self._placed.items()
            if ref.job == job
        )
        return lines

    def _place(self, task: WaitingTask, load: EndpointLoad) -> PlacedTask:
        placed = PlacedTask(task, load.id, load.announcement.incarnation)
        self._ordering.discard(task)
        waiting = self._waiting[task.job]
        del waiting[task.task]
        if not waiting:
            del self._waiting[task.job]
        load.running[placed.ref] = task
        self._placed[placed.ref] = (load.id, task)
        return placed
