"""What a leader knows in its term: how far each member is, and who waits to read.

Invariants: a member's ``match`` counts only what it said that it has synced; a
confirmed read is one for which a majority answered a request made after the read.
"""

import dataclasses
from collections.abc import Sequence

from .consensus_log import Log
from .consensus_messages import (
    AppendReply,
    AppendRequest,
    Entry,
    InstallRequest,
    MemberId,
)

__all__ = ["Leadership", "Progress", "RaftTiming", "Read"]

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024
_NEVER_S = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class RaftTiming:
    """How long members wait for each other.

    Parameters
    ----------
    heartbeat_s : float
        Pace of requests to voters and joining members while nothing changes.
    resend_s : float
        The same to a member that owes an answer but answered lately.
    nonvoter_heartbeat_s : float
        Pace to learners that stay so.
    election_timeout_s : float
        A leader that was not heard for so long may be replaced; one that has not
        heard a majority for so long steps down.
    election_retry_s : float
        How long a member waits for votes before it stands again.
    election_jitter_s : float
        Random part added to ``election_timeout_s`` and ``election_retry_s``.
    """

    heartbeat_s: float = 0.75
    resend_s: float = 0.4
    nonvoter_heartbeat_s: float = 5.0
    election_timeout_s: float = 1.3
    election_retry_s: float = 0.3
    election_jitter_s: float = 0.4


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a member is.

    Parameters
    ----------
    next_index : int
        The entry to send next.
    heard_s : float
        When it last answered.
    pace_s : float
        Longest time between requests to it.
    resend_s : float
        The same while it owes an answer.
    match : int
        Index up to which it holds what the leader holds, synced.
    told_commit : int
        The commit index that it was last told.
    round : int
        The newest round that it answered.
    sent_s : float
        When it was last sent a request.
    waiting : bool
        Whether entries are on their way to it.
    answered : bool
        Whether it answered the newest request.
    """

    next_index: int
    heard_s: float
    pace_s: float
    resend_s: float
    match: int = 0
    told_commit: int = 0
    round: int = 0
    sent_s: float = -1.0e9
    waiting: bool = False
    answered: bool = True

    def due_s(self) -> float:
        """Return when the member should be sent a request at the latest."""
        heard_lately = self.sent_s - self.heard_s < 2 * self.pace_s
        resends = heard_lately and not self.answered
        return self.sent_s + (self.resend_s if resends else self.pace_s)

    def due(self, now_s: float, last_index: int, commit: int) -> bool:
        """Tell whether the member should be sent a request now."""
        if now_s >= self.due_s():
            self.waiting = False
            return True
        behind = self.next_index <= last_index or self.told_commit < commit
        return behind and not self.waiting


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read that waits for its confirmation.

    Parameters
    ----------
    number : int
        Its number.
    index : int
        The state must hold this entry before it is read.
    round : int
        A majority must answer this round or a later one.
    """

    number: int
    index: int
    round: int


