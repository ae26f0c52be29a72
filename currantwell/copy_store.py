"""The journal of one host's copy of a data centre's job records.

Every change is synced before it is applied and answered; changes are made one at a
time. A journal that has grown is replaced by a snapshot.
"""

import uuid
from collections.abc import Callable, Sequence

import msgspec
import trio

from . import events
from .copy_messages import (
    AppendRecords,
    CopyChange,
    CopyOutcome,
    CopyReply,
    InstallChunk,
    RecordRun,
    StoreCreated,
    Vouch,
)
from .errors import Deposed, DiskUnavailable
from .ids import DataCentre, Epoch, StoreId
from .job_copy import Decision, JobCopy
from .journal import Journal

__all__ = ["CopyStore", "CopyStores"]

COMPACT_AFTER_RECORDS = 50_000
# Compaction is tried again after this part of the records, as the snapshot is costly.
COMPACT_RETRY_PARTS = 10

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[CopyChange] = msgspec.msgpack.Decoder(CopyChange)


class CopyStore:
    """A copy and its journal.

    Parameters
    ----------
    journal : Journal
        Stores the changes.
    compact_after : int
        Number of records after which the journal is replaced by a snapshot; with a
        larger job table, about as many as the snapshot has.
    """

    def __init__(
        self, journal: Journal, compact_after: int = COMPACT_AFTER_RECORDS
    ) -> None:
        self.copy = JobCopy()
        self._journal = journal
        self._compact_after = compact_after
        self._records_since_snapshot = 0
        self._compact_at = compact_after
        self._write_lock = trio.Lock()
        self._concurrent_changes: list[bytes] | None = None
        self._snapshot_done = trio.Event()
        for data in journal.read():
            self._apply([_decoder.decode(data)])

    async def prepare(self) -> None:
        """Give a new store its id.

        Raises
        ------
        StorageFailed
            If the disk refuses.
        """
        if not self.copy.store:
            await self.write([StoreCreated(StoreId(uuid.uuid4().hex))])

    async def write(self, changes: Sequence[CopyChange]) -> None:
        """Sync changes, then apply them.

        Raises
        ------
        StorageFailed
            If the disk refuses.
        """
        with trio.CancelScope(shield=True):
            async with self._write_lock:
                await self._write(changes)

    async def write_as(self, view: Epoch, changes: Sequence[CopyChange]) -> None:
        """Sync and apply changes made by the primary of a view.

        Raises
        ------
        Deposed
            If the copy has joined a newer view.
        StorageFailed
            If the disk refuses.
        """
        with trio.CancelScope(shield=True):
            async with self._write_lock:
                if self.copy.joined > view:
                    raise Deposed(f"view {self.copy.joined} follows view {view}")
                await self._write(changes)

    async def answer(self, message: AppendRecords | InstallChunk | Vouch) -> CopyReply:
        """Process a message of a primary and return the reply.

        Raises
        ------
        StorageFailed
            If the disk refuses.
        """
        with trio.CancelScope(shield=True):
            async with self._write_lock:
                decision = self._decide(message)
                if decision.replaces:
                    self._replace(decision.changes)
                elif decision.changes:
                    await self._write(decision.changes)
                if decision.outcome is CopyOutcome.ACCEPTED:
                    self.copy.apply_to_table(decision.committed)
        return self.copy.reply(decision.outcome)

    async def compact(self) -> bool:
        """Replace a journal that has grown by a snapshot; return whether it did.

        The snapshot is encoded in small steps while changes continue; those are also
        appended to the end of the new journal. Without room for it the journal is kept.
        """
        if (
            self._concurrent_changes is not None
            or self._records_since_snapshot < self._compact_at
        ):
            return False
        concurrent_changes: list[bytes] = []
        self._concurrent_changes = concurrent_changes
        self.copy.frozen = True
        try:
            snapshot: list[bytes] = []
            for change in self.copy.snapshot_changes():
                snapshot.append(_encoder.encode(change))
                await trio.lowlevel.checkpoint()
            with trio.CancelScope(shield=True):
                async with self._write_lock:
                    if self._concurrent_changes is not concurrent_changes:
                        return False
                    records = [*snapshot, *concurrent_changes]
                    await trio.to_thread.run_sync(self._journal.replace, records)
        except DiskUnavailable as error:
            events.COMPACTION_FAILED.log(store=self.copy.store, error=str(error))
            more_records = max(1, self._compact_after // COMPACT_RETRY_PARTS)
            self._compact_at = self._records_since_snapshot + more_records
            return False
        finally:
            self._concurrent_changes = None
            self.copy.frozen = False
            self._snapshot_done.set()
            self._snapshot_done = trio.Event()
        jobs = self.copy.table.jobs.values()
        snapshot_size = sum(1 + 2 * len(job.tasks) for job in jobs)
        self._compact_at = max(self._compact_after, snapshot_size)
        self._records_since_snapshot = 0
        return True

    async def wait_snapshot_done(self) -> None:
        """Return once no snapshot is in progress."""
        while self._concurrent_changes is not None:
            await self._snapshot_done.wait()

    def close(self) -> None:
        """Close the journal."""
        self._journal.close()

    def _decide(self, message: AppendRecords | InstallChunk | Vouch) -> Decision:
        match message:
            case AppendRecords():
                return self.copy.on_append(message)
            case InstallChunk():
                return self.copy.on_chunk(message)
            case Vouch():
                return self.copy.on_vouch(message)

    async def _write(self, changes: Sequence[CopyChange]) -> None:
        encoded = [_encoder.encode(change) for change in changes]
        await self._journal.append(encoded)
        if self._concurrent_changes is not None:
            self._concurrent_changes.extend(encoded)
        self._apply(changes)

    def _replace(self, changes: Sequence[CopyChange]) -> None:
        self._journal.replace([_encoder.encode(change) for change in changes])
        if self._concurrent_changes is not None:
            self._concurrent_changes = []
        self._records_since_snapshot = 0
        self._apply(changes)

    def _apply(self, changes: Sequence[CopyChange]) -> None:
        for change in changes:
            self.copy.apply(change)
            if isinstance(change, RecordRun):
                self._records_since_snapshot += len(change.records)


class CopyStores:
    """The copies that a host holds, by data centre.

    Parameters
    ----------
    open_journal : callable
        Opens the journal with a given name.
    """

    def __init__(self, open_journal: Callable[[str], Journal]) -> None:
        self._open_journal = open_journal
        self._stores: dict[DataCentre, CopyStore] = {}
        self._open_lock = trio.Lock()

    async def get(self, data_centre: DataCentre) -> CopyStore:
        """Return the copy of a data centre's records, creating it if there is none."""
        async with self._open_lock:
            if data_centre not in self._stores:
                store = CopyStore(self._open_journal(f"jobs-{data_centre}"))
                await store.prepare()
                self._stores[data_centre] = store
            return self._stores[data_centre]

    def opened(self) -> dict[DataCentre, CopyStore]:
        """Return the copies opened so far."""
        return dict(self._stores)

    def close(self) -> None:
        """Close all journals."""
        for store in self._stores.values():
            store.close()
