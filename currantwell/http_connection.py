"""One connection of an HTTP server: Hypercorn's protocol over a direct stream.

Invariant: a request whose bytes were read gets its reply before the connection is
closed, unless the client stops sending or the request is cancelled. An idle connection
is closed by the task that reads from it, and only if no request has begun to arrive.

Hypercorn's own connection yields to the event loop at each lock, each write and each
event of a request, and starts a task whenever the connection becomes idle. This one
waits only for data, for room in a full buffer and for the application.
"""

import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from .direct_stream import DirectStream
from .isolation import isolated

__all__ = ["LINGER_S", "HttpConnection"]

RECEIVE_BYTES = 64 * 1024
# Longer than a request is under way from a client to the host.
LINGER_S = 0.1
# Time for the rest of a request that is replied to before its end.
DISCARD_S = 2.0


class HttpConnection:
    """Serves the requests that arrive on one connection.

    Parameters
    ----------
    app : callable
        The application.
    config : Config
        Configuration of Hypercorn.
    context : WorkerContext
        Context of Hypercorn.
    stream : trio.SocketStream
        The connection; this object takes it over.
    """

    def __init__(
        self,
        app: Any,
        config: Config,
        context: WorkerContext,
        stream: trio.SocketStream,
    ) -> None:
        self._idle = True
        self._closing = False
        self._ended = False
        self._receiving: trio.CancelScope | None = None
        self._app = app
        self._config = config
        self._context = context
        self._stream = DirectStream.taken_from(stream)
        self._send_lock = trio.Lock()
        self._protocol: ProtocolWrapper

    async def run(self) -> None:
        """Serve requests until either end closes the connection."""
        socket = self._stream.socket
        try:
            client = parse_socket_addr(socket.family, socket.getpeername())
            server = parse_socket_addr(socket.family, socket.getsockname())
            reply: Any = self._reply
            async with _RequestTasks() as tasks:
                self._protocol = ProtocolWrapper(
                    reply,
                    self._config,
                    self._context,
                    tasks,
                    ConnectionState({}),
                    False,
                    client,
                    server,
                    self._handle_protocol_event,
                    "http/1.1",
                )
                await self._protocol.initiate()
                await self._read_loop()
        except OSError:
            return
        finally:
            self._close()

    def close_when_idle(self) -> None:
        """Close the connection once no request is in progress."""
        self._closing = True
        if self._idle and self._receiving is not None:
            self._receiving.cancel()

    def abort(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    async def _reply(self, scope: Any, receive: Any, send: Any) -> None:
        """Have the application reply; a reply before the end of the body says so."""

        async def send_event(event: Any) -> None:
            starts = event["type"] == "http.response.start"
            if starts and self._client_state is h11.SEND_BODY:
                headers = [*event.get("headers", ()), (b"connection", b"close")]
                event = {**event, "headers": headers}
            await send(event)

        await self._app(scope, receive, send_event)

    async def _read_loop(self) -> None:
        while not (self._ended or (self._closing and self._idle)):
            try:
                data = await self._receive()
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                break
            if data is None:
                break
            self._idle = self._idle and not data
            await self._protocol.handle(RawData(data))
            if not data:
                break
        await self._protocol.handle(Closed())
        if self._ended:
            await self._discard()

    async def _receive(self) -> bytes | None:
        """Return the next bytes, none at the end of stream.

        Returns None if the client has sent nothing in time, or nothing when the
        connection is to be closed.
        """
        timeout_s = math.inf
        if not self._request_is_read:
            timeout_s = self._config.read_timeout or math.inf
        with trio.move_on_after(timeout_s) as self._receiving:
            return await self._stream.receive_some(RECEIVE_BYTES)
        return self._stream.receive_now(RECEIVE_BYTES)

    async def _discard(self) -> None:
        """Read what the client still sends; otherwise the kernel resets its end."""
        with (
            suppress(trio.ClosedResourceError, trio.BrokenResourceError),
            trio.move_on_after(DISCARD_S),
        ):
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass

    def _limit_idle_time(self) -> None:
        """Close the connection if the next request does not arrive in time."""
        limit_s = LINGER_S if self._closing else self._config.read_timeout or math.inf
        if self._receiving is not None:
            self._receiving.deadline = trio.current_time() + limit_s

    @property
    def _request_is_read(self) -> bool:
        """Whether the client waits for the reply to a request that it sent in full."""
        return self._client_state is h11.DONE

    @property
    def _client_state(self) -> Any:
        connection = getattr(self._protocol.protocol, "connection", None)
        return getattr(connection, "their_state", None)

    async def _handle_protocol_event(self, event: Event) -> None:
        match event:
            case RawData():
                await self._send(event.data)
            case Closed():
                self._end()
                await self._protocol.handle(Closed())
            case Updated():
                self._idle = event.idle
                if event.idle:
                    self._limit_idle_time()

    async def _send(self, data: bytes) -> None:
        """Send data, which is completed even if the request is cancelled.

        Only `abort` ends it while the client does not read.
        """
        if not data:
            return
        try:
            with trio.CancelScope(shield=True):
                try:
                    self._send_lock.acquire_nowait()
                except trio.WouldBlock:
                    await self._send_lock.acquire()
                try:
                    await self._stream.send_all(data)
                finally:
                    self._send_lock.release()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self._protocol.handle(Closed())

    def _end(self) -> None:
        """Send no more, and close the connection unless the client is still sending."""
        if self._client_state in (h11.SEND_BODY, h11.ERROR):
            self._ended = True
            self._stream.send_eof()
            if self._receiving is not None:
                self._receiving.cancel()
        else:
            self._close()

    def _close(self) -> None:
        self._stream.send_eof()
        self._stream.close()


class _RequestTasks(TaskGroup):
    """Runs the application; passes events on without yielding to the event loop."""

    async def spawn_app(
        self,
        app: Any,
        config: Config,
        scope: Any,
        send: Callable[[Any], Awaitable[None]],
    ) -> Callable[[Any], Awaitable[None]]:
        """Start the application for one request; return how it is sent events."""
        sender, receiver = trio.open_memory_channel[Any](config.max_app_queue_size)

        async def put(event: Any) -> None:
            if event["type"] == "http.disconnect":
                # Also ends a wait for room, which an application that has replied
                # doesn't make.
                sender.close()
                return
            with suppress(trio.ClosedResourceError):
                try:
                    sender.send_nowait(event)
                except trio.WouldBlock:
                    await sender.send(event)

        async def receive() -> Any:
            try:
                try:
                    return receiver.receive_nowait()
                except trio.WouldBlock:
                    return await receiver.receive()
            except trio.EndOfChannel:
                return {"type": "http.disconnect"}

        assert self._nursery is not None
        self._nursery.start_soon(_run_app, app, config, scope, receive, send)
        return put


async def _run_app(
    app: Any,
    config: Config,
    scope: Any,
    receive: Callable[[], Awaitable[Any]],
    send: Callable[[Any], Awaitable[None]],
) -> None:
    """Run the application for one request; a failure of it is answered with 500.

    If it is cancelled, nothing is sent, since the connection is about to be closed.
    """
    with isolated("request"):
        await app(scope, receive, send)
    await send(None)
