"""Tests of `HttpServer`: requests that arrive while it stops, and long ones."""

import os
import socket

import pytest
import trio
import trio.testing

from currantwell import http_connection, http_server
from currantwell.http_server import HttpServer, bind

PATIENCE_S = 5.0
HEAD = b"POST /%d HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\n"


class EchoApp:
    """ASGI application that echoes bodies, after a while if it is told to."""

    def __init__(self):
        self.read = []
        self.may_reply = trio.Event()
        self.may_reply.set()
        self.may_end_reply = trio.Event()
        self.may_end_reply.set()

    async def __call__(self, scope, receive, send):
        body, more = b"", True
        while more:
            event = await receive()
            if event["type"] == "http.disconnect":
                return
            body += event.get("body", b"")
            more = event.get("more_body", False)
        self.read.append(scope["path"])
        if not await self.wait(receive):
            return
        length = (b"content-length", str(len(body)).encode())
        head = {"type": "http.response.start", "status": 200, "headers": [length]}
        await send(head)
        await self.may_end_reply.wait()
        await send({"type": "http.response.body", "body": body})

    async def wait(self, receive):
        """Return whether the client is still there when the reply may be sent."""
        async with trio.open_nursery() as nursery:

            async def watch_disconnect():
                await receive()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch_disconnect)
            await self.may_reply.wait()
            nursery.cancel_scope.cancel()
            return True
        return False


@pytest.fixture
async def server(nursery):
    server = HttpServer(EchoApp(), bind("127.0.0.1", 0), graceful_s=PATIENCE_S)
    await nursery.start(server.run)
    return server


async def connect(server):
    return await trio.open_tcp_stream(*server.address)


async def reply_of(stream):
    """Return the head and the body of a reply, None if it isn't complete."""
    data = b""
    with trio.move_on_after(PATIENCE_S):
        while True:
            try:
                part = await stream.receive_some()
            except trio.BrokenResourceError:
                return None
            data += part
            head, end, body = data.partition(b"\r\n\r\n")
            if end and len(body) == 4:
                return head.lower(), body
            if not part:
                return None
    return None


async def read_and_unanswered(turns, drain_first):
    """Send requests some turns of the loop from a drain; return those only read."""
    replies = {}

    async def use(number, stream):
        await stream.send_all(HEAD % number + b"body")
        replies[f"/{number}"] = await reply_of(stream)

    async with trio.open_nursery() as serving:
        server = HttpServer(EchoApp(), bind("127.0.0.1", 0), graceful_s=PATIENCE_S)
        await serving.start(server.run)
        streams = [await connect(server) for _ in range(8)]
        for stream in streams:
            await stream.send_all(HEAD % 100 + b"body")
            assert await reply_of(stream) is not None
        server._app.read.clear()
        async with trio.open_nursery() as nursery:
            if drain_first:
                nursery.start_soon(server.drain)
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
            for number, stream in enumerate(streams):
                nursery.start_soon(use, number, stream)
            if not drain_first:
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
                nursery.start_soon(server.drain)
        for stream in streams:
            await stream.aclose()
    return [path for path in server._app.read if replies[path] is None]


@pytest.mark.parametrize("drain_first", [True, False])
async def test_a_request_read_as_the_server_closes_is_answered(drain_first):
    # Only the task that reads a connection knows whether a request has arrived.
    for _ in range(4):
        for turns in range(14):
            assert await read_and_unanswered(turns, drain_first) == []


async def test_a_request_under_way_as_the_server_closes_is_answered(server):
    stream = await connect(server)
    await trio.testing.wait_all_tasks_blocked(0.05)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.drain)
        await trio.sleep(http_server.LINGER_S / 4)
        await stream.send_all(HEAD % 1 + b"body")
        assert await reply_of(stream) is not None


async def test_connections_not_accepted_as_the_server_closes_are_answered(server):
    clients = [socket.create_connection(server.address) for _ in range(20)]
    for client in clients:
        client.sendall(HEAD % 1 + b"body")
    with trio.fail_after(PATIENCE_S):
        await server.drain()
    for client in clients:
        with client:
            assert client.recv(1000).endswith(b"body")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(server.address)


async def test_a_body_whose_end_arrives_as_the_server_closes_is_answered(server):
    stream, idle = await connect(server), await connect(server)
    await stream.send_all(HEAD % 1 + b"bo")
    await trio.testing.wait_all_tasks_blocked(0.05)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.drain)
        assert await idle.receive_some() == b""
        await stream.send_all(b"dy")
        head, body = await reply_of(stream)
        assert body == b"body"
        assert b"connection: close" in head


