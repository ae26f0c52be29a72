import msgspec
import trio
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from currantwell.emulator import EmulatorSettings, run_emulator
from currantwell.endpoint_protocol import Announcement, AnnouncementReply
from currantwell.http_server import HttpServer, bind


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
