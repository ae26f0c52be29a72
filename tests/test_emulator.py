from contextlib import asynccontextmanager

import trio

from currantwell.codes import ResultCode
from currantwell.emulator import EmulatedEndpoint, EmulatorSettings
from currantwell.endpoint_link import MAX_BATCH_STARTS, EndpointLink
from currantwell.endpoint_protocol import (
    AttemptRef,
    LeaseGrant,
    Start,
)
from currantwell.http_server import HttpServer, bind
from currantwell.ids import Epoch


class Handler:
    """Link handler that collects results and grants leases."""

    def __init__(self):
        self.results = []

    async def batch_answered(self, endpoint, batch, reply):
        assert not reply.refused

    async def results_received(self, endpoint, incarnation, results):
        self.results += results

    async def held_attempts_received(self, endpoint, held):
        assert not held.attempts

    def heartbeat_received(self, endpoint, heartbeat):
        return LeaseGrant(heartbeat.beat, 8.0)

    def endpoint_reachability_changed(self, endpoint, reachable):
        pass


@asynccontextmanager
async def linked(**settings):
    """Yield an emulated endpoint, a link to it and the link's handler."""
    emulator = EmulatedEndpoint(EmulatorSettings("e1", "valdres", (), **settings))
    server = HttpServer(emulator.app(), bind("127.0.0.1", 0), graceful_s=0.1)
    url = f"http://127.0.0.1:{server.address[1]}"
    handler = Handler()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            await nursery.start(emulator.run)
            incarnation = emulator._announcement().incarnation
            link = EndpointLink("e1", incarnation, url, Epoch(1), handler)
            nursery.start_soon(link.run)
            yield emulator, link, handler
            nursery.cancel_scope.cancel()


def a_start(task, sleep_s=0.0):
    return Start(AttemptRef("a/b:c", task, 1), "receipt", {"sleep_s": sleep_s}, 60.0)


async def test_results_are_acknowledged_though_no_batch_follows():
    async with linked() as (emulator, link, handler):
        link.send([a_start(0)])
        while not handler.results:
            await trio.sleep(0.01)
        await emulator.drain()
    assert len(handler.results) == 1


async def test_a_stop_does_not_overtake_a_start_that_waits_for_a_batch():
    # Guards against tasks that run on after their job was cancelled.
    count = MAX_BATCH_STARTS + 1
    async with linked(slots=count) as (_, link, handler):
        starts = [a_start(task, sleep_s=60.0) for task in range(count)]
        link.send(starts)
        link.send((), [start.ref for start in starts])
        while len(handler.results) < count:
            await trio.sleep(0.01)
    assert {line.code for line in handler.results} <= {
        ResultCode.TASK_STOPPED,
        ResultCode.NOT_RUN_CANCELLED,
    }
