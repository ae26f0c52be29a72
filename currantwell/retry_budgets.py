"""Retry budgets: token buckets that limit the retries of each team.

A retry costs one token. Each first start of a team adds a share of a token, and
tokens are also refilled at a low rate, so that retries stay a small share of useful
starts however many starts fail at once.
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
class _TokenBucket:
    """Token bucket of one team, last refilled at `refilled_at_s`."""

    tokens: float
    refilled_at_s: float


class TokenBudget:
    """A token bucket for each team, and an exponential backoff with jitter.

    Parameters
    ----------
    source : random.Random
        Source of the jitter.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._buckets: dict[Team, _TokenBucket] = {}

    def credit(self, task: WaitingTask, share: float) -> None:
        """Credit a first start with a share of a retry token."""
        bucket = self._buckets.get(task.team)
        if bucket is not None:
            bucket.tokens = min(MAX_TOKENS, bucket.tokens + share)

    def backoff_s(self, task: WaitingTask) -> float:
        """Return the delay in seconds before a retry requests a token.

        The delay is random between half of a bound and the bound, which doubles with
        each attempt.
        """
        bound_s = FIRST_BACKOFF_S * 2.0 ** min(10, max(0, task.attempt - 2))
        return min(MAX_BACKOFF_S, bound_s) * self._random.uniform(0.5, 1.0)

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Take a token for a retry; return False if the team has none."""
        bucket = self._buckets.get(task.team)
        if bucket is None:
            bucket = self._buckets[task.team] = _TokenBucket(MAX_TOKENS, now_s)
        refill = (now_s - bucket.refilled_at_s) * TOKENS_PER_S
        bucket.tokens = min(MAX_TOKENS, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True


class UnlimitedBudget:
    """Grants every retry without delay."""

    def credit(self, task: WaitingTask, share: float) -> None:
        """No-op: there are no tokens."""

    def backoff_s(self, task: WaitingTask) -> float:
        """Return no delay."""
        return 0.0

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Return True: every retry is granted."""
        return True
