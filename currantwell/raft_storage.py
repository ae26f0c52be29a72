"""What a member of the agreement keeps in its journal.

Records, in the order in which they count: who the member is, how often it was
started, its hard state, snapshots and entries. A record of entries replaces the
entry of its first index and all after it; a snapshot replaces all entries before it
in the journal.
"""

from collections.abc import Sequence

import msgspec

from .consensus_messages import Entry, HardState, MemberId, Snapshot
from .consensus_output import Output
from .journal import Journal

__all__ = ["RaftStorage"]


class _Started(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A start of the member's process, counted from 1."""

    member: MemberId
    start: int


class _SnapshotTaken(msgspec.Struct, frozen=True, array_like=True, tag=True):
    snapshot: Snapshot


class _EntriesAppended(msgspec.Struct, frozen=True, array_like=True, tag=True):
    entries: tuple[Entry, ...]


_Record = _Started | HardState | _SnapshotTaken | _EntriesAppended

RECORD_ENTRIES = 128

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


class RaftStorage:
    """The durable state of a member.

    Parameters
    ----------
    journal : Journal
        Where it goes; nothing else may write there.
    """

    def __init__(self, journal: Journal) -> None:
        self.member: MemberId | None = None
        self.start = 0
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self._journal = journal
        for data in journal.read():
            self._take(_decoder.decode(data))

    async def record_start(self, fresh: MemberId) -> MemberId:
        """Count a start of the process.

        Parameters
        ----------
        fresh : MemberId
            Who the member is if the journal is empty.

        Returns
        -------
        MemberId
            Who it is.

        Raises
        ------
        StorageFailed
            If the disk refused.
        """
        member = self.member or fresh
        await self._write([_Started(member, self.start + 1)])
        return member

    async def save(self, output: Output) -> None:
        """Sync what an output asks for.

        Raises
        ------
        StorageFailed
            If the disk refused.
        """
        records: list[_Record] = []
        if output.hard_state is not None:
            records.append(output.hard_state)
        if output.snapshot is not None:
            records.append(_SnapshotTaken(output.snapshot))
        records.extend(_records_of(output.entries))
        if records:
            await self._write(records)

    def compact(self, snapshot: Snapshot) -> None:
        """Put a snapshot in the place of the entries up to its index.

        Raises
        ------
        StorageFailed
            If the disk refused.
        """
        assert self.member is not None
        kept = [entry for entry in self.entries if entry.index > snapshot.index]
        records: list[_Record] = [
            _Started(self.member, self.start),
            self.hard_state,
            _SnapshotTaken(snapshot),
        ]
        records.extend(_records_of(kept))
        self._journal.replace([_encoder.encode(record) for record in records])
        self.snapshot, self.entries = snapshot, kept

    async def _write(self, records: Sequence[_Record]) -> None:
        await self._journal.append([_encoder.encode(record) for record in records])
        for record in records:
            self._take(record)

    def _take(self, record: _Record) -> None:
        if isinstance(record, _Started):
            self.member, self.start = record.member, record.start
        elif isinstance(record, HardState):
            self.hard_state = record
        elif isinstance(record, _SnapshotTaken):
            self.snapshot, self.entries = record.snapshot, []
        else:
            kept = record.entries[0].index - self.snapshot.index - 1
            self.entries[kept:] = record.entries


def _records_of(entries: Sequence[Entry]) -> list[_EntriesAppended]:
    """Return records, none of them too large for the journal."""
    return [
        _EntriesAppended(tuple(entries[first : first + RECORD_ENTRIES]))
        for first in range(0, len(entries), RECORD_ENTRIES)
    ]
