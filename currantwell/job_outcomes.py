"""Counts of ended jobs by kind, size and outcome.

The size of a job is the work that its tasks showed, so that jobs that declared too
little count with those as large as they are.
"""

import collections
import enum
import math
from collections.abc import Mapping

import trio

from . import events
from .kernel import ServiceName

__all__ = ["JobEnd", "JobOutcomes", "OutcomeReporter"]

REPORT_INTERVAL_S = 5.0
MIN_SIZE_CORE_S = 0.25
MAX_KINDS = 1_000
OTHER_KIND = "other"

OutcomeKey = tuple[str, float, "JobEnd"]


class JobEnd(enum.Enum):
    """How a job ended at its dispatcher."""

    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled by the caller"
    REFUSED = "refused on arrival"
    NO_PROSPECT = "would not have started in time"
    NOT_STARTED = "no task was started in time"
    LATE_ATTEMPT = "a running task was too late"
    LATE_MOVE = "a moved task waited until it was too late"
    DEADLINE = "the deadline passed"


class JobOutcomes:
    """Counts jobs since the process started."""

    def __init__(self) -> None:
        self._counts: collections.Counter[OutcomeKey] = collections.Counter()
        self._kinds: set[str] = set()

    def record(self, kind: str, work_core_s: float, end: JobEnd) -> None:
        """Count a job.

        Parameters
        ----------
        kind : str
            Kind of its tasks.
        work_core_s : float
            Its work in core-seconds at speed 1, shown or else estimated.
        end : JobEnd
            How it ended.
        """
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            kind = OTHER_KIND
        self._kinds.add(kind)
        self._counts[kind, _size_core_s(work_core_s), end] += 1

    def counts(self) -> Mapping[OutcomeKey, int]:
        """Return the number of jobs by kind, size and outcome.

        The size is the least power of two, in core-seconds, that the work of the jobs
        does not exceed.
        """
        return self._counts


class OutcomeReporter:
    """The service that logs the counts of a process while they change.

    Parameters
    ----------
    outcomes : JobOutcomes
        The counts.
    """

    name = ServiceName("outcome-reporter")

    def __init__(self, outcomes: JobOutcomes) -> None:
        self._outcomes = outcomes
        self._logged = 0

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Log until cancelled, and once more then."""
        task_status.started()
        try:
            while True:
                await trio.sleep(REPORT_INTERVAL_S)
                self._log_changes()
        finally:
            self._log_changes()

    async def drain(self) -> None:
        """No-op: `run` logs the last counts when it is cancelled."""

    def _log_changes(self) -> None:
        counts = self._outcomes.counts()
        total = sum(counts.values())
        if total != self._logged:
            self._logged = total
            rows = [(*key[:2], key[2].name, count) for key, count in counts.items()]
            events.JOB_OUTCOMES.log(counts=rows)


def _size_core_s(work_core_s: float) -> float:
    """Return the least power of two that the work does not exceed."""
    return float(2.0 ** math.ceil(math.log2(max(MIN_SIZE_CORE_S, work_core_s))))
