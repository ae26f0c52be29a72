"""Connections of an HTTP server: kept open, failing, closed as the server drains."""

import socket

import pytest
import trio
import trio.testing
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext

from currantwell import http_connection
from currantwell.http_connection import HttpConnection
from currantwell.http_server import HttpServer, bind
from tests.step_counter import StepCounter

REQUEST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
MANY_CHUNKS = 100
MANY_BYTES = 8 * 1024 * 1024


class Echo:
    """Replies with the body of the request; a test can hold or fail requests."""

    def __init__(self):
        self.arrived = trio.Event()
        self.release = trio.Event()
        self.release.set()
        self.fail = False
        self.disconnected = trio.Event()
        self.size = None

    async def __call__(self, scope, receive, send):
        body = b""
        while (event := await receive()).get("more_body"):
            body += event["body"]
        self.arrived.set()
        if self.fail:
            raise RuntimeError("failed as told")
        if scope["path"] == "/wait":
            assert (await receive())["type"] == "http.disconnect"
            self.disconnected.set()
            return
        await self.release.wait()
        body = body if self.size is None else bytes(self.size)
        length = (b"content-length", str(len(body)).encode())
        head = {"type": "http.response.start", "status": 200, "headers": [length]}
        await send(head)
        await send({"type": "http.response.body", "body": body})


