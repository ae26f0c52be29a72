"""The primary's log of one view: what to send to which copy, and what is committed.

It does no I/O and reads no clock. Invariants:

- a record is committed once it is synced on this host and on every copy that counts, in
  the order in which records were added;
- a copy that is about to count is required for commits from before it is vouched for;
- a backup that rejoined without its disk has forgotten which views it joined, so its
  replies are no evidence that there is no newer view;
- a primary whose own copy has joined a newer view is deposed.
"""

import dataclasses
from collections.abc import Sequence

from .copy_messages import (
    EMPTY_RECORD,
    AppendRecords,
    CopyOutcome,
    CopyReply,
    InstallChunk,
    Position,
    RecordRun,
    Vouch,
)
from .ids import HostId
from .job_copy import JobCopy
from .views import View

__all__ = ["Follower", "JobPrimary"]

TAIL_RECORDS = 20_000


@dataclasses.dataclass(slots=True)
class Follower:
    """What the primary knows of another host's copy.

    Parameters
    ----------
    matched : int
        Sequence number up to which the copy holds and has synced all records.
    position_known : bool
        Whether the copy has confirmed a position that both copies hold.
    has_voucher : bool
        Whether the copy reports a voucher for this view.
    probe : Position or None
        The position to ask for next, None for the primary's last one.
    chunks : list of InstallChunk
        The parts of a snapshot that are still to be sent.
    store : str
        Id of the store that replied last; empty before the first reply.
    """

    matched: int = 0
    position_known: bool = False
    has_voucher: bool = True
    probe: Position | None = None
    chunks: list[InstallChunk] = dataclasses.field(default_factory=list)
    store: str = ""