async def test_every_reply_of_a_server_that_stops_says_that_it_closes(server):
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"body")
    head, _ = await reply_of(stream)
    assert b"connection: close" not in head
    server.announce_stop()
    await stream.send_all(HEAD % 2 + b"body")
    head, _ = await reply_of(stream)
    assert b"connection: close" in head
    assert await stream.receive_some() == b""


async def test_a_connection_whose_last_reply_did_not_say_that_it_closes_is_usable(
    server,
):
    # The head of the reply was sent before the server was told to stop.
    stream = await connect(server)
    server._app.may_end_reply = trio.Event()
    await stream.send_all(HEAD % 1 + b"body")
    await trio.testing.wait_all_tasks_blocked(0.05)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.drain)
        await trio.testing.wait_all_tasks_blocked(0.05)
        server._app.may_end_reply.set()
        head, _ = await reply_of(stream)
        assert b"connection: close" not in head
        await stream.send_all(HEAD % 2 + b"body")
        head, _ = await reply_of(stream)
        assert b"connection: close" in head


async def test_a_head_that_is_half_sent_as_the_server_closes_is_answered(server):
    stream = await connect(server)
    data = HEAD % 1 + b"body"
    await stream.send_all(data[:20])
    await trio.testing.wait_all_tasks_blocked(0.05)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.drain)
        await trio.sleep(0.05)
        await stream.send_all(data[20:])
        assert await reply_of(stream) is not None


async def test_a_request_counts_from_its_head_to_the_end_of_its_reply(server):
    stream = await connect(server)
    assert server.in_progress == 0
    server._app.may_reply = trio.Event()
    await stream.send_all(HEAD % 1)
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert server.in_progress == 1
    await stream.send_all(b"body")
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert server.in_progress == 1
    server._app.may_reply.set()
    assert await reply_of(stream) is not None
    await trio.testing.wait_all_tasks_blocked(0.05)
    assert server.in_progress == 0


async def test_a_reply_that_takes_longer_than_a_read_may_is_sent(nursery, monkeypatch):
    # Waiting for a job's end took as long as the limit of a read from the client.
    monkeypatch.setattr(http_server, "READ_TIMEOUT_S", 0.1)
    app = EchoApp()
    app.may_reply = trio.Event()
    server = HttpServer(app, bind("127.0.0.1", 0))
    await nursery.start(server.run)
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"body")
    await trio.sleep(0.3)
    app.may_reply.set()
    assert await reply_of(stream) is not None


async def test_a_client_that_sends_no_more_of_its_body_is_given_up(
    nursery, monkeypatch
):
    monkeypatch.setattr(http_server, "READ_TIMEOUT_S", 0.1)
    server = HttpServer(EchoApp(), bind("127.0.0.1", 0))
    await nursery.start(server.run)
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"bo")
    with trio.fail_after(PATIENCE_S):
        assert await stream.receive_some() == b""


async def test_a_connection_that_its_client_closed_is_released_at_once(server):
    before = len(os.listdir("/proc/self/fd"))
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"body")
    assert await reply_of(stream) is not None
    await trio.testing.wait_all_tasks_blocked(0.05)
    await stream.aclose()
    with trio.fail_after(PATIENCE_S):
        while len(os.listdir("/proc/self/fd")) > before:
            await trio.sleep(0.01)


async def test_a_connection_that_is_idle_after_a_late_reply_is_closed(
    nursery, monkeypatch
):
    monkeypatch.setattr(http_server, "READ_TIMEOUT_S", 0.1)
    app = EchoApp()
    app.may_reply = trio.Event()
    server = HttpServer(app, bind("127.0.0.1", 0))
    await nursery.start(server.run)
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"body")
    await trio.testing.wait_all_tasks_blocked(0.01)
    app.may_reply.set()
    with trio.fail_after(PATIENCE_S):
        received = b""
        while data := await stream.receive_some():
            received += data
    assert received.endswith(b"body")
    nursery.cancel_scope.cancel()


async def test_a_connection_whose_reply_ended_after_the_notice_holds_up_no_drain(
    server, nursery
):
    app = server._app
    app.may_end_reply = trio.Event()
    stream = await connect(server)
    await stream.send_all(HEAD % 1 + b"body")
    assert await stream.receive_some()
    nursery.start_soon(server.drain)
    await trio.sleep(2 * http_connection.LINGER_S)
    app.may_end_reply.set()
    with trio.fail_after(PATIENCE_S / 2):
        while await stream.receive_some():
            pass
