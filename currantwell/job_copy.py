"""One host's copy of a data centre's job records, as a state machine.

The copy does no I/O: its methods return the changes that have to be synced and applied
before the reply is sent. Invariants:

- records are totally ordered; records at the same position (view and sequence number)
  are the same on every copy, and so are all records before them;
- a copy that has joined a view accepts nothing from the primary of an older one;
- a copy counts in a view only if it holds a voucher for that very view. By the voucher
  the view's proposer asserts that the copy holds everything that any caller or endpoint
  was notified of, and from then on it notifies nobody of anything that this copy lacks.
  The vouchers of a copy are lost together with its disk.
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
    """Changes to sync and apply before the outcome is sent.

    Parameters
    ----------
    outcome : CopyOutcome
        The outcome to reply with afterwards.
    changes : tuple
        The changes, in order.
    replaces : bool
        Whether the changes replace all records.
    committed : int
        Sequence number up to which records may be applied to the job table.
    """

    outcome: CopyOutcome
    changes: tuple[CopyChange, ...] = ()
    replaces: bool = False
    committed: int = 0


class JobCopy:
    """The state of one copy.

    The copy is vouched for in a view if it holds all records committed before it; it
    counts in the views in `vouched` alone. `joined` is the number of the newest view in
    which it has taken part.
    """

    def __init__(self) -> None:
        self.store = StoreId("")
        self.joined = Epoch(0)
        self.vouched: set[View] = set()
        self.table = JobTable()
        self.base = START_POSITION
        self.applied = START_POSITION
        self._record_views: list[Epoch] = []
        self._records: list[bytes] = []
        self._incoming_chunks: list[InstallChunk] = []
        self.frozen = False

    @property
    def last(self) -> Position:
        """Position of the last record."""
        if not self._record_views:
            return self.base
        return Position(self._record_views[-1], self.base.seq + len(self._record_views))

    def is_vouched_for(self, view: View) -> bool:
        """Return whether the copy holds everything acknowledged before the view."""
        return view in self.vouched

    def may_serve_as_primary(self, view: View) -> bool:
        """Return whether the view's primary may start to serve in it.

        A host that has already joined the view may have sent starts that are still in
        transit, so it needs a new view with a number of its own.
        """
        return self.is_vouched_for(view) and self.joined < view.number

    def may_vouch_for_itself(self, view: View, host: HostId) -> bool:
        """Return whether a host may vouch for itself in a view it did not propose.

        Everything acknowledged in the view before is on each copy that counted in it,
        so one of those copies alone may continue.
        """
        previous = Epoch(view.number - 1)
        alone = view.primary == host and view.backup is None
        return (
            alone and self.joined <= previous and self.is_vouched_for_number(previous)
        )

    def is_vouched_for_number(self, number: Epoch) -> bool:
        """Return whether the copy counts in some view with a number."""
        return any(view.number == number for view in self.vouched)

    def position_at(self, seq: int) -> Position | None:
        """Return the position of a sequence number, None if it is not in memory."""
        if seq == self.base.seq:
            return self.base
        if self.base.seq < seq <= self.last.seq:
            return Position(self._record_views[seq - self.base.seq - 1], seq)
        return None

    def runs_after(
        self, seq: int, limit_bytes: int = CHUNK_BYTES
    ) -> tuple[RecordRun, ...]:
        """Return the records after a sequence number, up to about `limit_bytes`."""
        start = seq - self.base.seq
        end, size_bytes = start, 0
        while end < len(self._records) and size_bytes < limit_bytes:
            size_bytes += len(self._records[end])
            end += 1
        return tuple(
            _runs(self._record_views[start:end], self._records[start:end], seq + 1)
        )

    def unapplied(self) -> Iterator[Record]:
        """Yield the records that are not known to be committed."""
        for record in self._records[self.applied.seq - self.base.seq :]:
            if record != EMPTY_RECORD:
                yield decode_record(record)

    # Changes.

    def apply(self, change: CopyChange) -> None:
        """Apply a change that is durable."""
        match change:
            case RecordRun():
                self._record_views.extend([change.view] * len(change.records))
                self._records.extend(change.records)
            case StoreCreated(store=store):
                self.store = store
            case ViewJoined(number=number):
                self.joined = max(self.joined, number)
                self.vouched = {v for v in self.vouched if v.number >= number}
            case ViewVouched(view=view):
                self.vouched.add(view)
            case Truncated(last=last):
                del self._record_views[last - self.base.seq :]
                del self._records[last - self.base.seq :]
            case SnapshotStarted(position=position):
                self.table = JobTable()
                self.base = self.applied = position
                self._record_views, self._records = [], []
            case SnapshotRecords(records=records):
                self.table.apply_all(decode_record(record) for record in records)

    def apply_to_table(self, committed: int) -> None:
        """Apply records up to a sequence number to the job table.

        While the table is frozen for a snapshot, nothing is applied; the next call
        catches up.
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
        del self._record_views[:count]
        del self._records[:count]
        self.base = position

    def snapshot_changes(self) -> Iterator[CopyChange]:
        """Yield changes that rebuild the copy, the records not yet applied last."""
        unapplied = self.runs_after(self.applied.seq, limit_bytes=1 << 62)
        yield StoreCreated(self.store)
        yield ViewJoined(self.joined)
        yield from [ViewVouched(view) for view in self.vouched]
        yield SnapshotStarted(self.applied)
        yield from (SnapshotRecords(part) for part in self.snapshot_parts())
        yield from unapplied

    def snapshot_parts(self) -> Iterator[tuple[bytes, ...]]:
        """Yield the encoded job table in parts of about `CHUNK_BYTES`."""
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
        """Return the reply with an outcome and the position of the copy."""
        counts = self.is_vouched_for_number(self.joined)
        return CopyReply(outcome, self.store, self.joined, self.last, counts)

    def on_append(self, message: AppendRecords) -> Decision:
        """Decide on records sent by a primary."""
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        join_changes = self._join_changes(message.view)
        if self.position_at(message.after.seq) != message.after:
            return Decision(CopyOutcome.MISSING, join_changes)
        changes = self._new_changes(message.runs)
        truncated = [change for change in changes if isinstance(change, Truncated)]
        if truncated and truncated[0].last < self.applied.seq:
            return Decision(CopyOutcome.MISSING, join_changes)
        return Decision(
            CopyOutcome.ACCEPTED, (*join_changes, *changes), committed=message.committed
        )

    def on_chunk(self, message: InstallChunk) -> Decision:
        """Decide on a part of a snapshot.

        A snapshot that ends before the copy's last record drops all vouchers.
        """
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        join_changes = self._join_changes(message.view)
        if message.index == 0:
            self._incoming_chunks = []
        if not self._is_next_chunk(message):
            return Decision(CopyOutcome.MISSING, join_changes)
        self._incoming_chunks.append(message)
        if not message.last:
            return Decision(CopyOutcome.ACCEPTED, join_changes)
        parts, self._incoming_chunks = self._incoming_chunks, []
        number = max(self.joined, message.view)
        vouched = [view for view in self.vouched if view.number >= number]
        if message.position.seq < self.last.seq:
            vouched = []
        changes: tuple[CopyChange, ...] = (
            StoreCreated(self.store),
            ViewJoined(number),
            *(ViewVouched(view) for view in vouched),
            SnapshotStarted(message.position),
            *(SnapshotRecords(part.records) for part in parts),
        )
        return Decision(CopyOutcome.ACCEPTED, changes, replaces=True)

    def on_vouch(self, message: Vouch) -> Decision:
        """Decide on a voucher for a view that is about to be proposed."""
        if message.view < self.joined:
            return Decision(CopyOutcome.REFUSED)
        join_changes = self._join_changes(message.view)
        if self.position_at(message.at.seq) != message.at:
            return Decision(CopyOutcome.MISSING, join_changes)
        return Decision(
            CopyOutcome.ACCEPTED, (*join_changes, ViewVouched(message.following))
        )

    def _join_changes(self, view: Epoch) -> tuple[CopyChange, ...]:
        return (ViewJoined(view),) if view > self.joined else ()

    def _is_next_chunk(self, message: InstallChunk) -> bool:
        if len(self._incoming_chunks) != message.index:
            return False
        first = self._incoming_chunks[0] if self._incoming_chunks else message
        return (first.view, first.position) == (message.view, message.position)

    def _new_changes(self, runs: Sequence[RecordRun]) -> list[CopyChange]:
        """Return the changes that add the records which the copy lacks.

        Records before the first missing one are equal on both copies.
        """
        changes: list[CopyChange] = []
        for run in runs:
            held_count = 0
            if not changes:
                held_count = self._count_held(run)
            if held_count == len(run.records):
                continue
            first = run.first + held_count
            if not changes and first <= self.last.seq:
                changes.append(Truncated(first - 1))
            changes.append(RecordRun(run.view, first, run.records[held_count:]))
        return changes

    def _count_held(self, run: RecordRun) -> int:
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
