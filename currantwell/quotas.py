"""Quotas of teams."""

from typing import Protocol

import msgspec

from .ids import Team

__all__ = ["DEFAULT_QUOTA", "EqualQuotas", "Quota", "QuotaSource"]


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a team may use.

    Parameters
    ----------
    weight : float
        Its share of the slots while others wait too, against other weights.
    max_waiting : int
        Most tasks that may wait at the same time.
    """

    weight: float = 1.0
    max_waiting: int = 5_000


DEFAULT_QUOTA = Quota()


class QuotaSource(Protocol):
    """Knows the quota of each team."""

    def quota(self, team: Team) -> Quota:
        """Return the quota of a team."""
        ...


class EqualQuotas:
    """The same quota for every team."""

    def quota(self, team: Team) -> Quota:
        """Return the default quota."""
        return DEFAULT_QUOTA
