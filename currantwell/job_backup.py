"""The backup's side: takes records, snapshots and vouchers from primaries.

Only the primary of the newest view known here is heard; a copy that has joined a
newer view refuses an older one for good. All that is answered is synced.
"""

from .clock import now_s
from .copy_messages import AppendRecords, CopyOutcome, CopyReply, InstallChunk, Vouch
from .copy_store import CopyStores
from .ids import DataCentre, HostId
from .peers import PeerNetwork
from .views import ViewSource

__all__ = ["JobBackup"]


class JobBackup:
    """Answers primaries for the copies of this host.

    Parameters
    ----------
    stores : CopyStores
        The copies.
    views : ViewSource
        Says who is primary.
    """

    def __init__(self, stores: CopyStores, views: ViewSource) -> None:
        self._stores = stores
        self._views = views
        self._heard_s: dict[DataCentre, float] = {}

    def attach(self, peers: PeerNetwork) -> None:
        """Answer the messages of other hosts."""
        for message in (AppendRecords, InstallChunk, Vouch):
            peers.handle(message, self.answer)

    def last_message_s(self, data_centre: DataCentre) -> float:
        """Return when the primary of a data centre was last heard."""
        return self._heard_s.get(data_centre, float("-inf"))

    async def answer(
        self, sender: HostId, message: AppendRecords | InstallChunk | Vouch
    ) -> CopyReply:
        """Take what a primary sends, once it is synced.

        Raises
        ------
        StorageFailed
            If the disk refuses; the host has to stop.
        """
        store = await self._stores.get(message.data_centre)
        view = self._views.view(message.data_centre)
        if view is not None and view.number == message.view and view.primary != sender:
            return store.copy.reply(CopyOutcome.REFUSED)
        reply = await store.answer(message)
        if reply.outcome is not CopyOutcome.REFUSED:
            self._heard_s[message.data_centre] = now_s()
        return reply
