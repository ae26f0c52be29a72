"""Orders waiting tasks by the recent usage of teams and the ranks of jobs.

Teams that exceed their share of recent usage come after the others, in levels by how
far they exceed it. Jobs of teams at the same level are ordered by a fixed rank: the
arrival time plus a multiple of the job's size, which is the geometric mean of its run
time alone on all slots and of its total work. Small jobs thus overtake large ones,
but a large job is never overtaken by one that arrives more than that multiple later.
Within a job, the longest tasks start first.
"""

import dataclasses
import heapq
import math
from bisect import insort
from collections.abc import Iterable, Iterator, Sequence

from .endpoint_load import EndpointLoad
from .ids import JobId, Team
from .quotas import QuotaSource
from .scheduler_types import Shape, WaitingTask

__all__ = ["FairOrdering", "FifoOrdering", "RankedJob", "size_of"]

RANK_STRETCH = 4.0
USAGE_DECAY_S = 5.0
SHARE_REFRESH_INTERVAL_S = 0.05
MIN_USAGE_S = 0.01
LEVELS_PER_SHARE = 2.0
MAX_SKIPPED = 16
BURST_SHARES = 2.0

_StackKey = tuple[Shape, bool]


class RankedJob:
    """The waiting tasks of a job, in stacks of interchangeable tasks.

    Tasks of one stack have the same shape and are all long or all short, so that they
    fit the same endpoints. The last task of a stack is the first to start.
    """

    __slots__ = ("live", "rank", "sequence", "stacks")

    def __init__(self, rank: float, sequence: int, tasks: Sequence[WaitingTask]):
        self.rank = rank
        self.sequence = sequence
        self.live = {task.task: task for task in tasks}
        self.stacks: dict[_StackKey, list[WaitingTask]] = {}
        for task in tasks:
            self.stacks.setdefault((task.shape, task.long), []).append(task)

    def __lt__(self, other: "RankedJob") -> bool:
        return (self.rank, self.sequence) < (other.rank, other.sequence)

    def candidates(self) -> Iterator[WaitingTask]:
        """Yield tasks from the top of each stack.

        Continues with the next stack after `MAX_SKIPPED` tasks that were not placed.
        """
        for stack in list(self.stacks.values()):
            skipped = 0
            index = len(stack) - 1
            while index >= 0 and skipped < MAX_SKIPPED:
                task = stack[index]
                if task.task in self.live:
                    yield task
                if task.task in self.live:
                    skipped += 1
                else:
                    del stack[index]
                index -= 1


@dataclasses.dataclass(slots=True)
class _TeamQueue:
    """The waiting jobs of a team and its recent usage.

    Parameters
    ----------
    jobs : list of RankedJob
        The waiting jobs by rank.
    usage_s : float
        Estimated run time of recently started tasks, with exponential decay.
    decayed_at_s : float
        Time of the last decay, on the runtime's clock.
    share_s : float
        Usage above which the team exceeds its share.
    """

    jobs: list[RankedJob] = dataclasses.field(default_factory=list)
    usage_s: float = 0.0
    decayed_at_s: float = 0.0
    share_s: float = math.inf

    def decay(self, now_s: float) -> None:
        """Apply the exponential decay of usage up to a time."""
        self.usage_s *= math.exp((self.decayed_at_s - now_s) / USAGE_DECAY_S)
        self.decayed_at_s = now_s

    @property
    def level(self) -> int:
        """How far the team exceeds its share; 0 if it does not."""
        if self.usage_s <= self.share_s:
            return 0
        return 1 + int(LEVELS_PER_SHARE * (self.usage_s / self.share_s - 1.0))


