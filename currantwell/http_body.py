"""Reads request bodies within limits on size, time and memory.

Invariant: the total size of all bodies in memory never exceeds the budget, and that of
one caller's bodies never exceeds the caller's share of it.
"""

import collections
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from starlette.requests import ClientDisconnect, Request

from .errors import BodyMalformed, BodyNotRead, BodyTooLarge
from .submission import MAX_BODY_BYTES

__all__ = ["BodyBudget", "read_body"]

BODY_TIMEOUT_S = 10.0
CALLER_SHARE = 0.25
DEFAULT_BUDGET_BYTES = 64 * 1024 * 1024


class BodyBudget:
    """Memory budget for request bodies.

    Parameters
    ----------
    total_bytes : int
        Limit for all callers together; one caller may use `CALLER_SHARE` of it (a
        quarter), but always enough for one body of `MAX_BODY_BYTES`.
    """

    def __init__(self, total_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self._total_bytes = total_bytes
        self._caller_bytes = max(MAX_BODY_BYTES, int(total_bytes * CALLER_SHARE))
        self._bytes_by_caller: collections.Counter[str] = collections.Counter()
        self.used_bytes = 0

    def charge(self, caller: str, size_bytes: int) -> None:
        """Charge bytes of a body to a caller.

        Raises
        ------
        BodyNotRead
            If the budget or the caller's share would be exceeded.
        """
        if self.used_bytes + size_bytes > self._total_bytes:
            raise BodyNotRead("the host holds as many bytes of requests as it may")
        if self._bytes_by_caller[caller] + size_bytes > self._caller_bytes:
            raise BodyNotRead(f"{caller} sends as many bytes at once as it may")
        self._bytes_by_caller[caller] += size_bytes
        self.used_bytes += size_bytes

    def release(self, caller: str, size_bytes: int) -> None:
        """Release bytes that were charged to a caller."""
        self.used_bytes -= size_bytes
        self._bytes_by_caller[caller] -= size_bytes
        if not self._bytes_by_caller[caller]:
            del self._bytes_by_caller[caller]


@asynccontextmanager
async def read_body(
    request: Request, budget: BodyBudget, caller: str
) -> AsyncIterator[bytes]:
    """Yield the complete body of a request; its memory is released on exit.

    Raises
    ------
    BodyTooLarge
        If its declared or its actual size exceeds `MAX_BODY_BYTES`.
    BodyMalformed
        If ``content-length`` is not a number, or if the body is not received completely
        within `BODY_TIMEOUT_S`.
    BodyNotRead
        If the memory budget does not allow it.
    """
    _check_content_length(request)
    chunks: list[bytes] = []
    received_bytes = 0
    try:
        with trio.move_on_after(BODY_TIMEOUT_S) as scope:
            async for chunk in request.stream():
                if received_bytes + len(chunk) > MAX_BODY_BYTES:
                    raise _too_large()
                budget.charge(caller, len(chunk))
                received_bytes += len(chunk)
                chunks.append(chunk)
        if scope.cancelled_caught:
            raise BodyMalformed("body", f"did not arrive within {BODY_TIMEOUT_S} s")
        yield b"".join(chunks)
    except ClientDisconnect:
        raise BodyMalformed("body", "ended early") from None
    finally:
        budget.release(caller, received_bytes)


def _check_content_length(request: Request) -> None:
    text = request.headers.get("content-length", "0")
    if not (text.isascii() and text.isdecimal()):
        raise BodyMalformed("content-length", "is not a number of bytes")
    if int(text[:20]) > MAX_BODY_BYTES:
        raise _too_large()


def _too_large() -> BodyTooLarge:
    return BodyTooLarge("body", f"is larger than {MAX_BODY_BYTES} bytes")
