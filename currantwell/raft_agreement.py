"""Agreement among several hosts: the service that does the I/O for one Raft member.

Invariants: a single task processes the outputs in order; nothing that depends on a
record is sent, applied or reported before the record is synced. A proposal returns once
it is applied on this host.

A member whose disk refuses a write repeats the write until it succeeds. Meanwhile it
doesn't lead, ignores the messages of other members, and refuses its callers soon, so
that they ask another host.
"""

import random
import secrets
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import TypeVar

import msgspec
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
from .consensus_voters import VoterPolicy
from .errors import AgreementLost, DiskUnavailable, PeerUnreachable
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
    ReleaseAnswered,
    ReleaseAsked,
    RemovalAnswered,
    RemovalAsked,
)
from .raft_storage import RaftStorage
from .raft_transport import RaftTransport

__all__ = ["RaftAgreement"]

Reply = TypeVar("Reply", bound=PeerMessage)

MIN_TICK_S = 0.01
MAX_TICK_S = 0.3
RETRY_INTERVAL_S = 0.1
PROPOSAL_RESEND_S = 0.75
RELEASE_INTERVAL_S = 0.02
SNAPSHOT_INTERVAL_ENTRIES = 1_000
SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024
MIN_WRITE_RETRY_S = 0.05
MAX_WRITE_RETRY_S = 0.2
# Callers wait for one more try of the write, and then for its sync.
DISK_WAIT_S = 0.4
COMPACTION_RETRY_S = 5.0
INCARNATION_BYTES = 6
MAX_COMMAND_BYTES = 4 * 1024 * 1024


class _Waiter:
    """A caller that waits for a proposal or a read."""

    def __init__(self) -> None:
        self.woken = trio.Event()
        self.result: bytes | None = None
        self.index: int | None = None

    def wake(self) -> None:
        """Let the caller look whether there is a result, or reason to give up."""
        self.woken.set()
        self.woken = trio.Event()


