"""Settings of a host, read from an INI file.

The fields of `HostSettings` define the keys of section ``host`` and their defaults;
`_KINDS` maps each field to the kind of its value. All problems of a file are reported
together.
"""

import configparser
import dataclasses
import difflib
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .errors import SettingsInvalid
from .ids import DataCentre, HostId
from .settings_rules import (
    HOST_SECTION,
    MIN_KEY_BYTES,
    PEERS_SECTION,
    contradictions,
    read_key,
)
from .settings_schema import (
    ADDRESS,
    IP_NUMBER,
    NAME,
    NAMES,
    PATH,
    PEER,
    Kind,
    PeerSettings,
    integer,
    number,
)

__all__ = [
    "EffectiveValue",
    "HostSettings",
    "PeerSettings",
    "load_settings",
    "read_key",
    "show_settings",
    "write_key",
]

MIB = 1024 * 1024
_NO_SECTION = "\0"


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host.

    In the INI file, the section ``peers`` has a line for each other host,
    ``<id> = <data centre> <IP number>:<port>``; all other settings are in section
    ``host``, where the field ``host`` has the key ``id``.

    Parameters
    ----------
    host : HostId
        Id of this host.
    data_centre : DataCentre
        Data centre of this host.
    data_centres : tuple of DataCentre
        All data centres; if empty, those of this host and its peers.
    address : str
        IP number on which this host serves HTTP.
    http_port : int
        HTTP port; 0 lets the operating system choose one.
    data_folder : Path or None
        Folder for durable state; None keeps the state in memory.
    drain_timeout_s : float
        Maximum duration of a graceful shutdown.
    endpoint_lease_s : float
        Duration of the lease of an endpoint.
    answer_kept_s : float
        How long the answer of a job is kept after the job has ended.
    bodies_in_flight_bytes : int
        Maximum total size of the request bodies held in memory.
    peer_address : str or None
        IP number and port on which other hosts connect; None for a single host.
    peers : dict
        The other hosts.
    key_file : Path or None
        File with the key that all hosts share.
    tokens_file : Path or None
        File with the digests of the tokens of teams, operators and endpoints; None
        turns authentication off, which is allowed only on a loopback address.
    copies : int
        Number of hosts that must hold a job before its caller is notified of its
        acceptance.
    """

    host: HostId
    data_centre: DataCentre
    address: str = "127.0.0.1"
    http_port: int = 0
    data_folder: Path | None = None
    drain_timeout_s: float = 30.0
    endpoint_lease_s: float = 8.0
    peer_address: str | None = None
    peers: dict[HostId, PeerSettings] = dataclasses.field(default_factory=dict)
    key_file: Path | None = None
    copies: int = 1
    tokens_file: Path | None = None
    answer_kept_s: float = 3_600.0
    bodies_in_flight_bytes: int = 64 * MIB
    data_centres: tuple[DataCentre, ...] = ()


_KINDS: dict[str, Kind] = {
    "host": NAME,
    "data_centre": NAME,
    "address": IP_NUMBER,
    "http_port": integer("the port", 0, 65_535),
    "data_folder": PATH,
    "drain_timeout_s": number("seconds", 0, 3_600),
    "endpoint_lease_s": number("seconds", 0.1, 600),
    "peer_address": ADDRESS,
    "key_file": PATH,
    "copies": integer("hosts", 1, 2),
    "tokens_file": PATH,
    "answer_kept_s": number("seconds", 1, 604_800),
    "bodies_in_flight_bytes": integer("bytes", MIB, 4_096 * MIB),
    "data_centres": NAMES,
}


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveValue:
    """The effective value of a setting.

    Parameters
    ----------
    section, key : str
        Section and key of the setting.
    value : str
        The value, as text.
    origin : str
        ``<file>:<line>`` or ``default``.
    takes : str
        Description of valid values.
    """

    section: str
    key: str
    value: str
    origin: str
    takes: str


def load_settings(path: Path) -> HostSettings:
    """Read settings from an INI file.

    Relative paths in the file are resolved against its folder.

    Raises
    ------
    SettingsInvalid
        With all problems of the file.
    """
    return _Reader(path).settings()


def show_settings(path: Path) -> list[EffectiveValue]:
    """Return the effective value of every setting, with its origin.

    Raises
    ------
    SettingsInvalid
        With all problems of the file.
    """
    reader = _Reader(path)
    return list(reader.effective(reader.settings()))


def write_key(path: Path) -> None:
    """Write a random key, to be shared by all hosts, to a new file with mode 0600.

    Raises
    ------
    FileExistsError
        If the file exists already.
    """
    path.touch(mode=0o600, exist_ok=False)
    path.write_text(secrets.token_hex(MIN_KEY_BYTES) + "\n", encoding="ascii")


def _key_of(field: dataclasses.Field[Any]) -> str:
    return "id" if field.name == "host" else field.name


_SCHEMA = {
    _key_of(field): field
    for field in dataclasses.fields(HostSettings)
    if field.name in _KINDS
}


class _Reader:
    """Reads one file and collects its problems."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._problems: list[tuple[int, str]] = []
        self._lines: dict[tuple[str, str], int] = {}
        self._parser = configparser.ConfigParser(
            interpolation=None,
            strict=False,
            delimiters=("=",),
            default_section=_NO_SECTION,
        )
        self._parser.optionxform = str  # type: ignore[assignment,method-assign]

    def settings(self) -> HostSettings:
        """Return the settings, or raise `SettingsInvalid`."""
        self._read()
        values = self._host_values()
        values["peers"] = self._peer_settings()
        for problem in contradictions(values):
            self._report_setting(
                problem.section, problem.key, problem.reason, problem.fix
            )
        if self._problems:
            raise SettingsInvalid([text for _, text in sorted(self._problems)])
        return HostSettings(**values)

    def effective(self, settings: HostSettings) -> Iterator[EffectiveValue]:
        """Yield the effective value of each setting, with its origin."""
        for key, field in _SCHEMA.items():
            value = getattr(settings, field.name)
            text = " ".join(value) if isinstance(value, tuple) else str(value)
            takes = _KINDS[field.name].takes
            yield self._effective_value(HOST_SECTION, key, text, takes)
        for host, peer in settings.peers.items():
            text = f"{peer.data_centre} {peer.address}"
            yield self._effective_value(PEERS_SECTION, host, text, PEER.takes)

    def _effective_value(self, section: str, key: str, text: str, takes: str) -> Any:
        line = self._lines.get((section, key))
        origin = f"{self._path}:{line}" if line else "default"
        return EffectiveValue(section, key, text, origin, takes)

    # Reading.

    def _read(self) -> None:
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsInvalid([f"{self._path}: can't be read: {error}"]) from None
        self._index_lines(text)
        try:
            self._parser.read_string(text)
        except configparser.MissingSectionHeaderError as error:
            self._add_problem(
                error.lineno, "stands before any section; write [host] above it"
            )
        except configparser.ParsingError as error:
            for line, _ in error.errors:
                self._add_problem(line, "is not 'key = value'; mend or remove the line")
        for section in self._parser.sections():
            if section not in (HOST_SECTION, PEERS_SECTION):
                self._report_setting(
                    section, "", "unknown section", "use [host] or [peers]"
                )

    def _index_lines(self, text: str) -> None:
        """Record the line number of each section and key; report duplicate keys."""
        section = ""
        for line, raw in enumerate(text.splitlines(), 1):
            content = raw.strip()
            if content.startswith("[") and content.endswith("]"):
                section = content[1:-1]
                self._lines.setdefault((section, ""), line)
            elif "=" in content and content[0] not in "#;" and not raw[0].isspace():
                key = content.partition("=")[0].strip()
                if (section, key) in self._lines:
                    first = self._lines[section, key]
                    reason = f"is given twice, first in line {first}"
                    self._add_problem(line, f"[{section}] {key}: {reason}; keep one")
                self._lines[section, key] = line

    def _host_values(self) -> dict[str, Any]:
        given = self._section(HOST_SECTION)
        for key in given.keys() - _SCHEMA.keys():
            similar = difflib.get_close_matches(key, _SCHEMA, 1)
            fix = f"did you mean {similar[0]}?" if similar else "remove it"
            self._report_setting(HOST_SECTION, key, "unknown key", fix)
        values: dict[str, Any] = {}
        for key, field in _SCHEMA.items():
            if key in given:
                values[field.name] = self._parse_host_value(field, key, given[key])
            elif field.default is dataclasses.MISSING:
                self._report_setting(
                    HOST_SECTION, key, "is missing", f"add '{key} = ...'"
                )
        return values

    def _parse_host_value(
        self, field: dataclasses.Field[Any], key: str, text: str
    ) -> Any:
        kind: Kind = _KINDS[field.name]
        value = self._parse(kind, HOST_SECTION, key, text)
        return self._path.parent / value if isinstance(value, Path) else value

    def _peer_settings(self) -> dict[HostId, PeerSettings]:
        peers: dict[HostId, PeerSettings] = {}
        for name, text in self._section(PEERS_SECTION).items():
            self._parse(NAME, PEERS_SECTION, name, name)
            peer = self._parse(PEER, PEERS_SECTION, name, text)
            if peer is not None:
                peers[HostId(name)] = peer
        return peers

    def _parse(self, kind: Kind, section: str, key: str, text: str) -> Any:
        try:
            return kind.parse(text)
        except ValueError as error:
            self._report_setting(section, key, str(error), f"write {kind.takes}")
            return None

    def _section(self, name: str) -> dict[str, str]:
        return dict(self._parser[name]) if self._parser.has_section(name) else {}

    def _report_setting(self, section: str, key: str, reason: str, fix: str) -> None:
        line = self._lines.get((section, key), self._lines.get((section, ""), 1))
        name = f"[{section}] {key}".rstrip()
        self._add_problem(line, f"{name}: {reason}; {fix}")

    def _add_problem(self, line: int, text: str) -> None:
        self._problems.append((line, f"{self._path}:{line}: {text}"))
