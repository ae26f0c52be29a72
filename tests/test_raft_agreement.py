"""The Raft agreement over loopback connections, with all hosts in one process."""

from contextlib import asynccontextmanager

import pytest
import trio

from currantwell.consensus_leader import RaftTiming
from currantwell.errors import AgreementLost
from tests.builders import AgreementCluster

RECOVERY_TIMEOUT_S = 2.0


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
        with trio.fail_after(RECOVERY_TIMEOUT_S):
            await run.agreement.propose(b"after")
        await run.agreement.read_barrier()
        assert run.state.commands == ["before", "after"]


@pytest.mark.parametrize("place", [0, 1])
async def test_a_lost_disk_rejoins_as_a_new_member_and_votes_again(place):
    """Includes the host that formed the cluster, which must not form a second one."""
    async with cluster_of(3) as cluster:
        lost, other, last = cluster.voters[place:] + cluster.voters[:place]
        former_member = cluster.running[lost].agreement.member
        await cluster.running[other].agreement.propose(b"before")
        rejoined = await cluster.lose_disk(lost)
        while rejoined.agreement.member not in rejoined.agreement.membership.voters:
            await trio.sleep(0.01)
        assert former_member not in rejoined.agreement.membership.members
        await cluster.kill(other)
        await rejoined.agreement.propose(b"after")
        assert rejoined.state.commands == ["before", "after"]
        assert cluster.running[last].agreement.membership.voters


async def test_no_cluster_forms_while_a_first_host_is_missing():
    async with trio.open_nursery() as nursery:
        cluster = AgreementCluster(nursery, 3)
        for name in cluster.voters[:2]:
            await cluster.start(name)
        with trio.move_on_after(1.5):
            await cluster.leader()
            raise AssertionError("a cluster was formed while a host was missing")
        await cluster.start(cluster.voters[2])
        with trio.fail_after(10):
            await cluster.leader()
        nursery.cancel_scope.cancel()


async def test_all_hosts_killed_at_once_keep_what_was_accepted():
    async with cluster_of(3, snapshot_every=10) as cluster:
        commands = [str(number) for number in range(25)]
        for command in commands:
            await cluster.running[cluster.voters[0]].agreement.propose(command.encode())
        for name in cluster.voters:
            await cluster.kill(name)
        await cluster.start_all()
        await cluster.running[cluster.voters[0]].agreement.propose(b"after")
        await cluster.wait_alike([*commands, "after"])


async def test_a_host_without_a_vote_follows():
    async with cluster_of(4, voters=3) as cluster:
        follower = cluster.running["host-3"]
        assert await follower.agreement.propose(b"one") == b"1"
        await follower.agreement.read_barrier()
        assert len(follower.agreement.membership.voters) == 3
        assert follower.agreement.member in follower.agreement.membership.nonvoters


async def test_a_removed_host_takes_part_no_more():
    async with cluster_of(3) as cluster:
        leader = await cluster.leader()
        other = next(n for n in cluster.voters if n != leader.host)
        await cluster.running[other].agreement.remove(leader.host)
        await cluster.running[other].agreement.propose(b"after")
        assert len(cluster.running[other].agreement.membership.members) == 2


async def test_a_minority_accepts_and_confirms_nothing():
    async with cluster_of(3) as cluster:
        leader = await cluster.leader()
        for name in cluster.voters:
            if name != leader.host:
                await cluster.kill(name)
        with pytest.raises(AgreementLost):
            await leader.agreement.read_barrier(timeout_s=0.5)
        with pytest.raises(AgreementLost):
            await leader.agreement.propose(b"alone", timeout_s=1.5)
        assert leader.state.commands == []
        assert leader.agreement.leader is None


async def test_a_host_at_another_address_votes_in_the_place_of_one_that_is_gone():
    timing = RaftTiming(nonvoter_heartbeat_s=0.2)
    async with cluster_of(4, voters=3, timing=timing, target_voters=3) as cluster:
        leader = await cluster.leader()
        others = [name for name in cluster.voters if name != leader.host]
        (successor,) = set(cluster.running) - set(cluster.voters)
        member = cluster.running[successor].agreement.member
        gone = cluster.running[others[0]].agreement.member
        await cluster.kill(others[0])
        while gone in leader.agreement.membership.members:
            await trio.sleep(0.05)
        assert member in leader.agreement.membership.voters
        assert len(leader.agreement.membership.voters) == 3
        await cluster.kill(others[1])
        await cluster.running[successor].agreement.propose(b"after")
