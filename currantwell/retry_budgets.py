"""Budgets of retries: what a retry costs and when it may start.

Each first start of a team earns a share of a token and each second gives a little,
so that retries stay a small share of useful starts however many starts fail at
once.
"""

import dataclasses
import random

from .ids import Team
from .scheduler_types import WaitingTask

__all__ = ["TokenBudget", "UnlimitedBudget"]

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 2.0
MAX_TOKENS = 50.0
TOKENS_PER_S = 2.0


@dataclasses.dataclass(slots=True)
class _Tokens:
    """Tokens of one team."""

    tokens: float
    at_s: float


class TokenBudget:
    """A bucket of retry tokens for each team, and a backoff with jitter.

    Parameters
    ----------
    source : random.Random
        Where the jitter comes from.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._teams: dict[Team, _Tokens] = {}

    def credit(self, task: WaitingTask, share: float) -> None:
        """Count a first start, which earns a share of a retry."""
        bucket = self._teams.get(task.team)
        if bucket is not None:
            bucket.tokens = min(MAX_TOKENS, bucket.tokens + share)

    def backoff_s(self, task: WaitingTask) -> float:
        """Return how long a retry waits, at random up to a doubling bound."""
        bound_s = FIRST_BACKOFF_S * 2.0 ** min(10, max(0, task.attempt - 2))
        return min(MAX_BACKOFF_S, bound_s) * self._random.uniform(0.5, 1.0)

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Take a token for a retry, if its team has one."""
        bucket = self._teams.get(task.team)
        if bucket is None:
            bucket = self._teams[task.team] = _Tokens(MAX_TOKENS, now_s)
        gained = (now_s - bucket.at_s) * TOKENS_PER_S
        bucket.tokens = min(MAX_TOKENS, bucket.tokens + gained)
        bucket.at_s = now_s
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True


class UnlimitedBudget:
    """Grants every retry at once."""

    def credit(self, task: WaitingTask, share: float) -> None:
        """Count nothing."""

    def backoff_s(self, task: WaitingTask) -> float:
        """Return no wait."""
        return 0.0

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Grant a retry."""
        return True
