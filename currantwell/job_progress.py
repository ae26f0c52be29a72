"""Run times of a job's tasks by the progress of those that run.

Tasks that a job declares to be alike, that is of the same kind and with the same run
time, are expected to run equally long, however far the declared run time is off.

No I/O and no clock. All run times are in seconds at speed 1.
"""

import dataclasses
import statistics

from .endpoint_protocol import AttemptRef
from .ids import EndpointId, JobId
from .submission import TaskSpec

__all__ = ["JobProgress", "RunTimeClass", "run_time_class"]

RunTimeClass = tuple[str, float | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _RunningTask:
    """A running task with the run time that its progress shows."""

    endpoint: EndpointId
    spec: TaskSpec
    run_s: float


class JobProgress:
    """Keeps the run times that running attempts show, by job."""

    def __init__(self) -> None:
        self._running: dict[JobId, dict[int, _RunningTask]] = {}
        self._complete_s: dict[JobId, dict[int, float]] = {}

    def record(
        self, ref: AttemptRef, endpoint: EndpointId, spec: TaskSpec, run_s: float
    ) -> None:
        """Record the run time that a running attempt shows now."""
        running = self._running.setdefault(ref.job, {})
        running[ref.task] = _RunningTask(endpoint, spec, run_s)

    def forget(self, ref: AttemptRef) -> None:
        """Forget an attempt that has ended."""
        running = self._running.get(ref.job, {})
        running.pop(ref.task, None)
        if not running:
            self._running.pop(ref.job, None)

    def record_complete(self, ref: AttemptRef, run_s: float) -> None:
        """Record the run time of a task that is complete."""
        self._complete_s.setdefault(ref.job, {})[ref.task] = run_s

    def forget_job(self, job: JobId) -> None:
        """Forget all tasks of a job."""
        self._running.pop(job, None)
        self._complete_s.pop(job, None)

    def run_times_s(self, job: JobId) -> dict[int, float]:
        """Return the run times that a job's tasks showed.

        Returns
        -------
        dict of int to float
            Run time in seconds at speed 1 of each task that runs or is complete, by
            the index of the task.
        """
        running = self._running.get(job, {})
        complete_s = self._complete_s.get(job, {})
        return {index: task.run_s for index, task in running.items()} | complete_s

    def run_time_s(
        self, job: JobId, spec: TaskSpec, other_than: EndpointId | None = None
    ) -> float | None:
        """Return the median run time that running tasks like a given one show.

        Parameters
        ----------
        job : JobId
            The job.
        spec : TaskSpec
            The task.
        other_than : EndpointId or None
            An endpoint whose attempts are left out.

        Returns
        -------
        float or None
            The run time in seconds at speed 1, None if nothing is known.
        """
        alike = run_time_class(spec)
        run_times_s = [
            running.run_s
            for running in self._running.get(job, {}).values()
            if running.endpoint != other_than and run_time_class(running.spec) == alike
        ]
        return statistics.median(run_times_s) if run_times_s else None


def run_time_class(spec: TaskSpec) -> RunTimeClass:
    """Return what tasks of a job that are expected to run equally long share."""
    return spec.kind, spec.run_time_s
