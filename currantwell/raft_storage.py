"""Durable state of a Raft member, as records of a journal.

The records are applied in order: starts of the process with the member's id, hard
states, snapshots and entries. A record of entries replaces the entry at its first
index and all after it; a snapshot replaces all entries that precede it in the journal.
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

MAX_ENTRIES_PER_RECORD = 128
MAX_COMMAND_BYTES_PER_RECORD = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)


class RaftStorage:
    """Durable state of a member.

    ``start_count`` is the number of starts of the member's process.

    Parameters
    ----------
    journal : Journal
        Journal that holds the records; nothing else may write to it.
    """

    def __init__(self, journal: Journal) -> None:
        self.member: MemberId | None = None
        self.start_count = 0
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self._journal = journal
        for data in journal.read():
            self._load(_decoder.decode(data))

    async def record_start(self, new_member: MemberId) -> MemberId:
        """Record a start of the process.

        Parameters
        ----------
        new_member : MemberId
            Member id to use if the journal is empty.

        Returns
        -------
        MemberId
            The member id, from the journal if it has one.

        Raises
        ------
        DiskUnavailable
            If the disk reports an error; the call may be repeated.
        """
        member = self.member or new_member
        await self._write([_Started(member, self.start_count + 1)])
        return member

    async def save(self, output: Output) -> None:
        """Write and sync the hard state, snapshot and entries of an output.

        Raises
        ------
        DiskUnavailable
            If the disk reports an error; the call may be repeated.
        """
        records: list[_Record] = []
        if output.hard_state is not None:
            records.append(output.hard_state)
        if output.snapshot is not None:
            records.append(_SnapshotTaken(output.snapshot))
        records.extend(_entry_records(output.entries))
        if records:
            await self._write(records)

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot's index by the snapshot.

        Raises
        ------
        DiskUnavailable
            If the disk reports an error; the call may be repeated.
        """
        assert self.member is not None
        kept = [entry for entry in self.entries if entry.index > snapshot.index]
        records: list[_Record] = [
            _Started(self.member, self.start_count),
            self.hard_state,
            _SnapshotTaken(snapshot),
        ]
        records.extend(_entry_records(kept))
        self._journal.replace([_encoder.encode(record) for record in records])
        self.snapshot, self.entries = snapshot, kept

    async def _write(self, records: Sequence[_Record]) -> None:
        await self._journal.append([_encoder.encode(record) for record in records])
        for record in records:
            self._load(record)

    def _load(self, record: _Record) -> None:
        if isinstance(record, _Started):
            self.member, self.start_count = record.member, record.start
        elif isinstance(record, HardState):
            self.hard_state = record
        elif isinstance(record, _SnapshotTaken):
            self.snapshot, self.entries = record.snapshot, []
        else:
            kept = record.entries[0].index - self.snapshot.index - 1
            self.entries[kept:] = record.entries


def _entry_records(entries: Sequence[Entry]) -> list[_EntriesAppended]:
    """Return records of entries, each small enough for the journal."""
    groups: list[list[Entry]] = []
    size_bytes = 0
    for entry in entries:
        size_bytes += len(entry.command or b"")
        if (
            not groups
            or len(groups[-1]) == MAX_ENTRIES_PER_RECORD
            or size_bytes > MAX_COMMAND_BYTES_PER_RECORD
        ):
            groups.append([])
            size_bytes = len(entry.command or b"")
        groups[-1].append(entry)
    return [_EntriesAppended(tuple(group)) for group in groups]
