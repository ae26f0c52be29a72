"""Scheduling benchmark: runs policies on the same arrivals and tabulates results."""

import dataclasses
import math
import random
import statistics
from collections.abc import Callable, Sequence
from typing import Any

from .admission import AdmitAll, DeadlineAdmission
from .baselines import (
    LeastLoaded,
    PowerOfTwoChoices,
    RandomChoice,
    RoundRobin,
    baseline_policies,
)
from .bench_loads import WARM_UP_S, Load, make_load
from .bench_run import JobOutcome, RunFigures, run_load
from .codes import ResultCode
from .dispatch_policies import dispatch_policies
from .ejection import NoEjection
from .estimates import DeclaredEstimates
from .ideal_response import ideal_response_s
from .ordering import FairOrdering
from .placement import TailAwarePlacement
from .policies import Ordering, Placement
from .presets import ORDINARY, FixedPreset, Preset
from .quotas import EqualQuotas
from .retry_budgets import UnlimitedBudget
from .scheduler import Policies, Scheduler
from .stragglers import NoRestarts

__all__ = [
    "ABLATIONS",
    "POLICIES",
    "Measures",
    "Summary",
    "measure",
    "run_bench",
    "table",
]

SHORT_TASK_S = 1.0

PolicyMaker = Callable[[Preset, random.Random], Policies]


def _host_policies(preset: Preset, source: random.Random) -> Policies:
    return dispatch_policies(FixedPreset(preset), EqualQuotas(), source)


POLICIES: dict[str, PolicyMaker] = {
    "currantwell": _host_policies,
    "random": lambda preset, source: baseline_policies(RandomChoice(source)),
    "round-robin": lambda preset, source: baseline_policies(RoundRobin()),
    "least-loaded": lambda preset, source: baseline_policies(LeastLoaded()),
    "two-choices": lambda preset, source: baseline_policies(PowerOfTwoChoices(source)),
}


def _without(**changes: Any) -> PolicyMaker:
    """Return a maker of the host's policies with some of them replaced."""

    def make(preset: Preset, source: random.Random) -> Policies:
        return dataclasses.replace(_host_policies(preset, source), **changes)

    return make


def _without_estimates(preset: Preset, source: random.Random) -> Policies:
    policies = _host_policies(preset, source)
    declared = DeclaredEstimates()
    admission = DeadlineAdmission(declared, FixedPreset(preset), EqualQuotas())
    return dataclasses.replace(policies, estimates=declared, admission=admission)


def _with_ordering(make_ordering: Callable[[], Ordering]) -> PolicyMaker:
    def make(preset: Preset, source: random.Random) -> Policies:
        return dataclasses.replace(
            _host_policies(preset, source), ordering=make_ordering()
        )

    return make


def _with_placement(make_placement: Callable[[], Placement]) -> PolicyMaker:
    def make(preset: Preset, source: random.Random) -> Policies:
        return dataclasses.replace(
            _host_policies(preset, source), placement=make_placement()
        )

    return make


