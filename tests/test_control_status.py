import trio

from currantwell.control_status import ControlStatus
from tests.builders import FakeCluster, set_preset


async def test_hosts_and_changes_appear_as_on_the_status_page(autojump_clock):
    cluster = FakeCluster(["h-1", "h-2"])
    status = ControlStatus(cluster.nodes["h-1"].control)
    async with trio.open_nursery() as nursery:
        await nursery.start(cluster.run)
        while len(status.hosts()) < 2 or not status.hosts()[0].role:
            await trio.sleep(0.1)
        await cluster.nodes["h-1"].control.change(set_preset("peak"))
        await cluster.nodes["h-1"].control.change(set_preset("ordinary", id="c-2"))
        changes = status.recent_changes(20)
        cluster.cut.add("h-2")
        while status.hosts()[1].state == "serving":
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert status.hosts()[0].role == "primary, leader"
    assert status.hosts()[1].state == "does not answer"
    by_ada = [change for change in changes if change.by == "ada"]
    assert [change.why for change in by_ada] == ["dawn", "dawn"]
    assert "VERSION_CONFLICT" in by_ada[0].what
    before, after = by_ada[1].what.removeprefix("set_preset peak: ").split(" -> ")
    assert '"name":"ordinary"' in before
    assert '"name":"peak"' in after
    assert len(status.recent_changes(1)) == 1
