"""One host's copy of a data centre's job records: what it holds, takes and refuses.

The copy does no I/O: its methods return the changes that have to be synced and
applied before the reply is sent. Invariants, in the terms of the messages below:

- records have one order; records at the same position (view and sequence number)
  are the same on every copy, and so is all that stands before them;
- a copy that has joined a view takes nothing from the primary of an older one;
- a copy counts in a view only if it holds a voucher for that very view: its proposer
  vouches that the copy holds all that any caller or endpoint was told, and tells
  nothing more without it. A disk that was lost has lost its vouchers too.
"""

import dataclasses
from collections.abc import Iterator, Sequence

from .copy_messages import (
    CHUNK_BYTES,
    EMPTY_RECORD,
    START_POSITION,
    AppendRecords,
    CopyChange,
    CopyOutcome,
    CopyReply,
    InstallChunk,
    Position,
    RecordRun,
    SnapshotRecords,
    SnapshotStarted,
    StoreCreated,
    Truncated,
    ViewJoined,
    ViewVouched,
    Vouch,
)
from .ids import Epoch, HostId, StoreId
from .jobs import JobTable
from .records import Record, decode_record, encode_record
from .views import View

__all__ = ["Decision", "JobCopy"]


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Changes to sync and apply before the outcome is told.

    Parameters
    ----------
    outcome : CopyOutcome
        What to answer then.
    changes : tuple
        In order.
    replaces : bool
        Whether the changes take the place of all records.
    committed : int
        Sequence number up to which records may be applied to the job table.
    """

    outcome: CopyOutcome
    changes: tuple[CopyChange, ...] = ()
    replaces: bool = False
    committed: int = 0


class JobCopy:
    """The state of one copy."""

    def __init__(self) -> None:
        self.store = StoreId("")
        self.joined = Epoch(0)
        self.vouched: set[View] = set()
        self.table = JobTable()
        self.base = START_POSITION
        self.applied = START_POSITION
        self._views: list[Epoch] = []
        self._records: list[bytes] = []
        self._incoming: list[InstallChunk] = []
        self.frozen = False

    @property
    def last(self) -> Position:
        """Position of the last record."""
        if not self._views:
            return self.base
        return Position(self._views[-1], self.base.seq + len(self._views))

    def is_vouched_for(self, view: View) -> bool:
        """Tell whether the copy holds all that was told before the view."""
        return view in self.vouched

    def may_serve_as_primary(self, view: View) -> bool:
        """Tell whether the view's primary may start to act in it.

        One that has joined it before may have sent starts that are still on their
        way: it needs the number of a view of its own.
        """
        return self.is_vouched_for(view) and self.joined < view.number

    def may_vouch_for_itself(self, view: View, host: HostId) -> bool:
        """Tell whether a host may vouch for its copy in a view that it did not propose.

        What was told in the view before stands on each copy that counted in it, so
        that one of them alone may follow.
        """
        before = Epoch(view.number - 1)
        alone = view.primary == host and view.backup is None
        return alone and self.joined <= before and self.counts_in_number(before)

    def counts_in_number(self, number: Epoch) -> bool:
        """Tell whether the copy counts in some view of a number."""
        return any(view.number == number for view in self.vouched)

    def position_at(self, seq: int) -> Position | None:
        """Return the position of a sequence number that is held in memory."""
        if seq == self.base.seq:
            return self.base
        if self.base.seq < seq <= self.last.seq:
            return Position(self._views[seq - self.base.seq - 1], seq)
        return None

    def runs_after(
        self, seq: int, limit_bytes: int = CHUNK_BYTES
    ) -> tuple[RecordRun, ...]:
        """Return the records after a sequence number, up to about so many bytes."""
        start = seq - self.base.seq
        end, size_bytes = start, 0
        while end < len(self._records) and size_bytes < limit_bytes:
            size_bytes += len(self._records[end])
            end += 1
        return tuple(_runs(self._views[start:end], self._records[start:end], seq + 1))

    def unapplied(self) -> Iterator[Record]:
        """Yield the records that are not known to be committed."""
        for record in self._records[self.applied.seq - self.base.seq :]:
            if record != EMPTY_RECORD:
                yield decode_record(record)

    # Changes.

    def apply(self, change: CopyChange) -> None:
        """Carry out a change that is durable."""
        match change:
            case RecordRun():
                self._views.extend([change.view] * len(change.records))
                self._records.extend(change.records)
            case StoreCreated(store=store):
                self.store = store
            case ViewJoined(number=number):
                self.joined = max(self.joined, number)
                self.vouched = {v for v in self.vouched if v.number >= number}
            case ViewVouched(view=view):
                self.vouched.add(view)
            case Truncated(last=last):
                del self._views[last - self.base.seq :]
                del self._records[last - self.base.seq :]
            case SnapshotStarted(position=position):
                self.table = JobTable()
                self.base = self.applied = position
                self._views, self._records = [], []
            case SnapshotRecords(records=records):
                self.table.apply_all(decode_record(record) for record in records)

    def apply_to_table(self, committed: int) -> None:
        """Apply records up to a sequence number to the job table.

        While the table is frozen for a snapshot, this is put off to the next call.
        """
        if self.frozen:
            return
        last = min(committed, self.last.seq)
        start = self.applied.seq - self.base.seq
        for record in self._records[start : last - self.base.seq]:
            if record != EMPTY_RECORD:
                self.table.apply(decode_record(record))
        if last > self.applied.seq:
            position = self.position_at(last)
            assert position is not None
            self.applied = position

    def trim(self, keep_from: int) -> None:
        """Drop applied records up to a sequence number from memory."""
        keep_from = min(keep_from, self.applied.seq)
        position = self.position_at(keep_from)
        if position is None:
            return
        count = keep_from - self.base.seq
        del self._views[:count]
        del self._records[:count]
        self.base = position

    def snapshot_changes(self) -> Iterator[CopyChange]:
        """Yield changes that rebuild the copy, the latest records first taken down."""
        unapplied = self.runs_after(self.applied.seq, limit_bytes=1 << 62)
        yield StoreCreated(self.store)
        yield ViewJoined(self.joined)
        yield from [ViewVouched(view) for view in self.vouched]
        yield SnapshotStarted(self.applied)
        yield from (SnapshotRecords(part) for part in self.snapshot_parts())
        yield from unapplied

    def snapshot_parts(self) -> Iterator[tuple[bytes, ...]]:
        """Iterate over the job table in parts of about `CHUNK_BYTES`."""
        part: list[bytes] = []
        size_bytes = 0
        for record in map(encode_record, self.table.snapshot()):
            part.append(record)
            size_bytes += len(record)
            if size_bytes >= CHUNK_BYTES:
                yield tuple(part)
                part, size_bytes = [], 0
        yield tuple(part)

    # Messages.

    def reply(self, outcome: CopyOutcome) -> CopyReply:
        """Return the reply that tells an outcome, and where the copy stands."""
        counts = self.counts_in_number(self.joined)
        return CopyReply(outcome, self.store, self.joined, self.last, counts)

    def on_append(self, message: AppendRecords) -> Decision:
        """Decide on records of a primary."""
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        joins = self._joins(message.view)
        if self.position_at(message.after.seq) != message.after:
            return Decision(CopyOutcome.MISSING, joins)
        changes = self._missing_of(message.runs)
        truncated = [change for change in changes if isinstance(change, Truncated)]
        if truncated and truncated[0].last < self.applied.seq:
            return Decision(CopyOutcome.MISSING, joins)
        return Decision(
            CopyOutcome.ACCEPTED, (*joins, *changes), committed=message.committed
        )

    def on_chunk(self, message: InstallChunk) -> Decision:
        """Decide on a part of a snapshot; one that goes back ends all vouchers."""
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        joins = self._joins(message.view)
        if message.index == 0:
            self._incoming = []
        if not self._follows(message):
            return Decision(CopyOutcome.MISSING, joins)
        self._incoming.append(message)
        if not message.last:
            return Decision(CopyOutcome.ACCEPTED, joins)
        parts, self._incoming = self._incoming, []
        number = max(self.joined, message.view)
        vouched = [view for view in self.vouched if view.number >= number]
        if message.position.seq < self.last.seq:
            vouched = []
        whole: tuple[CopyChange, ...] = (
            StoreCreated(self.store),
            ViewJoined(number),
            *(ViewVouched(view) for view in vouched),
            SnapshotStarted(message.position),
            *(SnapshotRecords(part.records) for part in parts),
        )
        return Decision(CopyOutcome.ACCEPTED, whole, replaces=True)

    def on_vouch(self, message: Vouch) -> Decision:
        """Decide whether the copy may count in a view about to be proposed."""
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        joins = self._joins(message.view)
        if self.position_at(message.at.seq) != message.at:
            return Decision(CopyOutcome.MISSING, joins)
        return Decision(CopyOutcome.ACCEPTED, (*joins, ViewVouched(message.following)))

    def _joins(self, view: Epoch) -> tuple[CopyChange, ...]:
        return (ViewJoined(view),) if view > self.joined else ()

    def _follows(self, message: InstallChunk) -> bool:
        if len(self._incoming) != message.index:
            return False
        first = self._incoming[0] if self._incoming else message
        return (first.view, first.position) == (message.view, message.position)

    def _missing_of(self, runs: Sequence[RecordRun]) -> list[CopyChange]:
        """Return the changes that add what the copy has not; the rest is equal."""
        changes: list[CopyChange] = []
        for run in runs:
            known = 0
            if not changes:
                known = self._known_of(run)
            if known == len(run.records):
                continue
            first = run.first + known
            if not changes and first <= self.last.seq:
                changes.append(Truncated(first - 1))
            changes.append(RecordRun(run.view, first, run.records[known:]))
        return changes

    def _known_of(self, run: RecordRun) -> int:
        for offset in range(len(run.records)):
            position = Position(run.view, run.first + offset)
            if self.position_at(position.seq) != position:
                return offset
        return len(run.records)


def _runs(
    views: Sequence[Epoch], records: Sequence[bytes], first: int
) -> Iterator[RecordRun]:
    start = 0
    for index in range(1, len(views) + 1):
        if index == len(views) or views[index] != views[start]:
            yield RecordRun(views[start], first + start, tuple(records[start:index]))
            start = index