class FairOrdering:
    """Orders by the shares of teams, then by the ranks of jobs.

    Parameters
    ----------
    quotas : QuotaSource or None
        Source of the weight of each team; None to ignore shares.
    stretch : float
        Factor of a job's size in its rank; 0 for first come, first served.
    longest_first : bool
        Whether the longest tasks of a job start first.
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

    def prepare(self, endpoints: Sequence[EndpointLoad]) -> None:
        """No-op: this ordering does not depend on the endpoints."""

    def add(self, tasks: Sequence[WaitingTask], now_s: float) -> None:
        """Add tasks of one job."""
        ordered = list(reversed(tasks))
        if self._longest_first:
            ordered.sort(key=_estimate_s)
        self._sequence += 1
        rank = now_s + self._stretch * size_of(tasks, self._slots)
        job = RankedJob(rank, self._sequence, ordered)
        insort(self._queue(tasks[0].team).jobs, job)
        self._jobs.setdefault(tasks[0].job, []).append(job)

    def candidates(self, slots: int, now_s: float) -> Iterable[WaitingTask]:
        """Yield tasks in the order in which they are to start."""
        self._slots = max(1, slots)
        self._refresh_shares(now_s)
        levels: dict[int, list[_TeamQueue]] = {}
        for queue in self._teams.values():
            if queue.jobs:
                levels.setdefault(queue.level, []).append(queue)
        while levels:
            level = min(levels)
            yield from self._candidates_at_level(level, levels.pop(level), levels)

    def discard(self, task: WaitingTask) -> None:
        """Remove a task, since it starts or its job has ended."""
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
        """Charge the estimated run time of a started task to its team."""
        if self._quotas is not None:
            queue = self._queue(task.team)
            queue.decay(now_s)
            queue.usage_s += task.estimate_s

    def exceeds_share(self, task: WaitingTask) -> bool:
        """Return whether a task's team has used more than its share."""
        queue = self._teams.get(task.team)
        return queue is not None and queue.level > 0

    def _candidates_at_level(
        self, level: int, queues: list[_TeamQueue], levels: dict[int, list[_TeamQueue]]
    ) -> Iterator[WaitingTask]:
        jobs_by_queue = [[(job, queue) for job in queue.jobs] for queue in queues]
        demoted: set[int] = set()
        for job, queue in heapq.merge(*jobs_by_queue, key=_job_of):
            if id(queue) in demoted:
                continue
            for task in job.candidates():
                yield task
                if queue.level > level:
                    demoted.add(id(queue))
                    levels.setdefault(queue.level, []).append(queue)
                    break

    def _queue(self, team: Team) -> _TeamQueue:
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue()
        return queue

    def _refresh_shares(self, now_s: float) -> None:
        """Recompute the shares of teams that have waiting jobs or recent usage."""
        if self._quotas is None or now_s - self._refreshed_s < SHARE_REFRESH_INTERVAL_S:
            return
        self._refreshed_s = now_s
        weights: dict[Team, float] = {}
        for team, queue in list(self._teams.items()):
            queue.decay(now_s)
            if queue.jobs or queue.usage_s > MIN_USAGE_S:
                weights[team] = self._quotas.quota(team).weight
            else:
                del self._teams[team]
        total_share_s = USAGE_DECAY_S * self._slots / max(1e-9, sum(weights.values()))
        for team, weight in weights.items():
            self._teams[team].share_s = max(
                MIN_USAGE_S, BURST_SHARES * weight * total_share_s
            )


def size_of(tasks: Sequence[WaitingTask], slots: int) -> float:
    """Return the size of a job in seconds.

    It is the geometric mean of the run time alone on all slots and the total work.
    """
    longest_s = max(task.estimate_s for task in tasks)
    work_s = sum(task.estimate_s for task in tasks)
    run_alone_s = max(longest_s, work_s / slots)
    return math.sqrt(run_alone_s * work_s)


class FifoOrdering(FairOrdering):
    """Orders tasks by arrival, first come, first served."""

    def __init__(self) -> None:
        super().__init__(None, 0.0, longest_first=False)


def _estimate_s(task: WaitingTask) -> float:
    return task.estimate_s


def _job_of(pair: tuple[RankedJob, _TeamQueue]) -> RankedJob:
    return pair[0]
