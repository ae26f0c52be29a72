"""Terms, votes and elections of one member, as in Raft with pre-votes.

Invariants: a vote, including the member's own, is counted only once it is synced; a
member grants no vote while it has an active leader; a member becomes a candidate only
after it has won a pre-vote, so that a member that was partitioned does not disrupt the
cluster when it reconnects.
"""

import enum
from collections.abc import Sequence

from .consensus_leader import LeaderState, RaftTiming
from .consensus_log import Log
from .consensus_messages import (
    ClusterId,
    Entry,
    Envelope,
    HardState,
    MemberId,
    Membership,
    Message,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from .consensus_output import Output
from .consensus_voters import VoterPolicy

__all__ = ["FIRST_TERM", "NEVER_S", "ElectionState", "Role"]

NEVER_S = float("inf")
# Term in which a member forms a cluster.
FIRST_TERM = 1


class Role(enum.Enum):
    """Role of a member; a pre-candidate asks whether it would be elected."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ElectionState:
    """Election part of a member.

    Parameters
    ----------
    member : MemberId
        The member.
    hard_state : HardState
        Last synced hard state.
    snapshot : Snapshot
        Last synced snapshot; the caller has already restored its data.
    entries : sequence of Entry
        All synced entries after the snapshot.
    timing : RaftTiming
        Intervals and timeouts.
    voter_policy : VoterPolicy or None
        When a leader changes who votes. Without one it makes voters of all members
        that join in order to vote, and takes none out.
    """

    def __init__(
        self,
        member: MemberId,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[Entry] = (),
        timing: RaftTiming | None = None,
        voter_policy: VoterPolicy | None = None,
    ) -> None:
        self.member = member
        self.role = Role.FOLLOWER
        self.leader: MemberId | None = None
        self.log = Log(snapshot or Snapshot(), entries)
        self.commit_index = self.log.snapshot.index
        self._hard_state = hard_state or HardState()
        self._timing = timing or RaftTiming()
        self._voter_policy = voter_policy
        self._leader_state: LeaderState | None = None
        self._votes: set[MemberId] = set()
        self._read_count = 0
        self._now_s = 0.0
        self._jitter = 0.0
        self._election_deadline_s = NEVER_S
        self._last_leader_message_s = 0.0
        self._hard_state_changed = False
        self._new_snapshot: Snapshot | None = None
        self._next_output_index = self.log.last_index + 1
        self._synced_index = self.log.last_index
        self._delivered_index = self.commit_index
        self._output = Output()

    @property
    def term(self) -> int:
        """Newest term that the member has seen."""
        return self._hard_state.term

    @property
    def cluster(self) -> ClusterId | None:
        """Cluster that the member belongs to, None if it has not joined one."""
        return self._hard_state.cluster

    @property
    def membership(self) -> Membership:
        """Membership by the newest entry that has one, committed or not."""
        return self.log.membership

    @property
    def next_tick_s(self) -> float:
        """Latest time for the next call of `Consensus.tick`."""
        if self._leader_state is not None:
            return self._leader_state.next_send_s()
        return self._election_deadline_s if self._may_campaign() else NEVER_S

    def _is_stale_term(self, term: int) -> bool:
        return term < self.term

    def _matches_cluster(self, cluster: ClusterId) -> bool:
        """Return whether a cluster is the member's own; adopt it if there is none."""
        if self._hard_state.cluster is None:
            self._set_hard_state(
                HardState(cluster, self._hard_state.term, self._hard_state.vote)
            )
        return self._hard_state.cluster == cluster

    def _set_hard_state(self, hard_state: HardState) -> None:
        self._hard_state = hard_state
        self._hard_state_changed = True

    def _may_campaign(self) -> bool:
        """Return whether the member votes, or did before an uncommitted change.

        The second case matters if only this member has the entry of its own removal:
        it refuses its vote to members that lack the entry, so if it did not campaign
        either, possibly no member could be elected. A member whose first entry is not
        synced waits for that.
        """
        if not self._synced_index and not self.log.snapshot.index:
            return False
        voters = self.membership.voters
        if self.log.membership_index > self.commit_index:
            voters += self.log.earlier_membership.voters
        return self.member in voters

    def _reset_election_timer(self, min_wait_s: float | None = None) -> None:
        wait_s = self._timing.election_timeout_s if min_wait_s is None else min_wait_s
        self._election_deadline_s = (
            self._now_s + wait_s + self._jitter * self._timing.election_jitter_s
        )

    def _become_follower(self, term: int, leader: MemberId | None) -> None:
        if term > self.term:
            self._set_hard_state(HardState(self.cluster, term))
        if self.role is not Role.FOLLOWER:
            self._reset_election_timer()
        if self._leader_state is not None:
            self._output.failed_reads.extend(self._leader_state.reads)
            self._leader_state = None
        self.role = Role.FOLLOWER
        self.leader = leader

    def _check_quorum(self) -> None:
        leader_state = self._leader_state
        if leader_state is not None and not leader_state.has_active_quorum(self._now_s):
            self._become_follower(self.term, None)

    def has_active_leader(self) -> bool:
        """Return whether this member leads, or has heard from a leader of late."""
        if self._leader_state is not None:
            return True
        silence_s = self._now_s - self._last_leader_message_s
        return self.leader is not None and silence_s < self._timing.election_timeout_s

    def _start_election(self, role: Role) -> None:
        """Request votes as a pre-candidate or as a candidate."""
        self.role = role
        self.leader = None
        self._votes = set()
        self._reset_election_timer(self._timing.election_retry_s)
        pre_vote = role is Role.PRE_CANDIDATE
        term = self.term + 1
        if not pre_vote:
            self._set_hard_state(HardState(self.cluster, term, self.member))
        request = VoteRequest(term, self.log.last_index, self.log.last_term, pre_vote)
        for voter in self.membership.voters:
            if voter != self.member:
                self._send_after_sync(voter, request)
        if pre_vote:
            self._count_vote(self.member)

    def _count_vote(self, voter: MemberId) -> None:
        self._votes.add(voter)
        voters = self.membership.voters
        if len(self._votes.intersection(voters)) < self.membership.majority:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(Role.CANDIDATE)
        else:
            self._become_leader()

    def _handle_vote_request(self, sender: MemberId, request: VoteRequest) -> None:
        granted = False
        if not self.has_active_leader():
            if not request.pre_vote and request.term > self.term:
                self._become_follower(request.term, None)
            granted = self._may_grant_vote(sender, request)
        if granted and not request.pre_vote:
            self._set_hard_state(HardState(self.cluster, self.term, sender))
            self._reset_election_timer()
        self._send_after_sync(
            sender, VoteReply(self.term, request.term, request.pre_vote, granted)
        )

    def _may_grant_vote(self, sender: MemberId, request: VoteRequest) -> bool:
        candidate_log = (request.last_term, request.last_index)
        if candidate_log < (self.log.last_term, self.log.last_index):
            return False
        if request.pre_vote:
            return request.term > self.term
        return request.term == self.term and self._hard_state.vote in (None, sender)

    def _handle_vote_reply(self, sender: MemberId, reply: VoteReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None)
            return
        request_term = self.term + 1 if reply.pre_vote else self.term
        role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        if reply.granted and self.role is role and reply.request_term == request_term:
            self._count_vote(sender)

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.member
        # Only a member that has formed its cluster begins a term with entries of it.
        others_lack_newest = self.log.last_term == self.term
        self._leader_state = LeaderState(
            self.member,
            self.log,
            self._timing,
            self._now_s,
            self.log.last_index + (not others_lack_newest),
        )
        self._append([Entry(self.log.last_index + 1, self.term)])

    def _append(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        changed = any(entry.membership is not None for entry in entries)
        if changed and self._leader_state is not None:
            self._leader_state.update_peers(self._now_s)

    def _send_now(self, to: MemberId, message: Message) -> None:
        assert self.cluster is not None
        self._output.messages.append(Envelope(self.cluster, self.member, to, message))

    def _send_after_sync(self, to: MemberId, message: Message) -> None:
        assert self.cluster is not None
        self._output.replies.append(Envelope(self.cluster, self.member, to, message))
