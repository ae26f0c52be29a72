"""The agreement of several hosts: the service around one member's decisions.

Invariants: one task carries out outputs, one after the other; nothing that rests on
a record is sent, applied or told before the record is synced. A proposal is told as
done once it is applied here.
"""

import random
import secrets
from collections.abc import Sequence
from contextlib import suppress
from typing import TypeVar

import trio

from . import events
from .agreement import PROPOSE_TIMEOUT_S, StateMachine
from .clock import now_s
from .consensus import Consensus
from .consensus_leader import RaftTiming
from .consensus_messages import (
    MAX_VOTERS,
    Entry,
    Envelope,
    MemberId,
    Membership,
    host_of,
    member_id,
)
from .consensus_output import Output
from .errors import AgreementLost, PeerUnreachable
from .ids import HostId
from .journal import Journal
from .kernel import ServiceName
from .peers import PeerMessage, PeerNetwork
from .proposals import Proposal, ProposalTable, decode_proposal, encode_proposal
from .raft_bootstrap import ClusterBootstrap
from .raft_messages import (
    ConfirmAnswered,
    ConfirmAsked,
    EnvelopesSent,
    JoinAsked,
    MemberAsked,
    ProposalAnswered,
    ProposalSent,
    RemovalAnswered,
    RemovalAsked,
)
from .raft_storage import RaftStorage
from .raft_transport import RaftTransport

__all__ = ["RaftAgreement"]

Reply = TypeVar("Reply", bound=PeerMessage)

MIN_TICK_S = 0.01
MAX_TICK_S = 0.3
RETRY_S = 0.1
RESEND_S = 0.75
SNAPSHOT_EVERY = 1_000
# Longer than a host needs to start again after a loss of power of a few seconds.
VOTER_GONE_S = 5.0
INCARNATION_BYTES = 6
MAX_COMMAND_BYTES = 256 * 1024


