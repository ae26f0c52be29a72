"""How a host goes from one view to the next, and when its own copy counts.

View 1 only names who begins: nothing is ever told in it, so that an empty copy may
vouch for view 2 if it is named in view 1, and for no other.
"""

import trio

from .copy_messages import ViewVouched
from .copy_store import CopyStore
from .errors import AgreementLost
from .ids import Epoch, HostId
from .views import View, ViewSource

__all__ = ["FIRST", "ViewProposer"]

FIRST = Epoch(1)
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
        """Return the hosts that do not answer, as far as this host knows."""
        return self._views.suspects()

    async def wait_after(self, view: View) -> None:
        """Return once a newer view than this one is known."""
        while self._views.view(view.data_centre) == view:
            with trio.move_on_after(POLL_S):
                await self._views.wait_change()

    async def agree(self, following: View) -> bool:
        """Propose a view; tell whether it is known to be the newest now."""
        try:
            return await self._views.propose_view(following)
        except AgreementLost:
            return False

    async def propose(self, store: CopyStore, following: View) -> bool:
        """Propose a view in which this host's copy alone counts."""
        await store.write([ViewVouched(following)])
        return await self.agree(following)

    def alone_after(self, view: View) -> View:
        """Return the next view with this host alone."""
        return View(view.data_centre, Epoch(view.number + 1), self._host)

    def may_propose(self, view: View, store: CopyStore) -> bool:
        """Tell whether this host's copy may count alone in the next view."""
        if view.number == FIRST:
            return store.copy.is_vouched_for(self.alone_after(view))
        return store.copy.is_vouched_for(view)

    async def vouch_by_rule(self, view: View, store: CopyStore) -> None:
        """Vouch for this host's copy where no one else had to."""
        copy = store.copy
        if view.number == FIRST and not copy.is_vouched_for(self.alone_after(view)):
            await self._vouch_first(view, store)
        if copy.may_vouch_for_itself(view, self._host):
            await store.write([ViewVouched(view)])

    async def _vouch_first(self, view: View, store: CopyStore) -> None:
        """Vouch for view 2 if it is sure that view 1 is still the newest.

        A host that lost its disk may pass by view 1 while it catches up.
        """
        try:
            await self._views.read_barrier()
        except AgreementLost:
            await trio.sleep(RETRY_S)
            return
        if self._views.view(view.data_centre) == view:
            await store.write([ViewVouched(self.alone_after(view))])
