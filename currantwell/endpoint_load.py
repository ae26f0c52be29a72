"""The scheduler's view of an endpoint: its running attempts and free resources.

Invariant: the sums of used resources equal those of the running attempts, so that
checking whether a task fits takes constant time.
"""

from collections import Counter

from .endpoint_protocol import Announcement, AttemptRef
from .ids import EndpointId
from .scheduler_types import WaitingTask
from .submission import TaskSpec

__all__ = ["EndpointLoad", "could_run"]


def could_run(announcement: Announcement, spec: TaskSpec) -> bool:
    """Return whether an endpoint could run a task if it were empty.

    Parameters
    ----------
    announcement : Announcement
        The announcement of the endpoint.
    spec : TaskSpec
        The task.
    """
    return (
        spec.processors <= announcement.processors
        and spec.memory_mb <= announcement.memory_mb
        and spec.accelerators <= announcement.accelerators
        and spec.data_centre in (None, announcement.data_centre)
        and spec.endpoint in (None, announcement.endpoint)
        and spec.pool in (None, announcement.pool)
        and (spec.label is None or spec.label in announcement.labels)
    )


class EndpointLoad:
    """An endpoint, the attempts placed there and the resources that they use.

    Parameters
    ----------
    announcement : Announcement
        Its latest announcement.

    Attributes
    ----------
    running : dict
        The attempts placed there that have not ended.
    reachable : bool
        Whether it answers.
    speed : float
        Its estimated speed; 1 is the usual speed.
    limit : int or None
        Maximum number of running attempts set by ejection; None for no limit.
    long_tasks : int
        Number of its running attempts of long tasks.
    """

    __slots__ = (
        "_accelerators",
        "_memory_mb",
        "_processors",
        "_spread",
        "announcement",
        "id",
        "limit",
        "long_tasks",
        "reachable",
        "running",
        "speed",
    )

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.id: EndpointId = announcement.endpoint
        self.running: dict[AttemptRef, WaitingTask] = {}
        self.reachable = True
        self.speed = 1.0
        self.limit: int | None = None
        self.long_tasks = 0
        self._processors = 0.0
        self._memory_mb = 0
        self._accelerators = 0
        self._spread: Counter[str | None] = Counter()

    def free_slots(self) -> int:
        """Return the number of further attempts that it may run."""
        announcement = self.announcement
        if announcement.draining or not self.reachable:
            return 0
        max_running = announcement.slots
        if self.limit is not None:
            max_running = min(max_running, self.limit)
        return max_running - len(self.running)

    def usable(self) -> bool:
        """Return whether it may be given attempts when it has free capacity."""
        return self.reachable and not self.announcement.draining and self.limit != 0

    def free_for(self, spec: TaskSpec) -> int:
        """Return how many more tasks like this one it could start."""
        announcement = self.announcement
        fitting = self._max_tasks(spec, announcement.processors - self._processors)
        return max(0, min(fitting, self.free_slots()))

    def slots_for(self, spec: TaskSpec) -> int:
        """Return how many tasks like this one it could run when empty."""
        announcement = self.announcement
        return min(self._max_tasks(spec, announcement.processors), announcement.slots)

    def _max_tasks(self, spec: TaskSpec, processors: float) -> int:
        """Return how many tasks like this one a number of processors can run."""
        if not could_run(self.announcement, spec):
            return 0
        if spec.processors <= 0:
            return self.announcement.slots
        return int(processors / spec.processors)

    def fits(self, spec: TaskSpec) -> bool:
        """Return whether its free resources suffice for a task."""
        announcement = self.announcement
        return (
            could_run(announcement, spec)
            and self._processors + spec.processors <= announcement.processors
            and self._memory_mb + spec.memory_mb <= announcement.memory_mb
            and self._accelerators + spec.accelerators <= announcement.accelerators
            and not self._spread_limit_reached(spec)
        )

    def _spread_limit_reached(self, spec: TaskSpec) -> bool:
        """Return whether it runs the maximum of tasks of one spread per endpoint."""
        if not spec.max_per_endpoint:
            return False
        return self._spread[spec.spread] >= spec.max_per_endpoint

    def add_running(self, ref: AttemptRef, task: WaitingTask) -> None:
        """Add a running attempt and the resources that it uses."""
        self.running[ref] = task
        self._count(task, 1)

    def remove_running(self, ref: AttemptRef) -> None:
        """Remove an ended attempt and free its resources."""
        task = self.running.pop(ref, None)
        if task is not None:
            self._count(task, -1)

    def _count(self, task: WaitingTask, sign: int) -> None:
        spec = task.spec
        self._processors += sign * spec.processors
        self._memory_mb += sign * spec.memory_mb
        self._accelerators += sign * spec.accelerators
        if spec.max_per_endpoint:
            self._spread[spec.spread] += sign
            if not self._spread[spec.spread]:
                del self._spread[spec.spread]
        self.long_tasks += sign * task.long
