"""The agreement over real connections on loopback, in one process."""

from contextlib import asynccontextmanager

import pytest
import trio

from currantwell.errors import AgreementLost
from tests.builders import AgreementCluster

SERVICE_AGAIN_S = 2.0


@asynccontextmanager
async def cluster_of(hosts, **options):
    with trio.fail_after(30):
        async with trio.open_nursery() as nursery:
            cluster = AgreementCluster(nursery, hosts, **options)
            await cluster.start_all()
            yield cluster
            nursery.cancel_scope.cancel()


async def test_commands_proposed_anywhere_are_applied_alike():
    async with cluster_of(3) as cluster:
        for number, run in enumerate(cluster.running.values()):
            assert await run.agreement.propose(b"%d" % number) == b"%d" % (number + 1)
        await cluster.wait_alike(["0", "1", "2"])


async def test_service_is_back_after_the_leader_is_killed():
    async with cluster_of(3) as cluster:
        leader = await cluster.leader()
        await leader.agreement.propose(b"before")
        await cluster.kill(leader.host)
        run = next(iter(cluster.running.values()))
        with trio.fail_after(SERVICE_AGAIN_S):
            await run.agreement.propose(b"after")
        await run.agreement.confirm()
        assert run.state.commands == ["before", "after"]


async def test_a_lost_disk_rejoins_as_a_new_member_and_votes_again():
    async with cluster_of(3) as cluster:
        leader = await cluster.leader()
        await leader.agreement.propose(b"before")
        lost = next(name for name in cluster.voters if name != leader.host)
        former = cluster.running[lost].agreement.member
        await cluster.kill(lost)
        cluster.journals[lost] = type(cluster.journals[lost])()
        again = await cluster.start(lost)
        while again.agreement.member not in leader.agreement.membership.voters:
            await trio.sleep(0.01)
        assert former not in leader.agreement.membership.members
        other = next(n for n in cluster.voters if n not in (lost, leader.host))
        await cluster.kill(other)
        await again.agreement.propose(b"after")
        assert again.state.commands == ["before", "after"]


async def test_a_minority_accepts_and_confirms_nothing():
    async with cluster_of(3) as cluster:
        leader = await cluster.leader()
        for name in cluster.voters:
            if name != leader.host:
                await cluster.kill(name)
        with pytest.raises(AgreementLost):
            await leader.agreement.confirm(timeout_s=0.5)
        with pytest.raises(AgreementLost):
            await leader.agreement.propose(b"alone", timeout_s=1.5)
        assert leader.state.commands == []
        assert leader.agreement.leader is None
