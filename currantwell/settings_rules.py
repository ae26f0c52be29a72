"""Checks that the settings of a host are consistent with each other."""

import dataclasses
import ipaddress
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from .auth import load_tokens
from .errors import SettingsInvalid
from .settings_schema import PeerSettings

__all__ = [
    "HOST_SECTION",
    "MIN_KEY_BYTES",
    "PEERS_SECTION",
    "Contradiction",
    "contradictions",
    "read_key",
]

HOST_SECTION = "host"
PEERS_SECTION = "peers"
MIN_KEY_BYTES = 32
DEFAULT_ADDRESS = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class Contradiction:
    """A value that is inconsistent with other settings.

    Parameters
    ----------
    section, key : str
        Section and key of the value.
    reason : str
        What is wrong.
    fix : str
        What the operator can do about it.
    """

    section: str
    key: str
    reason: str
    fix: str


def contradictions(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    """Yield inconsistencies between values that are each valid alone.

    Parameters
    ----------
    values : mapping
        Values by field name of ``HostSettings``; a value that could not be parsed
        is None or missing.
    """
    yield from _open_address(values)
    yield from _unknown_data_centres(values)
    yield from _missing_keys(values)
    yield from _peer_addresses(values)
    yield from _copies(values)
    yield from _files(values)


def read_key(path: Path) -> bytes:
    """Read the key that all hosts share.

    Raises
    ------
    OSError
        If the file can't be read.
    ValueError
        If it is shorter than `MIN_KEY_BYTES`.
    """
    key = path.read_bytes().strip()
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(f"holds {len(key)} bytes, fewer than {MIN_KEY_BYTES}")
    return key


def _open_address(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    address = values.get("address") or DEFAULT_ADDRESS
    if not ipaddress.ip_address(address).is_loopback and not values.get("tokens_file"):
        reason = f"{address} is open to others, and there is no tokens_file"
        yield Contradiction(HOST_SECTION, "address", reason, "set tokens_file")


def _unknown_data_centres(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    known = values.get("data_centres")
    if not known:
        return
    references = [(HOST_SECTION, "data_centre", values.get("data_centre"))]
    for host, peer in _peers(values).items():
        references.append((PEERS_SECTION, host, peer.data_centre))
    for section, key, name in references:
        if name and name not in known:
            reason = f"{name} is not among data_centres"
            yield Contradiction(section, key, reason, "add it there or mend the name")


def _missing_keys(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    peers, own = _peers(values), values.get("peer_address")
    if peers and not own:
        reason = "is missing beside [peers]"
        yield Contradiction(HOST_SECTION, "peer_address", reason, "add it")
    if (peers or own) and not values.get("key_file"):
        reason = "is missing beside peer_address or [peers]"
        fix = "make one with 'settings key' and share it"
        yield Contradiction(HOST_SECTION, "key_file", reason, fix)


def _peer_addresses(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    own = values.get("peer_address")
    used_by = {own: "this host"} if own else {}
    for host, peer in _peers(values).items():
        if host == values.get("host"):
            reason = "is this host itself"
            yield Contradiction(PEERS_SECTION, host, reason, "remove it")
        if peer.address in used_by:
            reason = f"{peer.address} is the address of {used_by[peer.address]} too"
            yield Contradiction(PEERS_SECTION, host, reason, "give each its own")
        used_by.setdefault(peer.address, host)


def _copies(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    copies, own_data_centre = values.get("copies") or 1, values.get("data_centre")
    local_peers = [
        peer for peer in _peers(values).values() if peer.data_centre == own_data_centre
    ]
    if copies > 1 + len(local_peers):
        reason = f"{copies} copies need {copies - 1} peer in {own_data_centre}"
        yield Contradiction(HOST_SECTION, "copies", reason, "add it or set copies = 1")


def _files(values: Mapping[str, Any]) -> Iterator[Contradiction]:
    if path := values.get("key_file"):
        try:
            read_key(path)
        except (OSError, ValueError) as error:
            fix = "make one with 'settings key' and share it"
            yield Contradiction(HOST_SECTION, "key_file", str(error), fix)
    if path := values.get("tokens_file"):
        try:
            load_tokens(path)
        except SettingsInvalid as error:
            fix = "write it with the lines of 'token new'"
            for problem in error.problems:
                yield Contradiction(HOST_SECTION, "tokens_file", problem, fix)
    folder = values.get("data_folder")
    if folder and folder.exists() and not folder.is_dir():
        reason = f"{folder} is not a folder"
        yield Contradiction(HOST_SECTION, "data_folder", reason, "name a folder")


def _peers(values: Mapping[str, Any]) -> dict[str, PeerSettings]:
    peers: dict[str, PeerSettings] = values.get("peers") or {}
    return peers
