"""Settings of a host, read from an INI file."""

import configparser
import dataclasses
from pathlib import Path

from .errors import SettingsInvalid
from .ids import DataCentre, HostId

__all__ = ["HostSettings", "PeerSettings", "load_settings"]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Where another host stands and listens."""

    data_centre: DataCentre
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host.

    In the INI file, the section ``peers`` has a line for each other host,
    ``<id> = <data centre> <IP number>:<port>``; all else is in section ``host``.

    Parameters
    ----------
    host : HostId
        Its id.
    data_centre : DataCentre
        Where it stands.
    address : str
        IP number on which it serves HTTP.
    http_port : int
        Port of HTTP; 0 lets the kernel pick one.
    data_folder : Path or None
        The folder for durable state; None keeps it in memory.
    drain_timeout_s : float
        How long a graceful shutdown may take.
    endpoint_lease_s : float
        Lease of endpoints.
    peer_address : str or None
        IP number and port for other hosts; None for a host that is alone.
    peers : dict
        The other hosts.
    key_file : Path or None
        File with the key that all hosts share.
    copies : int
        Hosts that hold a job before its caller hears that it is accepted.
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


def load_settings(path: Path) -> HostSettings:
    """Read settings from an INI file.

    Raises
    ------
    SettingsInvalid
        Listing everything that is wrong.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
        section = parser["host"]
        folder = section.get("data_folder")
        key_file = section.get("key_file")
        return HostSettings(
            host=HostId(section["id"]),
            data_centre=DataCentre(section["data_centre"]),
            address=section.get("address", "127.0.0.1"),
            http_port=section.getint("http_port", 0),
            data_folder=Path(folder) if folder else None,
            drain_timeout_s=section.getfloat("drain_timeout_s", 30.0),
            endpoint_lease_s=section.getfloat("endpoint_lease_s", 8.0),
            peer_address=section.get("peer_address"),
            peers=_peers(parser),
            key_file=Path(key_file) if key_file else None,
            copies=section.getint("copies", 1),
        )
    except (OSError, KeyError, ValueError, configparser.Error) as error:
        raise SettingsInvalid([f"{path}: {error!r}"]) from error


def _peers(parser: configparser.ConfigParser) -> dict[HostId, PeerSettings]:
    if not parser.has_section("peers"):
        return {}
    peers: dict[HostId, PeerSettings] = {}
    for name, value in parser.items("peers"):
        data_centre, address = value.split()
        peers[HostId(name)] = PeerSettings(DataCentre(data_centre), address)
    return peers
