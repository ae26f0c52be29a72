"""In-memory log of a member: a snapshot and the entries after it.

Invariants: indexes have no gaps; the membership is that of the newest entry that
carries one, committed or not, or else that of the snapshot. Some entries before the
snapshot's index may be retained, so that members that are only a little behind need no
snapshot.
"""

from collections.abc import Sequence

from .consensus_messages import Entry, MemberId, Membership, Snapshot

__all__ = ["Log"]


class Log:
    """Log of a member.

    Parameters
    ----------
    snapshot : Snapshot
        State after the compacted entries.
    entries : sequence of Entry
        All entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self._start_index = 0
        self._start_term = 0
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = []
        self._compacted_members: set[MemberId] = set()
        self._reset(snapshot, entries)

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self._start_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self._start_term

    @property
    def membership(self) -> Membership:
        """Newest membership, committed or not."""
        if self._memberships:
            return self._memberships[-1][1]
        return self.snapshot.membership

    @property
    def earlier_membership(self) -> Membership:
        """Membership before the newest change."""
        if len(self._memberships) > 1:
            return self._memberships[-2][1]
        return self.snapshot.membership

    @property
    def membership_index(self) -> int:
        """Index of the entry that carries the newest membership."""
        return self._memberships[-1][0] if self._memberships else self.snapshot.index

    def has_listed(self, member: MemberId) -> bool:
        """Return whether any membership that this log has held includes a member."""
        held = [self.snapshot.membership, *(held for _, held in self._memberships)]
        return member in self._compacted_members or any(
            member in membership.members for membership in held
        )

    def membership_at(self, index: int) -> Membership:
        """Return the membership as of an index that is not before the snapshot's."""
        found = self.snapshot.membership
        for at, membership in self._memberships:
            if at <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not hold it."""
        if index == self._start_index:
            return self._start_term
        if self._start_index < index <= self.last_index:
            return self._entries[index - self._start_index - 1].term
        return None

    def slice(self, first: int, last: int) -> Sequence[Entry]:
        """Return the entries from one index to another, both inclusive."""
        return self._entries[first - self._start_index - 1 : last - self._start_index]

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries that directly follow the newest one."""
        self._entries.extend(entries)
        self._memberships.extend(
            (entry.index, entry.membership)
            for entry in entries
            if entry.membership is not None
        )

    def truncate(self, last: int) -> None:
        """Remove all entries after an index."""
        del self._entries[last - self._start_index :]
        while self._memberships and self._memberships[-1][0] > last:
            self._memberships.pop()

    def compact(self, snapshot: Snapshot, keep: int, keep_bytes: int) -> None:
        """Replace the entries up to a snapshot's index by it.

        Parameters
        ----------
        snapshot : Snapshot
            The snapshot.
        keep : int
            Number of entries up to its index to retain nonetheless.
        keep_bytes : int
            Total size of their commands, so that fewer are retained if they are large.
        """
        for index, membership in self._memberships:
            if index <= snapshot.index:
                self._compacted_members.update(membership.members)
        self.snapshot = snapshot
        start = max(self._start_index, snapshot.index - keep)
        size_bytes = 0
        for entry in reversed(self.slice(start + 1, snapshot.index)):
            size_bytes += len(entry.command or b"")
            if size_bytes > keep_bytes:
                start = entry.index
                break
        term = self.term_at(start)
        assert term is not None
        del self._entries[: start - self._start_index]
        self._start_index, self._start_term = start, term
        self._memberships = [
            pair for pair in self._memberships if pair[0] > snapshot.index
        ]

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot, keeping the entries that continue it."""
        kept: Sequence[Entry] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            kept = list(self.slice(snapshot.index + 1, self.last_index))
        self._reset(snapshot, kept)

    def _reset(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.snapshot = snapshot
        self._start_index = snapshot.index
        self._start_term = snapshot.term
        self._entries.clear()
        self._memberships.clear()
        self.append(entries)
