"""Sends requests to an ASGI application in this process, without a network."""

import dataclasses
from typing import Any

import msgspec


@dataclasses.dataclass
class Reply:
    """Response of the application."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        return msgspec.json.decode(self.body)

    @property
    def code(self) -> int:
        return self.json()["code"]


async def ask(app, method, path, body=b"", headers=None, pieces=None, address="c1"):
    """Send a request and return the reply.

    ``pieces``, an async iterator over chunks, replaces ``body``; a chunk of None
    disconnects the client before the end of the body.
    """
    path, _, query = path.partition("?")
    scope = {
        "type": "http",
        "http_version": "1.1",
        "method": method,
        "path": path,
        "raw_path": path.encode("utf-8", "surrogateescape"),
        "query_string": query.encode(),
        "headers": [(k.encode(), v.encode()) for k, v in (headers or {}).items()],
        "client": (address, 1),
        "server": ("127.0.0.1", 80),
        "scheme": "http",
    }
    reply = Reply()

    async def receive():
        if pieces is None:
            return {"type": "http.request", "body": body, "more_body": False}
        piece = await anext(pieces, b"")
        if piece is None:
            return {"type": "http.disconnect"}
        return {"type": "http.request", "body": piece, "more_body": piece != b""}

    async def send(message):
        if message["type"] == "http.response.start":
            reply.status = message["status"]
            reply.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            reply.body += message.get("body", b"")

    await app(scope, receive, send)
    return reply
