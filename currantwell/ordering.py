"""The order in which waiting tasks start.

Teams far over their share of recent use come after the others. Among the jobs of
teams alike, each job has a fixed rank: the time of its arrival plus a multiple of
its size, which is the geometric mean of the time that it would take alone and of
its work. Small jobs thus pass large ones, and a large one waits for no job that
arrived more than that multiple later. Within a job, longest tasks go first.
"""

import dataclasses
import heapq
import math
from bisect import insort
from collections.abc import Iterable, Iterator, Sequence

from .ids import JobId, Team
from .quotas import QuotaSource
from .scheduler_types import Shape, WaitingTask

__all__ = ["FairOrdering", "FifoOrdering", "RankedJob", "size_of"]

RANK_STRETCH = 4.0
USE_MEMORY_S = 5.0
REFRESH_S = 0.05
MIN_USE_S = 0.01
LEVELS_PER_SHARE = 2.0
MAX_PASSED = 16
BURST_SHARES = 2.0

_Stack = tuple[Shape, bool]


class RankedJob:
    """The waiting tasks of a job, in stacks of tasks that are placed alike."""

    __slots__ = ("live", "rank", "sequence", "stacks")

    def __init__(self, rank: float, sequence: int, tasks: Sequence[WaitingTask]):
        self.rank = rank
        self.sequence = sequence
        self.live = {task.task: task for task in tasks}
        self.stacks: dict[_Stack, list[WaitingTask]] = {}
        for task in tasks:
            self.stacks.setdefault((task.shape, task.long), []).append(task)

    def __lt__(self, other: "RankedJob") -> bool:
        return (self.rank, self.sequence) < (other.rank, other.sequence)

    def candidates(self) -> Iterator[WaitingTask]:
        """Yield tasks from the top of each stack, a few beyond one passed over."""
        for stack in list(self.stacks.values()):
            passed = 0
            at = len(stack) - 1
            while at >= 0 and passed < MAX_PASSED:
                task = stack[at]
                if task.task in self.live:
                    yield task
                if task.task in self.live:
                    passed += 1
                else:
                    del stack[at]
                at -= 1


@dataclasses.dataclass(slots=True)
class _TeamQueue:
    """The waiting jobs of a team and its recent use."""

    jobs: list[RankedJob] = dataclasses.field(default_factory=list)
    use_s: float = 0.0
    at_s: float = 0.0
    share_s: float = math.inf

    def fade(self, now_s: float) -> None:
        """Let earlier use count for less."""
        self.use_s *= math.exp((self.at_s - now_s) / USE_MEMORY_S)
        self.at_s = now_s

    @property
    def level(self) -> int:
        """How far the team is over its share; 0 if it is not."""
        if self.use_s <= self.share_s:
            return 0
        return 1 + int(LEVELS_PER_SHARE * (self.use_s / self.share_s - 1.0))


class FairOrdering:
    """Orders by shares of teams, then by ranks of jobs.

    Parameters
    ----------
    quotas : QuotaSource or None
        Knows the weight of each team; None to ignore shares.
    stretch : float
        What multiple of a job's size its rank adds; 0 for first come, first served.
    longest_first : bool
        Whether the longest tasks of a job go first.
    """

    def __init__(
        self,
        quotas: QuotaSource | None,
        stretch: float = RANK_STRETCH,
        longest_first: bool = True,
    ) -> None:
        self._quotas = quotas
        self._stretch = stretch
        self._longest_first = longest_first
        self._teams: dict[Team, _TeamQueue] = {}
        self._jobs: dict[JobId, list[RankedJob]] = {}
        self._sequence = 0
        self._slots = 1
        self._refreshed_s = -math.inf

    def add(self, group: Sequence[WaitingTask], now_s: float) -> None:
        """Add tasks of one job."""
        ordered = list(reversed(group))
        if self._longest_first:
            ordered.sort(key=_estimate_s)
        self._sequence += 1
        rank = now_s + self._stretch * size_of(group, self._slots)
        job = RankedJob(rank, self._sequence, ordered)
        insort(self._queue(group[0].team).jobs, job)
        self._jobs.setdefault(group[0].job, []).append(job)

    def candidates(self, slots: int, now_s: float) -> Iterable[WaitingTask]:
        """Yield tasks, first to start first."""
        self._slots = max(1, slots)
        self._refresh(now_s)
        levels: dict[int, list[_TeamQueue]] = {}
        for queue in self._teams.values():
            if queue.jobs:
                levels.setdefault(queue.level, []).append(queue)
        while levels:
            level = min(levels)
            yield from self._at_level(level, levels.pop(level), levels)

    def discard(self, task: WaitingTask) -> None:
        """Take a task out, since it starts or its job is over."""
        jobs = self._jobs.get(task.job, [])
        for job in jobs:
            if job.live.get(task.task) is task:
                del job.live[task.task]
                if not job.live:
                    jobs.remove(job)
                    self._teams[task.team].jobs.remove(job)
                break
        if not jobs:
            self._jobs.pop(task.job, None)

    def record_start(self, task: WaitingTask, now_s: float) -> None:
        """Charge a start to its team."""
        if self._quotas is not None:
            queue = self._queue(task.team)
            queue.fade(now_s)
            queue.use_s += task.estimate_s

    def exceeds_share(self, task: WaitingTask) -> bool:
        """Tell whether a task's team is over its share."""
        queue = self._teams.get(task.team)
        return queue is not None and queue.level > 0

    def _at_level(
        self, level: int, queues: list[_TeamQueue], levels: dict[int, list[_TeamQueue]]
    ) -> Iterator[WaitingTask]:
        lists = [[(job, queue) for job in queue.jobs] for queue in queues]
        moved: set[int] = set()
        for job, queue in heapq.merge(*lists, key=_job_of):
            if id(queue) in moved:
                continue
            for task in job.candidates():
                yield task
                if queue.level > level:
                    moved.add(id(queue))
                    levels.setdefault(queue.level, []).append(queue)
                    break

    def _queue(self, team: Team) -> _TeamQueue:
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue()
        return queue

    def _refresh(self, now_s: float) -> None:
        """Work out the share of each team that has work or had some lately."""
        if self._quotas is None or now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        weights: dict[Team, float] = {}
        for team, queue in list(self._teams.items()):
            queue.fade(now_s)
            if queue.jobs or queue.use_s > MIN_USE_S:
                weights[team] = self._quotas.quota(team).weight
            else:
                del self._teams[team]
        whole_s = USE_MEMORY_S * self._slots / max(1e-9, sum(weights.values()))
        for team, weight in weights.items():
            self._teams[team].share_s = max(MIN_USE_S, BURST_SHARES * weight * whole_s)


def size_of(group: Sequence[WaitingTask], slots: int) -> float:
    """Return the size of a job: of its time alone and its work, the geometric mean."""
    longest_s = max(task.estimate_s for task in group)
    work_s = sum(task.estimate_s for task in group)
    alone_s = max(longest_s, work_s / slots)
    return math.sqrt(alone_s * work_s)


class FifoOrdering(FairOrdering):
    """First come, first served."""

    def __init__(self) -> None:
        super().__init__(None, 0.0, longest_first=False)


def _estimate_s(task: WaitingTask) -> float:
    return task.estimate_s


def _job_of(pair: tuple[RankedJob, _TeamQueue]) -> RankedJob:
    return pair[0]
