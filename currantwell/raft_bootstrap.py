"""How a host without agreed state becomes a member: it begins a cluster or joins one.

Invariants: only the first of the initial hosts begins a cluster, and only while all
of them answer and none has met a cluster; whoever has lost its disk therefore finds
a cluster to join as a new member, or waits.
"""

import secrets
from collections.abc import Callable, Sequence

import trio

from . import events
from .consensus import Consensus
from .consensus_messages import ClusterId, Membership, host_of
from .errors import PeerUnreachable
from .ids import HostId
from .peers import PeerNetwork
from .raft_messages import JoinAnswered, JoinAsked, MemberAnswered, MemberAsked

__all__ = ["ClusterBootstrap"]

RETRY_S = 0.25
CLUSTER_ID_BYTES = 8


class ClusterBootstrap:
    """Makes a host a member.

    Parameters
    ----------
    host : HostId
        The host.
    initial : sequence of HostId
        The hosts that vote when a cluster begins.
    peers : PeerNetwork
        The way to them.
    core : Consensus
        The host's member.
    wake : callable
        Has what the member decided carried out.
    voters : int
        While fewer than so many vote, a host that joins later asks for a vote too.
    """

    def __init__(
        self,
        host: HostId,
        initial: Sequence[HostId],
        peers: PeerNetwork,
        core: Consensus,
        wake: Callable[[], None],
        voters: int = 0,
    ) -> None:
        self._host = host
        self._initial = tuple(initial)
        self._peers = peers
        self._core = core
        self._wake = wake
        self._voters = voters

    async def run(self) -> None:
        """Return once the host is a member."""
        while self._core.member not in self._core.membership.members:
            answers = await self._ask_all()
            formed = [answer for answer in answers if answer.cluster is not None]
            if formed:
                await self._join(formed)
            elif self._may_begin(answers):
                self._begin(answers)
            await trio.sleep(RETRY_S)

    async def member_asked(self, host: HostId, request: MemberAsked) -> MemberAnswered:
        """Say who this host is."""
        core = self._core
        return MemberAnswered(core.member, core.cluster, core.membership)

    async def join_asked(self, host: HostId, request: JoinAsked) -> JoinAnswered:
        """Take a member in, if this host leads and the member is still there."""
        try:
            now = await self._peers.request(host, MemberAsked(), MemberAnswered)
        except PeerUnreachable:
            return JoinAnswered(False)
        if now.member != request.member or host_of(now.member) != host:
            return JoinAnswered(False)
        taken = self._core.add_member(request.member, request.votes)
        self._wake()
        return JoinAnswered(taken)

    def _may_begin(self, answers: Sequence[MemberAnswered]) -> bool:
        answered = {host_of(answer.member) for answer in answers}
        first = self._host == min(self._initial)
        complete = answered | {self._host} == set(self._initial)
        return first and complete and self._core.cluster is None

    def _begin(self, answers: Sequence[MemberAnswered]) -> None:
        members = [self._core.member, *(answer.member for answer in answers)]
        cluster = ClusterId(secrets.token_hex(CLUSTER_ID_BYTES))
        self._core.form_cluster(cluster, Membership(tuple(members)))
        events.CLUSTER_FORMED.log(cluster=cluster, voters=members)
        self._wake()

    async def _join(self, formed: Sequence[MemberAnswered]) -> None:
        member = self._core.member
        if any(member in answer.membership.members for answer in formed):
            return
        events.JOIN_REQUESTED.log(member=member)
        request = JoinAsked(member, self._may_vote(formed))
        for answer in formed:
            try:
                host = host_of(answer.member)
                if (await self._peers.request(host, request, JoinAnswered)).taken:
                    return
            except PeerUnreachable:
                continue

    def _may_vote(self, formed: Sequence[MemberAnswered]) -> bool:
        known = max((answer.membership for answer in formed), key=_candidates)
        return self._host in self._initial or _candidates(known) < self._voters

    async def _ask_all(self) -> list[MemberAnswered]:
        answers: list[MemberAnswered] = []

        async def request(host: HostId) -> None:
            try:
                answer = await self._peers.request(host, MemberAsked(), MemberAnswered)
            except PeerUnreachable:
                return
            if host_of(answer.member) == host:
                answers.append(answer)

        async with trio.open_nursery() as nursery:
            for host in self._initial:
                if host != self._host:
                    nursery.start_soon(request, host)
        return answers


def _candidates(membership: Membership) -> int:
    """Return how many members vote or will."""
    return len(membership.voters) + len(membership.joining)
