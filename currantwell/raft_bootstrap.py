"""Bootstrap of a host without agreed state: it forms a cluster or joins one.

Invariants: only the first of the initial hosts forms a cluster, and only if all of them
reply and none belongs to a cluster yet. A host that has lost its disk therefore finds a
cluster that it can join as a new member, or waits.
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

RETRY_INTERVAL_S = 0.25
CLUSTER_ID_BYTES = 8


class ClusterBootstrap:
    """Makes a host a member of a cluster.

    Parameters
    ----------
    host : HostId
        This host.
    initial_hosts : sequence of HostId
        Hosts whose members are the first voters of a cluster.
    peers : PeerNetwork
        Sends requests to them.
    core : Consensus
        Consensus state machine of this host.
    wake : callable
        Schedules the processing of the core's next output.
    target_voters : int
        While fewer members vote, a host that joins later also requests a vote.
    """

    def __init__(
        self,
        host: HostId,
        initial_hosts: Sequence[HostId],
        peers: PeerNetwork,
        core: Consensus,
        wake: Callable[[], None],
        target_voters: int = 0,
    ) -> None:
        self._host = host
        self._initial_hosts = tuple(initial_hosts)
        self._peers = peers
        self._core = core
        self._wake = wake
        self._target_voters = target_voters

    async def run(self) -> None:
        """Form or join a cluster; return once the host is a member."""
        while self._core.member not in self._core.membership.members:
            replies = await self._query_initial_hosts()
            cluster_replies = [reply for reply in replies if reply.cluster is not None]
            if cluster_replies:
                await self._join(cluster_replies)
            elif self._may_form_cluster(replies):
                self._form_cluster(replies)
            await trio.sleep(RETRY_INTERVAL_S)

    async def handle_member_query(
        self, host: HostId, request: MemberAsked
    ) -> MemberAnswered:
        """Reply with this host's member id, cluster and membership."""
        core = self._core
        return MemberAnswered(core.member, core.cluster, core.membership)

    async def handle_join(self, host: HostId, request: JoinAsked) -> JoinAnswered:
        """Add a member if this host leads and the member's host confirms its id."""
        try:
            current = await self._peers.request(host, MemberAsked(), MemberAnswered)
        except PeerUnreachable:
            return JoinAnswered(False)
        if current.member != request.member or host_of(current.member) != host:
            return JoinAnswered(False)
        accepted = self._core.add_member(request.member, request.votes)
        self._wake()
        return JoinAnswered(accepted)

    def _may_form_cluster(self, replies: Sequence[MemberAnswered]) -> bool:
        reachable = {host_of(reply.member) for reply in replies}
        is_first = self._host == min(self._initial_hosts)
        all_reachable = reachable | {self._host} == set(self._initial_hosts)
        return is_first and all_reachable and self._core.cluster is None

    def _form_cluster(self, replies: Sequence[MemberAnswered]) -> None:
        members = [self._core.member, *(reply.member for reply in replies)]
        cluster = ClusterId(secrets.token_hex(CLUSTER_ID_BYTES))
        self._core.form_cluster(cluster, Membership(tuple(members)))
        events.CLUSTER_FORMED.log(cluster=cluster, voters=members)
        self._wake()

    async def _join(self, cluster_replies: Sequence[MemberAnswered]) -> None:
        member = self._core.member
        if any(member in reply.membership.members for reply in cluster_replies):
            return
        events.JOIN_REQUESTED.log(member=member)
        request = JoinAsked(member, self._may_vote(cluster_replies))
        for reply in cluster_replies:
            try:
                host = host_of(reply.member)
                if (await self._peers.request(host, request, JoinAnswered)).taken:
                    return
            except PeerUnreachable:
                continue

    def _may_vote(self, cluster_replies: Sequence[MemberAnswered]) -> bool:
        largest_membership = max(
            (reply.membership for reply in cluster_replies), key=_voter_count
        )
        return (
            self._host in self._initial_hosts
            or _voter_count(largest_membership) < self._target_voters
        )

    async def _query_initial_hosts(self) -> list[MemberAnswered]:
        replies: list[MemberAnswered] = []

        async def query(host: HostId) -> None:
            try:
                reply = await self._peers.request(host, MemberAsked(), MemberAnswered)
            except PeerUnreachable:
                return
            if host_of(reply.member) == host:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for host in self._initial_hosts:
                if host != self._host:
                    nursery.start_soon(query, host)
        return replies


def _voter_count(membership: Membership) -> int:
    """Return the number of voters and joining members."""
    return len(membership.voters) + len(membership.joining)
