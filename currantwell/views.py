"""Views: which host runs the jobs of a data centre, and which holds the copy.

The number of a view is the epoch under which its primary sends starts. The hosts of
the next view are chosen from those that hold all that was committed in this one.
"""

from typing import Protocol

import msgspec
import trio

from .ids import DataCentre, Epoch, HostId

__all__ = ["View", "ViewSource", "ViewTable"]


class View(msgspec.Struct, frozen=True):
    """Who serves the jobs of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    number : Epoch
        Counts up by one with each view of the data centre, from 1.
    primary : HostId
        The host that runs the jobs.
    backup : HostId or None
        The host that holds a copy of every committed record.
    """

    data_centre: DataCentre
    number: Epoch
    primary: HostId
    backup: HostId | None = None


class ViewSource(Protocol):
    """Knows the newest agreed views."""

    def view(self, data_centre: DataCentre) -> View | None:
        """Return the newest view that this host knows of a data centre."""
        ...

    def data_centres(self) -> frozenset[DataCentre]:
        """Return every data centre there is."""
        ...

    async def wait_change(self) -> None:
        """Return once any view has changed."""
        ...

    def suspects(self) -> frozenset[HostId]:
        """Return the hosts that do not answer, as far as this host knows."""
        ...

    async def read_barrier(self) -> None:
        """Return once this host knows all views agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        ...

    async def propose_view(self, view: View) -> bool:
        """Have a view agreed; only the one after the newest can be.

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
    """Views kept in memory, for one host or for tests.

    Parameters
    ----------
    views : View
        The first view of each data centre.
    """

    def __init__(self, *views: View) -> None:
        self._views = {view.data_centre: view for view in views}
        self._changed = trio.Event()

    def view(self, data_centre: DataCentre) -> View | None:
        """Return the newest view of a data centre."""
        return self._views.get(data_centre)

    def data_centres(self) -> frozenset[DataCentre]:
        """Return every data centre there is."""
        return frozenset(self._views)

    async def wait_change(self) -> None:
        """Return once any view has changed."""
        await self._changed.wait()

    def suspects(self) -> frozenset[HostId]:
        """Suspect no one."""
        return frozenset()

    async def read_barrier(self) -> None:
        """Know all views already."""

    async def propose_view(self, view: View) -> bool:
        """Take a view if it is the one after the newest."""
        newest = self._views.get(view.data_centre)
        if view.number != (newest.number + 1 if newest else 1):
            return newest == view
        self._views[view.data_centre] = view
        self._changed.set()
        self._changed = trio.Event()
        return True