async def read_reply(stream):
    """Return the status and the body of the next reply; None at the end of stream."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some()
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    while len(body) < length:
        body += await stream.receive_some()
    return int(head.split()[1]), body


async def served(nursery, app, **options):
    server = HttpServer(app, bind("127.0.0.1", 0), **options)
    await nursery.start(server.run)
    return server, await trio.open_tcp_stream(*server.address)


async def test_requests_on_one_connection_are_replied_to_in_order(nursery):
    _, stream = await served(nursery, Echo())
    for body in (b"1111", b"2222"):
        await stream.send_all(REQUEST.replace(b"body", body))
        assert await read_reply(stream) == (200, body)
    nursery.cancel_scope.cancel()


async def test_a_body_may_arrive_in_pieces(nursery):
    _, stream = await served(nursery, Echo())
    for piece in (REQUEST[:20], REQUEST[20:-2], REQUEST[-2:]):
        await stream.send_all(piece)
        await trio.testing.wait_all_tasks_blocked(0.01)
    assert await read_reply(stream) == (200, b"body")
    nursery.cancel_scope.cancel()


async def test_a_reply_past_a_full_buffer_is_complete(nursery):
    app = Echo()
    app.size = MANY_BYTES
    _, stream = await served(nursery, app)
    await stream.send_all(REQUEST)
    await trio.sleep(0.05)
    assert await read_reply(stream) == (200, bytes(MANY_BYTES))
    nursery.cancel_scope.cancel()


async def test_a_reply_that_its_application_cancels_is_complete(nursery):
    async def app(scope, receive, send):
        head = {"type": "http.response.start", "status": 200}
        await send({**head, "headers": [(b"content-length", b"%d" % MANY_BYTES)]})
        with trio.move_on_after(0.01):
            await send({"type": "http.response.body", "body": bytes(MANY_BYTES)})

    _, stream = await served(nursery, app)
    await stream.send_all(REQUEST)
    await trio.sleep(0.05)
    with trio.fail_after(5):
        assert await read_reply(stream) == (200, bytes(MANY_BYTES))
    nursery.cancel_scope.cancel()


async def test_a_failure_of_the_application_is_replied_to(nursery):
    app = Echo()
    app.fail = True
    _, stream = await served(nursery, app)
    await stream.send_all(REQUEST)
    assert await read_reply(stream) == (500, b"")
    nursery.cancel_scope.cancel()


async def test_the_application_learns_that_its_client_disconnected(nursery):
    app = Echo()
    _, stream = await served(nursery, app)
    await stream.send_all(REQUEST.replace(b"/x", b"/wait"))
    await app.arrived.wait()
    await stream.aclose()
    with trio.fail_after(5):
        await app.disconnected.wait()
    nursery.cancel_scope.cancel()


async def test_a_malformed_request_is_refused(nursery):
    _, stream = await served(nursery, Echo())
    await stream.send_all(b"nonsense\r\n\r\n")
    assert await read_reply(stream) == (400, b"")
    assert await stream.receive_some() == b""
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"nonsense\r\n\r\n", id="malformed"),
        pytest.param(
            b"GET / HTTP/1.1\r\nhost: a\r\nx: %070000d\r\n\r\n" % 0, id="large"
        ),
        pytest.param(REQUEST.replace(b"length: 4", b"length: x"), id="length"),
        pytest.param(
            REQUEST.replace(b"host: a", b"host: a\r\nconnection: close") + REQUEST,
            id="after the last",
        ),
    ],
)
async def test_a_server_outlives_a_connection_that_it_refuses_to_read(nursery, data):
    server, refused = await served(nursery, Echo())
    await refused.send_all(data)
    await read_reply(refused)
    await trio.sleep(0.05)
    stream = await trio.open_tcp_stream(*server.address)
    await stream.send_all(REQUEST)
    assert await read_reply(stream) == (200, b"body")
    nursery.cancel_scope.cancel()


async def reply_at_once(scope, receive, send):
    """Application that replies without reading the body."""
    length = (b"content-length", b"2")
    head = {"type": "http.response.start", "status": 200, "headers": [length]}
    await send(head)
    await send({"type": "http.response.body", "body": b"ok"})


async def test_a_body_that_nobody_reads_holds_no_connection_open(nursery):
    server, stream = await served(nursery, reply_at_once)
    await stream.send_all(CHUNKED_HEAD + MANY_CHUNKS * b"1\r\nx\r\n")
    assert await read_reply(stream) == (200, b"ok")
    with trio.fail_after(5):
        assert await stream.receive_some() == b""
    assert server.in_progress == 0
    nursery.cancel_scope.cancel()


async def test_a_client_that_is_refused_may_send_its_request_to_the_end(nursery):
    _, stream = await served(nursery, reply_at_once)
    await stream.send_all(REQUEST[:-4].replace(b" 4", b" %d" % MANY_BYTES))
    await trio.sleep(0.05)
    with trio.fail_after(5):
        await stream.send_all(bytes(MANY_BYTES))
        assert await read_reply(stream) == (200, b"ok")
        assert await stream.receive_some() == b""
    nursery.cancel_scope.cancel()


async def test_a_reply_before_the_end_of_the_body_says_that_it_closes(nursery):
    _, stream = await served(nursery, reply_at_once)
    await stream.send_all(REQUEST[:-1])
    assert b"connection: close\r\n" in await stream.receive_some()
    nursery.cancel_scope.cancel()


async def test_a_client_that_sends_a_large_head_to_its_end_is_refused(nursery):
    _, stream = await served(nursery, Echo())
    with trio.fail_after(5):
        await stream.send_all(REQUEST[:-8] + b"\r\nx: " + MANY_BYTES * b"x")
        assert await read_reply(stream) == (431, b"")
    nursery.cancel_scope.cancel()


async def test_a_client_that_never_ends_its_request_is_left(nursery, monkeypatch):
    monkeypatch.setattr(http_connection, "DISCARD_S", 0.1)
    _, stream = await served(nursery, reply_at_once)
    await stream.send_all(CHUNKED_HEAD)
    assert await read_reply(stream) == (200, b"ok")
    with trio.fail_after(5), pytest.raises(trio.BrokenResourceError):
        while True:
            await stream.send_all(b"1\r\nx\r\n")
            await trio.sleep(0.02)
    nursery.cancel_scope.cancel()


async def test_draining_closes_idle_connections_and_completes_requests(nursery):
    app = Echo()
    server, busy = await served(nursery, app)
    idle = await trio.open_tcp_stream(*server.address)
    await trio.testing.wait_all_tasks_blocked(0.01)
    app.release = trio.Event()
    await busy.send_all(REQUEST)
    await app.arrived.wait()
    nursery.start_soon(server.drain)
    with trio.fail_after(5):
        assert await idle.receive_some() == b""
        app.release.set()
        assert await read_reply(busy) == (200, b"body")
        assert await busy.receive_some() == b""


async def test_a_request_that_arrives_as_its_idle_connection_closes_is_answered(
    nursery,
):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    connection = HttpConnection(Echo(), Config(), WorkerContext(None), stream)
    nursery.start_soon(connection.run)
    await trio.testing.wait_all_tasks_blocked(0.01)
    client.sendall(REQUEST)
    connection.close_when_idle()
    with trio.fail_after(5):
        reply = await read_reply(
            trio.SocketStream(trio.socket.from_stdlib_socket(client))
        )
    assert reply == (200, b"body")


async def test_requests_that_outlast_the_grace_time_are_cut(nursery):
    app = Echo()
    app.release = trio.Event()
    server, stream = await served(nursery, app, graceful_s=0.05)
    await stream.send_all(REQUEST)
    await app.arrived.wait()
    with trio.fail_after(5):
        await server.drain()
        assert await read_reply(stream) is None


async def test_a_client_that_does_not_read_its_reply_holds_up_no_drain(nursery):
    app = Echo()
    app.size = MANY_BYTES
    server, stream = await served(nursery, app, graceful_s=0.05)
    await stream.send_all(REQUEST)
    await app.arrived.wait()
    with trio.fail_after(5):
        await server.drain()
    await stream.aclose()


async def test_a_client_that_does_not_read_its_reply_holds_up_no_cancellation():
    app = Echo()
    app.size = MANY_BYTES
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            _, stream = await served(nursery, app)
            await stream.send_all(REQUEST)
            await app.arrived.wait()
            await trio.testing.wait_all_tasks_blocked(0.01)
            nursery.cancel_scope.cancel()
    await stream.aclose()


async def test_a_request_is_served_in_three_steps(nursery):
    # One for its data, one for the application, one to wait for the next request.
    requests = 20
    _, stream = await served(nursery, Echo())
    await stream.send_all(REQUEST)
    await read_reply(stream)
    await trio.testing.wait_all_tasks_blocked(0.01)
    counter = StepCounter()
    trio.lowlevel.add_instrument(counter)
    for _ in range(requests):
        await stream.send_all(REQUEST)
        assert await read_reply(stream) == (200, b"body")
    trio.lowlevel.remove_instrument(counter)
    own = counter.steps[trio.lowlevel.current_task()]
    assert sum(counter.steps.values()) - own <= 3 * requests
    nursery.cancel_scope.cancel()
