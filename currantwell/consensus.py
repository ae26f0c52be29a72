"""The Raft state machine of one member, without I/O, clock or randomness.

The caller passes in messages, ticks and proposals, and processes each `Output` in
order: it sends ``messages``, syncs ``hard_state``, ``snapshot`` and ``entries``, calls
`Consensus.mark_synced`, sends ``replies`` and applies ``committed``.

Invariants: the state that a reply promises is in the same output as the reply or in
an earlier one; a vote, including the member's own, is counted only once it is synced;
the leader commits only up to an entry of its own term (entries of earlier terms are
committed along with it); a leader that receives no replies from a majority steps down;
each read is confirmed by a majority.
"""

from collections.abc import Sequence

from .consensus_leader import Progress
from .consensus_messages import (
    MAX_VOTERS,
    AppendReply,
    AppendRequest,
    ClusterId,
    Entry,
    Envelope,
    HardState,
    InstallRequest,
    MemberId,
    Membership,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from .consensus_output import Output
from .consensus_voters import next_membership
from .consensus_voting import FIRST_TERM, NEVER_S, ElectionState, Role
from .ids import HostId

__all__ = ["Consensus", "Role"]

MAX_RETAINED_ENTRIES = 256
MAX_RETAINED_BYTES = 4 * 1024 * 1024


class Consensus(ElectionState):
    """One member: log replication, membership changes and reads.

    Takes the parameters of `ElectionState`.
    """

    # Inputs from the caller.

    def form_cluster(self, cluster: ClusterId, membership: Membership) -> None:
        """Form a new cluster and lead it once this is synced.

        Only one member may do so, and only while the logs of all members are empty. It
        leads without an election, since nobody else can vote or be elected in the first
        term: no other member knows the cluster before it has received the membership.
        """
        assert self._hard_state.cluster is None
        assert not self.log.last_index
        self._set_hard_state(HardState(cluster, FIRST_TERM, self.member))
        self._append([Entry(1, FIRST_TERM, membership=membership)])
        self.role = Role.CANDIDATE
        self._votes = set(membership.voters) - {self.member}

    def tick(self, now_s: float, jitter: float) -> None:
        """Advance the clock and start whatever is due, such as an election.

        Parameters
        ----------
        now_s : float
            Current time of a monotonic clock.
        jitter : float
            New random number from 0 to 1, for the election timeout.
        """
        self._now_s = max(self._now_s, now_s)
        self._jitter = jitter
        if self._election_deadline_s == NEVER_S:
            self._reset_election_timer()
        self._check_quorum()
        if self._leader_state is not None:
            self._update_voters()
        elif self._may_campaign() and self._now_s >= self._election_deadline_s:
            self._start_election(Role.PRE_CANDIDATE)

    def receive(self, envelope: Envelope, now_s: float) -> None:
        """Process a message; drop it if it is for another member or cluster."""
        self._now_s = max(self._now_s, now_s)
        self._check_quorum()
        if envelope.to != self.member or not self._matches_cluster(envelope.cluster):
            return
        sender, message = envelope.sender, envelope.message
        if isinstance(message, VoteRequest):
            self._handle_vote_request(sender, message)
        elif isinstance(message, VoteReply):
            self._handle_vote_reply(sender, message)
        elif isinstance(message, AppendReply):
            self._handle_append_reply(sender, message)
        elif self._is_stale_term(message.term):
            self._send_after_sync(
                sender, AppendReply(self.term, message.round, False, 0)
            )
        else:
            self._handle_leader_request(sender, message)

    def propose(self, command: bytes) -> bool:
        """Append a command if this member is the leader; return whether it is."""
        if self._leader_state is None:
            return False
        self._append([Entry(self.log.last_index + 1, self.term, command)])
        return True

    def stop_leading(self) -> None:
        """Become a follower if this member leads; it may campaign again later."""
        if self._leader_state is not None:
            self._become_follower(self.term, None)

    def start_read(self) -> int | None:
        """Start a linearizable read by confirming that this member still leads.

        Returns
        -------
        int or None
            Number of the read, which a later output lists in ``reads`` or
            ``failed_reads``; None if this member is not the leader.
        """
        if self._leader_state is None:
            return None
        self._read_count += 1
        self._leader_state.add_read(self._read_count, self.commit_index)
        return self._read_count

    def add_member(self, member: MemberId, votes: bool) -> bool:
        """Add a member as a learner and remove any earlier member of its host.

        Parameters
        ----------
        member : MemberId
            The new member.
        votes : bool
            Whether to promote it to a voter once it has caught up.

        Returns
        -------
        bool
            Whether it is in the membership now; an uncommitted change may still be
            lost.
        """
        if member in self.membership.members:
            return True
        return self._change_membership(self.membership.with_learner(member, votes))

    def remove_host(self, host: HostId) -> bool:
        """Remove the members of a host; return whether none is left."""
        remaining = self.membership.without_host(host)
        return remaining == self.membership or self._change_membership(remaining)

    def release_vote(self, member: MemberId) -> bool:
        """Prepare for the stop of a member, which calls this until it may stop.

        Another member votes in its place, also if it is this one. A member that is back
        soon votes again if needed.

        Returns
        -------
        bool
            Whether the member may stop: this member leads, all voters that stay and are
            not known to be silent are there and form a majority, and no change of the
            voters is left to make. If one more loss would leave no majority, a silent
            member that may be back is waited for.
        """
        leader_state, policy = self._leader_state, self._voter_policy
        if leader_state is None or policy is None:
            return False
        leader_state.expect_stop(member, self._now_s + policy.silent_after_s)
        health = leader_state.member_health(policy, self.commit_index, self._now_s)
        present = leader_state.confirm_present(health.responsive)
        if not present or not self._may_change_membership():
            return False
        changed = next_membership(self.membership, health, policy.min_voters)
        if changed is not None:
            self._change_membership(changed)
            return False
        voters = health.responsive & set(self.membership.voters)
        bears_loss = len(voters) > self.membership.majority
        return bears_loss or health.lost >= set(health.silent)

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Replace the entries up to an applied one by a snapshot of the state.

        Parameters
        ----------
        index : int
            Index of the applied entry.
        data : bytes
            The state after that entry.

        Returns
        -------
        Snapshot
            The snapshot, which the caller may store instead of the entries up to the
            index.
        """
        term = self.log.term_at(index)
        assert term is not None
        assert index <= self._delivered_index
        snapshot = Snapshot(index, term, self.log.membership_at(index), data)
        self.log.compact(snapshot, MAX_RETAINED_ENTRIES, MAX_RETAINED_BYTES)
        return snapshot

    # Outputs to the caller.

    def take_output(self) -> Output:
        """Return the pending work; outputs must be processed in order."""
        self._send_requests()
        output, self._output = self._output, Output()
        if self._hard_state_changed:
            output.hard_state, self._hard_state_changed = self._hard_state, False
        output.snapshot, self._new_snapshot = self._new_snapshot, None
        last = self.log.last_index
        if self._next_output_index <= last:
            output.entries = self.log.slice(self._next_output_index, last)
            self._next_output_index = last + 1
        if self._delivered_index < self.commit_index:
            output.committed = self.log.slice(
                self._delivered_index + 1, self.commit_index
            )
            self._delivered_index = self.commit_index
        if self._leader_state is not None:
            output.reads = self._leader_state.take_confirmed_reads(self.commit_index)
        return output

    def mark_synced(self, output: Output, now_s: float) -> None:
        """Record that the hard state, snapshot and entries of an output are synced."""
        self._now_s = max(self._now_s, now_s)
        if output.entries:
            newest = output.entries[-1]
            if self.log.term_at(newest.index) == newest.term:
                self._synced_index = max(self._synced_index, newest.index)
        if output.hard_state == self._hard_state and self.role is Role.CANDIDATE:
            self._count_vote(self.member)
        self._advance_commit()

    # Replication on a follower.

    def _handle_leader_request(
        self, leader: MemberId, request: AppendRequest | InstallRequest
    ) -> None:
        if request.term > self.term or self.leader != leader:
            self._become_follower(request.term, leader)
        self._last_leader_message_s = self._now_s
        self._reset_election_timer()
        if isinstance(request, InstallRequest):
            ok, match_index = self._install_snapshot(request.snapshot)
        else:
            ok, match_index = self._append_entries(request)
        self._send_after_sync(
            leader, AppendReply(self.term, request.round, ok, match_index)
        )

    def _append_entries(self, request: AppendRequest) -> tuple[bool, int]:
        """Append the entries; return ``ok`` and ``match_index`` for the reply."""
        previous = request.previous_index
        if previous < self.commit_index:
            return True, self.commit_index
        if previous > self.log.last_index:
            return False, self.log.last_index
        if self.log.term_at(previous) != request.previous_term:
            return False, self.commit_index
        for offset, entry in enumerate(request.entries):
            if self.log.term_at(entry.index) != entry.term:
                self._replace_suffix(request.entries[offset:])
                break
        match_index = previous + len(request.entries)
        self.commit_index = max(
            self.commit_index, min(request.commit_index, match_index)
        )
        return True, match_index

    def _replace_suffix(self, entries: Sequence[Entry]) -> None:
        last_kept = entries[0].index - 1
        assert last_kept >= self.commit_index, "a committed entry would be lost"
        self.log.truncate(last_kept)
        self._next_output_index = min(self._next_output_index, last_kept + 1)
        self._synced_index = min(self._synced_index, last_kept)
        self._append(entries)

    def _install_snapshot(self, snapshot: Snapshot) -> tuple[bool, int]:
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self.commit_index = self._delivered_index = snapshot.index
            self._new_snapshot = snapshot
            self._next_output_index = snapshot.index + 1
            self._synced_index = min(self._synced_index, snapshot.index)
        return True, self.commit_index

    # Replication on the leader.

    def _change_membership(self, new_membership: Membership) -> bool:
        """Append a new membership; return whether this was possible.

        At most one voter may change, so that any majorities of the old and the new
        voters overlap.
        """
        if not self._may_change_membership():
            return False
        changed = set(new_membership.voters).symmetric_difference(
            self.membership.voters
        )
        if len(changed) > 1 or not 0 < len(new_membership.voters) <= MAX_VOTERS:
            return False
        index = self.log.last_index + 1
        self._append([Entry(index, self.term, membership=new_membership)])
        return True

    def _may_change_membership(self) -> bool:
        """Return whether this member leads and has committed what it has to before.

        That is an entry of its own term, and the previous change.
        """
        leader_state = self._leader_state
        return (
            leader_state is not None
            and self.commit_index >= leader_state.start_index
            and self.commit_index >= self.log.membership_index
        )

    def _update_voters(self) -> None:
        """Take the next step of the policy, or promote any joining member."""
        leader_state, policy = self._leader_state, self._voter_policy
        assert leader_state is not None
        if policy is None:
            self._promote()
            return
        health = leader_state.member_health(policy, self.commit_index, self._now_s)
        changed = next_membership(self.membership, health, policy.min_voters)
        if changed is not None:
            self._change_membership(changed)

    def _promote(self) -> None:
        """Promote a joining member that holds all committed entries to a voter."""
        leader_state = self._leader_state
        assert leader_state is not None
        for member in self.membership.joining:
            if self._is_caught_up(leader_state.peers[member]):
                self._change_membership(self.membership.with_voter(member))
                return

    def _is_caught_up(self, progress: Progress) -> bool:
        silence_s = self._now_s - progress.last_reply_s
        return (
            progress.match_index >= self.commit_index
            and silence_s < self._timing.election_timeout_s
        )

    def _handle_append_reply(self, sender: MemberId, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None)
        elif reply.term == self.term and self._leader_state is not None:
            self._leader_state.record_reply(sender, reply, self._now_s)
            self._advance_commit()

    def _advance_commit(self) -> None:
        if self._leader_state is None:
            return
        majority_index = self._leader_state.majority_match_index(self._synced_index)
        if (
            majority_index > self.commit_index
            and self.log.term_at(majority_index) == self.term
        ):
            self.commit_index = majority_index
        membership_committed = self.commit_index >= self.log.membership_index
        if membership_committed and self.member not in self.membership.voters:
            self._become_follower(self.term, None)

    def _send_requests(self) -> None:
        if self._leader_state is not None:
            requests = self._leader_state.due_requests(
                self.term, self.commit_index, self._now_s
            )
            for member, request in requests:
                self._send_now(member, request)
