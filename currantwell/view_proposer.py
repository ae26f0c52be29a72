"""Proposes views and writes the vouchers by which this host's copy counts in them.

View 1 only names the host that starts. Nothing is ever acknowledged in it, so an empty
copy may vouch for itself in view 2 if its host is named in view 1, and in no other
view.
"""

import trio

from .copy_messages import ViewVouched
from .copy_store import CopyStore
from .errors import AgreementLost
from .ids import DataCentre, Epoch, HostId
from .views import View, ViewSource

__all__ = ["FIRST_VIEW_NUMBER", "ViewProposer"]

FIRST_VIEW_NUMBER = Epoch(1)
POLL_S = 0.5
RETRY_S = 0.2


class ViewProposer:
    """Proposes views, and vouches for this host's copy.

    Parameters
    ----------
    host : HostId
        This host.
    views : ViewSource
        The agreed views.
    """

    def __init__(self, host: HostId, views: ViewSource) -> None:
        self._host = host
        self._views = views

    def suspects(self) -> frozenset[HostId]:
        """Return the hosts that this host currently believes to be unresponsive."""
        return self._views.suspects()

    async def wait_for_newer(self, view: View) -> None:
        """Return once this host has a newer view than the given one."""
        while self._views.view(view.data_centre) == view:
            with trio.move_on_after(POLL_S):
                await self._views.wait_change()

    async def wait_for_first(self, data_centre: DataCentre, timeout_s: float) -> bool:
        """Wait for a data centre's first view; return whether there is one."""
        with trio.move_on_after(timeout_s):
            while self._views.view(data_centre) is None:
                await self._views.wait_change()
        return self._views.view(data_centre) is not None

    async def propose_view(self, next_view: View) -> bool:
        """Propose a view; return whether it is confirmed as the newest one."""
        try:
            return await self._views.propose_view(next_view)
        except AgreementLost:
            return False

    async def vouch_and_propose(self, store: CopyStore, next_view: View) -> bool:
        """Vouch for this host's copy in a view, and propose that view.

        No other copy is vouched for.
        """
        await store.write([ViewVouched(next_view)])
        return await self.propose_view(next_view)

    def next_view_alone(self, view: View) -> View:
        """Return the next view with this host as its only member."""
        return View(view.data_centre, Epoch(view.number + 1), self._host)

    def may_propose(self, view: View, store: CopyStore) -> bool:
        """Return whether the next view may rest on this host's copy alone."""
        if view.number == FIRST_VIEW_NUMBER:
            return store.copy.is_vouched_for(self.next_view_alone(view))
        return store.copy.is_vouched_for(view)

    async def vouch_for_own_copy(self, view: View, store: CopyStore) -> None:
        """Vouch for this host's copy in the cases that need no voucher of another host.

        These are view 2 after view 1, and a view of this host alone that another host
        proposed.
        """
        copy = store.copy
        if view.number == FIRST_VIEW_NUMBER and not copy.is_vouched_for(
            self.next_view_alone(view)
        ):
            await self._vouch_first(view, store)
        if copy.may_vouch_for_itself(view, self._host):
            await store.write([ViewVouched(view)])

    async def _vouch_first(self, view: View, store: CopyStore) -> None:
        """Vouch for view 2 once it is confirmed that view 1 is still the newest.

        A host that lost its disk may see view 1 as the newest while it catches up.
        """
        try:
            await self._views.read_barrier()
        except AgreementLost:
            await trio.sleep(RETRY_S)
            return
        if self._views.view(view.data_centre) == view:
            await store.write([ViewVouched(self.next_view_alone(view))])
