"""Serves an ASGI application with Hypercorn in the current Trio run.

Invariant: a request that has reached the host gets its reply before its connection is
closed, unless the client stops sending or the time to stop runs out.
"""

import socket
from collections.abc import Awaitable, Callable, MutableMapping
from contextlib import suppress
from functools import partial
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio.worker_context import WorkerContext

from .clock import now_s
from .http_connection import LINGER_S, HttpConnection
from .kernel import ServiceName

__all__ = ["AsgiApp", "HttpServer", "bind"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

READ_TIMEOUT_S = 30
BACKLOG = 256


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
        self.in_progress = 0
        self._app = app
        self._stopping = False
        self._listeners = listeners
        self._graceful_s = graceful_s
        self._connections: set[HttpConnection] = set()
        # Never terminated: Hypercorn would close connections after replies that did not
        # say so, and cut the next request.
        self._context = WorkerContext(None)
        self.address: tuple[str, int] = listeners[0].getsockname()
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self._config = Config()
        self._config.read_timeout = READ_TIMEOUT_S
        self._config.accesslog = None
        self._config.errorlog = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until `drain` is called or the task is cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._serve)
            task_status.started()
        self._stopped.set()

    def announce_stop(self) -> None:
        """From now on, tell clients in each reply that their connection closes."""
        self._stopping = True

    async def drain(self) -> None:
        """Stop listening and wait until the requests in progress have ended."""
        self.announce_stop()
        self._stop_requested.set()
        await self._stopped.wait()

    async def _serve(self, task_status: trio.TaskStatus[None]) -> None:
        async with trio.open_nursery() as limited:
            limited.start_soon(self._abort_when_cancelled)
            async with trio.open_nursery() as connections:
                for listener in self._listeners:
                    listener.listen(BACKLOG)
                    listener.setblocking(False)
                # Accepting ends by closing its socket; the backlog outlives that here.
                listeners = [
                    trio.SocketListener(trio.socket.from_stdlib_socket(listener.dup()))
                    for listener in self._listeners
                ]
                try:
                    async with trio.open_nursery() as accepting:
                        accepting.start_soon(
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
                finally:
                    limited.cancel_scope.deadline = now_s() + self._graceful_s
                    for stream in self._take_backlog():
                        connections.start_soon(self._serve_connection, stream)
                await trio.sleep(LINGER_S)
                for connection in self._connections:
                    connection.close_when_idle()
            limited.cancel_scope.cancel()

    async def _abort_when_cancelled(self) -> None:
        """End replies that their clients do not read, as cancellation does not."""
        try:
            await trio.sleep_forever()
        finally:
            for connection in self._connections:
                connection.abort()

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
        connection = HttpConnection(self._reply, self._config, self._context, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

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