ABLATIONS: dict[str, PolicyMaker] = {
    "no-learnt-estimates": _without_estimates,
    "no-ranks": _with_ordering(lambda: FairOrdering(EqualQuotas(), stretch=0.0)),
    "no-shares": _with_ordering(lambda: FairOrdering(None)),
    "no-longest-first": _with_ordering(
        lambda: FairOrdering(EqualQuotas(), longest_first=False)
    ),
    "no-tail-placement": _with_placement(LeastLoaded),
    "no-slack": _with_placement(lambda: TailAwarePlacement(use_slack=False)),
    "no-wait-faster": _with_placement(lambda: TailAwarePlacement(wait_faster=False)),
    "no-long-share": _with_placement(lambda: TailAwarePlacement(cap_long=False)),
    "no-admission": _without(admission=AdmitAll()),
    "no-ejection": _without(ejection=NoEjection()),
    "no-retry-budget": _without(retries=UnlimitedBudget()),
    "no-restarts": _without(stragglers=NoRestarts()),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one run.

    Parameters
    ----------
    ratio_mean, ratio_p99 : float
        Mean and 99th percentile of response time over ideal response time, of
        complete jobs.
    busy : float
        Share of slot time in use.
    wasted : float
        Wasted messages per useful start.
    in_time : float
        Share of accepted jobs answered completely before the deadline, without
        jobs that their callers cancelled.
    accepted : float
        Share of jobs that passed admission.
    goodput : float
        Work of jobs answered in time over capacity.
    short_wait_p99_s : float
        99th percentile of the seconds that short tasks wait.
    failed : int
        Number of failed jobs.
    """

    ratio_mean: float
    ratio_p99: float
    busy: float
    wasted: float
    in_time: float
    accepted: float
    goodput: float
    short_wait_p99_s: float
    failed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Mean, minimum and maximum of a measure over seeds."""

    mean: float
    low: float
    high: float


def _percentile(values: Sequence[float], share: float) -> float:
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else math.nan


def ideals_s(load: Load) -> dict[str, float]:
    """Return the ideal response time of each job of a load."""
    speeds = [worker.speed for worker in load.workers]
    slots = load.workers[0].slots
    return {job.id: ideal_response_s(job.run_s, speeds, slots) for job in load.jobs}


def measure(
    load: Load,
    figures: RunFigures,
    ideals: dict[str, float],
    warm_up_s: float = WARM_UP_S,
) -> Measures:
    """Compute the measures of a run from the jobs that arrived after the warm-up."""
    counted = [o for o in figures.outcomes if o.job.at_s >= warm_up_s]
    accepted = [o for o in counted if o.refused is None]
    not_cancelled = [o for o in accepted if o.code is not ResultCode.JOB_CANCELLED]
    ratios = [
        o.response_s / ideals[o.job.id]
        for o in not_cancelled
        if o.code is ResultCode.COMPLETE and o.job.team != "flooder"
    ]
    seconds = load.end_s - warm_up_s
    slots = sum(worker.slots for worker in load.workers)
    waits = [
        wait_s
        for at_s, run_s, wait_s in figures.waits_s
        if at_s >= warm_up_s and run_s <= SHORT_TASK_S
    ]
    return Measures(
        ratio_mean=_mean(ratios),
        ratio_p99=_percentile(ratios, 0.99),
        busy=figures.busy_s / slots / load.end_s,
        wasted=figures.wasted / max(1, figures.useful),
        in_time=sum(o.in_time for o in not_cancelled) / max(1, len(not_cancelled)),
        accepted=len(accepted) / max(1, len(counted)),
        goodput=_goodput(counted, load.capacity * seconds),
        short_wait_p99_s=_percentile(waits, 0.99),
        failed=sum(o.code is ResultCode.JOB_FAILED for o in not_cancelled),
    )


def _goodput(outcomes: Sequence[JobOutcome], capacity_s: float) -> float:
    return sum(sum(o.job.run_s) for o in outcomes if o.in_time) / capacity_s


def run_once(load: Load, policy: PolicyMaker, preset: Preset, seed: int) -> RunFigures:
    """Run one policy on one load."""
    policies = policy(preset, random.Random(seed))
    return run_load(load, Scheduler(policies, FixedPreset(preset)))


def run_bench(
    load_name: str,
    policies: dict[str, PolicyMaker],
    seeds: Sequence[int],
    seconds: float,
    preset: Preset = ORDINARY,
) -> dict[str, list[Measures]]:
    """Run every policy on the same arrivals for each seed.

    Parameters
    ----------
    load_name : str
        One of `LOADS`.
    policies : dict
        Policy makers by name.
    seeds : sequence of int
        Seeds of the loads and of randomized policies.
    seconds : float
        Time in seconds during which jobs arrive, including the warm-up.
    preset : Preset
        The active preset.

    Returns
    -------
    dict
        Measures by policy name, one per seed.
    """
    results: dict[str, list[Measures]] = {name: [] for name in policies}
    for seed in seeds:
        load = make_load(load_name, seed, seconds)
        ideals = ideals_s(load)
        for name, policy in policies.items():
            figures = run_once(load, policy, preset, seed)
            results[name].append(measure(load, figures, ideals))
    return results


def summary(measures: Sequence[Measures], field: str) -> Summary:
    """Return the mean, minimum and maximum of a measure."""
    values = [float(getattr(run, field)) for run in measures]
    return Summary(_mean(values), min(values), max(values))


def table(load_name: str, results: dict[str, list[Measures]]) -> str:
    """Return the measures of a load as a Markdown table."""
    fields = [field.name for field in dataclasses.fields(Measures)]
    lines = [
        f"### {load_name}",
        "",
        "| policy | " + " | ".join(fields) + " |",
        "|---" * (len(fields) + 1) + "|",
    ]
    for name, measures in results.items():
        cells = [_cell(summary(measures, field)) for field in fields]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(cell_summary: Summary) -> str:
    if cell_summary.low == cell_summary.high:
        return f"{cell_summary.mean:.4g}"
    return (
        f"{cell_summary.mean:.4g} ({cell_summary.low:.4g} to {cell_summary.high:.4g})"
    )
