"""When refused callers are told to come back.

Load pattern: a burst on a full service. If all callers that were refused in one instant
are told the same delay, they return in one instant and are refused again. Here they
return in the order in which they were refused, no faster than jobs have completed of
late, and not before the backlog that they were refused for has gone.

No I/O and no clock: the caller passes in the time.
"""

import math
from collections import deque

__all__ = ["ReturnSchedule"]

# Completions are counted over this time.
WINDOW_S = 2.0
# A service that has completed nothing of late is tried at this rate, per second.
MIN_RATE_PER_S = 1.0
# A caller that is told to wait for longer tries elsewhere or gives up.
MAX_RETRY_AFTER_S = 30.0


class ReturnSchedule:
    """Assigns each refused caller the time of its return."""

    def __init__(self) -> None:
        self._completed_s: deque[float] = deque()
        self._next_s = -math.inf

    def record_completion(self, now_s: float) -> None:
        """Count a job that was completed."""
        self._completed_s.append(now_s)
        self._drop_old(now_s)

    def retry_after_s(self, wait_s: float, now_s: float) -> float:
        """Return after which time a caller that is refused now is to return.

        Parameters
        ----------
        wait_s : float
            Shortest delay, such as the time that the backlog takes, in seconds.
        now_s : float
            Current time on the runtime's clock.
        """
        self._drop_old(now_s)
        rate_per_s = max(MIN_RATE_PER_S, len(self._completed_s) / WINDOW_S)
        latest_s = now_s + MAX_RETRY_AFTER_S
        return_s = min(latest_s, max(now_s + wait_s, self._next_s))
        self._next_s = min(latest_s, return_s + 1.0 / rate_per_s)
        return return_s - now_s

    def _drop_old(self, now_s: float) -> None:
        while self._completed_s and now_s - self._completed_s[0] > WINDOW_S:
            self._completed_s.popleft()
