"""Short calls to one server over kept connections, for callers that make thousands.

`httpcore` spends 0.6 ms of processor on a call, most of it in its pool and in `h11`;
this one leaves the parsing to `httptools` and sends a request in one piece. Streams and
rare calls go through `http_client`.

Invariant: a connection carries one call at a time, and one that did not bring a whole
reply is closed, so that no reply is ever taken for that of another call.
"""

import select
from collections.abc import Sequence

import httptools
import trio

from .clock import now_s
from .errors import EndpointUnreachable
from .http_client import HttpReply

__all__ = ["CallClient"]

RECEIVE_BYTES = 64 * 1024
# Longer than the pause between two looks at an idle endpoint, so that only connections
# of which nothing was heard for a while are looked at before they are used.
TRUSTED_IDLE_S = 1.0
_NETWORK_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httptools.HttpParserError,
    OSError,
)


class _Connection:
    """One connection and the reply that is arriving on it.

    Attributes
    ----------
    reusable : bool
        Whether the last reply is whole and the server allows another call.
    used_s : float
        When the last reply was whole.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._complete = False
        self.reusable = False
        self.used_s = now_s()

    async def call(self, request: bytes) -> HttpReply:
        """Send a request and return the whole reply."""
        self._parts = []
        self._complete = self.reusable = False
        await self._stream.send_all(request)
        while not self._complete:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise trio.BrokenResourceError("closed before the reply was whole")
            self._parser.feed_data(data)
        self.used_s = now_s()
        return HttpReply(self._parser.get_status_code(), b"".join(self._parts))

    def is_stale(self) -> bool:
        """Tell whether the server closed the connection while it was idle."""
        if now_s() - self.used_s < TRUSTED_IDLE_S:
            return False
        readable, _, _ = select.select([self._stream.socket], [], [], 0.0)
        return bool(readable)

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()

    # What the parser calls.

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the reply's body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """Note that the reply is whole."""
        self._complete = True
        self.reusable = self._parser.should_keep_alive()


class CallClient:
    """Calls to one server, each with its deadline.

    A call that runs out of time closes its connection, so that the next one opens
    another: a connection may have gone silent for good while new ones work.

    Parameters
    ----------
    url : str
        ``http://<IP number>:<port>``.
    max_connections : int
        Most connections at the same time; further calls wait for one.
    headers : sequence of pairs of bytes
        Sent with each call.
    """

    def __init__(
        self,
        url: str,
        max_connections: int = 8,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        self._url = url
        address = url.partition("://")[2].rstrip("/")
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        lines = [
            (b"host", address.encode()),
            (b"content-type", b"application/json"),
            *headers,
        ]
        self._head = b"".join(b"%s: %s\r\n" % line for line in lines)
        self._idle: list[_Connection] = []
        self._room = trio.Semaphore(max_connections)

    async def post(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Send a request and return the whole reply.

        Raises
        ------
        EndpointUnreachable
            If no whole reply came in time; the server may have carried it out.
        """
        request = b"POST %s HTTP/1.1\r\n%scontent-length: %d\r\n\r\n%s" % (
            path.encode(),
            self._head,
            len(body),
            body,
        )
        try:
            with trio.fail_after(timeout_s):
                async with self._room:
                    return await self._call(request)
        except (trio.TooSlowError, *_NETWORK_ERRORS) as error:
            raise EndpointUnreachable(f"{self._url}: {error!r}") from error

    async def close(self) -> None:
        """Close all connections that carry no call."""
        while self._idle:
            self._idle.pop().close()

    async def _call(self, request: bytes) -> HttpReply:
        connection = self._take_idle()
        if connection is None:
            stream = await trio.open_tcp_stream(self._host, self._port)
            connection = _Connection(stream)
        whole = False
        try:
            reply = await connection.call(request)
            whole = connection.reusable
            return reply
        finally:
            if whole:
                self._idle.append(connection)
            else:
                connection.close()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            connection.close()
        return None
