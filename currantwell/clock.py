"""The clocks of the process: the runtime's own and the calendar's."""

import time
from typing import Protocol

import trio

__all__ = ["CalendarClock", "SystemCalendar", "now_s"]


def now_s() -> float:
    """Return the runtime's clock, in seconds; tests pause and advance it."""
    return trio.current_time()


class CalendarClock(Protocol):
    """Where durable points in time come from."""

    def unix_s(self) -> float:
        """Return seconds since 1970."""
        ...


class SystemCalendar:
    """The calendar of the machine, moved on by the runtime's clock.

    The machine's time is read once; from then on the runtime's clock counts, so
    that a jump of the machine's time moves no deadline and tests can pause it.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def unix_s(self) -> float:
        """Return seconds since 1970."""
        if self._offset_s is None:
            self._offset_s = time.time() - now_s()
        return self._offset_s + now_s()
