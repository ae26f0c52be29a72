"""Current state of the system as one host sees it."""

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
        Id of the host.
    data_centre : str
        Data centre in which it runs.
    state : str
        ``serving``, or the reason why it does not serve.
    role : str
        Role in its data centre, such as ``primary``.
    """

    host: HostId
    data_centre: DataCentre
    state: str
    role: str = ""


class Change(msgspec.Struct, frozen=True):
    """A change to the system: its time, author, description and reason."""

    at: str
    by: str
    what: str
    why: str = ""


class HostLister(Protocol):
    """Source of the list of hosts."""

    def hosts(self) -> Sequence[HostState]:
        """Return all known hosts."""
        ...


class ChangeSource(Protocol):
    """Source of the recent changes."""

    def recent_changes(self, most: int) -> Sequence[Change]:
        """Return up to ``most`` changes, newest first."""
        ...


class Status(msgspec.Struct, frozen=True):
    """Current state of the system as one host sees it.

    Parameters
    ----------
    host, data_centre : str
        The reporting host and its data centre.
    preset : Preset
        The preset that the host applies.
    load : HostLoad
        Current load of the host.
    hosts : tuple of HostState
        All known hosts.
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
    """Source of the status."""

    async def status(self) -> Status:
        """Return the current status."""
        ...


class SystemStatus:
    """Assembles the status from its sources.

    Parameters
    ----------
    host : HostId
        This host.
    data_centre : DataCentre
        Its data centre.
    gateway : JobGateway
        Lists the endpoints of the data centre.
    presets : PresetSource
        Provides the preset that this host applies.
    load : LoadSource
        Provides the load of this host.
    hosts : HostLister or None
        Lists all hosts; None if this host runs alone.
    changes : ChangeSource or None
        Lists the recent changes; None if no changes are recorded.
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
        """Return the current status."""
        endpoints = await self._gateway.endpoints()
        return Status(
            self._host,
            self._data_centre,
            self._presets.preset(),
            self._load.load(),
            self._host_states(),
            () if isinstance(endpoints, Refusal) else tuple(endpoints),
            tuple(
                self._changes.recent_changes(RECENT_CHANGES) if self._changes else ()
            ),
        )

    def _host_states(self) -> tuple[HostState, ...]:
        if self._hosts is None:
            return (HostState(self._host, self._data_centre, "serving"),)
        return tuple(self._hosts.hosts())
