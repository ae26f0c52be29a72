"""The policies that a host dispatches by, put together."""

import random

from .admission import DeadlineAdmission, ShortQueueAdmission
from .ejection import OutlierEjection
from .estimates import LearntEstimates
from .ordering import FairOrdering
from .placement import TailAwarePlacement
from .presets import FixedPreset, PresetSource
from .quotas import QuotaSource
from .retry_budgets import TokenBudget
from .scheduler import Policies, Scheduler
from .stragglers import RestartStragglers
from .target_time_ordering import TargetTimeOrdering

__all__ = ["dispatch_policies", "dispatch_scheduler", "interactive_scheduler"]

# Declared run times are off by a factor of 1.5, alike for the tasks of a job: the mean
# of so many by 1.2. An endpoint of three slots ends as many in two or three seconds.
PROMPT_SPEED_MEMORY_TASKS = 24


def dispatch_policies(
    presets: PresetSource, quotas: QuotaSource, source: random.Random
) -> Policies:
    """Return the policies of a host.

    Parameters
    ----------
    presets : PresetSource
        Knows the preset in force.
    quotas : QuotaSource
        Knows the quotas of teams.
    source : random.Random
        Where jitter comes from.
    """
    estimates = LearntEstimates()
    return Policies(
        TailAwarePlacement(),
        FairOrdering(quotas),
        DeadlineAdmission(estimates, presets, quotas),
        estimates,
        OutlierEjection(),
        TokenBudget(source),
        RestartStragglers(estimates),
    )


def dispatch_scheduler(
    presets: PresetSource, quotas: QuotaSource, source: random.Random
) -> Scheduler:
    """Return a scheduler with the policies of a host."""
    return Scheduler(dispatch_policies(presets, quotas, source), presets)


def interactive_scheduler(max_wait_s: float, source: random.Random) -> Scheduler:
    """Return a scheduler for jobs whose callers wait for the answer.

    Parameters
    ----------
    max_wait_s : float
        A job that would wait longer is refused.
    source : random.Random
        Where jitter comes from.
    """
    estimates = LearntEstimates(PROMPT_SPEED_MEMORY_TASKS)
    policies = Policies(
        TailAwarePlacement(cap_long=False),
        TargetTimeOrdering(),
        ShortQueueAdmission(max_wait_s),
        estimates,
        OutlierEjection(),
        TokenBudget(source),
        RestartStragglers(estimates),
    )
    return Scheduler(policies, FixedPreset())
