"""Transfers configurations from control hosts to entry hosts, as changes and in parts.

A control host announces the version in force. An entry host that holds an older one
requests the changes from one of the control hosts, part by part: what it receives
depends on the change, not on the number of routes or of control hosts, and other
messages pass between the parts.

No I/O and no clock: the caller passes in messages and the current time, and sends the
messages that come back.

Invariants: the version held never decreases; a control host is asked for one part at a
time; a configuration is used only once it has arrived as a whole.
"""

import dataclasses
import random
import zlib
from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

from .. import events
from ..decoding import decode
from ..errors import MessageMalformed
from .messages import (
    ConfigurationAnnouncement,
    ConfigurationPart,
    ConfigurationRequest,
)
from .routes import NO_CONFIGURATION, Configuration, Route, Service

__all__ = [
    "ConfigurationChanges",
    "ConfigurationFetch",
    "ConfigurationHistory",
    "apply_changes",
    "changes_between",
]

# 28 ms on a link of 9.5 Mbit/s, for which other messages may have to wait.
PART_BYTES = 32 * 1024
# Hosts that hold one of these versions are sent changes, others all routes.
KEPT_VERSIONS = 4
KEPT_TRANSFERS = 8
# A transfer this large holds more routes than a control host accepts.
MAX_TRANSFER_BYTES = 8 * 1024 * 1024
MAX_DECODED_BYTES = 64 * 1024 * 1024
# Routes are repetitive: higher levels take several times as long and save little.
COMPRESSION_LEVEL = 1
# By then the control hosts of the same data centre have applied the version too.
GATHER_S = 0.02
# Then another control host is asked too; a part that comes later is still used.
FIRST_TIMEOUT_S = 0.4
# The timeout doubles up to this one, so that a link that is busy with other traffic
# does not carry ever more requests.
MAX_TIMEOUT_S = 1.6

Peer = TypeVar("Peer", bound=Hashable)
RouteKey = tuple[str, str]


class ConfigurationChanges(msgspec.Struct, frozen=True):
    """What turns one configuration into a later one.

    Parameters
    ----------
    base : int
        Version to which the changes apply; 0 if they hold the whole configuration.
    version : int
        Version that results.
    removed : tuple of (str, str)
        Host and path prefix of the routes that are gone.
    routes : tuple of Route
        Routes that are new or have changed.
    services : tuple of Service
        All pools of endpoints.
    max_body_bytes : int
        Largest request body accepted, in bytes.
    """

    base: int
    version: int
    removed: tuple[RouteKey, ...]
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    max_body_bytes: int


_decoder = msgspec.msgpack.Decoder(ConfigurationChanges)


def changes_between(old: Configuration, new: Configuration) -> ConfigurationChanges:
    """Return the changes that turn one configuration into another."""
    old_routes = _routes_by_key(old)
    new_routes = _routes_by_key(new)
    return ConfigurationChanges(
        old.version,
        new.version,
        tuple(key for key in old_routes if key not in new_routes),
        tuple(
            route for key, route in new_routes.items() if old_routes.get(key) != route
        ),
        new.services,
        new.max_body_bytes,
    )


def apply_changes(old: Configuration, changes: ConfigurationChanges) -> Configuration:
    """Return the configuration that results from changes.

    It has no ``source``, and its routes may be in another order.

    Raises
    ------
    ValueError
        If the changes apply to another version.
    """
    if changes.base not in (0, old.version):
        raise ValueError(f"changes of version {changes.base} against {old.version}")
    routes = _routes_by_key(old) if changes.base else {}
    for key in changes.removed:
        routes.pop(key, None)
    routes.update((_route_key(route), route) for route in changes.routes)
    return Configuration(
        changes.version,
        tuple(routes.values()),
        changes.services,
        changes.max_body_bytes,
    )


