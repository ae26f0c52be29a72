"""The primary's side of one view: what is sent to which copy, and what is committed.

It does no I/O and reads no clock. Invariants: a record is committed once it is
synced here and on every copy that counts, in the order in which records were added;
a copy that is about to count is waited for from before it is vouched for; a backup
that came back without its disk has forgotten which views it joined, so that its answers
prove nothing; a primary whose own copy has joined a newer view is over.
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
        The copy holds and has synced all up to this sequence number.
    known : bool
        Whether the copy has answered where it stands.
    counts : bool
        Whether the copy says that it counts.
    chunks : list of InstallChunk
        The rest of a snapshot on its way.
    """

    matched: int = 0
    known: bool = False
    counts: bool = True
    probe: Position | None = None
    chunks: list[InstallChunk] = dataclasses.field(default_factory=list)
    store: str = ""


class JobPrimary:
    """The log of a primary in one view.

    Parameters
    ----------
    copy : JobCopy
        The primary's own copy; its owner applies what `take_unwritten` returned once
        synced.
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
        self._untaken: list[RecordRun] = []
        if view.backup is not None:
            self.follow(view.backup)
            self.required.add(view.backup)

    @property
    def deposed(self) -> bool:
        """Whether a newer view is known to have taken over."""
        return self._refused or self.copy.joined > self.view.number

    def add(self, records: Sequence[bytes]) -> int:
        """Put records in the order; return the sequence number of the last."""
        if records:
            run = RecordRun(self.view.number, self._last_seq + 1, tuple(records))
            self._last_seq += len(records)
            self._unsynced.append(run)
            self._untaken.append(run)
        return self._last_seq

    def add_barrier(self) -> int:
        """Put an empty record in the order; once it is committed, so is all before."""
        return self.add([EMPTY_RECORD])

    def take_unwritten(self) -> list[RecordRun]:
        """Return the records that have to be synced here next."""
        taken, self._untaken = self._untaken, []
        return taken

    def mark_synced(self, runs: Sequence[RecordRun]) -> None:
        """Note that runs of `take_unwritten` are synced and applied to the copy."""
        del self._unsynced[: len(runs)]
        self._advance()

    # Other copies.

    def follow(self, host: HostId) -> Follower:
        """Send to a host's copy from now on."""
        return self.followers.setdefault(host, Follower())

    def unfollow(self, host: HostId) -> None:
        """Send nothing more to a copy that does not count."""
        if host not in self.required:
            self.followers.pop(host, None)

    def message_for(self, host: HostId) -> AppendRecords | InstallChunk:
        """Return what the host's copy needs next; a heartbeat if nothing."""
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
        """Tell whether there is more than a heartbeat for a host."""
        follower = self.followers[host]
        behind = follower.matched < self._last_seq
        return not follower.known or bool(follower.chunks) or behind

    def on_reply(
        self, host: HostId, sent: AppendRecords | InstallChunk | Vouch, reply: CopyReply
    ) -> None:
        """Take in a copy's answer."""
        follower = self.followers.get(host)
        if reply.outcome is CopyOutcome.REFUSED:
            self._refused = True
        if follower is None or reply.outcome is CopyOutcome.REFUSED:
            return
        if follower.store not in ("", reply.store):
            self.followers[host] = follower = Follower()
        follower.store = reply.store
        follower.counts = reply.joined == self.view.number and reply.counts
        if isinstance(sent, InstallChunk):
            self._on_chunk_reply(follower, sent, reply)
        elif reply.outcome is CopyOutcome.MISSING:
            self._on_missing(follower, sent, reply)
        elif isinstance(sent, AppendRecords):
            count = sum(len(run.records) for run in sent.runs)
            follower.matched = max(follower.matched, sent.after.seq + count)
            follower.known = True
            self._advance()

    def rules_out_newer_view(self, host: HostId) -> bool:
        """Tell whether a host's answers prove that it has joined no newer view."""
        follower = self.followers.get(host)
        if follower is None:
            return False
        return follower.counts or host != self.view.backup

    def is_synced_to(self, host: HostId, seq: int) -> bool:
        """Tell whether a host's copy is synced up to a sequence number."""
        follower = self.followers.get(host)
        return follower is not None and follower.known and follower.matched >= seq

    def require(self, host: HostId) -> int:
        """Commit nothing more without a host's copy; return the last number."""
        self.required.add(host)
        return self._last_seq

    def vouch(self, host: HostId, following: View) -> Vouch:
        """Return the voucher for a host's copy in a view about to be proposed.

        The copy is waited for since `require`, so that all that was told stands
        before the position named.
        """
        follower = self.followers[host]
        at = self.copy.position_at(min(follower.matched, self.copy.last.seq))
        assert at is not None
        return Vouch(self.view.data_centre, self.view.number, following, at)

    def keep_from(self) -> int:
        """Return the first sequence number that other copies still need."""
        needed = [f.chunks[0].position.seq for f in self.followers.values() if f.chunks]
        oldest = self.copy.applied.seq - TAIL_RECORDS
        known = [f.matched for f in self.followers.values() if f.known]
        needed += [matched for matched in known if matched > oldest]
        return min(needed, default=self.copy.applied.seq)

    def _next_runs(self, follower: Follower) -> tuple[Position, tuple[RecordRun, ...]]:
        if not follower.known:
            return follower.probe or self.copy.last, ()
        after = self._position_at(follower.matched)
        if after is None:
            follower.known, follower.probe = False, None
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
            self._install(follower)
            return
        follower.chunks.pop(0)
        if not follower.chunks:
            follower.matched, follower.known = sent.position.seq, True

    def _on_missing(
        self, follower: Follower, sent: AppendRecords | Vouch, reply: CopyReply
    ) -> None:
        """Find a position that both copies hold, or send a snapshot."""
        if follower.known or isinstance(sent, Vouch):
            follower.known, follower.probe = False, None
            return
        for position in (reply.last, self.copy.applied, self.copy.base):
            fresh = position.seq < sent.after.seq
            if fresh and self._position_at(position.seq) == position:
                follower.probe = position
                return
        self._install(follower)

    def _install(self, follower: Follower) -> None:
        position = self.copy.applied
        parts = list(self.copy.snapshot_parts())
        follower.known, follower.probe = False, None
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

    def _advance(self) -> None:
        known = [self.copy.last.seq]
        for host in self.required:
            follower = self.followers.get(host)
            sure = (
                follower is not None
                and follower.known
                and self.rules_out_newer_view(host)
            )
            known.append(follower.matched if follower and sure else 0)
        self.committed = max(self.committed, min(known))
        self.copy.apply_to_table(self.committed)
