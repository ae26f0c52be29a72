"""The clocks of the process: the runtime's monotonic clock and the calendar clock."""

import time
from typing import Protocol

import trio

__all__ = ["CalendarClock", "SystemCalendar", "now_s"]


def now_s() -> float:
    """Return the time on the runtime's clock; tests can pause and advance it."""
    return trio.current_time()


class CalendarClock(Protocol):
    """A source of calendar time, for points in time that are stored durably."""

    def unix_s(self) -> float:
        """Return the calendar time, in seconds since 1970."""
        ...


class SystemCalendar:
    """The machine's calendar time, advanced by the runtime's clock.

    The machine's time is read only once and then advances with the runtime's clock,
    so that a jump of the machine's time shifts no deadline and tests can pause it.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def unix_s(self) -> float:
        """Return the calendar time, in seconds since 1970."""
        if self._offset_s is None:
            self._offset_s = time.time() - now_s()
        return self._offset_s + now_s()
