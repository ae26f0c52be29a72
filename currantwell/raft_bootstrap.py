"""Membership of a host: it forms a cluster, joins one, and joins again if removed.

A member that is silent for some time, for example since its disk is full, is removed
and hears no more from the leader. Only the other hosts can tell it so.

Invariants: only the first of the initial hosts forms a cluster, and only if all of them
reply and none belongs to a cluster yet. A host that has lost its disk therefore finds a
cluster that it can join as a new member, or waits.
"""

import secrets
from collections.abc import Callable, Sequence

import trio

from . import events
from .clock import now_s
from .consensus import Consensus
from .consensus_messages import ClusterId, Membership, host_of
from .errors import PeerUnreachable
from .ids import HostId
from .peers import PeerNetwork
from .raft_messages import JoinAnswered, JoinAsked, MemberAnswered, MemberAsked

__all__ = ["ClusterBootstrap"]

RETRY_INTERVAL_S = 0.25
# Longer than it takes to elect a leader.
REJOIN_AFTER_S = 2.0
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
    rejoins : bool
        Whether to join again after a removal.
    can_store : callable
        Returns whether this host's disk takes writes. A host that can't store anything
        asks for nothing, since it would count as a member that is on its way.
    """

    def __init__(
        self,
        host: HostId,
        initial_hosts: Sequence[HostId],
        peers: PeerNetwork,
        core: Consensus,
        wake: Callable[[], None],
        rejoins: bool = False,
        can_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self._host = host
        self._can_store = can_store
        self._initial_hosts = tuple(initial_hosts)
        self._peers = peers
        self._core = core
        self._wake = wake
        self._rejoins = rejoins

    async def run(self) -> None:
        """Form or join a cluster, and join again when removed, until cancelled.

        Without ``rejoins`` return once this host is a member.
        """
        while not self._has_joined():
            if self._can_store():
                await self._form_or_join()
            await trio.sleep(RETRY_INTERVAL_S)
        if self._rejoins:
            await self._rejoin_loop()

    def _has_joined(self) -> bool:
        """Return whether nothing is left to ask for.

        Without ``rejoins`` it is enough to have been a member: one that was removed
        since is not to join again.
        """
        if self._rejoins:
            return self._core.member in self._core.membership.members
        return self._core.log.has_listed(self._core.member)

    async def _form_or_join(self) -> None:
        replies = await self._query_hosts(self._initial_hosts)
        cluster_replies = [reply for reply in replies if reply.cluster is not None]
        if cluster_replies:
            await self._join(cluster_replies, self._host in self._initial_hosts)
        elif self._may_form_cluster(replies):
            self._form_cluster(replies)

    async def _rejoin_loop(self) -> None:
        leader_seen_s = now_s()
        while True:
            await trio.sleep(RETRY_INTERVAL_S)
            if self._core.has_active_leader() or not self._can_store():
                leader_seen_s = now_s()
            elif now_s() - leader_seen_s > REJOIN_AFTER_S:
                await self._rejoin()

    async def _rejoin(self) -> None:
        """Ask to be a member again, if another host says that this one is none.

        The member keeps its id, since it has kept its log and its votes.
        """
        members = self._core.membership.members
        hosts = {*self._initial_hosts, *map(host_of, members)}
        replies = [
            reply
            for reply in await self._query_hosts(sorted(hosts))
            if reply.cluster == self._core.cluster
        ]
        if replies:
            await self._join(replies, votes=False)

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

    async def _join(
        self, cluster_replies: Sequence[MemberAnswered], votes: bool
    ) -> None:
        member = self._core.member
        if all(member in reply.membership.members for reply in cluster_replies):
            return
        events.JOIN_REQUESTED.log(member=member)
        request = JoinAsked(member, votes)
        for reply in cluster_replies:
            try:
                host = host_of(reply.member)
                if (await self._peers.request(host, request, JoinAnswered)).taken:
                    return
            except PeerUnreachable:
                continue

    async def _query_hosts(self, hosts: Sequence[HostId]) -> list[MemberAnswered]:
        replies: list[MemberAnswered] = []

        async def query(host: HostId) -> None:
            try:
                reply = await self._peers.request(host, MemberAsked(), MemberAnswered)
            except PeerUnreachable:
                return
            if host_of(reply.member) == host:
                replies.append(reply)

        async with trio.open_nursery() as nursery:
            for host in hosts:
                if host != self._host:
                    nursery.start_soon(query, host)
        return replies
