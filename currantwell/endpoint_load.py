"""What the scheduler knows of an endpoint.

Invariant: the sums of held resources equal those of the running attempts, so that
telling whether a task fits takes constant time.
"""

from collections import Counter

from .endpoint_protocol import Announcement, AttemptRef
from .ids import EndpointId
from .scheduler_types import WaitingTask
from .submission import TaskSpec

__all__ = ["EndpointLoad", "could_run"]


def could_run(said: Announcement, spec: TaskSpec) -> bool:
    """Tell whether an endpoint could run a task if it were empty.

    Parameters
    ----------
    said : Announcement
        What the endpoint said of itself.
    spec : TaskSpec
        The task.
    """
    return (
        spec.processors <= said.processors
        and spec.memory_mb <= said.memory_mb
        and spec.accelerators <= said.accelerators
        and spec.data_centre in (None, said.data_centre)
        and spec.endpoint in (None, said.endpoint)
        and spec.pool in (None, said.pool)
        and (spec.label is None or spec.label in said.labels)
    )


class EndpointLoad:
    """An endpoint, the attempts placed there and what they hold.

    Parameters
    ----------
    announcement : Announcement
        What it last said of itself.

    Attributes
    ----------
    running : dict
        The attempts placed there that have not ended.
    reachable : bool
        Whether it answers now.
    speed : float
        How fast it is, as learnt; 1 is the usual.
    limit : int or None
        Most attempts it may hold while it is on trial; None for no limit.
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
        """Return how many more attempts it may be given."""
        said = self.announcement
        if said.draining or not self.reachable:
            return 0
        most = said.slots
        if self.limit is not None:
            most = min(most, self.limit)
        return most - len(self.running)

    def usable(self) -> bool:
        """Tell whether it may be given attempts when it has room."""
        return self.reachable and not self.announcement.draining and self.limit != 0

    def free_for(self, spec: TaskSpec) -> int:
        """Return how many more tasks like this one it has room for."""
        said = self.announcement
        left = self._most(spec, said.processors - self._processors)
        return max(0, min(left, self.free_slots()))

    def slots_for(self, spec: TaskSpec) -> int:
        """Return how many tasks like this one it holds when empty."""
        said = self.announcement
        return min(self._most(spec, said.processors), said.slots)

    def _most(self, spec: TaskSpec, processors: float) -> int:
        if not could_run(self.announcement, spec):
            return 0
        if spec.processors <= 0:
            return self.announcement.slots
        return int(processors / spec.processors)

    def fits(self, spec: TaskSpec) -> bool:
        """Tell whether its free resources suffice for a task."""
        said = self.announcement
        return (
            could_run(said, spec)
            and self._processors + spec.processors <= said.processors
            and self._memory_mb + spec.memory_mb <= said.memory_mb
            and self._accelerators + spec.accelerators <= said.accelerators
            and not self._spread_out(spec)
        )

    def _spread_out(self, spec: TaskSpec) -> bool:
        """Tell whether it runs as many tasks of a kind as may run on one endpoint."""
        if not spec.max_per_endpoint:
            return False
        return self._spread[spec.spread] >= spec.max_per_endpoint

    def add_running(self, ref: AttemptRef, task: WaitingTask) -> None:
        """Count an attempt."""
        self.running[ref] = task
        self._count(task, 1)

    def remove_running(self, ref: AttemptRef) -> None:
        """Count an attempt no more."""
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
