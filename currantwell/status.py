"""What a host knows of the system now, for people and for scripts."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from .answers import Refusal
from .endpoint_protocol import Announcement
from .gateway import JobGateway
from .ids import DataCentre, HostId
from .metrics import HostLoad, LoadSource
from .presets import Preset, PresetSource

__all__ = [
    "Change",
    "ChangeSource",
    "HostLister",
    "HostState",
    "Status",
    "StatusSource",
    "SystemStatus",
]

RECENT_CHANGES = 20


class HostState(msgspec.Struct, frozen=True):
    """A host as another one sees it.

    Parameters
    ----------
    host : str
        Its id.
    data_centre : str
        Where it stands.
    state : str
        ``serving`` or why not.
    role : str
        What it does for its data centre.
    """

    host: HostId
    data_centre: DataCentre
    state: str
    role: str = ""


class Change(msgspec.Struct, frozen=True):
    """A change to the system: when, by whom, what and why."""

    at: str
    by: str
    what: str
    why: str = ""


class HostLister(Protocol):
    """Knows the hosts."""

    def hosts(self) -> Sequence[HostState]:
        """Return every host that is known."""
        ...


class ChangeSource(Protocol):
    """Knows the recent changes."""

    def recent_changes(self, most: int) -> Sequence[Change]:
        """Return so many changes at most, newest first."""
        ...


class Status(msgspec.Struct, frozen=True):
    """What a host knows of the system now.

    Parameters
    ----------
    host, data_centre : str
        The host that says so.
    preset : Preset
        The rules that it follows.
    load : HostLoad
        What it has to do.
    hosts : tuple of HostState
        The hosts.
    endpoints : tuple of Announcement
        The endpoints of its data centre.
    changes : tuple of Change
        Recent changes, newest first.
    """

    host: HostId
    data_centre: DataCentre
    preset: Preset
    load: HostLoad
    hosts: tuple[HostState, ...] = ()
    endpoints: tuple[Announcement, ...] = ()
    changes: tuple[Change, ...] = ()


class StatusSource(Protocol):
    """Knows the state of the system."""

    async def status(self) -> Status:
        """Return the state now."""
        ...


class SystemStatus:
    """Puts the status together from those who know its parts.

    Parameters
    ----------
    host : HostId
        This host.
    data_centre : DataCentre
        Its data centre.
    gateway : JobGateway
        Knows the endpoints.
    presets : PresetSource
        Knows the rules in force.
    load : LoadSource
        Knows the load.
    hosts : HostLister or None
        Knows the other hosts; None for a host that is alone.
    changes : ChangeSource or None
        Knows the recent changes; None if none are kept.
    """

    def __init__(
        self,
        host: HostId,
        data_centre: DataCentre,
        gateway: JobGateway,
        presets: PresetSource,
        load: LoadSource,
        hosts: HostLister | None = None,
        changes: ChangeSource | None = None,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._gateway = gateway
        self._presets = presets
        self._load = load
        self._hosts = hosts
        self._changes = changes

    async def status(self) -> Status:
        """Return the state now."""
        told = await self._gateway.endpoints()
        return Status(
            self._host,
            self._data_centre,
            self._presets.preset(),
            self._load.load(),
            self._host_states(),
            () if isinstance(told, Refusal) else tuple(told),
            tuple(
                self._changes.recent_changes(RECENT_CHANGES) if self._changes else ()
            ),
        )

    def _host_states(self) -> tuple[HostState, ...]:
        if self._hosts is None:
            return (HostState(self._host, self._data_centre, "serving"),)
        return tuple(self._hosts.hosts())