class RaftAgreement:
    """Agreement among hosts, by the project's own implementation of Raft.

    Parameters
    ----------
    host : HostId
        This host.
    members : sequence of HostId
        Initial voters of the cluster, the same on every host; at most seven. Other
        hosts join as learners.
    peers : PeerNetwork
        Sends requests to the other hosts.
    journal : Journal
        Storage of this member; nothing else may write to it.
    state : StateMachine
        State machine that commands are applied to; still empty.
    timing : RaftTiming
        Intervals and timeouts of the protocol.
    snapshot_every : int
        Number of applied entries after which the journal is compacted, also after
        fewer of `SNAPSHOT_INTERVAL_BYTES` together.
    voter_policy : VoterPolicy or None
        When a leader changes who votes; the same on every host. Without one no member
        is replaced, and a host that joins later is a learner.

    Raises
    ------
    JournalDamaged
        If the journal is corrupt.
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
        snapshot_every: int = SNAPSHOT_INTERVAL_ENTRIES,
        voter_policy: VoterPolicy | None = None,
    ) -> None:
        if not 0 < len(members) <= MAX_VOTERS:
            raise ValueError(f"{len(members)} voters; 1 to {MAX_VOTERS} are possible")
        self._host = host
        self._peers = peers
        self._storage = RaftStorage(journal)
        self._table = ProposalTable(state)
        self._voter_policy = voter_policy
        self._snapshot_every = snapshot_every
        storage = self._storage
        new_member = member_id(host, secrets.token_hex(INCARNATION_BYTES))
        self._core = Consensus(
            storage.member or new_member,
            storage.hard_state,
            storage.snapshot,
            storage.entries,
            timing,
            voter_policy,
        )
        if storage.snapshot.index:
            self._table.restore(storage.snapshot.data, storage.snapshot.membership)
        self._applied_index = storage.snapshot.index
        self._uncompacted_bytes = 0
        self._newly_applied = trio.Event()
        self._wake_event = trio.Event()
        self._transport = RaftTransport(peers, self._receive)
        self._bootstrap = ClusterBootstrap(
            host,
            members,
            peers,
            self._core,
            self._wake,
            rejoins=voter_policy is not None,
            can_store=lambda: not self._write_failing,
        )
        self._proposal_count = 0
        self._proposals: dict[int, _Waiter] = {}
        self._reads: dict[int, _Waiter] = {}
        self._known_leader: HostId | None = None
        self._leader_changed = trio.Event()
        self._write_failing = False
        self._disk_usable = trio.Event()
        self._compact_after_s = 0.0

    @property
    def leader(self) -> HostId | None:
        """Host of the current leader, None if it is unknown."""
        leader = self._core.leader
        return None if leader is None else host_of(leader)

    @property
    def hears_leader(self) -> bool:
        """Whether this host leads, or has heard from a leader of late."""
        return self._core.has_active_leader()

    @property
    def takes_writes(self) -> bool:
        """Whether the last write to this host's disk succeeded."""
        return not self._write_failing

    @property
    def member(self) -> MemberId:
        """Member id of this host."""
        return self._core.member

    @property
    def membership(self) -> Membership:
        """Newest membership that this host has."""
        return self._core.membership

    @property
    def applied_index(self) -> int:
        """Index of the newest entry that is applied to this host's state."""
        return self._applied_index

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run the member until cancelled.

        It reports as started once its start is recorded, which waits for the disk.

        Raises
        ------
        StorageFailed
            If a record can't be stored even on a disk that works.
        """
        await self._write(lambda: self._storage.record_start(self._core.member))
        self._register_handlers()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick_loop)
            nursery.start_soon(self._bootstrap.run)
            nursery.start_soon(self._output_loop, nursery)
            task_status.started()

    async def drain(self) -> None:
        """Let another member vote in place of this one, if there is one that can.

        Waits for a majority that stays, but no longer than the policy says.
        """
        if self._voter_policy is None or self._core.cluster is None:
            return
        released = False
        with trio.move_on_after(self._voter_policy.release_timeout_s):
            while not (released := await self._release_once()):
                await trio.sleep(RELEASE_INTERVAL_S)
        events.VOTE_RELEASED.log(member=self.member, released=released)

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Replicate a command, apply it on this host and return its result.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time, or this host's disk takes no writes; it
            may still be applied.
        ValueError
            If the command is larger than `MAX_COMMAND_BYTES`.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(f"{len(command)} bytes are more than {MAX_COMMAND_BYTES}")
        self._proposal_count += 1
        number = self._proposal_count
        waiter = self._proposals[number] = _Waiter()
        oldest = min(self._proposals)
        data = encode_proposal(
            Proposal(self.member, self._storage.start_count, number, oldest, command)
        )
        try:
            with trio.fail_after(timeout_s):
                return await self._propose_until_applied(data, waiter)
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error
        finally:
            del self._proposals[number]

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Wait until this host's state includes everything committed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time, or this host's disk takes no writes.
        """
        try:
            with trio.fail_after(timeout_s):
                index = await self._read_index()
                while index is None:
                    await trio.sleep(RETRY_INTERVAL_S)
                    index = await self._read_index()
                while self._applied_index < index:
                    newly_applied = self._newly_applied
                    await self._wait_for_disk()
                    await newly_applied.wait()
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error

    async def remove(self, host: HostId, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Remove a host's member from the membership for good.

        Raises
        ------
        AgreementLost
            If the leader did not confirm it in time; it may still take effect.
        """
        try:
            with trio.fail_after(timeout_s):
                while not await self._remove_once(host):
                    await trio.sleep(RETRY_INTERVAL_S)
        except trio.TooSlowError as error:
            raise AgreementLost(f"not confirmed in {timeout_s} s") from error

    # Requests from other hosts.

    def _register_handlers(self) -> None:
        peers = self._peers
        peers.handle(EnvelopesSent, self._transport.handle_envelopes)
        peers.handle(MemberAsked, self._bootstrap.handle_member_query)
        peers.handle(JoinAsked, self._bootstrap.handle_join)
        peers.handle(ProposalSent, self._handle_proposal)
        peers.handle(ConfirmAsked, self._handle_read_request)
        peers.handle(ReleaseAsked, self._handle_release)
        peers.handle(RemovalAsked, self._handle_removal)

    async def _handle_proposal(
        self, host: HostId, request: ProposalSent
    ) -> ProposalAnswered:
        try:
            decode_proposal(request.data)
        except msgspec.DecodeError as error:
            events.REQUEST_MALFORMED.log(
                host=host, message=ProposalSent.__name__, error=str(error)
            )
            return ProposalAnswered(False)
        accepted = self._core.propose(request.data)
        self._wake()
        return ProposalAnswered(accepted)

    async def _handle_read_request(
        self, host: HostId, request: ConfirmAsked
    ) -> ConfirmAnswered:
        return ConfirmAnswered(await self._local_read_index())

    async def _handle_removal(
        self, host: HostId, request: RemovalAsked
    ) -> RemovalAnswered:
        accepted = self._core.remove_host(request.host)
        self._wake()
        membership_index = self._core.log.membership_index
        removed = accepted and self._core.commit_index >= membership_index
        return RemovalAnswered(removed and self.leader == self._host)

    async def _handle_release(
        self, host: HostId, request: ReleaseAsked
    ) -> ReleaseAnswered:
        released = host_of(request.member) == host and self._release(request.member)
        return ReleaseAnswered(released)

    # Proposals and reads.

    async def _propose_until_applied(self, data: bytes, waiter: _Waiter) -> bytes:
        while waiter.result is None:
            await self._wait_for_disk()
            wait_s = (
                PROPOSAL_RESEND_S
                if await self._propose_once(data)
                else RETRY_INTERVAL_S
            )
            if waiter.result is None:
                with trio.move_on_after(wait_s):
                    await waiter.woken.wait()
        return waiter.result

    async def _propose_once(self, data: bytes) -> bool:
        if self._core.propose(data):
            self._wake()
            return True
        reply = await self._request_from_leader(ProposalSent(data), ProposalAnswered)
        return reply is not None and reply.taken

    async def _read_index(self) -> int | None:
        await self._wait_for_disk()
        if self.leader in (None, self._host):
            return await self._local_read_index()
        reply = await self._request_from_leader(ConfirmAsked(), ConfirmAnswered)
        return None if reply is None else reply.index

    async def _local_read_index(self) -> int | None:
        number = self._core.start_read()
        if number is None:
            return None
        waiter = self._reads[number] = _Waiter()
        self._wake()
        await waiter.woken.wait()
        return waiter.index

    async def _remove_once(self, host: HostId) -> bool:
        request = RemovalAsked(host)
        if self.leader == self._host:
            return (await self._handle_removal(host, request)).removed
        reply = await self._request_from_leader(request, RemovalAnswered)
        return reply is not None and reply.removed

    async def _release_once(self) -> bool:
        if self.leader == self._host:
            return self._release(self.member)
        request = ReleaseAsked(self.member)
        reply = await self._request_from_leader(request, ReleaseAnswered)
        return reply is not None and reply.released

    def _release(self, member: MemberId) -> bool:
        released = self._core.release_vote(member)
        self._wake()
        return released

    async def _request_from_leader(
        self, message: PeerMessage, reply_type: type[Reply]
    ) -> Reply | None:
        """Send a request to the leader; return None if that fails.

        The request is cancelled as soon as the leader changes.
        """
        leader = self.leader
        if leader is None:
            return None
        reply: Reply | None = None

        async def cancel_on_leader_change() -> None:
            await self._leader_changed.wait()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_leader_change)
            with suppress(PeerUnreachable):
                reply = await self._peers.request(leader, message, reply_type)
            nursery.cancel_scope.cancel()
        return reply

    # Running the core and processing its outputs.

    async def _write(
        self,
        write: Callable[[], Awaitable[object]],
        on_retry: Callable[[], None] = lambda: None,
    ) -> None:
        """Repeat a write until it succeeds."""
        started_s, retry_s = now_s(), MIN_WRITE_RETRY_S
        while True:
            try:
                await write()
                break
            except DiskUnavailable as error:
                if not self._write_failing:
                    self._write_failing = True
                    self._disk_usable = trio.Event()
                    events.DISK_UNAVAILABLE.log(host=self._host, error=str(error))
                    self._core.stop_leading()
                    self._update_leader()
                    self._wake_callers()
            on_retry()
            await trio.sleep(retry_s)
            retry_s = min(2 * retry_s, MAX_WRITE_RETRY_S)
        if self._write_failing:
            self._write_failing = False
            self._disk_usable.set()
            after_s = round(now_s() - started_s, 3)
            events.DISK_USABLE.log(host=self._host, after_s=after_s)

    async def _wait_for_disk(self) -> None:
        if self._write_failing:
            with trio.move_on_after(DISK_WAIT_S):
                await self._disk_usable.wait()
        if self._write_failing:
            raise AgreementLost(f"the disk of {self._host} takes no writes")

    def _wake_callers(self) -> None:
        """Let all callers that wait on this host see that its disk takes no writes."""
        for waiter in (*self._proposals.values(), *self._reads.values()):
            waiter.wake()
        self._notify_applied()

    def _notify_applied(self) -> None:
        self._newly_applied.set()
        self._newly_applied = trio.Event()

    def _receive(self, envelope: Envelope) -> None:
        if self._write_failing:
            return
        self._core.receive(envelope, now_s())
        self._wake()

    def _wake(self) -> None:
        self._wake_event.set()

    async def _tick_loop(self) -> None:
        jitter = random.SystemRandom()
        while True:
            if self._write_failing:
                await trio.sleep(MAX_TICK_S)
                continue
            self._core.tick(now_s(), jitter.random())
            self._wake()
            wait_s = self._core.next_tick_s - now_s()
            await trio.sleep(min(max(wait_s, MIN_TICK_S), MAX_TICK_S))

    async def _output_loop(self, nursery: trio.Nursery) -> None:
        while True:
            await self._wake_event.wait()
            self._wake_event = trio.Event()
            requests = self._transport.take_open_requests()
            output = self._core.take_output()
            self._transport.send(output.messages, nursery)
            if output.needs_sync:
                await self._save(output, nursery)
                self._core.mark_synced(output, now_s())
                self._wake()
            self._transport.send_replies(requests, output.replies, nursery)
            self._apply_all(output)
            self._complete_reads(output)
            self._update_leader()
            self._compact()
            await self._renew_start()

    async def _save(self, output: Output, nursery: trio.Nursery) -> None:
        def drop_requests() -> None:
            dropped = self._transport.take_open_requests()
            self._transport.send_replies(dropped, (), nursery)

        await self._write(lambda: self._storage.save(output), drop_requests)

    async def _renew_start(self) -> None:
        """Count as started again once this member was removed; see `ProposalTable`."""
        if self._table.is_closed(self.member, self._storage.start_count):
            await self._write(lambda: self._storage.record_start(self.member))

    def _apply_all(self, output: Output) -> None:
        if output.snapshot is not None:
            snapshot = output.snapshot
            self._table.restore(snapshot.data, snapshot.membership)
            self._applied_index = snapshot.index
            self._uncompacted_bytes = 0
        for entry in output.committed:
            self._apply(entry)
        if output.snapshot is not None or output.committed:
            self._notify_applied()

    def _apply(self, entry: Entry) -> None:
        if entry.membership is not None:
            self._table.set_membership(entry.membership)
            events.MEMBERSHIP_CHANGED.log(
                index=entry.index,
                voters=entry.membership.voters,
                learners=entry.membership.joining + entry.membership.nonvoters,
            )
        elif entry.command is not None:
            proposal = decode_proposal(entry.command)
            result = self._table.apply(entry.index, proposal)
            own_start = (self.member, self._storage.start_count)
            waiter = self._proposals.get(proposal.number)
            if waiter and result is not None and own_start == _proposer(proposal):
                waiter.result = result
                waiter.wake()
        self._applied_index = entry.index
        self._uncompacted_bytes += len(entry.command or b"")

    def _complete_reads(self, output: Output) -> None:
        for read in output.reads:
            waiter = self._reads.pop(read.number)
            waiter.index = read.index
            waiter.wake()
        for read in output.failed_reads:
            self._reads.pop(read.number).wake()

    def _update_leader(self) -> None:
        if self.leader != self._known_leader:
            self._known_leader = self.leader
            self._leader_changed.set()
            self._leader_changed = trio.Event()
            events.LEADER_CHANGED.log(leader=self.leader, term=self._core.term)

    def _compact(self) -> None:
        new_entries = self._applied_index - self._storage.snapshot.index
        is_due = (
            new_entries >= self._snapshot_every
            or self._uncompacted_bytes >= SNAPSHOT_INTERVAL_BYTES
        )
        if not is_due or now_s() < self._compact_after_s:
            return
        snapshot = self._core.compact(self._applied_index, self._table.snapshot())
        try:
            self._storage.compact(snapshot)
        except DiskUnavailable as error:
            events.COMPACTION_FAILED.log(host=self._host, error=str(error))
            self._compact_after_s = now_s() + COMPACTION_RETRY_S
            return
        self._uncompacted_bytes = 0


def _proposer(proposal: Proposal) -> tuple[MemberId, int]:
    return proposal.member, proposal.start
