"""JSON over HTTP with deadlines, by `httpcore`."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import httpcore
import trio

from .errors import EndpointUnreachable, StreamRefused

__all__ = ["HttpClient", "HttpReply"]

KEEPALIVE_S = 30.0
JSON_HEADERS = [(b"content-type", b"application/json")]
_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    OSError,
)


class HttpReply:
    """A status and a whole body."""

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class HttpClient:
    """A pool of connections to one server.

    A request that runs out of time closes its connection, so that the next one
    opens another: a connection may have gone silent for good while new ones work.
    By default one idle connection is kept, lest several silent ones be tried in turn.

    Parameters
    ----------
    url : str
        ``http://<IP number>:<port>``.
    max_connections : int
        Most connections at the same time.
    token : str or None
        Sent as a bearer token.
    max_idle : int
        Most idle connections kept.
    """

    def __init__(
        self,
        url: str,
        max_connections: int = 8,
        token: str | None = None,
        max_idle: int = 1,
    ) -> None:
        self._url = url.rstrip("/")
        self._headers = list(JSON_HEADERS)
        if token is not None:
            self._headers.append((b"authorization", b"Bearer " + token.encode()))
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=max_idle,
            keepalive_expiry=KEEPALIVE_S,
        )

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 5.0,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> HttpReply:
        """Send a request, with further headers, and return the whole reply.

        Raises
        ------
        EndpointUnreachable
            If no whole reply came in time.
        """
        try:
            with trio.fail_after(timeout_s):
                reply = await self._pool.request(
                    method,
                    self._url + path,
                    headers=[*self._headers, *headers],
                    content=body or None,
                )
        except (trio.TooSlowError, *_NETWORK_ERRORS) as error:
            raise EndpointUnreachable(f"{self._url}: {error!r}") from error
        return HttpReply(reply.status, reply.content)

    @asynccontextmanager
    async def stream(
        self, path: str, silence_s: float
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Open a long-lived GET and yield an iterator over pieces of its body.

        Parameters
        ----------
        path : str
            Path and query.
        silence_s : float
            Longest time without a piece, from the opening on.

        Raises
        ------
        EndpointUnreachable
            If it can't be opened, breaks or falls silent.
        """
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), silence_s)
        try:
            async with self._pool.stream(
                "GET",
                self._url + path,
                headers=self._headers,
                extensions={"timeout": timeouts},
            ) as reply:
                if reply.status != 200:
                    await reply.aread()
                    raise StreamRefused(self._url + path, reply.status)
                yield reply.aiter_stream()
        except _NETWORK_ERRORS as error:
            raise EndpointUnreachable(f"{self._url}: {error!r}") from error

    async def upload(self, path: str, pieces: AsyncIterator[bytes]) -> HttpReply:
        """Send a long-lived POST, piece by piece, and return the reply to it.

        Raises
        ------
        EndpointUnreachable
            If it can't be opened or breaks.
        """
        try:
            reply = await self._pool.request(
                "POST", self._url + path, headers=self._headers, content=pieces
            )
        except _NETWORK_ERRORS as error:
            raise EndpointUnreachable(f"{self._url}: {error!r}") from error
        return HttpReply(reply.status, reply.content)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
