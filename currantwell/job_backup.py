"""The backup: stores the records, snapshots and vouchers that primaries send.

Only messages from the primary of the newest view known to this host are accepted. A
copy that has joined a newer view refuses an older one for good. A reply is sent only
once what it acknowledges is synced to disk.
"""

from .clock import now_s
from .copy_messages import AppendRecords, CopyOutcome, CopyReply, InstallChunk, Vouch
from .copy_store import CopyStores
from .ids import DataCentre, HostId
from .peers import PeerNetwork
from .views import ViewSource

__all__ = ["JobBackup"]


class JobBackup:
    """Replies to the primaries that replicate to the copies of this host.

    Parameters
    ----------
    stores : CopyStores
        The copies of jobs on this host.
    views : ViewSource
        The newest views, with the primary of each data centre.
    """

    def __init__(self, stores: CopyStores, views: ViewSource) -> None:
        self._stores = stores
        self._views = views
        self._last_message_s: dict[DataCentre, float] = {}

    def attach(self, peers: PeerNetwork) -> None:
        """Register the handlers of the messages that primaries send."""
        for message in (AppendRecords, InstallChunk, Vouch):
            peers.handle(message, self.handle_message)

    def last_message_s(self, data_centre: DataCentre) -> float:
        """Return when the last accepted message from a primary arrived.

        Parameters
        ----------
        data_centre : DataCentre
            The data centre of the primary.

        Returns
        -------
        float
            Time on the runtime's clock; minus infinity if there was no message yet.
        """
        return self._last_message_s.get(data_centre, float("-inf"))

    async def handle_message(
        self, sender: HostId, message: AppendRecords | InstallChunk | Vouch
    ) -> CopyReply:
        """Apply a message from a primary and reply once it is synced to disk.

        Raises
        ------
        StorageFailed
            If the disk fails to write; the host has to stop.
        """
        store = await self._stores.get(message.data_centre)
        view = self._views.view(message.data_centre)
        if view is not None and view.number == message.view and view.primary != sender:
            return store.copy.reply(CopyOutcome.REFUSED)
        reply = await store.answer(message)
        if reply.outcome is not CopyOutcome.REFUSED:
            self._last_message_s[message.data_centre] = now_s()
        return reply
