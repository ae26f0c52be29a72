"""The registry of endpoint reports at a control host.

Invariant: of two reports of an endpoint the later one is kept, in whatever order they
arrive. This also holds for an endpoint that was removed in between: an older report
brings it back as last reported.

The registry is saved to a file, so that after a restart of all hosts dispatch resumes
before each endpoint has sent a heartbeat. The file is a hint that is never synced: if
it is lost or damaged, dispatch resumes one heartbeat interval later.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from .. import events
from ..decoding import decode
from ..errors import InvalidRequest, MessageMalformed
from ..ids import EndpointId
from .messages import Departure, EndpointReport, check_report

__all__ = [
    "Departures",
    "EndpointRegistry",
    "FileHintStore",
    "HintStore",
    "MemoryHintStore",
    "RemovedReports",
    "is_usable",
]

# Four heartbeats of 1.5 s. Dispatchers keep an endpoint that they still reach.
FORGET_AFTER_S = 6.0
# Several times the number of endpoints, at about 1 KB each.
MAX_REMOVED_REPORTS = 4_096
# A hundred times those of an ordinary day; all are sent as a channel begins.
MAX_DEPARTURES = 1_024


class HintStore(Protocol):
    """Best-effort storage of one value, which may get lost."""

    def load(self) -> bytes | None:
        """Return the last saved value, None if there is none or it was lost."""
        ...

    async def save(self, data: bytes) -> bool:
        """Replace the saved value; return whether it was saved.

        A value that is not saved leaves the previous one.
        """
        ...


class MemoryHintStore:
    """A hint store in memory."""

    def __init__(self) -> None:
        self._data: bytes | None = None

    def load(self) -> bytes | None:
        """Return the last saved value, if any."""
        return self._data

    async def save(self, data: bytes) -> bool:
        """Replace the saved value."""
        self._data = data
        return True


class FileHintStore:
    """A hint store in a file that is never synced.

    Parameters
    ----------
    path : Path
        Path of the file; its folder must exist.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._new_path = path.with_name(path.name + ".new")
        self._failing = False

    def load(self) -> bytes | None:
        """Return the content of the file, None if it can't be read."""
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            events.HINT_UNAVAILABLE.log(path=self._path, error=str(error))
            return None

    async def save(self, data: bytes) -> bool:
        """Replace the content of the file; only the first failure in turn is logged."""
        try:
            await trio.to_thread.run_sync(self._replace, data)
        except OSError as error:
            if not self._failing:
                events.HINT_UNAVAILABLE.log(path=self._path, error=str(error))
            self._failing = True
            return False
        self._failing = False
        return True

    def _replace(self, data: bytes) -> None:
        try:
            self._new_path.write_bytes(data)
            self._new_path.rename(self._path)
        except OSError:
            self._new_path.unlink(missing_ok=True)
            raise


_entries_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
_report_decoder = msgspec.msgpack.Decoder(EndpointReport)
_departure_decoder = msgspec.msgpack.Decoder(Departure)


class RemovedReports:
    """The last reports of endpoints that were removed, up to `MAX_REMOVED_REPORTS`.

    The ones that were removed first are dropped first.
    """

    def __init__(self) -> None:
        self._reports: dict[EndpointId, EndpointReport] = {}

    def add(self, report: EndpointReport) -> None:
        """Keep the last report of an endpoint that is removed."""
        endpoint = report.announcement.endpoint
        self._reports.pop(endpoint, None)
        self._reports[endpoint] = report
        if len(self._reports) > MAX_REMOVED_REPORTS:
            del self._reports[next(iter(self._reports))]

    def get(self, endpoint: EndpointId) -> EndpointReport | None:
        """Return the last report of a removed endpoint, if it is kept."""
        return self._reports.get(endpoint)

    def take_latest(self, report: EndpointReport) -> EndpointReport:
        """Return the later of a report and the kept one, which is no longer kept.

        A kept report of another process counts as over: its start time may be ahead of
        the one of a later process, and would hide that for good.
        """
        kept = self._reports.pop(report.announcement.endpoint, report)
        if kept.born_unix_ms != report.born_unix_ms:
            return report
        return max(report, kept, key=EndpointReport.sort_key)


class Departures:
    """The processes of endpoints that have left, up to `MAX_DEPARTURES`."""

    def __init__(self) -> None:
        self._born_unix_ms: dict[EndpointId, int] = {}

    def __iter__(self) -> Iterator[Departure]:
        return (Departure(*each) for each in list(self._born_unix_ms.items()))

    def add(self, departure: Departure) -> None:
        """Keep a departure; the one that was kept first is dropped first."""
        endpoint = departure.endpoint
        earlier = self._born_unix_ms.pop(endpoint, departure.born_unix_ms)
        self._born_unix_ms[endpoint] = max(earlier, departure.born_unix_ms)
        if len(self._born_unix_ms) > MAX_DEPARTURES:
            del self._born_unix_ms[next(iter(self._born_unix_ms))]

    def includes(self, report: EndpointReport) -> bool:
        """Return whether a report is of a process that has left."""
        born_unix_ms = self._born_unix_ms.get(report.announcement.endpoint)
        return born_unix_ms is not None and report.born_unix_ms <= born_unix_ms