class ConfigurationHistory:
    """The latest configurations of a control host, and their encoded transfers."""

    def __init__(self) -> None:
        self._versions: dict[int, Configuration] = {0: NO_CONFIGURATION}
        self._newest = NO_CONFIGURATION
        self._transfers: dict[tuple[int, int], bytes] = {}

    def record(self, configuration: Configuration) -> bool:
        """Keep a configuration if it is the newest; return whether it is."""
        if configuration.version <= self._newest.version:
            return False
        self._newest = msgspec.structs.replace(configuration, source=b"")
        self._versions[configuration.version] = self._newest
        for version in sorted(self._versions)[1:-KEPT_VERSIONS]:
            del self._versions[version]
        return True

    def announcement(self, data_centre: str) -> ConfigurationAnnouncement:
        """Return the announcement of the newest version."""
        return ConfigurationAnnouncement(self._newest.version, data_centre)

    def part(self, request: ConfigurationRequest) -> ConfigurationPart:
        """Return the requested part.

        The first part of a transfer to the newest version if the request begins one, or
        names versions that are not kept.
        """
        key = (request.base, request.version)
        offset = request.offset
        if offset <= 0 or not self._versions.keys() >= set(key):
            base = request.held if request.held in self._versions else 0
            key = (base, self._newest.version)
            offset = 0
        transfer = self._transfer(key)
        return ConfigurationPart(
            key[0],
            key[1],
            offset,
            len(transfer),
            transfer[offset : offset + PART_BYTES],
        )

    def _transfer(self, key: tuple[int, int]) -> bytes:
        transfer = self._transfers.pop(key, None)
        if transfer is None:
            base, version = key
            changes = changes_between(self._versions[base], self._versions[version])
            transfer = zlib.compress(msgspec.msgpack.encode(changes), COMPRESSION_LEVEL)
        self._transfers[key] = transfer
        while len(self._transfers) > KEPT_TRANSFERS:
            del self._transfers[next(iter(self._transfers))]
        return transfer


@dataclasses.dataclass(slots=True)
class _Transfer(Generic[Peer]):
    """A transfer under way; ``version`` is 0 until the first part has arrived.

    ``peer`` was asked last, until ``deadline_s``; all of ``asked`` may still reply.
    """

    peer: Peer
    asked: set[Peer]
    deadline_s: float
    base: int = 0
    version: int = 0
    data: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(frozen=True, slots=True)
class _Announced:
    version: int
    data_centre: str


