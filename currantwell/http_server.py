"""Serves an ASGI application with Hypercorn's protocols in the current Trio run.

Invariant: a request that has reached the host gets its reply before its connection is
closed, unless the client stops sending or the time to stop runs out.
"""

import math
import socket
from collections.abc import Awaitable, Callable, MutableMapping
from contextlib import suppress
from functools import partial
from typing import Any

import h11
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState, LifespanState

from .kernel import ServiceName

__all__ = ["AsgiApp", "HttpServer", "bind"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

KEEP_ALIVE_S = 60.0
READ_TIMEOUT_S = 30
BACKLOG = 256
# Longer than a request is under way from a client to the host.
LINGER_S = 0.1


def bind(address: str, port: int) -> socket.socket:
    """Return a bound socket; port 0 lets the kernel pick one."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
    except OSError as error:
        listener.close()
        raise OSError(error.errno, error.strerror, f"{address}:{port}") from error
    return listener


class HttpServer:
    """Service that serves an ASGI application over HTTP.

    Parameters
    ----------
    app : AsgiApp
        Application to serve.
    *listeners : socket.socket
        Bound sockets to listen on; the server takes ownership of them.
    graceful_s : float
        Seconds that requests in progress may take after `drain`.
    name : str
        The name of the service.

    Attributes
    ----------
    address : tuple
        Address and port of the first listener.
    in_progress : int
        Number of requests whose head has arrived and whose reply isn't sent in full.
    """

    def __init__(
        self,
        app: AsgiApp,
        *listeners: socket.socket,
        graceful_s: float = 30.0,
        name: str = "http",
    ) -> None:
        self.name = ServiceName(name)
        self._app = app
        self.address: tuple[str, int] = listeners[0].getsockname()
        self.in_progress = 0
        self._listeners = listeners
        self._stopping = False
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self._graceful_s = graceful_s
        self._close_idle = trio.Event()
        # Never terminated: Hypercorn would close connections after replies that did not
        # say so, and cut the next request.
        self._context = WorkerContext(None)
        self._config = Config()
        self._config.keep_alive_timeout = KEEP_ALIVE_S
        self._config.read_timeout = READ_TIMEOUT_S
        self._config.accesslog = None
        self._config.errorlog = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until `drain` is called or the task is cancelled."""
        listeners = []
        for listener in self._listeners:
            listener.listen(BACKLOG)
            listener.setblocking(False)
            # Accepting ends by closing its socket; the backlog outlives that here.
            accepting_socket = trio.socket.from_stdlib_socket(listener.dup())
            listeners.append(trio.SocketListener(accepting_socket))
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                await accepting.start(
                    partial(
                        trio.serve_listeners,
                        self._serve_connection,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                task_status.started()
                await self._stop_requested.wait()
                accepting.cancel_scope.cancel()
            for stream in self._take_backlog():
                connections.start_soon(self._serve_connection, stream)
            connections.cancel_scope.deadline = trio.current_time() + self._graceful_s
            self._close_idle.set()
        self._stopped.set()

    def announce_stop(self) -> None:
        """From now on, tell clients in each reply that their connection closes."""
        self._stopping = True

    async def drain(self) -> None:
        """Stop listening and wait until the requests in progress have ended."""
        self.announce_stop()
        self._stop_requested.set()
        await self._stopped.wait()

    def _take_backlog(self) -> list[trio.SocketStream]:
        """Return the connections not yet accepted, and stop listening."""
        streams = []
        for listener in self._listeners:
            with listener, suppress(BlockingIOError):
                while True:
                    accepted, _ = listener.accept()
                    accepted_socket = trio.socket.from_stdlib_socket(accepted)
                    streams.append(trio.SocketStream(accepted_socket))
        return streams

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        state = ConnectionState(LifespanState())
        app = ASGIWrapper(self._reply)  # type: ignore[arg-type]
        connection = _Connection(
            app,
            self._config,
            self._context,
            state,
            stream,  # type: ignore[arg-type]
        )
        connection.close_idle = self._close_idle
        await connection.run()

    async def _reply(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Have the application reply to one request, which is counted meanwhile."""

        async def send_event(event: MutableMapping[str, Any]) -> None:
            if self._stopping and event["type"] == "http.response.start":
                headers = [*event.get("headers", ()), (b"connection", b"close")]
                event = {**event, "headers": headers}
            await send(event)

        self.in_progress += 1
        try:
            await self._app(scope, receive, send_event)
        finally:
            self.in_progress -= 1


class _Connection(TCPServer):
    """A connection that is closed only while no request has begun to arrive.

    Hypercorn closes the socket of an idle connection beside the task that reads from
    it, which may just have read a request. Here that task is asked to stop, and does so
    only if it has read nothing.
    """

    close_idle: trio.Event
    _idle = True
    _closing = False
    _receiving: trio.CancelScope | None = None

    async def protocol_send(self, event: Event) -> None:
        if isinstance(event, Updated):
            self._idle = event.idle
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        while not (self._closing and self._idle):
            try:
                data = await self._receive()
            except (
                trio.ClosedResourceError,
                trio.BrokenResourceError,
                trio.TooSlowError,
            ):
                break
            if data is None:
                continue
            self._idle = self._idle and not data
            await self.protocol.handle(RawData(data))
            if not data:
                break
        await self.protocol.handle(Closed())
        await self.idle_task.stop()

    async def _receive(self) -> bytes | None:
        """Return the next bytes from the client, None if interrupted before any."""
        timeout_s = math.inf if self._request_is_read else self.config.read_timeout
        with trio.CancelScope() as self._receiving:
            with trio.fail_after(timeout_s or math.inf):
                return bytes(await self.stream.receive_some(MAX_RECV))
        return None

    @property
    def _request_is_read(self) -> bool:
        connection = getattr(self.protocol.protocol, "connection", None)
        return getattr(connection, "their_state", None) is h11.DONE

    async def _idle_timeout(self) -> None:
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.close_idle.wait()
            await trio.sleep(LINGER_S)
        self._closing = True
        if self._idle and self._receiving is not None:
            self._receiving.cancel()
