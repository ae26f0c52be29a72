"""Which waiting jobs are refused before their start limit.

Load pattern: a crest on a full service. Others overtake a job until its start limit,
and its caller waits in vain although it is clear long before that it will not start.
The caller of a job that is refused early still has the time to go elsewhere.

No I/O and no clock: the caller passes in the queue, the capacity and the time.
"""

import math
from collections.abc import Iterable

from .ids import JobId
from .scheduler_types import WaitingTask

__all__ = ["jobs_without_prospect"]


def jobs_without_prospect(
    waiting: Iterable[WaitingTask], capacity: float, now_s: float
) -> list[JobId]:
    """Return the jobs that will not start by their start limit.

    Parameters
    ----------
    waiting : iterable of WaitingTask
        The waiting tasks in the order in which they are to start.
    capacity : float
        Tasks of speed 1 that run at a time on all endpoints in use. The work ahead is
        estimated, so a job may be refused that would have started in time.
    now_s : float
        Current time on the runtime's clock.

    Returns
    -------
    list of JobId
        The jobs, in the order in which they wait; empty while no endpoint is in use,
        since one may be back soon.
    """
    if capacity <= 0:
        return []
    ahead_s = 0.0
    refused: dict[JobId, None] = {}
    for task in waiting:
        if task.job in refused:
            continue
        if now_s + ahead_s / capacity > _start_limit_s(task):
            refused[task.job] = None
        else:
            ahead_s += task.estimate_s
    return list(refused)


def _start_limit_s(task: WaitingTask) -> float:
    """Return the time by which a task has to start; infinite if its job has started."""
    job = task.queued_job
    if job is None or job.expected_end_s or task.attempt > 1:
        return math.inf
    return job.start_by_s
