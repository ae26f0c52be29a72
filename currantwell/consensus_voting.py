"""Terms, votes and elections of one member of the agreement, after Raft.

Invariants: a vote is counted, also the member's own, only once it is synced; no one
votes while it hears a leader; a member stands only after a trial that would have
been won, so that one that was cut off disturbs no one when it returns.
"""

import enum
from collections.abc import Sequence

from .consensus_leader import Leadership, RaftTiming
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

__all__ = ["NEVER_S", "Role", "VotingMember"]

NEVER_S = float("inf")


class Role(enum.Enum):
    """What a member does at present; on trial it asks whether it would be elected."""

    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VotingMember:
    """A member as far as elections go.

    Parameters
    ----------
    member : MemberId
        The member.
    hard_state : HardState
        As last synced.
    snapshot : Snapshot
        As last synced; its data is already restored.
    entries : sequence of Entry
        All synced entries after the snapshot.
    timing : RaftTiming
        How long to wait for others.
    """

    def __init__(
        self,
        member: MemberId,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Sequence[Entry] = (),
        timing: RaftTiming | None = None,
    ) -> None:
        self.member = member
        self.role = Role.FOLLOWER
        self.leader: MemberId | None = None
        self.log = Log(snapshot or Snapshot(), entries)
        self.commit = self.log.snapshot.index
        self._hard = hard_state or HardState()
        self._timing = timing or RaftTiming()
        self._leadership: Leadership | None = None
        self._votes: set[MemberId] = set()
        self._read_count = 0
        self._now_s = 0.0
        self._jitter = 0.0
        self._deadline_s = NEVER_S
        self._leader_heard_s = 0.0
        self._hard_is_new = False
        self._new_snapshot: Snapshot | None = None
        self._new_from = self.log.last_index + 1
        self._saved_index = self.log.last_index
        self._handed_index = self.commit
        self._output = Output()

    @property
    def term(self) -> int:
        """The newest term that the member has seen."""
        return self._hard.term

    @property
    def cluster(self) -> ClusterId | None:
        """The cluster that the member belongs to."""
        return self._hard.cluster

    @property
    def membership(self) -> Membership:
        """Who takes part, by the newest entry."""
        return self.log.membership

    @property
    def due_s(self) -> float:
        """When the member should be ticked at the latest."""
        if self._leadership is not None:
            return self._leadership.due_s()
        return self._deadline_s if self._may_stand() else NEVER_S

    def _is_stale(self, term: int) -> bool:
        return term < self.term

    def _joins(self, cluster: ClusterId) -> bool:
        if self._hard.cluster is None:
            self._set_hard(HardState(cluster, self._hard.term, self._hard.vote))
        return self._hard.cluster == cluster

    def _set_hard(self, hard_state: HardState) -> None:
        self._hard = hard_state
        self._hard_is_new = True

    def _may_stand(self) -> bool:
        """Tell whether the member votes, or did until a change not yet committed.

        Without the latter a member that alone holds its own removal would neither
        stand nor vote for those who lack that entry.
        """
        voters = self.membership.voters
        if self.log.membership_index > self.commit:
            voters += self.log.earlier_membership.voters
        return self.member in voters

    def _rest(self, least_s: float | None = None) -> None:
        wait_s = self._timing.election_timeout_s if least_s is None else least_s
        self._deadline_s = (
            self._now_s + wait_s + self._jitter * self._timing.election_jitter_s
        )

    def _become_follower(self, term: int, leader: MemberId | None) -> None:
        if term > self.term:
            self._set_hard(HardState(self.cluster, term))
        if self.role is not Role.FOLLOWER:
            self._rest()
        if self._leadership is not None:
            self._output.lost_reads.extend(self._leadership.reads)
            self._leadership = None
        self.role = Role.FOLLOWER
        self.leader = leader

    def _check_majority(self) -> None:
        leadership = self._leadership
        if leadership is not None and not leadership.hears_majority(self._now_s):
            self._become_follower(self.term, None)

    def _leader_is_fresh(self) -> bool:
        if self._leadership is not None:
            return True
        silence_s = self._now_s - self._leader_heard_s
        return self.leader is not None and silence_s < self._timing.election_timeout_s

    def _stand(self, role: Role) -> None:
        self.role = role
        self.leader = None
        self._votes = set()
        self._rest(self._timing.election_retry_s)
        trial = role is Role.TRIAL
        term = self.term + 1
        if not trial:
            self._set_hard(HardState(self.cluster, term, self.member))
        request = VoteRequest(term, self.log.last_index, self.log.last_term, trial)
        for voter in self.membership.voters:
            if voter != self.member:
                self._reply(voter, request)
        if trial:
            self._count_vote(self.member)

    def _count_vote(self, voter: MemberId) -> None:
        self._votes.add(voter)
        voters = self.membership.voters
        if len(self._votes.intersection(voters)) < self.membership.majority:
            return
        if self.role is Role.TRIAL:
            self._stand(Role.CANDIDATE)
        else:
            self._lead()

    def _vote_requested(self, sender: MemberId, request: VoteRequest) -> None:
        granted = False
        if not self._leader_is_fresh():
            if not request.trial and request.term > self.term:
                self._become_follower(request.term, None)
            granted = self._grants(sender, request)
        if granted and not request.trial:
            self._set_hard(HardState(self.cluster, self.term, sender))
            self._rest()
        self._reply(sender, VoteReply(self.term, request.term, request.trial, granted))

    def _grants(self, sender: MemberId, request: VoteRequest) -> bool:
        asked = (request.last_term, request.last_index)
        if asked < (self.log.last_term, self.log.last_index):
            return False
        if request.trial:
            return request.term > self.term
        return request.term == self.term and self._hard.vote in (None, sender)

    def _vote_answered(self, sender: MemberId, reply: VoteReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None)
            return
        asked_term = self.term + 1 if reply.trial else self.term
        role = Role.TRIAL if reply.trial else Role.CANDIDATE
        if reply.granted and self.role is role and reply.asked_term == asked_term:
            self._count_vote(sender)

    def _lead(self) -> None:
        self.role = Role.LEADER
        self.leader = self.member
        self._leadership = Leadership(self.member, self.log, self._timing, self._now_s)
        self._append([Entry(self.log.last_index + 1, self.term)])

    def _append(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        changed = any(entry.membership is not None for entry in entries)
        if changed and self._leadership is not None:
            self._leadership.follow_membership(self._now_s)

    def _send(self, to: MemberId, message: Message) -> None:
        assert self.cluster is not None
        self._output.messages.append(Envelope(self.cluster, self.member, to, message))

    def _reply(self, to: MemberId, message: Message) -> None:
        assert self.cluster is not None
        self._output.replies.append(Envelope(self.cluster, self.member, to, message))
