"""Types of the scheduler for jobs, waiting tasks and placements."""

import dataclasses
import math
from collections.abc import Sequence

from .endpoint_protocol import AttemptRef
from .ids import EndpointId, Incarnation, JobId, Team
from .submission import TaskSpec

__all__ = ["JobRequest", "PlacedTask", "QueuedJob", "Shape", "WaitingTask", "shape_of"]

Shape = tuple[
    float, int, int, str | None, str | None, str | None, str | None, str | None
]


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A job as submitted to the scheduler.

    Parameters
    ----------
    job : JobId
        The job.
    team : Team
        The team that submitted it.
    tasks : sequence of TaskSpec
        Its tasks.
    deadline_s : float
        Time after which no task is started, on the runtime's clock.
    start_by_s : float
        Time by which the first task must have started, on the runtime's clock.
    target_completion_s : float
        Target completion time, on the runtime's clock.
    """

    job: JobId
    team: Team
    tasks: Sequence[TaskSpec]
    deadline_s: float
    start_by_s: float = math.inf
    target_completion_s: float = math.inf


@dataclasses.dataclass(slots=True)
class QueuedJob:
    """State and estimates shared by the queued tasks of one job.

    Parameters
    ----------
    job : JobId
        The job.
    team : Team
        The team that submitted it.
    queued_at_s : float
        Time at which it was queued, on the runtime's clock.
    tasks : int
        Number of its waiting tasks.
    work_s : float
        Total estimated run time of its waiting tasks, in seconds at speed 1.
    longest_s : float
        Estimated run time of its longest task, in seconds at speed 1.
    expected_end_s : float
        Time at which the last of its started tasks is expected to end, on the
        runtime's clock; 0 if none has started.
    target_completion_s : float
        Target completion time, on the runtime's clock.
    total_s : float
        Total estimated run time of all its tasks, in seconds at speed 1.
    start_by_s : float
        Time by which its first task has to start, on the runtime's clock.
    """

    job: JobId
    team: Team
    queued_at_s: float
    tasks: int = 0
    work_s: float = 0.0
    longest_s: float = 0.0
    expected_end_s: float = 0.0
    target_completion_s: float = math.inf
    total_s: float = 0.0
    start_by_s: float = math.inf


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A task that waits to be placed, or was placed and has not ended.

    Parameters
    ----------
    job, team, task, attempt
        The job, its team, the index of the task and the number of the attempt.
    spec : TaskSpec
        The task as submitted.
    deadline_s : float
        Time after which it is not started, on the runtime's clock.
    queued_at_s : float
        Time at which it was queued, on the runtime's clock.
    estimate_s : float
        Estimated run time in seconds at speed 1.
    long : bool
        Whether it counts against the preset's share of long tasks.
    queued_job : QueuedJob or None
        State shared with the other tasks of its job; None for an attempt that was
        found running at an endpoint.
    shape : Shape
        Its requirements of an endpoint; tasks of one shape fit the same endpoints.
    started_s : float
        Time at which it was placed, on the runtime's clock; 0 if it was not.
    waits_for_faster_since_s : float or None
        Time at which it first waited for a faster endpoint although one with free
        capacity fits, on the runtime's clock; None if it never did.
    moved : bool
        Whether an earlier attempt was stopped because its endpoint was too slow, so
        that `estimate_s` is the run time observed in that attempt.
    min_run_s : float
        Lower bound of the run time at speed 1 by that attempt, in seconds; 0 if there
        is none.
    """

    job: JobId
    team: Team
    task: int
    attempt: int
    spec: TaskSpec
    deadline_s: float
    queued_at_s: float
    estimate_s: float = 0.0
    long: bool = False
    queued_job: QueuedJob | None = None
    shape: Shape = (1.0, 0, 0, None, None, None, None, None)
    started_s: float = 0.0
    waits_for_faster_since_s: float | None = None
    moved: bool = False
    min_run_s: float = 0.0


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


def shape_of(spec: TaskSpec) -> Shape:
    """Return the requirements of a task that decide which endpoints it fits."""
    return (
        spec.processors,
        spec.memory_mb,
        spec.accelerators,
        spec.data_centre,
        spec.endpoint,
        spec.pool,
        spec.label,
        spec.spread,
    )
