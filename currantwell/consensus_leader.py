"""State of a leader during its term: replication progress and pending reads.

Invariants: a member's ``match_index`` covers only entries that the member reported as
synced; a read is confirmed only once a majority has replied to a request that was made
after the read.
"""

import dataclasses
from collections.abc import Sequence, Set

from .consensus_log import Log
from .consensus_messages import (
    AppendReply,
    AppendRequest,
    Entry,
    InstallRequest,
    MemberId,
)
from .consensus_voters import MemberHealth, VoterPolicy

__all__ = ["REGION_TIMING", "LeaderState", "PendingRead", "Progress", "RaftTiming"]

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024
_NEVER_S = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class RaftTiming:
    """Intervals and timeouts of the consensus protocol, in seconds.

    Parameters
    ----------
    heartbeat_s : float
        Interval between requests to voters and joining members while idle.
    resend_s : float
        Interval before a request is repeated to a member that has not replied to it
        but replied recently to an earlier one.
    nonvoter_heartbeat_s : float
        Interval between requests to nonvoters while idle.
    election_timeout_s : float
        Followers start an election when they have received nothing from a leader for
        this long; a leader that has no reply from a majority for this long steps down.
    election_retry_s : float
        How long a candidate waits for votes before it starts another election.
    election_jitter_s : float
        Upper bound of the random time added to ``election_timeout_s`` and
        ``election_retry_s``.
    """

    heartbeat_s: float = 0.75
    resend_s: float = 0.4
    nonvoter_heartbeat_s: float = 5.0
    election_timeout_s: float = 1.3
    election_retry_s: float = 0.3
    election_jitter_s: float = 0.4


# For hosts of one region, where elections end within a second, well within the timeout
# of an operator.
REGION_TIMING = RaftTiming(
    heartbeat_s=0.15,
    resend_s=0.15,
    nonvoter_heartbeat_s=0.5,
    election_timeout_s=0.5,
    election_retry_s=0.15,
    election_jitter_s=0.25,
)


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one member, as the leader sees it.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    last_reply_s : float
        Time of its last reply.
    heartbeat_interval_s : float
        Longest time between requests to it.
    resend_s : float
        Longest time between requests while a reply is outstanding.
    match_index : int
        Index up to which its synced log equals the leader's.
    sent_commit_index : int
        Commit index in the last request to it.
    round : int
        Newest round that it replied to.
    sent_s : float
        Time of the last request to it.
    entries_in_flight : bool
        Whether entries or a snapshot were sent that it has not acknowledged.
    entries_round : int
        Round in which entries or a snapshot were last sent. A reply to this round or a
        later one ends the wait for them, since members reply in order.
    replied : bool
        Whether it replied to the last request.
    """

    next_index: int
    last_reply_s: float
    heartbeat_interval_s: float
    resend_s: float
    match_index: int = 0
    sent_commit_index: int = 0
    round: int = 0
    sent_s: float = -1.0e9
    entries_in_flight: bool = False
    entries_round: int = 0
    replied: bool = True

    def next_send_s(self) -> float:
        """Return the latest time for the next request to the member."""
        responsive = self.sent_s - self.last_reply_s < 2 * self.heartbeat_interval_s
        resend = responsive and not self.replied
        return self.sent_s + (self.resend_s if resend else self.heartbeat_interval_s)

    def is_request_due(self, now_s: float, last_index: int, commit_index: int) -> bool:
        """Return whether to send the member a request now.

        A request that is due by time carries no entries while some are in flight; the
        reply to it shows whether they were lost.
        """
        if now_s >= self.next_send_s():
            return True
        behind = self.next_index <= last_index or self.sent_commit_index < commit_index
        return behind and not self.entries_in_flight


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A linearizable read that waits for confirmation by a majority.

    Parameters
    ----------
    number : int
        Identifies the read within the member.
    index : int
        Read index: the state must include this entry before it is read.
    round : int
        First round whose replies confirm the read.
    """

    number: int
    index: int
    round: int


