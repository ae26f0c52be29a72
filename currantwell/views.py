"""Views: which hosts are primary and backup for the jobs of a data centre.

A view's number is the epoch under which its primary sends starts. The members of the
next view are chosen from the hosts whose copies hold every record committed in this
one.
"""

from typing import Protocol

import msgspec
import trio

from .ids import DataCentre, Epoch, HostId

__all__ = ["View", "ViewSource", "ViewTable"]


class View(msgspec.Struct, frozen=True):
    """The hosts that run and replicate the jobs of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    number : Epoch
        Starts at 1 and grows by one with each view of the data centre.
    primary : HostId
        The host that runs the jobs.
    backup : HostId or None
        The host that holds a copy of every committed record; None if there is none.
    """

    data_centre: DataCentre
    number: Epoch
    primary: HostId
    backup: HostId | None = None


class ViewSource(Protocol):
    """Gives access to the agreed views."""

    def view(self, data_centre: DataCentre) -> View | None:
        """Return the newest view of a data centre known to this host, if any."""
        ...

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres."""
        ...

    async def wait_change(self) -> None:
        """Return once any view has changed."""
        ...

    def suspects(self) -> frozenset[HostId]:
        """Return the hosts that this host currently believes to be unresponsive."""
        ...

    async def read_barrier(self) -> None:
        """Return once this host has every view that was agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        ...

    async def propose_view(self, view: View) -> bool:
        """Propose a view; it must be the immediate successor of the newest one.

        Returns
        -------
        bool
            Whether this very view is now the newest.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        ...


class ViewTable:
    """In-memory views, for a single host or for tests.

    Parameters
    ----------
    views : View
        The first view of each data centre.
    """

    def __init__(self, *views: View) -> None:
        self._views = {view.data_centre: view for view in views}
        self._changed = trio.Event()

    def view(self, data_centre: DataCentre) -> View | None:
        """Return the newest view of a data centre, None if there is none."""
        return self._views.get(data_centre)

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres."""
        return frozenset(self._views)

    async def wait_change(self) -> None:
        """Return once any view has changed."""
        await self._changed.wait()

    def suspects(self) -> frozenset[HostId]:
        """Return an empty set: there is no failure detector."""
        return frozenset()

    async def read_barrier(self) -> None:
        """Return at once: the table is always current."""

    async def propose_view(self, view: View) -> bool:
        """Store a view if its number follows that of the newest one."""
        newest = self._views.get(view.data_centre)
        if view.number != (newest.number + 1 if newest else 1):
            return newest == view
        self._views[view.data_centre] = view
        self._changed.set()
        self._changed = trio.Event()
        return True
