"""HTTP client for JSON requests with deadlines, based on `httpcore`."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import httpcore
import trio

from .errors import EndpointUnreachable, StreamRefused
from .http_reply import HttpReply

__all__ = ["HttpClient"]

KEEPALIVE_S = 30.0
JSON_HEADERS = [(b"content-type", b"application/json")]
_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
    OSError,
)


class HttpClient:
    """A pool of connections to one server.

    A request that times out closes its connection, so that the next request opens a
    new one: an established connection may be dead although new ones succeed. By default
    one idle connection is kept, so that several dead ones are not tried in turn.

    Parameters
    ----------
    url : str
        ``http://<IP number>:<port>``.
    max_connections : int
        Maximum number of concurrent connections.
    token : str or None
        Bearer token sent with each request.
    max_idle : int
        Maximum number of idle connections kept open.
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
        """Send a request, with additional headers, and return the complete reply.

        Raises
        ------
        EndpointUnreachable
            If no complete reply was received within the timeout.
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
        self, path: str, chunk_timeout_s: float
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Open a long-lived GET and yield an iterator over the chunks of its body.

        Parameters
        ----------
        path : str
            Path and query string.
        chunk_timeout_s : float
            Timeout in seconds for connecting and for each further chunk.

        Raises
        ------
        EndpointUnreachable
            If the request fails, the connection breaks or no chunk arrives within
            ``chunk_timeout_s`` seconds.
        StreamRefused
            If the server replies with a status other than 200.
        """
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), chunk_timeout_s)
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
        """Send a long-lived POST chunk by chunk and return the reply to it.

        Raises
        ------
        EndpointUnreachable
            If the request fails or the connection breaks.
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