class Leadership:
    """A leader's knowledge in one term.

    Parameters
    ----------
    member : MemberId
        The leader.
    log : Log
        Its log.
    timing : RaftTiming
        Paces.
    now_s : float
        When the term began.
    """

    def __init__(
        self, member: MemberId, log: Log, timing: RaftTiming, now_s: float
    ) -> None:
        self.start_index = log.last_index + 1
        self.round = 0
        self.peers: dict[MemberId, Progress] = {}
        self.reads: list[Read] = []
        self._member = member
        self._log = log
        self._timing = timing
        self._asked_round = 0
        self.follow_membership(now_s)

    def follow_membership(self, now_s: float) -> None:
        """Keep progress of exactly the members there are."""
        membership = self._log.membership
        followers = set(membership.followers)
        known = self.peers
        self.peers = {}
        for member in membership.members:
            if member == self._member:
                continue
            pace_s = self._timing.heartbeat_s
            if member in followers:
                pace_s = self._timing.nonvoter_heartbeat_s
            fresh = Progress(
                self._log.last_index + 1, now_s, pace_s, self._timing.resend_s
            )
            progress = known.get(member, fresh)
            progress.pace_s = pace_s
            self.peers[member] = progress

    def due_s(self) -> float:
        """Return when the next request is due at the latest."""
        return min((each.due_s() for each in self.peers.values()), default=_NEVER_S)

    def hears_majority(self, now_s: float) -> bool:
        """Tell whether a majority of voters answered lately."""
        limit_s = self._timing.election_timeout_s
        heard = [
            progress is None or now_s - progress.heard_s < limit_s
            for progress in self._voters()
        ]
        return sum(heard) >= self._log.membership.majority

    def agreed_index(self, saved_index: int) -> int:
        """Return the index up to which a majority holds everything."""
        matches = [
            saved_index if progress is None else progress.match
            for progress in self._voters()
        ]
        return sorted(matches, reverse=True)[self._log.membership.majority - 1]

    def answered(self, member: MemberId, reply: AppendReply, now_s: float) -> None:
        """Take in a reply of this term."""
        progress = self.peers.get(member)
        if progress is None:
            return
        progress.heard_s = now_s
        progress.round = max(progress.round, reply.round)
        progress.waiting = False
        progress.answered = True
        if reply.ok:
            progress.match = max(progress.match, reply.match)
            progress.next_index = progress.match + 1
        else:
            probe = min(progress.next_index - 1, reply.match + 1)
            progress.next_index = max(progress.match + 1, probe)

    def read_barrier(self, number: int, commit: int) -> None:
        """Begin the confirmation of a read."""
        index = max(commit, self.start_index)
        self.reads.append(Read(number, index, self.round + 1))

    def confirmed(self, commit: int) -> list[Read]:
        """Take out the reads that are confirmed."""
        rounds = [
            self.round + 1 if progress is None else progress.round
            for progress in self._voters()
        ]
        majority = self._log.membership.majority
        agreed_round = sorted(rounds, reverse=True)[majority - 1]
        ready = [
            read
            for read in self.reads
            if read.index <= commit and read.round <= agreed_round
        ]
        self.reads = [read for read in self.reads if read not in ready]
        return ready

    def requests(
        self, term: int, commit: int, now_s: float
    ) -> list[tuple[MemberId, AppendRequest | InstallRequest]]:
        """Begin a round and return the requests that are due, if any."""
        unasked = any(read.round > self._asked_round for read in self.reads)
        voters = set(self._log.membership.voters)
        last = self._log.last_index
        members = [
            (member, progress)
            for member, progress in self.peers.items()
            if progress.due(now_s, last, commit) or (unasked and member in voters)
        ]
        if members or unasked:
            self.round += 1
        if unasked:
            self._asked_round = self.round
        return [
            (member, self._request(progress, term, commit, now_s))
            for member, progress in members
        ]

    def _request(
        self, progress: Progress, term: int, commit: int, now_s: float
    ) -> AppendRequest | InstallRequest:
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        entries: Sequence[Entry] = ()
        if previous_term is not None and not progress.waiting:
            last = min(self._log.last_index, previous + MAX_BATCH_ENTRIES)
            entries = _first_of(self._log.slice(previous + 1, last))
        progress.sent_s = now_s
        progress.answered = False
        progress.told_commit = commit
        if previous_term is None:
            progress.waiting = True
            return InstallRequest(term, self.round, self._log.snapshot)
        progress.waiting = progress.waiting or bool(entries)
        return AppendRequest(
            term, self.round, previous, previous_term, tuple(entries), commit
        )

    def _voters(self) -> list[Progress | None]:
        """Return the progress of each voter, None for the leader itself."""
        return [
            None if member == self._member else self.peers[member]
            for member in self._log.membership.voters
        ]


def _first_of(entries: Sequence[Entry]) -> Sequence[Entry]:
    """Return the first entries, as many as one request carries, at least one."""
    size_bytes = 0
    for count, entry in enumerate(entries):
        size_bytes += len(entry.command or b"")
        if size_bytes > MAX_BATCH_BYTES:
            return entries[: max(1, count)]
    return entries
