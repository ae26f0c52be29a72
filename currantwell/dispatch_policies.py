"""Builds the sets of policies with which hosts dispatch."""

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

# Declared run times are off by a factor of 1.5, equally for all tasks of a job; their
# mean over 24 tasks is off by 1.2. An endpoint of three slots ends so many tasks in two
# to three seconds.
INTERACTIVE_SPEED_WINDOW_TASKS = 24


def dispatch_policies(
    presets: PresetSource, quotas: QuotaSource, source: random.Random
) -> Policies:
    """Return the policies of a host.

    Parameters
    ----------
    presets : PresetSource
        Source of the preset in force.
    quotas : QuotaSource
        Source of the quotas of teams.
    source : random.Random
        Source of jitter.
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
        Maximum estimated wait in seconds; a job that would wait longer is refused.
    source : random.Random
        Source of jitter.
    """
    estimates = LearntEstimates(INTERACTIVE_SPEED_WINDOW_TASKS)
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
