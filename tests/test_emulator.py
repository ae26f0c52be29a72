import trio

from currantwell.emulator import EmulatedEndpoint, EmulatorSettings
from currantwell.endpoint_link import EndpointLink
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


async def test_results_are_acknowledged_though_no_batch_follows():
    emulator = EmulatedEndpoint(EmulatorSettings("e1", "valdres", ()))
    server = HttpServer(emulator.app(), bind("127.0.0.1", 0))
    url = f"http://127.0.0.1:{server.address[1]}"
    handler = Handler()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            await nursery.start(emulator.run)
            incarnation = emulator._announcement().incarnation
            link = EndpointLink("e1", incarnation, url, Epoch(1), handler)
            nursery.start_soon(link.run)
            link.send([Start(AttemptRef("a/b:c", 0, 1), "receipt", None, 9.0)])
            while not handler.results:
                await trio.sleep(0.01)
            await emulator.drain()
            nursery.cancel_scope.cancel()
    assert len(handler.results) == 1
