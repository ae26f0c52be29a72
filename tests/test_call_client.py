"""Tests of `CallClient`: complete replies, reused connections, closed connections."""

from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from currantwell.call_client import STALE_CHECK_AFTER_IDLE_S, CallClient
from currantwell.errors import EndpointUnreachable
from tests.step_counter import StepCounter

REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REJECTED = b"HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n"
LAST = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"


class Server:
    """Sends the next reply of a list, in two chunks, to each request."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0
        self.close_idle = trio.Event()

    async def serve(self, stream):
        self.connections += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.close_on_event, stream)
            async for data in stream:
                self.requests.append(data)
                reply = self.replies.pop(0) if self.replies else None
                if reply is None:
                    await trio.sleep_forever()
                for piece in (reply[:20], reply[20:]):
                    await stream.send_all(piece)
                    await trio.sleep(0.001)
            nursery.cancel_scope.cancel()

    async def close_on_event(self, stream):
        await self.close_idle.wait()
        self.close_idle = trio.Event()
        await stream.send_eof()


@asynccontextmanager
async def calling(server, **options):
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, server.serve, 0, host="127.0.0.1")
        (listener,) = await nursery.start(serve)
        port = listener.socket.getsockname()[1]
        client = CallClient(f"http://127.0.0.1:{port}", **options)
        yield client
        await client.close()
        nursery.cancel_scope.cancel()


async def test_calls_share_a_connection_and_carry_headers():
    server = Server(REPLY, REJECTED, REPLY)
    async with calling(server, headers=[(b"x-life", b"i-1")]) as client:
        replies = [await client.post("/a", b"{}", 1.0) for _ in range(3)]
    assert [reply.status for reply in replies] == [200, 409, 200]
    assert [reply.body for reply in replies] == [b"ok", b"", b"ok"]
    assert server.connections == 1
    assert b"x-life: i-1\r\n" in server.requests[0]
    assert server.requests[0].endswith(b"content-length: 2\r\n\r\n{}")


async def test_a_call_without_a_reply_closes_its_connection():
    server = Server(None, REPLY)
    async with calling(server) as client:
        with pytest.raises(EndpointUnreachable):
            await client.post("/a", b"{}", 0.05)
        assert (await client.post("/a", b"{}", 1.0)).status == 200
    assert server.connections == 2


async def test_a_cancelled_call_gives_its_connection_up():
    server = Server(None, REPLY)
    async with calling(server) as client:
        with trio.move_on_after(0.05):
            await client.post("/a", b"{}", 5.0)
        assert (await client.post("/a", b"{}", 1.0)).status == 200
    assert server.connections == 2


async def test_a_server_that_closes_after_a_reply_is_connected_to_anew():
    server = Server(LAST, REPLY)
    async with calling(server) as client:
        for _ in range(2):
            assert (await client.post("/a", b"{}", 1.0)).body == b"ok"
    assert server.connections == 2


async def test_a_connection_closed_while_it_was_idle_is_not_used():
    server = Server(REPLY, REPLY)
    async with calling(server) as client:
        await client.post("/a", b"{}", 1.0)
        server.close_idle.set()
        await trio.sleep(STALE_CHECK_AFTER_IDLE_S + 0.05)
        assert (await client.post("/a", b"{}", 1.0)).status == 200
    assert server.connections == 2


async def test_what_is_no_reply_is_reported():
    async with calling(Server(b"SSH-2.0-x\r\n" * 4)) as client:
        with pytest.raises(EndpointUnreachable):
            await client.post("/a", b"{}", 1.0)


async def test_more_calls_than_connections_wait_their_turn():
    server = Server(*[REPLY] * 6)
    async with calling(server, max_connections=2) as client:
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(client.post, "/a", b"{}", 2.0)
        assert server.connections == 2
        assert len(server.requests) == 6


async def test_a_call_over_an_open_connection_waits_only_for_its_reply():
    # Checkpoints that wait for nothing cost more than the rest of a call.
    calls = 50
    counter = StepCounter()

    async def serve(stream):
        async for _ in stream:
            await stream.send_all(REPLY)

    async with trio.open_nursery() as nursery:
        (listener,) = await nursery.start(
            partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
        )
        port = listener.socket.getsockname()[1]
        client = CallClient(f"http://127.0.0.1:{port}")
        await client.post("/a", b"{}", 1.0)
        trio.lowlevel.add_instrument(counter)
        for _ in range(calls):
            await client.post("/a", b"{}", 1.0)
        trio.lowlevel.remove_instrument(counter)
        await client.close()
        nursery.cancel_scope.cancel()
    assert counter.steps[trio.lowlevel.current_task()] <= calls