class LeaderState:
    """State that a leader keeps for one term.

    A round is a set of requests that are sent together; replies repeat its number.

    Parameters
    ----------
    member : MemberId
        The leader.
    log : Log
        The leader's log.
    timing : RaftTiming
        Intervals between requests.
    now_s : float
        Time at which the term started.
    next_index : int
        Index of the first entry to send to the other members.
    """

    def __init__(
        self,
        member: MemberId,
        log: Log,
        timing: RaftTiming,
        now_s: float,
        next_index: int,
    ) -> None:
        self.start_index = log.last_index + 1
        self.round = 0
        self.peers: dict[MemberId, Progress] = {}
        self.reads: list[PendingRead] = []
        self._member = member
        self._log = log
        self._timing = timing
        self._requested_round = 0
        self._stopping_until_s: dict[MemberId, float] = {}
        self._presence_round: int | None = None
        self._track_peers(now_s, next_index)

    def update_peers(self, now_s: float) -> None:
        """Track the progress of exactly the other members in the membership."""
        self._track_peers(now_s, self._log.last_index + 1)

    def _track_peers(self, now_s: float, next_index: int) -> None:
        membership = self._log.membership
        nonvoters = set(membership.nonvoters)
        previous_peers = self.peers
        self.peers = {}
        for member in membership.members:
            if member == self._member:
                continue
            heartbeat_interval_s = self._timing.heartbeat_s
            if member in nonvoters:
                heartbeat_interval_s = self._timing.nonvoter_heartbeat_s
            new_progress = Progress(
                next_index,
                now_s,
                heartbeat_interval_s,
                self._timing.resend_s,
            )
            progress = previous_peers.get(member, new_progress)
            progress.heartbeat_interval_s = heartbeat_interval_s
            self.peers[member] = progress

    def next_send_s(self) -> float:
        """Return the latest time for the next request to any member."""
        return min(
            (progress.next_send_s() for progress in self.peers.values()),
            default=_NEVER_S,
        )

    def has_active_quorum(self, now_s: float) -> bool:
        """Return whether a majority of voters replied within the election timeout."""
        timeout_s = self._timing.election_timeout_s
        active = [
            progress is None or now_s - progress.last_reply_s < timeout_s
            for progress in self._voter_progress()
        ]
        return sum(active) >= self._log.membership.majority

    def expect_stop(self, member: MemberId, until_s: float) -> None:
        """Count on a member no more until some time, since it is about to stop."""
        self._stopping_until_s[member] = until_s

    def confirm_present(self, staying: Set[MemberId]) -> bool:
        """Return whether all voters that stay have replied, and are a majority.

        The replies are to requests that were made after the last call that returned
        true; the first call makes requests due.
        """
        if self._presence_round is None:
            self._presence_round = self.round + 1
        voters = staying & set(self._log.membership.voters)
        confirmed = len(voters) >= self._log.membership.majority and all(
            voter == self._member or self.peers[voter].round >= self._presence_round
            for voter in voters
        )
        if confirmed:
            self._presence_round = self.round + 1
        return confirmed

    def member_health(
        self, policy: VoterPolicy, commit_index: int, now_s: float
    ) -> MemberHealth:
        """Return which members are responsive, caught up, silent or lost."""
        silence_s = {
            member: now_s - progress.last_reply_s
            for member, progress in self.peers.items()
        }
        silent = [
            member
            for member in sorted(silence_s, key=silence_s.__getitem__, reverse=True)
            if silence_s[member] > policy.silent_after_s
        ]
        stopping = {
            member
            for member, until_s in self._stopping_until_s.items()
            if now_s < until_s
        }
        responsive = {self._member, *self.peers} - {*silent, *stopping}
        caught_up = {
            member
            for member in responsive.intersection(self.peers)
            if self.peers[member].match_index >= commit_index
        }
        lost = {
            member for member in silent if silence_s[member] > policy.remove_after_s
        }
        return MemberHealth(self._member, responsive, caught_up, silent, lost)

    def majority_match_index(self, synced_index: int) -> int:
        """Return the highest index up to which a majority of voters has synced.

        Parameters
        ----------
        synced_index : int
            Index up to which the leader itself has synced.
        """
        matches = [
            synced_index if progress is None else progress.match_index
            for progress in self._voter_progress()
        ]
        return sorted(matches, reverse=True)[self._log.membership.majority - 1]

    def record_reply(self, member: MemberId, reply: AppendReply, now_s: float) -> None:
        """Update a member's progress from a reply of this term.

        After a rejected append, the next index moves back by at least one, or to just
        after the index that the member proposes if that is lower.
        """
        progress = self.peers.get(member)
        if progress is None:
            return
        progress.last_reply_s = now_s
        progress.round = max(progress.round, reply.round)
        if reply.round >= progress.entries_round:
            progress.entries_in_flight = False
        progress.replied = True
        if reply.ok:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
        else:
            probe = min(progress.next_index - 1, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, probe)

    def add_read(self, number: int, commit_index: int) -> None:
        """Register a read; the next round confirms it.

        The read index is at least the first entry of this term: until that is
        committed, the leader does not know which earlier entries are.
        """
        index = max(commit_index, self.start_index)
        self.reads.append(PendingRead(number, index, self.round + 1))

    def take_confirmed_reads(self, commit_index: int) -> list[PendingRead]:
        """Remove and return the confirmed reads whose index is committed."""
        rounds = [
            self.round + 1 if progress is None else progress.round
            for progress in self._voter_progress()
        ]
        majority = self._log.membership.majority
        majority_round = sorted(rounds, reverse=True)[majority - 1]
        confirmed = [
            read
            for read in self.reads
            if read.index <= commit_index and read.round <= majority_round
        ]
        self.reads = [read for read in self.reads if read not in confirmed]
        return confirmed

    def due_requests(
        self, term: int, commit_index: int, now_s: float
    ) -> list[tuple[MemberId, AppendRequest | InstallRequest]]:
        """Start a round and return the requests that are due, if any.

        A pending read or stop that no round covers yet makes requests to all voters
        due.
        """
        awaited_rounds = [read.round for read in self.reads]
        if self._presence_round is not None:
            awaited_rounds.append(self._presence_round)
        round_needed = max(awaited_rounds, default=0) > self._requested_round
        voters = set(self._log.membership.voters)
        last = self._log.last_index
        members = [
            (member, progress)
            for member, progress in self.peers.items()
            if progress.is_request_due(now_s, last, commit_index)
            or (round_needed and member in voters)
        ]
        if members or round_needed:
            self.round += 1
        if round_needed:
            self._requested_round = self.round
        return [
            (member, self._make_request(progress, term, commit_index, now_s))
            for member, progress in members
        ]

    def _make_request(
        self, progress: Progress, term: int, commit_index: int, now_s: float
    ) -> AppendRequest | InstallRequest:
        """Return the request to send, without entries while some are in flight.

        It carries a snapshot if the log no longer holds the entry before the next one.
        """
        previous = progress.next_index - 1
        previous_term = self._log.term_at(previous)
        entries: Sequence[Entry] = ()
        if previous_term is not None and not progress.entries_in_flight:
            last = min(self._log.last_index, previous + MAX_BATCH_ENTRIES)
            entries = _limit_batch(self._log.slice(previous + 1, last))
        progress.sent_s = now_s
        progress.replied = False
        progress.sent_commit_index = commit_index
        if entries or previous_term is None:
            progress.entries_in_flight = True
            progress.entries_round = self.round
        if previous_term is None:
            return InstallRequest(term, self.round, self._log.snapshot)
        return AppendRequest(
            term, self.round, previous, previous_term, tuple(entries), commit_index
        )

    def _voter_progress(self) -> list[Progress | None]:
        """Return the progress of each voter, with None for the leader itself."""
        return [
            None if member == self._member else self.peers[member]
            for member in self._log.membership.voters
        ]


def _limit_batch(entries: Sequence[Entry]) -> Sequence[Entry]:
    """Return as many leading entries as fit `MAX_BATCH_BYTES`, but at least one."""
    size_bytes = 0
    for count, entry in enumerate(entries):
        size_bytes += len(entry.command or b"")
        if size_bytes > MAX_BATCH_BYTES:
            return entries[: max(1, count)]
    return entries
