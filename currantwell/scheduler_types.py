"""Jobs and tasks as the scheduler sees them."""

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
    start_by_s : float
        When it is too late to start the first task.
    target_completion_s : float
        By when the answer is hoped for.
    """

    job: JobId
    team: Team
    tasks: Sequence[TaskSpec]
    deadline_s: float
    start_by_s: float = math.inf
    target_completion_s: float = math.inf


@dataclasses.dataclass(slots=True)
class QueuedJob:
    """What the tasks of one job have in common.

    Parameters
    ----------
    job : JobId
        The job.
    team : Team
        Its team.
    queued_at_s : float
        When it was queued.
    tasks : int
        How many of its tasks wait.
    work_s : float
        Estimated run time of its waiting tasks together.
    longest_s : float
        Estimated run time of its longest task.
    expected_end_s : float
        When the last of its started tasks is expected to end; 0 if none has started.
    target_completion_s : float
        By when the answer is hoped for.
    """

    job: JobId
    team: Team
    queued_at_s: float
    tasks: int = 0
    work_s: float = 0.0
    longest_s: float = 0.0
    expected_end_s: float = 0.0
    target_completion_s: float = math.inf


@dataclasses.dataclass(slots=True)
class WaitingTask:
    """A task that may be started now.

    Parameters
    ----------
    job, team, task, attempt
        What it is.
    spec : TaskSpec
        What it asks for.
    deadline_s : float
        When it is too late to start it.
    queued_at_s : float
        Since when it waits.
    estimate_s : float
        Estimated run time at speed 1.
    long : bool
        Whether it counts as long.
    queued_job : QueuedJob or None
        Its job; None for an attempt found at an endpoint.
    shape : Shape
        What it needs of an endpoint; tasks of one shape fit the same endpoints.
    started_s : float
        When it was placed, if it was.
    waits_for_faster_since_s : float or None
        Since when it waits although some endpoint has room for it.
    moved : bool
        Whether an earlier attempt was stopped for being too late where it ran, so that
        the estimate is what that one showed.
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
    """Return what a task needs of an endpoint."""
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
