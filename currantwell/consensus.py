"""The decisions of one member of the agreement, after Raft.

No I/O, clock or randomness: the caller feeds messages, ticks and proposals, and
carries out each `Output` in turn: send ``messages``, sync ``hard_state``,
``snapshot`` and ``entries``, report that with `Consensus.saved`, send ``replies``,
apply ``committed``.

Invariants: what a reply promises is in the same output as the reply or an earlier
one; a vote is counted, also the member's own, only once it is synced; the leader
commits only through an entry of its own term; a leader that hears no majority
steps down, and each read is confirmed by a majority.
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
    host_of,
)
from .consensus_output import Output
from .consensus_voting import NEVER_S, Role, VotingMember
from .ids import HostId

__all__ = ["Consensus", "Role"]

KEPT_ENTRIES = 256


class Consensus(VotingMember):
    """One member.

    Its parameters are those of `VotingMember`.
    """

    # What the caller feeds.

    def form(self, cluster: ClusterId, membership: Membership) -> None:
        """Begin a cluster; only one member may, and only while all are empty."""
        assert self._hard.cluster is None
        assert not self.log.last_index
        self._set_hard(HardState(cluster, 1))
        self._append([Entry(1, 1, membership=membership)])
        self._deadline_s = self._now_s

    def tick(self, now_s: float, jitter: float) -> None:
        """Let time pass.

        Parameters
        ----------
        now_s : float
            The clock.
        jitter : float
            A new random number from 0 to 1.
        """
        self._now_s = max(self._now_s, now_s)
        self._jitter = jitter
        if self._deadline_s == NEVER_S:
            self._rest()
        self._check_majority()
        if self._leadership is not None:
            self._promote()
        elif self._may_stand() and self._now_s >= self._deadline_s:
            self._stand(Role.TRIAL)

    def receive(self, envelope: Envelope, now_s: float) -> None:
        """Take in a message; one for another member or cluster is dropped."""
        self._now_s = max(self._now_s, now_s)
        self._check_majority()
        if envelope.to != self.member or not self._joins(envelope.cluster):
            return
        sender, message = envelope.sender, envelope.message
        if isinstance(message, VoteRequest):
            self._vote_requested(sender, message)
        elif isinstance(message, VoteReply):
            self._vote_answered(sender, message)
        elif isinstance(message, AppendReply):
            self._append_answered(sender, message)
        elif self._is_stale(message.term):
            self._reply(sender, AppendReply(self.term, message.round, False, 0))
        else:
            self._follow(sender, message)

    def propose(self, command: bytes) -> bool:
        """Append a command, if this member leads."""
        if self._leadership is None:
            return False
        self._append([Entry(self.log.last_index + 1, self.term, command)])
        return True

    def read_barrier(self) -> int | None:
        """Begin to confirm that this member still leads.

        Returns
        -------
        int or None
            The number of the read that an output will tell of; None if this member
            does not lead.
        """
        if self._leadership is None:
            return None
        self._read_count += 1
        self._leadership.read_barrier(self._read_count, self.commit)
        return self._read_count

    def join(self, member: MemberId, votes: bool) -> bool:
        """Take a member in as learner, in the place of its host's earlier member.

        Returns
        -------
        bool
            Whether it is a member by now; the change may still be lost.
        """
        if member in self.membership.members:
            return True
        return self._change_membership(self.membership.with_learner(member, votes))

    def remove(self, host: HostId) -> bool:
        """Take out the members of a host; return whether none is left."""
        fewer = self.membership.without_host(host)
        return fewer == self.membership or self._change_membership(fewer)

    def replace_silent(self, voters: int, silent_s: float) -> None:
        """Have followers vote in the place of voters that are gone, one at a time.

        A silent voter is removed only once more than enough vote without it.

        Parameters
        ----------
        voters : int
            How many are to vote.
        silent_s : float
            A voter that has not answered for so long counts as gone.
        """
        if self._leadership is None:
            return
        peers, now_s = self._leadership.peers, self._now_s
        gone = [
            voter
            for voter in self.membership.voters
            if voter in peers and now_s - peers[voter].heard_s > silent_s
        ]
        present = len(self.membership.voters) - len(gone)
        if present + len(self.membership.joining) < voters:
            for member in self.membership.followers:
                if now_s - peers[member].heard_s <= silent_s:
                    self._change_membership(self.membership.with_learner(member, True))
                    return
        elif gone and present >= voters:
            self._change_membership(self.membership.without_host(host_of(gone[0])))

    def compact(self, index: int, data: bytes) -> Snapshot:
        """Put a snapshot of the state as of an applied entry in the place of entries.

        Returns
        -------
        Snapshot
            What the caller may sync in the place of the entries up to the index.
        """
        term = self.log.term_at(index)
        assert term is not None
        assert index <= self._handed_index
        snapshot = Snapshot(index, term, self.log.membership_at(index), data)
        self.log.compact(snapshot, KEPT_ENTRIES)
        return snapshot

    # What the caller carries out.

    def take_output(self) -> Output:
        """Return what is to be carried out next; outputs keep their order."""
        self._send_requests()
        output, self._output = self._output, Output()
        if self._hard_is_new:
            output.hard_state, self._hard_is_new = self._hard, False
        output.snapshot, self._new_snapshot = self._new_snapshot, None
        last = self.log.last_index
        if self._new_from <= last:
            output.entries = self.log.slice(self._new_from, last)
            self._new_from = last + 1
        if self._handed_index < self.commit:
            output.committed = self.log.slice(self._handed_index + 1, self.commit)
            self._handed_index = self.commit
        if self._leadership is not None:
            output.reads = self._leadership.confirmed(self.commit)
        return output

    def saved(self, output: Output) -> None:
        """Note that all an output asked to sync is synced."""
        if output.entries:
            newest = output.entries[-1]
            if self.log.term_at(newest.index) == newest.term:
                self._saved_index = max(self._saved_index, newest.index)
        if output.hard_state == self._hard and self.role is Role.CANDIDATE:
            self._count_vote(self.member)
        self._advance_commit()

    # Following.

    def _follow(
        self, leader: MemberId, request: AppendRequest | InstallRequest
    ) -> None:
        if request.term > self.term or self.leader != leader:
            self._become_follower(request.term, leader)
        self._leader_heard_s = self._now_s
        self._rest()
        if isinstance(request, InstallRequest):
            ok, match = self._install(request.snapshot)
        else:
            ok, match = self._take_entries(request)
        self._reply(leader, AppendReply(self.term, request.round, ok, match))

    def _take_entries(self, request: AppendRequest) -> tuple[bool, int]:
        previous = request.previous_index
        if previous < self.commit:
            return True, self.commit
        if previous > self.log.last_index:
            return False, self.log.last_index
        if self.log.term_at(previous) != request.previous_term:
            return False, self.commit
        for place, entry in enumerate(request.entries):
            if self.log.term_at(entry.index) != entry.term:
                self._overwrite(request.entries[place:])
                break
        match = previous + len(request.entries)
        self.commit = max(self.commit, min(request.commit, match))
        return True, match

    def _overwrite(self, entries: Sequence[Entry]) -> None:
        kept = entries[0].index - 1
        assert kept >= self.commit, "a committed entry would be lost"
        self.log.truncate(kept)
        self._new_from = min(self._new_from, kept + 1)
        self._saved_index = min(self._saved_index, kept)
        self._append(entries)

    def _install(self, snapshot: Snapshot) -> tuple[bool, int]:
        if snapshot.index > self.commit:
            self.log.install(snapshot)
            self.commit = self._handed_index = snapshot.index
            self._new_snapshot = snapshot
            self._new_from = snapshot.index + 1
            self._saved_index = min(self._saved_index, snapshot.index)
        return True, self.commit

    # Leading.

    def _change_membership(self, wanted: Membership) -> bool:
        leadership = self._leadership
        if leadership is None or self.commit < leadership.start_index:
            return False
        if self.log.membership_index > self.commit:
            return False
        changed = set(wanted.voters).symmetric_difference(self.membership.voters)
        if len(changed) > 1 or not 0 < len(wanted.voters) <= MAX_VOTERS:
            return False
        index = self.log.last_index + 1
        self._append([Entry(index, self.term, membership=wanted)])
        return True

    def _promote(self) -> None:
        """Make a voter of a joining member that holds all that is committed."""
        leadership = self._leadership
        assert leadership is not None
        for member in self.membership.joining:
            if self._holds_everything(leadership.peers[member]):
                self._change_membership(self.membership.with_promoted(member))
                return

    def _holds_everything(self, progress: Progress) -> bool:
        silence_s = self._now_s - progress.heard_s
        return (
            progress.match >= self.commit
            and silence_s < self._timing.election_timeout_s
        )

    def _append_answered(self, sender: MemberId, reply: AppendReply) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, None)
        elif reply.term == self.term and self._leadership is not None:
            self._leadership.answered(sender, reply, self._now_s)
            self._advance_commit()

    def _advance_commit(self) -> None:
        if self._leadership is None:
            return
        agreed = self._leadership.agreed_index(self._saved_index)
        if agreed > self.commit and self.log.term_at(agreed) == self.term:
            self.commit = agreed
        settled = self.commit >= self.log.membership_index
        if settled and self.member not in self.membership.voters:
            self._become_follower(self.term, None)

    def _send_requests(self) -> None:
        if self._leadership is not None:
            requests = self._leadership.requests(self.term, self.commit, self._now_s)
            for member, request in requests:
                self._send(member, request)
