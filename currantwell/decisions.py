"""The decision log: explains to operators the decisions about recent jobs."""

import collections
import dataclasses

from .answers import Refusal
from .ids import EndpointId, JobId
from .policies import Reason
from .scheduler_types import WaitingTask

__all__ = ["DecisionLog", "PlacementDecision"]

MAX_JOBS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """The placement of one attempt, with the inputs that decided it.

    Parameters
    ----------
    task, attempt
        The index of the task and the number of the attempt.
    endpoint : EndpointId
        Where it was placed.
    reason : Reason
        Why there.
    waited_s : float
        Time in the queue, in seconds.
    estimate_s : float
        Estimated run time at speed 1, in seconds.
    speed : float
        Estimated speed of the endpoint at that moment.
    processors : float
        Number of processors that the task needs.
    """

    task: int
    attempt: int
    endpoint: EndpointId
    reason: Reason
    waited_s: float
    estimate_s: float
    speed: float
    processors: float


@dataclasses.dataclass(slots=True)
class _Entry:
    """The decisions about one job."""

    placed: list[PlacementDecision]
    wait_reason: Reason = Reason.LOWER_PRIORITY
    refusal: Refusal | None = None


class DecisionLog:
    """Keeps the decisions about the `MAX_JOBS` most recent jobs."""

    def __init__(self) -> None:
        self._jobs: collections.OrderedDict[JobId, _Entry] = collections.OrderedDict()

    def record_placement(
        self,
        task: WaitingTask,
        endpoint: EndpointId,
        speed: float,
        reason: Reason,
        now_s: float,
    ) -> None:
        """Record where a task was placed and why."""
        waited_s = now_s - task.queued_at_s
        self._entry(task.job).placed.append(
            PlacementDecision(
                task.task,
                task.attempt,
                endpoint,
                reason,
                waited_s,
                task.estimate_s,
                speed,
                task.spec.processors,
            )
        )

    def placements(self, job: JobId) -> list[PlacementDecision]:
        """Return the placements of a job's attempts, in their order."""
        entry = self._jobs.get(job)
        return list(entry.placed) if entry else []

    def record_wait(self, task: WaitingTask, reason: Reason) -> None:
        """Record why a job's tasks wait."""
        self._entry(task.job).wait_reason = reason

    def record_refusal(self, job: JobId, refusal: Refusal) -> None:
        """Record why a job was refused."""
        self._entry(job).refusal = refusal

    def wait_reason(self, job: JobId) -> Reason:
        """Return the latest reason for which a job's tasks wait."""
        entry = self._jobs.get(job)
        return entry.wait_reason if entry else Reason.LOWER_PRIORITY

    def lines(self, job: JobId) -> list[str]:
        """Return the decisions about a job as lines of text."""
        entry = self._jobs.get(job)
        if entry is None:
            return []
        lines = [
            f"task {placed.task}: attempt {placed.attempt} placed at "
            f"{placed.endpoint} after {placed.waited_s:.3f} s: {placed.reason.value}"
            for placed in entry.placed
        ]
        if entry.refusal is not None:
            code = entry.refusal.code
            lines.append(f"refused: {code.name} {code.value}: {entry.refusal.detail}")
        return lines

    def _entry(self, job: JobId) -> _Entry:
        entry = self._jobs.get(job)
        if entry is None:
            entry = self._jobs[job] = _Entry([])
            if len(self._jobs) > MAX_JOBS:
                self._jobs.popitem(last=False)
        return entry