class ConfigurationFetch(Generic[Peer]):
    """Decides what an entry host requests from which control host.

    Parameters
    ----------
    data_centre : str
        Data centre of this host; its control hosts are preferred.

    Attributes
    ----------
    configuration : Configuration
        The configuration held, the highest version that has arrived.
    """

    def __init__(self, data_centre: str) -> None:
        self.configuration = NO_CONFIGURATION
        self._data_centre = data_centre
        self._random = random.Random()
        self._announced: dict[Peer, _Announced] = {}
        self._unresponsive: set[Peer] = set()
        self._transfer: _Transfer[Peer] | None = None
        self._timeout_s = FIRST_TIMEOUT_S
        self._start_s: float | None = None

    def add_announcement(
        self, peer: Peer, announcement: ConfigurationAnnouncement
    ) -> None:
        """Note the version in force at a control host."""
        self._announced[peer] = _Announced(
            announcement.version, announcement.data_centre
        )

    def remove_peer(self, peer: Peer) -> None:
        """Forget a control host whose channel has closed."""
        self._announced.pop(peer, None)
        self._unresponsive.discard(peer)
        if self._transfer is not None and self._transfer.peer == peer:
            self._transfer = None

    def newest_version(self) -> int:
        """Return the highest version that a control host has announced."""
        return max((seen.version for seen in self._announced.values()), default=0)

    def due_s(self, now_s: float) -> float | None:
        """Return when to call `next_request`, None if nothing is to be fetched."""
        if self._transfer is not None:
            return self._transfer.deadline_s
        if self.newest_version() <= self.configuration.version:
            self._start_s = None
            return None
        if self._start_s is None:
            self._start_s = now_s + GATHER_S
        return self._start_s

    def next_request(self, now_s: float) -> tuple[Peer, ConfigurationRequest] | None:
        """Return the first request of a transfer and its receiver, if one is due."""
        due_s = self.due_s(now_s)
        if due_s is None or now_s < due_s:
            return None
        transfer = self._transfer
        if transfer is not None:
            self._note_failure(transfer, transfer.peer, "no reply")
        peer = self._choose()
        self._start_s = None
        deadline_s = now_s + self._timeout_s
        if transfer is None:
            transfer = self._transfer = _Transfer(peer, {peer}, deadline_s)
        else:
            transfer.peer, transfer.deadline_s = peer, deadline_s
            transfer.asked.add(peer)
        return peer, self._request(transfer)

    def receive(
        self, peer: Peer, part: ConfigurationPart, now_s: float
    ) -> ConfigurationRequest | None:
        """Add a part; return the request for the next one, None if there is none.

        `configuration` has changed if it was the last part.
        """
        transfer = self._transfer
        if transfer is None or peer not in transfer.asked:
            return None
        if part.offset == 0 and part.version > transfer.version:
            if part.base not in (0, self.configuration.version):
                return None
            if part.version <= self.configuration.version:
                return None
            transfer.base, transfer.version = part.base, part.version
            transfer.data.clear()
        position = (transfer.base, transfer.version, len(transfer.data))
        if (part.base, part.version, part.offset) != position:
            return None
        transfer.data += part.data
        if part.data and len(transfer.data) < part.total <= MAX_TRANSFER_BYTES:
            transfer.peer, transfer.deadline_s = peer, now_s + self._timeout_s
            return self._request(transfer)
        self._finish(transfer, peer, part.total, now_s)
        return None

    def _request(self, transfer: _Transfer[Peer]) -> ConfigurationRequest:
        """Return the request for the next part of a transfer."""
        return ConfigurationRequest(
            self.configuration.version,
            transfer.base,
            transfer.version,
            len(transfer.data),
        )

    def _finish(
        self, transfer: _Transfer[Peer], peer: Peer, total_bytes: int, now_s: float
    ) -> None:
        """Use a transfer; one that can't be used is requested again after a pause."""
        self._transfer = None
        try:
            if len(transfer.data) != total_bytes:
                raise ValueError(f"{len(transfer.data)} of {total_bytes} bytes")
            changes = _decode(bytes(transfer.data))
            configuration = apply_changes(self.configuration, changes)
            if configuration.version != transfer.version:
                raise ValueError(f"version {configuration.version}")
        except (ValueError, zlib.error, MessageMalformed) as error:
            self._note_failure(transfer, peer, str(error))
            self._start_s = now_s + self._timeout_s
            return
        self._timeout_s = FIRST_TIMEOUT_S
        self._unresponsive.clear()
        self.configuration = configuration

    def _note_failure(self, transfer: _Transfer[Peer], peer: Peer, reason: str) -> None:
        events.CONFIGURATION_TRANSFER_FAILED.log(
            held=self.configuration.version,
            newest=self.newest_version(),
            received_bytes=len(transfer.data),
            timeout_s=self._timeout_s,
            reason=reason,
        )
        self._unresponsive.add(peer)
        self._timeout_s = min(2 * self._timeout_s, MAX_TIMEOUT_S)

    def _choose(self) -> Peer:
        """Return a control host that has the newest version, preferably a near one."""
        newest = self.newest_version()
        holders = [
            peer for peer, seen in self._announced.items() if seen.version == newest
        ]
        responsive = [peer for peer in holders if peer not in self._unresponsive]
        if not responsive:
            self._unresponsive.clear()
            responsive = holders
        near = [
            peer
            for peer in responsive
            if self._announced[peer].data_centre == self._data_centre
        ]
        return self._random.choice(near or responsive)


def _decode(data: bytes) -> ConfigurationChanges:
    decompressor = zlib.decompressobj()
    decoded = decompressor.decompress(data, MAX_DECODED_BYTES)
    if not decompressor.eof:
        raise ValueError("the transfer is truncated or too large")
    return decode(_decoder, decoded)


def _route_key(route: Route) -> RouteKey:
    return route.host, route.path_prefix


def _routes_by_key(configuration: Configuration) -> dict[RouteKey, Route]:
    return {_route_key(route): route for route in configuration.routes}
