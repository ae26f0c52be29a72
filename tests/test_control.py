"""The control service over a fake agreement and network: partitions, lost leaders."""

import pytest
import trio
import trio.testing

from currantwell.changes import DrainEndpoint, SetQuota
from currantwell.codes import ResultCode
from currantwell.errors import AgreementLost, DiskUnavailable
from currantwell.quotas import Quota
from currantwell.views import View
from tests.builders import FakeCluster, change, set_preset

NAMES = ("h-1", "h-2", "h-3")
IN_FORCE_S = 3.0
DETECTED_S = 2.0


@pytest.fixture
async def cluster(nursery, autojump_clock):
    fake_cluster = FakeCluster(NAMES, copies=2)
    await nursery.start(fake_cluster.run)
    await until(lambda: set(fake_cluster.presets().values()) == {"ordinary"}, 2.0)
    nursery.start_soon(assert_single_preset, fake_cluster)
    return fake_cluster


async def assert_single_preset(cluster):
    while True:
        followed = set(cluster.presets().values()) - {"floor"}
        assert len(followed) <= 1, cluster.presets()
        await trio.sleep(0.02)


async def until(condition, timeout_s):
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.01)


def all_follow(cluster, name, *hosts):
    return lambda: all(cluster.presets()[host] == name for host in hosts or NAMES)


async def test_a_change_is_in_force_on_all_hosts_at_once(cluster, autojump_clock):
    result = await cluster.nodes["h-2"].control.change(set_preset("peak"))
    assert result.code is ResultCode.ACCEPTED
    await until(all_follow(cluster, "peak"), 0.5)
    assert await cluster.nodes["h-3"].control.wait_in_force(result.version, 0.0)


async def test_a_partitioned_host_delays_a_change_within_bounds(
    cluster, autojump_clock
):
    cluster.cut = {"h-3"}
    await cluster.nodes["h-1"].control.change(set_preset("peak"))
    assert cluster.presets()["h-3"] == "ordinary"
    await until(all_follow(cluster, "peak", "h-1", "h-2"), IN_FORCE_S)
    assert cluster.presets()["h-3"] == "floor"
    await trio.sleep(60)
    assert cluster.presets()["h-3"] == "floor"
    cluster.cut = set()
    await until(all_follow(cluster, "peak"), IN_FORCE_S)


@pytest.mark.parametrize("after_s", [0.0, 0.004, 0.3, 1.4, 1.6])
async def test_a_new_leader_finishes_a_change(cluster, autojump_clock, after_s):
    cluster.cut = {"h-3"}
    await cluster.nodes["h-2"].control.change(set_preset("peak"))
    await trio.sleep(after_s)
    cluster.leader, cluster.cut = "h-2", {"h-1"}
    await until(all_follow(cluster, "peak", "h-2", "h-3"), IN_FORCE_S)
    assert cluster.nodes["h-2"].state.image.proposed is None


async def test_a_lost_host_is_left_out_and_the_reason_is_recorded(
    cluster, autojump_clock
):
    control = cluster.nodes["h-3"].control
    await until(lambda: control.view("valdres") is not None, 1.0)
    assert control.view("valdres") == View("valdres", 1, "h-1", "h-2")
    cluster.leader, cluster.cut = "h-3", {"h-1"}
    await until(lambda: control.view("valdres").primary == "h-2", DETECTED_S)
    assert control.view("valdres") == View("valdres", 2, "h-2")
    assert "h-1 does not answer" in control.state.audit.head.reason
    await until(lambda: control.suspects() == {"h-1"}, 1.0)


async def test_a_view_with_a_backup_is_proposed_and_others_are_notified(
    cluster, autojump_clock
):
    await trio.sleep(0.5)
    control = cluster.nodes["h-2"].control
    with trio.fail_after(1.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.nodes["h-1"].control.wait_change)
            await trio.testing.wait_all_tasks_blocked()
            assert await control.propose_view(View("valdres", 2, "h-1", "h-3"))
    assert not await control.propose_view(View("valdres", 2, "h-1", "h-2"))


async def test_a_retry_through_another_host_returns_the_first_result(
    cluster, autojump_clock
):
    cluster.cut = {"h-2"}
    with pytest.raises(AgreementLost):
        await cluster.nodes["h-2"].control.change(set_preset("peak"))
    first = await cluster.nodes["h-3"].control.change(set_preset("peak"))
    again = await cluster.nodes["h-1"].control.change(set_preset("peak"))
    assert first == again


async def test_quotas_reach_every_host_and_the_archive(cluster, autojump_clock):
    control = cluster.nodes["h-1"].control
    await control.change(SetQuota(change(1, "q-1"), "crew", Quota(3.0, 7)))
    await control.change(DrainEndpoint(change(1, "d-1"), "e-1"))
    await trio.sleep(0.1)
    for node in cluster.nodes.values():
        assert node.control.quota("crew") == Quota(3.0, 7)
        assert "e-1" in node.state.image.drained
        assert node.control.archive.last == node.state.audit.head.number


async def test_a_host_that_has_no_room_for_its_archive_lives_on(
    cluster, autojump_clock, monkeypatch
):
    """Else it would end for a record that it can archive later."""
    node = cluster.nodes["h-1"]
    with monkeypatch.context() as patch:
        patch.setattr(node.control.archive._journal, "append", find_no_room)
        await node.control.change(SetQuota(change(1, "q-1"), "crew", Quota(3.0, 7)))
        await trio.sleep(5.0)
        assert node.control.archive.last < node.state.audit.head.number
    await trio.sleep(2.0)
    assert node.control.archive.last == node.state.audit.head.number


async def find_no_room(records):
    raise DiskUnavailable("injected failure")


async def test_a_single_host_serves_its_data_centre(nursery, autojump_clock):
    cluster = FakeCluster(["h-1"])
    await nursery.start(cluster.run)
    control = cluster.nodes["h-1"].control
    await until(lambda: control.view("valdres") is not None, 1.0)
    assert control.view("valdres") == View("valdres", 1, "h-1")
    await control.change(set_preset("peak"))
    await until(all_follow(cluster, "peak", "h-1"), 0.5)


async def test_a_second_host_that_never_starts_is_not_waited_for(
    nursery, autojump_clock
):
    cluster = FakeCluster(["h-1"], copies=2)
    await nursery.start(cluster.run)
    control = cluster.nodes["h-1"].control
    await until(lambda: control.view("valdres") is not None, 3.0)
    assert control.view("valdres") == View("valdres", 1, "h-1")
