"""Orders jobs by whether they can still meet their deadline and their target.

Jobs that most endpoints may end too late for their deadline come first: each delay adds
to the endpoints that are too slow for them, while the others can still be served by
any. So do tasks that were moved to a faster endpoint, and jobs most of which is done:
little of the capacity is left to spend on them, and all that was spent is lost if they
fail. Of all these, what was begun is completed first.

Of the others, jobs that can still meet their target come before those that can't.
Within both, jobs that have started tasks come first, since the work already done is
lost when such a job fails. Ties are broken by the rank by arrival and size of
`ordering`.
"""

import math
from collections.abc import Iterable, Sequence

from .deadline_speed import speed_for_deadline, usual_speed
from .endpoint_load import EndpointLoad
from .ids import JobId
from .ordering import RANK_STRETCH, RankedJob, size_of
from .scheduler_types import QueuedJob, WaitingTask

__all__ = ["TargetTimeOrdering"]

# Of a job of which less waits, more is lost than won by starting another one.
NEARLY_DONE_SHARE = 0.6


class _TargetedJob:
    """The waiting tasks of a job with the estimates that they have in common."""

    __slots__ = ("deadline_s", "estimates", "job", "moved")

    def __init__(self, job: RankedJob, task: WaitingTask) -> None:
        self.job = job
        self.estimates = task.queued_job
        self.deadline_s = task.deadline_s
        self.moved = task.moved

    def key(self, usual: float, now_s: float) -> tuple[bool, bool, bool, float]:
        """Return the sort key; the job with the lowest key starts first.

        Parameters
        ----------
        usual : float
            Speed that half of the endpoints have at least.
        now_s : float
            Current time on the runtime's clock.
        """
        estimates = self.estimates
        if estimates is None:
            return True, False, False, self.job.rank
        started = bool(estimates.expected_end_s)
        nearly_done = estimates.work_s < NEARLY_DONE_SHARE * estimates.total_s
        if (started and nearly_done) or self._needs_fast_endpoint(
            estimates, usual, now_s
        ):
            return False, not self.moved, not started, self.job.rank
        late = now_s + estimates.longest_s > estimates.target_completion_s
        return True, late and not nearly_done, not started, self.job.rank

    def _needs_fast_endpoint(
        self, estimates: QueuedJob, usual: float, now_s: float
    ) -> bool:
        """Return whether an endpoint of the usual speed may be too slow.

        A job whose deadline no endpoint can meet does not need one.
        """
        if self.moved:
            return True
        speed = speed_for_deadline(estimates.longest_s, self.deadline_s, now_s)
        return usual < speed < math.inf


class TargetTimeOrdering:
    """Orders by whether a job can be in time, whether it has started, and rank.

    Parameters
    ----------
    stretch : float
        Factor of a job's size in its rank.
    """

    def __init__(self, stretch: float = RANK_STRETCH) -> None:
        self._stretch = stretch
        self._jobs: dict[JobId, list[_TargetedJob]] = {}
        self._slots = 1
        self._sequence = 0
        self._usual_speed = usual_speed([])

    def prepare(self, endpoints: Sequence[EndpointLoad]) -> None:
        """Note the endpoints that the next candidates may be placed at."""
        self._usual_speed = usual_speed(
            [load.speed for load in endpoints if load.usable()]
        )

    def add(self, tasks: Sequence[WaitingTask], now_s: float) -> None:
        """Add tasks of one job."""
        self._sequence += 1
        rank = now_s + self._stretch * size_of(tasks, self._slots)
        ordered = sorted(reversed(tasks), key=lambda task: task.estimate_s)
        job = RankedJob(rank, self._sequence, ordered)
        targeted = _TargetedJob(job, tasks[0])
        self._jobs.setdefault(tasks[0].job, []).append(targeted)

    def candidates(self, slots: int, now_s: float) -> Iterable[WaitingTask]:
        """Yield tasks in the order in which they are to start."""
        self._slots = max(1, slots)
        waiting = [targeted for jobs in self._jobs.values() for targeted in jobs]
        waiting.sort(key=lambda targeted: targeted.key(self._usual_speed, now_s))
        for targeted in waiting:
            yield from targeted.job.candidates()

    def discard(self, task: WaitingTask) -> None:
        """Remove a task, since it starts or its job has ended."""
        jobs = self._jobs.get(task.job, [])
        for targeted in jobs:
            if targeted.job.live.get(task.task) is task:
                del targeted.job.live[task.task]
                if not targeted.job.live:
                    jobs.remove(targeted)
                break
        if not jobs:
            self._jobs.pop(task.job, None)

    def record_start(self, task: WaitingTask, now_s: float) -> None:
        """No-op: this ordering does not track the usage of teams."""

    def exceeds_share(self, task: WaitingTask) -> bool:
        """Return False: this ordering has no shares of teams."""
        return False
