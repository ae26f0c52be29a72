"""Quotas of teams."""

from typing import Protocol

import msgspec

from .decoding import Integer
from .ids import Team

__all__ = ["DEFAULT_QUOTA", "EqualQuotas", "Quota", "QuotaSource"]


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a team.

    Parameters
    ----------
    weight : float
        Weight of the team in the division of slots among teams with waiting tasks.
    max_waiting : int
        Maximum number of its tasks that may wait at the same time.
    """

    weight: float = 1.0
    max_waiting: Integer = 5_000


DEFAULT_QUOTA = Quota()


class QuotaSource(Protocol):
    """Provides the quota of each team."""

    def quota(self, team: Team) -> Quota:
        """Return the quota of a team."""
        ...


class EqualQuotas:
    """Provides the default quota for every team."""

    def quota(self, team: Team) -> Quota:
        """Return the default quota."""
        return DEFAULT_QUOTA
