"""Until when the runs on an endpoint may go on, for the lease that they share.

No I/O and no clock: the caller passes the time, and forgets a run once it is over.

Invariant: a lease that counts from `earliest_s` at the latest ends each run at most one
lease after its limit, although one lease keeps all runs of an endpoint.
"""

import math
from collections.abc import Hashable, Set
from typing import Generic, TypeVar

__all__ = ["RunLimits"]

_Run = TypeVar("_Run", bound=Hashable)


class RunLimits(Generic[_Run]):
    """The limits of the runs that may be on an endpoint."""

    def __init__(self) -> None:
        self._limits_s: dict[_Run, float] = {}
        self._stopped: set[_Run] = set()
        self._startable_until_ms: dict[_Run, int] = {}

    @property
    def runs(self) -> Set[_Run]:
        """The runs that may be on the endpoint."""
        return self._limits_s.keys()

    @property
    def earliest_s(self) -> float:
        """Earliest limit of any run, infinite if there is none."""
        return min(self._limits_s.values(), default=math.inf)

    def add(self, run: _Run, limit_s: float, startable_until_ms: int) -> None:
        """Add a run whose start is sent.

        Parameters
        ----------
        run : hashable
            The run.
        limit_s : float
            Time until which it may go on.
        startable_until_ms : int
            Time on the endpoint's clock from which the endpoint refuses its start.
        """
        self._limits_s[run] = limit_s
        self._startable_until_ms[run] = startable_until_ms

    def stop(self, run: _Run, now_s: float) -> None:
        """Lower the limit of a run to the present, since its stop is decided."""
        self._limits_s[run] = min(self._limits_s.get(run, math.inf), now_s)
        self._stopped.add(run)

    def forget(self, run: _Run) -> None:
        """Remove a run that is over."""
        self._limits_s.pop(run, None)
        self._stopped.discard(run)
        self._startable_until_ms.pop(run, None)

    def unstopped(self, now_s: float) -> list[_Run]:
        """Return the runs whose limit has passed and whose stop is not decided."""
        return [
            run
            for run, limit_s in self._limits_s.items()
            if limit_s <= now_s and run not in self._stopped
        ]

    def unstartable(self, clock_ms: int) -> set[_Run]:
        """Return the runs that the endpoint starts no more, if it has not yet."""
        return {
            run
            for run, until_ms in self._startable_until_ms.items()
            if until_ms < clock_ms
        }

    def is_overdue(self, now_s: float, tolerance_s: float) -> bool:
        """Return whether the limit of a run passed longer ago than a tolerance."""
        return self.earliest_s < now_s - tolerance_s
