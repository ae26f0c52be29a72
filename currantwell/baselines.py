"""Baselines of dispatch, as other implementations of the policies' protocols."""

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


class _Plain:
    """A placement that prepares nothing."""

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """Prepare nothing."""


def _load(endpoint: EndpointLoad) -> float:
    return len(endpoint.running) / endpoint.announcement.slots


class LeastLoaded(_Plain):
    """Places a task at the endpoint with the smallest share of busy slots."""

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the least loaded endpoint."""
        return Choice(min(room, key=_load), Reason.POLICY_CHOICE)


class RandomChoice(_Plain):
    """Places a task at any endpoint with room.

    Parameters
    ----------
    source : random.Random
        Where the choice comes from.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose at random."""
        return Choice(self._random.choice(room), Reason.POLICY_CHOICE)


class RoundRobin(_Plain):
    """Places tasks at the endpoints in turn."""

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the endpoint whose id follows the last one's."""
        later = [load for load in room if load.id > self._last]
        load = min(later or room, key=lambda load: load.id)
        self._last = load.id
        return Choice(load, Reason.POLICY_CHOICE)


class PowerOfTwoChoices(_Plain):
    """Places a task at the less loaded of two endpoints picked at random.

    Parameters
    ----------
    source : random.Random
        Where the choice comes from.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose the less loaded of two."""
        pair = self._random.choice(room), self._random.choice(room)
        return Choice(min(pair, key=_load), Reason.POLICY_CHOICE)


def baseline_policies(placement: Placement) -> Policies:
    """Return policies that place in order of arrival and keep no one back."""
    return Policies(
        placement,
        FifoOrdering(),
        AdmitAll(),
        DeclaredEstimates(),
        NoEjection(),
        UnlimitedBudget(),
        NoRestarts(),
    )
