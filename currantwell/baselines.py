"""Simple baseline policies that the bench compares with."""

import random
from collections.abc import Sequence

from .admission import AdmitAll
from .ejection import NoEjection
from .endpoint_load import EndpointLoad
from .estimates import DeclaredEstimates
from .ordering import FifoOrdering
from .policies import Choice, Placement, Reason
from .presets import Preset
from .retry_budgets import UnlimitedBudget
from .scheduler import Policies
from .scheduler_types import WaitingTask
from .stragglers import NoRestarts

__all__ = [
    "LeastLoaded",
    "PowerOfTwoChoices",
    "RandomChoice",
    "RoundRobin",
    "baseline_policies",
]


class _StatelessPlacement:
    """Base of placements that need no preparation for a round of choices."""

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """No-op: each choice depends on its candidates alone."""


def _busy_share(endpoint: EndpointLoad) -> float:
    return len(endpoint.running) / endpoint.announcement.slots


class LeastLoaded(_StatelessPlacement):
    """Places a task at the endpoint with the smallest share of busy slots."""

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the least loaded endpoint."""
        return Choice(min(candidates, key=_busy_share), Reason.POLICY_CHOICE)


class RandomChoice(_StatelessPlacement):
    """Places a task at a random endpoint with free capacity.

    Parameters
    ----------
    source : random.Random
        Source of the random choices.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose a random endpoint."""
        return Choice(self._random.choice(candidates), Reason.POLICY_CHOICE)


class RoundRobin(_StatelessPlacement):
    """Places tasks at the endpoints in turn."""

    def __init__(self) -> None:
        self._last_id = ""

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the endpoint whose id follows that of the last choice."""
        later = [load for load in candidates if load.id > self._last_id]
        load = min(later or candidates, key=lambda load: load.id)
        self._last_id = load.id
        return Choice(load, Reason.POLICY_CHOICE)


class PowerOfTwoChoices(_StatelessPlacement):
    """Places a task at the less loaded of two endpoints selected at random.

    Parameters
    ----------
    source : random.Random
        Source of the random choices.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the less loaded of two random endpoints."""
        pair = self._random.choice(candidates), self._random.choice(candidates)
        return Choice(min(pair, key=_busy_share), Reason.POLICY_CHOICE)


def baseline_policies(placement: Placement) -> Policies:
    """Return policies with a given placement, in order of arrival, without limits."""
    return Policies(
        placement,
        FifoOrdering(),
        AdmitAll(),
        DeclaredEstimates(),
        NoEjection(),
        UnlimitedBudget(),
        NoRestarts(),
    )
