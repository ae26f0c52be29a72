"""Serves an ASGI application with Hypercorn in the current Trio run."""

import socket
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .kernel import ServiceName

__all__ = ["AsgiApp", "HttpServer", "bind"]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

KEEP_ALIVE_S = 60.0
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
        self._stop_requested = trio.Event()
        self._stopped = trio.Event()
        self._config = Config()
        self._config.bind = [f"fd://{listener.detach()}" for listener in listeners]
        self._config.backlog = BACKLOG
        self._config.graceful_timeout = graceful_s
        self._config.keep_alive_timeout = KEEP_ALIVE_S
        self._config.read_timeout = READ_TIMEOUT_S
        self._config.accesslog = None
        self._config.errorlog = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until `drain` is called or the task is cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._serve)
            task_status.started()
        self._stopped.set()

    async def drain(self) -> None:
        """Stop listening and wait until the requests in progress have ended."""
        self._stop_requested.set()
        await self._stopped.wait()

    async def _serve(self, task_status: trio.TaskStatus[list[str]]) -> None:
        await serve(
            self._app,  # type: ignore[arg-type]
            self._config,
            shutdown_trigger=self._stop_requested.wait,
            task_status=task_status,
            mode="asgi",
        )
