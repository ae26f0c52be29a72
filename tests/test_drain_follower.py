import pytest
import trio

from currantwell.changes import DrainEndpoint
from currantwell.drain_follower import DrainFollower
from currantwell.endpoint_protocol import Announcement
from tests.builders import FakeCluster, change

IN_FORCE_S = 2.0


class FakeDrainer:
    def __init__(self):
        self.draining = {"e-1": False, "e-2": False}

    async def endpoints(self):
        return [
            Announcement(name, "i-1", "http://127.0.0.1:1", "valdres", 8, draining=d)
            for name, d in self.draining.items()
        ]

    async def drain_endpoint(self, endpoint, draining, operator):
        self.draining[endpoint] = draining


@pytest.fixture
async def control(nursery, autojump_clock):
    cluster = FakeCluster(["h-1"])
    await nursery.start(cluster.run)
    return cluster.nodes["h-1"].control


async def test_an_agreed_drain_is_carried_out_and_taken_back(
    control, nursery, autojump_clock
):
    drainer = FakeDrainer()
    await nursery.start(DrainFollower(control, lambda: drainer).run)
    await control.change(DrainEndpoint(change(1, "d-1"), "e-1"))
    await trio.sleep(IN_FORCE_S)
    assert drainer.draining == {"e-1": True, "e-2": False}
    drainer.draining["e-1"] = False
    await trio.sleep(IN_FORCE_S)
    assert drainer.draining["e-1"]
    await control.change(DrainEndpoint(change(2, "d-2"), "e-1", False))
    await trio.sleep(IN_FORCE_S)
    assert drainer.draining == {"e-1": False, "e-2": False}


async def test_a_new_primary_carries_it_out_too(control, nursery, autojump_clock):
    drainers = [None]
    await nursery.start(DrainFollower(control, lambda: drainers[0]).run)
    await control.change(DrainEndpoint(change(1, "d-1"), "e-2"))
    await trio.sleep(IN_FORCE_S)
    drainers[0] = drainer = FakeDrainer()
    await trio.sleep(IN_FORCE_S)
    assert drainer.draining == {"e-1": False, "e-2": True}