class JobPrimary:
    """The log of a primary in one view.

    Parameters
    ----------
    copy : JobCopy
        The primary's own copy; its owner syncs and applies the result of
        `take_unwritten`.
    view : View
        The view; this host is its primary.
    """

    def __init__(self, copy: JobCopy, view: View) -> None:
        self.copy = copy
        self.view = view
        self._refused = False
        self.followers: dict[HostId, Follower] = {}
        self.required: set[HostId] = set()
        self.committed = copy.applied.seq
        self._last_seq = copy.last.seq
        self._unsynced: list[RecordRun] = []
        self._unwritten: list[RecordRun] = []
        if view.backup is not None:
            self.follow(view.backup)
            self.required.add(view.backup)

    @property
    def deposed(self) -> bool:
        """Whether a newer view is known to have taken over."""
        return self._refused or self.copy.joined > self.view.number

    def add(self, records: Sequence[bytes]) -> int:
        """Append records to the log; return the sequence number of the last one."""
        if records:
            run = RecordRun(self.view.number, self._last_seq + 1, tuple(records))
            self._last_seq += len(records)
            self._unsynced.append(run)
            self._unwritten.append(run)
        return self._last_seq

    def add_barrier(self) -> int:
        """Append an empty record; its commit commits all records before it."""
        return self.add([EMPTY_RECORD])

    def take_unwritten(self) -> list[RecordRun]:
        """Return the records to be synced on this host next."""
        unwritten, self._unwritten = self._unwritten, []
        return unwritten

    def mark_synced(self, runs: Sequence[RecordRun]) -> None:
        """Record that runs from `take_unwritten` are synced and applied to the copy."""
        del self._unsynced[: len(runs)]
        self._update_committed()

    # Other copies.

    def follow(self, host: HostId) -> Follower:
        """Start to replicate to a host's copy."""
        return self.followers.setdefault(host, Follower())

    def unfollow(self, host: HostId) -> None:
        """Stop replicating to a host's copy unless it is required."""
        if host not in self.required:
            self.followers.pop(host, None)

    def message_for(self, host: HostId) -> AppendRecords | InstallChunk:
        """Return the next message for a host's copy; a heartbeat if up to date."""
        follower = self.followers[host]
        if follower.chunks:
            return follower.chunks[0]
        after, runs = self._next_runs(follower)
        return AppendRecords(
            self.view.data_centre,
            self.view.number,
            after,
            runs,
            self.committed,
        )

    def has_pending(self, host: HostId) -> bool:
        """Return whether there is more than a heartbeat to send to a host."""
        follower = self.followers[host]
        behind = follower.matched < self._last_seq
        return not follower.position_known or bool(follower.chunks) or behind

    def on_reply(
        self, host: HostId, sent: AppendRecords | InstallChunk | Vouch, reply: CopyReply
    ) -> None:
        """Process a copy's reply."""
        follower = self.followers.get(host)
        if reply.outcome is CopyOutcome.REFUSED:
            self._refused = True
        if follower is None or reply.outcome is CopyOutcome.REFUSED:
            return
        if follower.store not in ("", reply.store):
            self.followers[host] = follower = Follower()
        follower.store = reply.store
        follower.has_voucher = reply.joined == self.view.number and reply.counts
        if isinstance(sent, InstallChunk):
            self._on_chunk_reply(follower, sent, reply)
        elif reply.outcome is CopyOutcome.MISSING:
            self._on_missing(follower, sent, reply)
        elif isinstance(sent, AppendRecords):
            count = sum(len(run.records) for run in sent.runs)
            follower.matched = max(follower.matched, sent.after.seq + count)
            follower.position_known = True
            self._update_committed()

    def rules_out_newer_view(self, host: HostId) -> bool:
        """Return whether a host's replies prove that it has joined no newer view."""
        follower = self.followers.get(host)
        if follower is None:
            return False
        return follower.has_voucher or host != self.view.backup

    def is_synced_to(self, host: HostId, seq: int) -> bool:
        """Return whether a host's copy is synced up to a sequence number."""
        follower = self.followers.get(host)
        return (
            follower is not None and follower.position_known and follower.matched >= seq
        )

    def require(self, host: HostId) -> int:
        """Require a host's copy for each commit; return the last sequence number."""
        self.required.add(host)
        return self._last_seq

    def vouch(self, host: HostId, next_view: View) -> Vouch:
        """Return the voucher for a host's copy in a view that is about to be proposed.

        The copy has been required since `require`, so everything acknowledged is at or
        before the position in the voucher.
        """
        follower = self.followers[host]
        at = self.copy.position_at(min(follower.matched, self.copy.last.seq))
        assert at is not None
        return Vouch(self.view.data_centre, self.view.number, next_view, at)

    def keep_from(self) -> int:
        """Return the first sequence number that other copies still need."""
        needed = [f.chunks[0].position.seq for f in self.followers.values() if f.chunks]
        oldest = self.copy.applied.seq - TAIL_RECORDS
        matched = [f.matched for f in self.followers.values() if f.position_known]
        needed += [seq for seq in matched if seq > oldest]
        return min(needed, default=self.copy.applied.seq)

    def _next_runs(self, follower: Follower) -> tuple[Position, tuple[RecordRun, ...]]:
        if not follower.position_known:
            return follower.probe or self.copy.last, ()
        after = self._position_at(follower.matched)
        if after is None:
            follower.position_known, follower.probe = False, None
            return self.copy.last, ()
        runs = self.copy.runs_after(follower.matched)
        end = follower.matched + sum(len(run.records) for run in runs)
        if end >= self.copy.last.seq:
            runs = (*runs, *(run for run in self._unsynced if run.first > end))
        return after, runs

    def _position_at(self, seq: int) -> Position | None:
        if self.copy.last.seq < seq <= self._last_seq:
            return Position(self.view.number, seq)
        return self.copy.position_at(seq)

    def _on_chunk_reply(
        self, follower: Follower, sent: InstallChunk, reply: CopyReply
    ) -> None:
        if not follower.chunks or follower.chunks[0] != sent:
            return
        if reply.outcome is CopyOutcome.MISSING:
            self._start_snapshot(follower)
            return
        follower.chunks.pop(0)
        if not follower.chunks:
            follower.matched, follower.position_known = sent.position.seq, True

    def _on_missing(
        self, follower: Follower, sent: AppendRecords | Vouch, reply: CopyReply
    ) -> None:
        """Find a position that both copies hold, or start to send a snapshot."""
        if follower.position_known or isinstance(sent, Vouch):
            follower.position_known, follower.probe = False, None
            return
        for position in (reply.last, self.copy.applied, self.copy.base):
            is_earlier = position.seq < sent.after.seq
            if is_earlier and self._position_at(position.seq) == position:
                follower.probe = position
                return
        self._start_snapshot(follower)

    def _start_snapshot(self, follower: Follower) -> None:
        position = self.copy.applied
        parts = list(self.copy.snapshot_parts())
        follower.position_known, follower.probe = False, None
        follower.chunks = [
            InstallChunk(
                self.view.data_centre,
                self.view.number,
                position,
                index,
                index == len(parts) - 1,
                part,
            )
            for index, part in enumerate(parts)
        ]

    def _update_committed(self) -> None:
        synced = [self.copy.last.seq]
        for host in self.required:
            follower = self.followers.get(host)
            usable = (
                follower is not None
                and follower.position_known
                and self.rules_out_newer_view(host)
            )
            synced.append(follower.matched if follower and usable else 0)
        self.committed = max(self.committed, min(synced))
        self.copy.apply_to_table(self.committed)
