import msgspec
import trio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from currantwell.emulator import EmulatedEndpoint, EmulatorSettings, run_emulator
from currantwell.endpoint_link import EndpointLink
from currantwell.endpoint_protocol import (
    Announcement,
    AnnouncementReply,
    AttemptRef,
    LeaseGrant,
    Start,
)
from currantwell.http_server import HttpServer, bind
from currantwell.ids import Epoch


async def test_an_endpoint_keeps_an_operators_wish_to_drain():
    wishes = [True, None, False, None]
    said = []
    enough = trio.Event()

    async def take(request):
        announcement = msgspec.json.decode(await request.body(), type=Announcement)
        said.append(announcement.draining)
        if len(said) > len(wishes):
            enough.set()
        wish = wishes[min(len(said), len(wishes)) - 1]
        return Response(msgspec.json.encode(AnnouncementReply(8.0, 1, wish)))

    app = Starlette(routes=[Route("/v1/endpoints", take, methods=["POST"])])
    server = HttpServer(app, bind("127.0.0.1", 0))
    url = f"http://127.0.0.1:{server.address[1]}"
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            await nursery.start(run_emulator, EmulatorSettings("e1", "valdres", (url,)))
            await enough.wait()
            nursery.cancel_scope.cancel()
    assert said[:5] == [False, True, True, False, False]


class Owner:
    """Takes what a link tells, and grants leases."""

    def __init__(self):
        self.results = []

    async def batch_answered(self, endpoint, batch, reply):
        assert not reply.refused

    async def results_arrived(self, endpoint, incarnation, results):
        self.results += results

    async def attempts_held(self, endpoint, held):
        assert not held.attempts

    def beat_arrived(self, endpoint, beat):
        return LeaseGrant(beat.beat, 8.0)

    def endpoint_answers(self, endpoint, answers):
        pass


async def test_results_are_acknowledged_though_no_batch_follows():
    emulator = EmulatedEndpoint(EmulatorSettings("e1", "valdres", ()))
    server = HttpServer(emulator.app(), bind("127.0.0.1", 0))
    url = f"http://127.0.0.1:{server.address[1]}"
    owner = Owner()
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            await nursery.start(emulator.run)
            incarnation = emulator._announcement().incarnation
            link = EndpointLink("e1", incarnation, url, Epoch(1), owner)
            nursery.start_soon(link.run)
            link.send([Start(AttemptRef("a/b:c", 0, 1), "receipt", None, 9.0)])
            while not owner.results:
                await trio.sleep(0.01)
            await emulator.drain()
            nursery.cancel_scope.cancel()
    assert len(owner.results) == 1