class EndpointRegistry:
    """The latest report and heartbeat time of each endpoint.

    Parameters
    ----------
    hint : HintStore
        Keeps the reports across restarts.
    now_s : float
        Current time on the runtime's clock; endpoints loaded from the hint count as
        heard from at this time.
    """

    def __init__(self, hint: HintStore, now_s: float) -> None:
        self._hint = hint
        self._reports: dict[EndpointId, EndpointReport] = {}
        self._last_heartbeat_s: dict[EndpointId, float] = {}
        self._departures = Departures()
        self._forgotten = RemovedReports()
        for report in _decode(hint.load(), self._departures):
            self._reports[report.announcement.endpoint] = report
            self._last_heartbeat_s[report.announcement.endpoint] = now_s

    @property
    def reports(self) -> Iterable[EndpointReport]:
        """The latest report of each registered endpoint."""
        return self._reports.values()

    @property
    def departures(self) -> Iterable[Departure]:
        """The processes of endpoints that have left."""
        return self._departures

    def report(self, endpoint: EndpointId) -> EndpointReport | None:
        """Return the latest report of an endpoint, if it is registered."""
        return self._reports.get(endpoint)

    def born_unix_ms(self, endpoint: EndpointId) -> int:
        """Return the start time of an endpoint's process, 0 if it is not known.

        That of an endpoint that was removed as unresponsive is known for some time.
        """
        report = self._reports.get(endpoint) or self._forgotten.get(endpoint)
        return 0 if report is None else report.born_unix_ms

    def record_report(self, report: EndpointReport, now_s: float) -> bool:
        """Record a report; return whether `report` has an update for dispatchers.

        One with an invalid value is ignored, and logged.
        """
        if not is_usable(report):
            return False
        endpoint = report.announcement.endpoint
        previous = self._reports.get(endpoint)
        if self._departures.includes(report):
            return False
        if previous is not None and previous.sort_key() >= report.sort_key():
            return False
        if previous is None:
            report = self._forgotten.take_latest(report)
        self._reports[endpoint] = report
        self._last_heartbeat_s[endpoint] = now_s
        return previous is None or (previous.announcement, previous.born_unix_ms) != (
            report.announcement,
            report.born_unix_ms,
        )

    def remove(self, departure: Departure) -> bool:
        """Remove an endpoint that is shutting down; return whether it was registered.

        One that has started again since stays. Later reports of the process that has
        left are ignored, also after a restart of this host.
        """
        self._departures.add(departure)
        report = self._reports.get(departure.endpoint)
        if report is None or not self._departures.includes(report):
            return False
        del self._reports[departure.endpoint]
        self._last_heartbeat_s.pop(departure.endpoint, None)
        return True

    def record_heartbeats(self, endpoints: Iterable[EndpointId], now_s: float) -> None:
        """Record that another control host received heartbeats of endpoints."""
        for endpoint in endpoints:
            if endpoint in self._reports:
                self._last_heartbeat_s[endpoint] = now_s

    async def save(self) -> bool:
        """Save the registry to the hint store; return whether that was possible."""
        entries = (*self._departures, *self._reports.values())
        return await self._hint.save(msgspec.msgpack.encode(entries))

    def remove_unresponsive(self, now_s: float) -> tuple[EndpointId, ...]:
        """Remove and return the endpoints without a heartbeat for `FORGET_AFTER_S`."""
        unresponsive = tuple(
            endpoint
            for endpoint, last_heartbeat_s in self._last_heartbeat_s.items()
            if now_s - last_heartbeat_s > FORGET_AFTER_S
        )
        for endpoint in unresponsive:
            self._forgotten.add(self._reports.pop(endpoint))
            del self._last_heartbeat_s[endpoint]
        return unresponsive


def is_usable(report: EndpointReport) -> bool:
    """Return whether all values of a report are valid; log what is wrong otherwise.

    Another host may have accepted it by other rules.
    """
    try:
        check_report(report)
    except InvalidRequest as error:
        _log_odd_report(report.announcement.endpoint, error)
        return False
    return True


def _decode(data: bytes | None, departures: Departures) -> Iterator[EndpointReport]:
    """Yield the usable reports of a hint, and add its departures; log the others."""
    if data is None:
        return
    try:
        entries = decode(_entries_decoder, data)
    except MessageMalformed as error:
        events.HINT_UNAVAILABLE.log(error=str(error))
        return
    for entry in entries:
        try:
            departures.add(decode(_departure_decoder, bytes(entry)))
            continue
        except MessageMalformed:
            # It is a report then.
            pass
        try:
            report = decode(_report_decoder, bytes(entry))
        except MessageMalformed as error:
            _log_odd_report("", error)
            continue
        if is_usable(report) and not departures.includes(report):
            yield report


def _log_odd_report(endpoint: str, error: Exception) -> None:
    events.ENDPOINT_REPORT_IGNORED.log(endpoint=endpoint[:80], error=str(error))
