"""Metrics of a host in the Prometheus text format, built on `hdrhistogram`.

Quantiles cover the last one to two minutes; counts and sums cover the time since the
process started.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Protocol

import trio
from hdrh.histogram import HdrHistogram

from .clock import now_s
from .codes import ResultCode
from .ids import JobId
from .job_log import JobLog
from .job_outcomes import JobOutcomes
from .kernel import ServiceName
from .records import Record

__all__ = [
    "HostLoad",
    "LoadSource",
    "LoopMonitor",
    "MeasuredJobLog",
    "Metrics",
    "NoLoad",
    "Timing",
]

TICKS_PER_S = 1_000_000
MAX_TIME_S = 3_600
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999, 1.0)
WINDOW_S = 60.0
LAG_INTERVAL_S = 0.1


class Timing(enum.Enum):
    """The durations that are measured: metric name and help text of each."""

    JOB_RESPONSE = ("job_response", "From acceptance of a job to its answer.")
    QUEUE_WAIT = ("queue_wait", "From when a task may start to its placement.")
    COMMIT = ("commit", "Until records are durable on every copy.")
    LOOP_LAG = ("loop_lag", "How late the loop woke a sleeping task.")


@dataclasses.dataclass(frozen=True, slots=True)
class HostLoad:
    """The current load of a host.

    Parameters
    ----------
    starts, wasted : int
        Starts sent to endpoints and starts that they refused, since the process
        started.
    endpoints, slots : int
        Registered endpoints and the total of their slots.
    running, waiting : int
        Running tasks and waiting tasks.
    """

    starts: int = 0
    wasted: int = 0
    endpoints: int = 0
    slots: int = 0
    running: int = 0
    waiting: int = 0


class LoadSource(Protocol):
    """Source of the current load of a host."""

    def load(self) -> HostLoad:
        """Return the current load."""
        ...


class NoLoad:
    """The load of a host that runs no jobs."""

    def load(self) -> HostLoad:
        """Return a load of zeros."""
        return HostLoad()


class _Series:
    """Durations of one kind; quantiles are kept in two rotating histograms."""

    def __init__(self) -> None:
        self.count = 0
        self.sum_s = 0.0
        self._current = _histogram()
        self._previous = _histogram()

    def observe(self, time_s: float) -> None:
        """Add a duration, in seconds."""
        self.count += 1
        self.sum_s += time_s
        ticks = min(max(1, round(time_s * TICKS_PER_S)), MAX_TIME_S * TICKS_PER_S)
        self._current.record_value(ticks)

    def rotate(self) -> None:
        """Start a new window."""
        self._previous, self._current = self._current, self._previous
        self._current.reset()

    def quantiles_s(self) -> list[float]:
        """Return the quantiles over the current and the previous window."""
        merged = _histogram()
        merged.add(self._current)
        merged.add(self._previous)
        percentiles = [100 * quantile for quantile in QUANTILES]
        ticks = merged.get_percentile_to_value_dict(percentiles)
        return [ticks.get(percentile, 0) / TICKS_PER_S for percentile in percentiles]


class Metrics:
    """Durations and counts of a host.

    Attributes
    ----------
    outcomes : JobOutcomes
        Counts of ended jobs.
    """

    def __init__(self) -> None:
        self.outcomes = JobOutcomes()
        self._series = {timing: _Series() for timing in Timing}
        self._refusals: collections.Counter[ResultCode] = collections.Counter()
        self._answers: collections.Counter[str] = collections.Counter()
        self._late_attempts: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, tuple[str, Callable[[], int]]] = {}
        self._counters: dict[str, tuple[str, str, Callable[[], Mapping[str, int]]]] = {}

    def add_gauge(self, name: str, meaning: str, value: Callable[[], int]) -> None:
        """Add a gauge whose value is read whenever the metrics are."""
        self._gauges[name] = (meaning, value)

    def add_counters(
        self,
        name: str,
        meaning: str,
        label: str,
        values: Callable[[], Mapping[str, int]],
    ) -> None:
        """Add a counter for each value of a label, read whenever the metrics are."""
        self._counters[name] = (meaning, label, values)

    def observe(self, timing: Timing, time_s: float) -> None:
        """Add a duration, in seconds."""
        self._series[timing].observe(time_s)

    def count_refusal(self, code: ResultCode) -> None:
        """Count a refusal."""
        self._refusals[code] += 1

    def count_answer(self, outcome: str) -> None:
        """Count an answer by the outcome of its job."""
        self._answers[outcome] += 1

    def count_late_attempt(self, decision: str) -> None:
        """Count an attempt that would end after the deadline, by what was decided."""
        self._late_attempts[decision] += 1

    def rotate(self) -> None:
        """Start a new window for all quantiles."""
        for series in self._series.values():
            series.rotate()

    def text(self, load: HostLoad) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [line for timing in Timing for line in self._timing_lines(timing)]
        lines.extend(_heading("refusals_total", "counter", "Refusals by result code."))
        lines.extend(
            f'currantwell_refusals_total{{code="{code.name}"}} {count}'
            for code, count in sorted(self._refusals.items())
        )
        lines.extend(_heading("answers_total", "counter", "Answers by outcome."))
        lines.extend(
            f'currantwell_answers_total{{outcome="{outcome}"}} {count}'
            for outcome, count in sorted(self._answers.items())
        )
        meaning = "Attempts that would end after the deadline, by decision."
        lines.extend(_heading("late_attempts_total", "counter", meaning))
        lines.extend(
            f'currantwell_late_attempts_total{{decision="{decision}"}} {count}'
            for decision, count in sorted(self._late_attempts.items())
        )
        meaning = "Jobs ended, by kind, upper bound of the work and outcome."
        lines.extend(_heading("jobs_ended_total", "counter", meaning))
        lines.extend(
            f'currantwell_jobs_ended_total{{kind="{kind}",core_s="{size_core_s:g}",'
            f'outcome="{end.name}"}} {count}'
            for (kind, size_core_s, end), count in self.outcomes.counts().items()
        )
        for name, (meaning, label, values) in self._counters.items():
            lines.extend(_heading(name, "counter", meaning))
            lines.extend(
                f'currantwell_{name}{{{label}="{kind}"}} {count}'
                for kind, count in sorted(values().items())
            )
        gauges = tuple(
            (name, "gauge", meaning, value())
            for name, (meaning, value) in self._gauges.items()
        )
        for name, kind, meaning, number in (*_load_metrics(load), *gauges):
            lines.extend(_heading(name, kind, meaning))
            lines.append(f"currantwell_{name} {number}")
        return "\n".join(lines) + "\n"

    def _timing_lines(self, timing: Timing) -> Iterator[str]:
        label, meaning = timing.value
        name = f"{label}_seconds"
        series = self._series[timing]
        yield from _heading(name, "summary", meaning)
        for quantile, time_s in zip(QUANTILES, series.quantiles_s(), strict=True):
            yield f'currantwell_{name}{{quantile="{quantile}"}} {time_s}'
        yield f"currantwell_{name}_sum {series.sum_s}"
        yield f"currantwell_{name}_count {series.count}"


class MeasuredJobLog:
    """A job log that measures the duration of its commits.

    Parameters
    ----------
    job_log : JobLog
        The job log that does the work.
    metrics : Metrics
        Records the durations.
    """

    def __init__(self, job_log: JobLog, metrics: Metrics) -> None:
        self._job_log = job_log
        self._metrics = metrics

    def recover(self) -> Iterator[Record]:
        """Iterate over the records committed earlier, oldest first."""
        return self._job_log.recover()

    def second_copy_missing(self) -> bool:
        """Return whether fewer hosts hold a copy than a new job requires."""
        return self._job_log.second_copy_missing()

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return recovered jobs that may be on too few hosts to report on them."""
        return self._job_log.unconfirmed_jobs()

    def confirmed_age_s(self) -> float:
        """Return the seconds since a read barrier last ruled out a newer view."""
        return self._job_log.confirmed_age_s()

    async def confirm_primary(self) -> None:
        """Return once it is certain that no newer view took over before the call."""
        await self._job_log.confirm_primary()

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are durable on every copy of the view."""
        started_s = now_s()
        await self._job_log.commit(records)
        self._metrics.observe(Timing.COMMIT, now_s() - started_s)


class LoopMonitor:
    """The service that measures the lag of the event loop and rotates the windows.

    Parameters
    ----------
    metrics : Metrics
        Records the durations.
    """

    name = ServiceName("loop-monitor")

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Measure until cancelled."""
        task_status.started()
        window_end_s = now_s() + WINDOW_S
        while True:
            due_s = now_s() + LAG_INTERVAL_S
            await trio.sleep_until(due_s)
            self._metrics.observe(Timing.LOOP_LAG, now_s() - due_s)
            if now_s() >= window_end_s:
                self._metrics.rotate()
                window_end_s += WINDOW_S

    async def drain(self) -> None:
        """No-op: there is no work in progress to finish."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TIME_S * TICKS_PER_S, SIGNIFICANT_DIGITS)


def _heading(name: str, kind: str, meaning: str) -> tuple[str, str]:
    full_name = f"currantwell_{name}"
    return f"# HELP {full_name} {meaning}", f"# TYPE {full_name} {kind}"


def _load_metrics(load: HostLoad) -> tuple[tuple[str, str, str, int], ...]:
    return (
        ("starts_total", "counter", "Starts sent to endpoints.", load.starts),
        ("wasted_total", "counter", "Starts refused by endpoints.", load.wasted),
        ("endpoints", "gauge", "Endpoints known.", load.endpoints),
        ("slots", "gauge", "Slots of all endpoints.", load.slots),
        ("tasks_running", "gauge", "Tasks started and not ended.", load.running),
        ("tasks_waiting", "gauge", "Tasks that wait.", load.waiting),
    )
