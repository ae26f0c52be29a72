"""What endpoints say of themselves to the control hosts.

Invariant: of two reports on one endpoint the later one counts, whatever the order in
which they come.

The registry is kept in a file, so that after a restart of all hosts dispatch goes on
before each endpoint has said something anew. The file is a hint that is never synced: a
lost or damaged one costs one interval of heartbeats.
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import msgspec
import trio

from .. import events
from ..ids import EndpointId
from .messages import EndpointReport

__all__ = ["EndpointRegistry", "FileHintStore", "HintStore", "MemoryHintStore"]

# Four heartbeats of 1.5 s; an endpoint that dispatchers still reach is kept by them.
FORGET_AFTER_S = 6.0


class HintStore(Protocol):
    """Keeps bytes that may get lost."""

    def load(self) -> bytes | None:
        """Return what was kept last, if it is still there."""
        ...

    async def save(self, data: bytes) -> None:
        """Keep bytes in the place of the earlier ones."""
        ...


class MemoryHintStore:
    """A hint that lasts as long as its object."""

    def __init__(self) -> None:
        self._data: bytes | None = None

    def load(self) -> bytes | None:
        """Return what was kept last."""
        return self._data

    async def save(self, data: bytes) -> None:
        """Keep bytes in the place of the earlier ones."""
        self._data = data


class FileHintStore:
    """A hint in a file that is never synced.

    Parameters
    ----------
    path : Path
        The file, in a folder that exists.
    """

    def __init__(self, path: Path) -> None:
        self._path = path

    def load(self) -> bytes | None:
        """Return what was kept last, if it is still there."""
        try:
            return self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            events.HINT_UNAVAILABLE.log(path=self._path, error=str(error))
            return None

    async def save(self, data: bytes) -> None:
        """Keep bytes in the place of the earlier ones."""
        try:
            await trio.to_thread.run_sync(self._path.write_bytes, data)
        except OSError as error:
            events.HINT_UNAVAILABLE.log(path=self._path, error=str(error))


_decoder = msgspec.msgpack.Decoder(tuple[EndpointReport, ...])


class EndpointRegistry:
    """The newest report of each endpoint.

    Parameters
    ----------
    hint : HintStore
        Where the reports are kept over a restart.
    now_s : float
        From when endpoints that were kept count as heard.
    """

    def __init__(self, hint: HintStore, now_s: float) -> None:
        self._hint = hint
        self._reports: dict[EndpointId, EndpointReport] = {}
        self._heard_s: dict[EndpointId, float] = {}
        self._left: dict[EndpointId, EndpointReport] = {}
        for report in _decode(hint.load()):
            self._reports[report.announcement.endpoint] = report
            self._heard_s[report.announcement.endpoint] = now_s

    @property
    def reports(self) -> Iterable[EndpointReport]:
        """The newest report of each endpoint that is known."""
        return self._reports.values()

    def record_report(self, report: EndpointReport, now_s: float) -> bool:
        """Take in a report; tell whether it says anything that dispatchers lack."""
        endpoint = report.announcement.endpoint
        known = self._reports.get(endpoint)
        gone = self._left.get(endpoint)
        if gone is not None and gone.born_unix_ms >= report.born_unix_ms:
            return False
        if known is not None and known.sort_key() >= report.sort_key():
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

    def record_heartbeats(self, endpoints: Iterable[EndpointId], now_s: float) -> None:
        """Note that another control host heard endpoints."""
        for endpoint in endpoints:
            if endpoint in self._reports:
                self._heard_s[endpoint] = now_s

    async def save(self) -> None:
        """Keep the reports for the next start."""
        await self._hint.save(msgspec.msgpack.encode(tuple(self._reports.values())))

    def remove_unresponsive(self, now_s: float) -> tuple[EndpointId, ...]:
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


def _decode(data: bytes | None) -> tuple[EndpointReport, ...]:
    if data is None:
        return ()
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        events.HINT_UNAVAILABLE.log(error=str(error))
        return ()
