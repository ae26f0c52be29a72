"""Lightweight HTTP client for frequent short requests over persistent connections.

`httpcore` spends 0.6 ms of CPU time on a request, most of it in its pool and in `h11`;
this client parses with `httptools`, sends a request in one write and waits once, for
the reply. Streams and infrequent requests use `http_client`.

Invariant: a connection carries one request at a time, and is closed unless its reply
was received completely, so that a reply is never matched to another request.
"""

import select
from collections.abc import Sequence

import httptools
import trio

from .clock import now_s
from .direct_stream import DirectStream, open_direct_stream
from .errors import EndpointUnreachable
from .http_reply import HttpReply

__all__ = ["CallClient"]

RECEIVE_BYTES = 64 * 1024
# Longer than the interval between two polls of an idle endpoint, so that only
# connections without a recent reply are tested for closure before they are reused.
STALE_CHECK_AFTER_IDLE_S = 1.0
_NETWORK_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    httptools.HttpParserError,
    OSError,
)


class _Connection:
    """One connection and the parser of the reply that is being received on it.

    Attributes
    ----------
    reusable : bool
        Whether the last reply is complete and the server keeps the connection open.
    used_s : float
        Time on the process clock at which the last reply was complete.
    """

    def __init__(self, stream: DirectStream) -> None:
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._chunks: list[bytes] = []
        self._complete = False
        self.reusable = False
        self.used_s = now_s()

    async def call(self, request: bytes) -> HttpReply:
        """Send a request and return the complete reply."""
        self._chunks = []
        self._complete = self.reusable = False
        await self._stream.send_all(request)
        while not self._complete:
            data = await self._stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise trio.BrokenResourceError(
                    "connection closed before the reply was complete"
                )
            self._parser.feed_data(data)
        self.used_s = now_s()
        return HttpReply(self._parser.get_status_code(), b"".join(self._chunks))

    def is_stale(self) -> bool:
        """Return whether an idle connection was closed by the server.

        A readable idle connection has received the end of the stream or bytes of no
        request; neither can be reused.
        """
        if now_s() - self.used_s < STALE_CHECK_AFTER_IDLE_S:
            return False
        readable, _, _ = select.select([self._stream.socket], [], [], 0.0)
        return bool(readable)

    def close(self) -> None:
        """Close the socket immediately."""
        self._stream.close()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the reply's body (callback of the parser)."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Mark the reply as complete (callback of the parser)."""
        self._complete = True
        self.reusable = self._parser.should_keep_alive()


class CallClient:
    """Sends requests to one server, each with its own timeout.

    A request that times out closes its connection, so that the next request opens a
    new one: an established connection may be dead although new ones succeed.

    Parameters
    ----------
    url : str
        ``http://<IP number>:<port>``.
    max_connections : int
        Maximum number of concurrent connections; further requests wait for one.
    headers : sequence of pairs of bytes
        Headers sent with each request.
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
        self._header_lines = b"".join(b"%s: %s\r\n" % line for line in lines)
        self._idle: list[_Connection] = []
        self._connection_slots = trio.Semaphore(max_connections)

    async def post(self, path: str, body: bytes, timeout_s: float) -> HttpReply:
        """Send a POST request and return the complete reply.

        Raises
        ------
        EndpointUnreachable
            If no complete reply was received within the timeout; the server may have
            executed the request nevertheless.
        """
        request = b"POST %s HTTP/1.1\r\n%scontent-length: %d\r\n\r\n%s" % (
            path.encode(),
            self._header_lines,
            len(body),
            body,
        )
        try:
            with trio.fail_after(timeout_s):
                await self._acquire_slot()
                try:
                    return await self._call(request)
                finally:
                    self._connection_slots.release()
        except (trio.TooSlowError, *_NETWORK_ERRORS) as error:
            raise EndpointUnreachable(f"{self._url}: {error!r}") from error

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire_slot(self) -> None:
        """Take a slot; waits, unlike the semaphore itself, only if none is free."""
        try:
            self._connection_slots.acquire_nowait()
        except trio.WouldBlock:
            await self._connection_slots.acquire()

    async def _call(self, request: bytes) -> HttpReply:
        connection = self._pop_idle()
        if connection is None:
            connection = _Connection(await open_direct_stream(self._host, self._port))
        reusable = False
        try:
            reply = await connection.call(request)
            reusable = connection.reusable
            return reply
        finally:
            if reusable:
                self._idle.append(connection)
            else:
                connection.close()

    def _pop_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            connection.close()
        return None
