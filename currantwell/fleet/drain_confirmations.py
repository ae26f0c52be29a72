"""Which drains another control host has, so that they can be acknowledged.

Invariant: a drain counts as confirmed only after another control host has sent back a
report of the same process that says so.
"""

import trio

from ..ids import EndpointId
from .messages import EndpointReport

__all__ = ["DrainConfirmations"]


class DrainConfirmations:
    """The draining endpoints that another control host has reported too."""

    def __init__(self) -> None:
        self._confirmed: dict[EndpointId, int] = {}
        self._waiting: dict[EndpointId, trio.Event] = {}

    def add(self, report: EndpointReport) -> None:
        """Note a report that another control host sent."""
        if not report.announcement.draining:
            return
        endpoint = report.announcement.endpoint
        born_unix_ms = max(report.born_unix_ms, self._confirmed.get(endpoint, 0))
        self._confirmed[endpoint] = born_unix_ms
        waiting = self._waiting.pop(endpoint, None)
        if waiting is not None:
            waiting.set()

    def discard(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that has left or is unresponsive."""
        self._confirmed.pop(endpoint, None)
        self._waiting.pop(endpoint, None)

    def contains(self, report: EndpointReport) -> bool:
        """Return whether another control host has the drain of a report."""
        born_unix_ms = self._confirmed.get(report.announcement.endpoint)
        return born_unix_ms is not None and born_unix_ms >= report.born_unix_ms

    async def wait(self, report: EndpointReport, timeout_s: float) -> bool:
        """Wait for a confirmation of a drain; return whether there is one in time."""
        endpoint = report.announcement.endpoint
        with trio.move_on_after(timeout_s):
            while not self.contains(report):
                await self._waiting.setdefault(endpoint, trio.Event()).wait()
        return self.contains(report)
