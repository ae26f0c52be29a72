"""What endpoints say of themselves to the control hosts.

Invariant: of two reports on one endpoint the later one counts, whatever the order in
which they come.
"""

from collections.abc import Iterable

from ..ids import EndpointId
from .messages import EndpointReport

__all__ = ["EndpointRegistry"]

# Four heartbeats of 1.5 s; an endpoint that dispatchers still reach is kept by them.
FORGET_AFTER_S = 6.0


class EndpointRegistry:
    """The newest report of each endpoint."""

    def __init__(self) -> None:
        self._reports: dict[EndpointId, EndpointReport] = {}
        self._heard_s: dict[EndpointId, float] = {}
        self._left: dict[EndpointId, EndpointReport] = {}

    @property
    def reports(self) -> Iterable[EndpointReport]:
        """The newest report of each endpoint that is known."""
        return self._reports.values()

    def take(self, report: EndpointReport, now_s: float) -> bool:
        """Take in a report; tell whether it says anything that dispatchers lack."""
        endpoint = report.announcement.endpoint
        known = self._reports.get(endpoint)
        gone = self._left.get(endpoint)
        if gone is not None and gone.born_unix_ms >= report.born_unix_ms:
            return False
        if known is not None and known.order() >= report.order():
            return False
        self._reports[endpoint] = report
        self._heard_s[endpoint] = now_s
        return known is None or (known.announcement, known.born_unix_ms) != (
            report.announcement,
            report.born_unix_ms,
        )

    def leave(self, endpoint: EndpointId) -> bool:
        """Forget an endpoint that said that it ends; tell whether it was known."""
        report = self._reports.pop(endpoint, None)
        self._heard_s.pop(endpoint, None)
        if report is not None:
            self._left[endpoint] = report
        return report is not None

    def forget_silent(self, now_s: float) -> tuple[EndpointId, ...]:
        """Forget and return the endpoints that were silent for too long."""
        silent = tuple(
            endpoint
            for endpoint, heard_s in self._heard_s.items()
            if now_s - heard_s > FORGET_AFTER_S
        )
        for endpoint in silent:
            del self._reports[endpoint]
            del self._heard_s[endpoint]
        return silent