class _Waiter:
    """Someone who waits for a proposal or a read."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: bytes = b""
        self.index: int | None = None


class RaftAgreement:
    """Agreement among hosts, by the project's own replicated log.

    Parameters
    ----------
    host : HostId
        This host.
    members : sequence of HostId
        The hosts that vote when the cluster begins, alike on every host; at most
        seven. A host that is not among them follows without a vote.
    peers : PeerNetwork
        The way to the other hosts.
    journal : Journal
        Where this host's part is kept; nothing else may write there.
    state : StateMachine
        What commands change; empty so far.
    timing : RaftTiming
        How long hosts wait for each other.
    snapshot_every : int
        Entries after which the journal is compacted.
    target_voters : int
        While fewer than so many vote, hosts that join later vote too, also in the place
        of voters that are gone for good.

    Raises
    ------
    JournalDamaged
        If the journal can't be trusted.
    """

    name = ServiceName("agreement")

    def __init__(
        self,
        host: HostId,
        members: Sequence[HostId],
        peers: PeerNetwork,
        journal: Journal,
        state: StateMachine,
        timing: RaftTiming | None = None,
        snapshot_every: int = SNAPSHOT_EVERY,
        target_voters: int = 0,
    ) -> None:
        if not 0 < len(members) <= MAX_VOTERS:
            raise ValueError(f"{len(members)} voters; 1 to {MAX_VOTERS} are possible")
        self._host = host
        self._peers = peers
        self._storage = RaftStorage(journal)
        self._table = ProposalTable(state)
        self._wanted_voters = target_voters
        self._snapshot_every = snapshot_every
        storage = self._storage
        fresh = member_id(host, secrets.token_hex(INCARNATION_BYTES))
        self._core = Consensus(
            storage.member or fresh,
            storage.hard_state,
            storage.snapshot,
            storage.entries,
            timing,
        )
        if storage.snapshot.index:
            self._table.restore(storage.snapshot.data, storage.snapshot.membership)
        self._applied = storage.snapshot.index
        self._applied_more = trio.Event()
        self._wake_event = trio.Event()
        self._exchange = RaftTransport(peers, self._receive)
        self._formation = ClusterBootstrap(
            host, members, peers, self._core, self._wake, target_voters
        )
        self._proposal_count = 0
        self._proposals: dict[int, _Waiter] = {}
        self._reads: dict[int, _Waiter] = {}
        self._known_leader: HostId | None = None
        self._leader_changed = trio.Event()

    @property
    def leader(self) -> HostId | None:
        """The host that orders commands now, None if none is known."""
        leader = self._core.leader
        return None if leader is None else host_of(leader)

    @property
    def member(self) -> MemberId:
        """Who this host is in the agreement."""
        return self._core.member

    @property
    def membership(self) -> Membership:
        """Who takes part, as far as this host knows."""
        return self._core.membership

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that this host's state holds."""
        return self._applied

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Take part until cancelled.

        Raises
        ------
        StorageFailed
            If the disk refused; the host can't take part any more.
        """
        await self._storage.record_start(self._core.member)
        self._handle_requests()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick_loop)
            nursery.start_soon(self._formation.run)
            nursery.start_soon(self._carry_out_loop, nursery)
            task_status.started()

    async def drain(self) -> None:
        """Have nothing to finish."""

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Have a command ordered and applied here, and return its result.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        ValueError
            If the command is too large.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(f"{len(command)} bytes are more than {MAX_COMMAND_BYTES}")
        self._proposal_count += 1
        number = self._proposal_count
        waiter = self._proposals[number] = _Waiter()
        oldest = min(self._proposals)
        data = encode_proposal(
            Proposal(self.member, self._storage.start, number, oldest, command)
        )
        try:
            with trio.fail_after(timeout_s):
                await self._offer_until_done(data, waiter)
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error
        finally:
            del self._proposals[number]
        return waiter.result

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return once this host's state holds all that was agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        try:
            with trio.fail_after(timeout_s):
                index = await self._current_index()
                while index is None:
                    await trio.sleep(RETRY_S)
                    index = await self._current_index()
                while self._applied < index:
                    await self._applied_more.wait()
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error

    async def remove(self, host: HostId, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Take a host out of the agreement for good.

        Raises
        ------
        AgreementLost
            If the leader did not confirm it in time; it may still take effect.
        """
        try:
            with trio.fail_after(timeout_s):
                while not await self._remove(host):
                    await trio.sleep(RETRY_S)
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error

    # What other hosts ask.

    def _handle_requests(self) -> None:
        peers = self._peers
        peers.handle(EnvelopesSent, self._exchange.envelopes_sent)
        peers.handle(MemberAsked, self._formation.member_asked)
        peers.handle(JoinAsked, self._formation.join_asked)
        peers.handle(ProposalSent, self._proposal_sent)
        peers.handle(ConfirmAsked, self._confirm_asked)
        peers.handle(RemovalAsked, self._removal_asked)

    async def _proposal_sent(
        self, host: HostId, request: ProposalSent
    ) -> ProposalAnswered:
        taken = self._core.propose(request.data)
        self._wake()
        return ProposalAnswered(taken)

    async def _confirm_asked(
        self, host: HostId, request: ConfirmAsked
    ) -> ConfirmAnswered:
        return ConfirmAnswered(await self._confirm_here())

    async def _removal_asked(
        self, host: HostId, request: RemovalAsked
    ) -> RemovalAnswered:
        asked = self._core.remove_host(request.host)
        self._wake()
        membership_index = self._core.log.membership_index
        removed = asked and self._core.commit_index >= membership_index
        return RemovalAnswered(removed and self.leader == self._host)

    # Proposals and reads.

    async def _offer_until_done(self, data: bytes, waiter: _Waiter) -> None:
        while not waiter.done.is_set():
            wait_s = RESEND_S if await self._offer(data) else RETRY_S
            with trio.move_on_after(wait_s):
                await waiter.done.wait()

    async def _offer(self, data: bytes) -> bool:
        if self._core.propose(data):
            self._wake()
            return True
        answer = await self._ask_leader(ProposalSent(data), ProposalAnswered)
        return answer is not None and answer.taken

    async def _current_index(self) -> int | None:
        if self.leader in (None, self._host):
            return await self._confirm_here()
        answer = await self._ask_leader(ConfirmAsked(), ConfirmAnswered)
        return None if answer is None else answer.index

    async def _confirm_here(self) -> int | None:
        number = self._core.start_read()
        if number is None:
            return None
        waiter = self._reads[number] = _Waiter()
        self._wake()
        await waiter.done.wait()
        return waiter.index

    async def _remove(self, host: HostId) -> bool:
        request = RemovalAsked(host)
        if self.leader == self._host:
            return (await self._removal_asked(host, request)).removed
        answer = await self._ask_leader(request, RemovalAnswered)
        return answer is not None and answer.removed

    async def _ask_leader(
        self, message: PeerMessage, reply: type[Reply]
    ) -> Reply | None:
        """Ask the leader; give up once another one is known."""
        leader = self.leader
        if leader is None:
            return None
        answer: Reply | None = None

        async def give_up() -> None:
            await self._leader_changed.wait()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_up)
            with suppress(PeerUnreachable):
                answer = await self._peers.request(leader, message, reply)
            nursery.cancel_scope.cancel()
        return answer

    # Carrying out.

    def _receive(self, envelope: Envelope) -> None:
        self._core.receive(envelope, now_s())
        self._wake()

    def _wake(self) -> None:
        self._wake_event.set()

    async def _tick_loop(self) -> None:
        jitter = random.SystemRandom()
        while True:
            self._core.tick(now_s(), jitter.random())
            if self._wanted_voters:
                self._core.replace_unresponsive_voters(
                    self._wanted_voters, VOTER_GONE_S
                )
            self._wake()
            left_s = self._core.next_tick_s - now_s()
            await trio.sleep(min(max(left_s, MIN_TICK_S), MAX_TICK_S))

    async def _carry_out_loop(self, nursery: trio.Nursery) -> None:
        while True:
            await self._wake_event.wait()
            self._wake_event = trio.Event()
            requests = self._exchange.take_requests()
            output = self._core.take_output()
            self._exchange.send(output.messages, nursery)
            if output.needs_sync:
                await self._storage.save(output)
                self._core.mark_synced(output)
                self._wake()
            self._exchange.answer(requests, output.replies, nursery)
            self._apply_all(output)
            self._settle_reads(output)
            self._note_leader()
            self._compact()

    def _apply_all(self, output: Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            self._table.restore(snapshot.data, snapshot.membership)
            self._applied = snapshot.index
        for entry in output.committed:
            self._apply(entry)
        if output.snapshot is not None or output.committed:
            self._applied_more.set()
            self._applied_more = trio.Event()

    def _apply(self, entry: Entry) -> None:
        if entry.membership is not None:
            self._table.follow_membership(entry.membership)
            events.MEMBERSHIP_CHANGED.log(
                index=entry.index,
                voters=entry.membership.voters,
                learners=entry.membership.joining + entry.membership.nonvoters,
            )
        elif entry.command is not None:
            proposal = decode_proposal(entry.command)
            result = self._table.apply(entry.index, proposal)
            here = (self.member, self._storage.start)
            waiter = self._proposals.get(proposal.number)
            if waiter and result is not None and here == _proposer(proposal):
                waiter.result = result
                waiter.done.set()
        self._applied = entry.index

    def _settle_reads(self, output: Output) -> None:
        for read in output.reads:
            waiter = self._reads.pop(read.number)
            waiter.index = read.index
            waiter.done.set()
        for read in output.failed_reads:
            self._reads.pop(read.number).done.set()

    def _note_leader(self) -> None:
        if self.leader != self._known_leader:
            self._known_leader = self.leader
            self._leader_changed.set()
            self._leader_changed = trio.Event()
            events.LEADER_CHANGED.log(leader=self.leader, term=self._core.term)

    def _compact(self) -> None:
        newest = self._storage.snapshot.index
        if self._applied - newest >= self._snapshot_every:
            snapshot = self._core.compact(self._applied, self._table.snapshot())
            self._storage.compact(snapshot)


def _proposer(proposal: Proposal) -> tuple[MemberId, int]:
    return proposal.member, proposal.start
