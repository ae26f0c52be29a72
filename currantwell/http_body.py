"""Reads bodies of requests within bounds of size, time and memory.

Invariant: the bytes of all bodies that are read or held at the same time are at most
the budget, and those of one caller at most its share of it.
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
    """Memory for bodies.

    Parameters
    ----------
    total_bytes : int
        For all callers; each may have a quarter, and one whole body at least.
    """

    def __init__(self, total_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self._total_bytes = total_bytes
        self._caller_bytes = max(MAX_BODY_BYTES, int(total_bytes * CALLER_SHARE))
        self._held: collections.Counter[str] = collections.Counter()
        self.held_bytes = 0

    def take(self, caller: str, size_bytes: int) -> None:
        """Take memory for a caller.

        Raises
        ------
        BodyNotRead
            If too much of it is taken.
        """
        if self.held_bytes + size_bytes > self._total_bytes:
            raise BodyNotRead("the host holds as many bytes of requests as it may")
        if self._held[caller] + size_bytes > self._caller_bytes:
            raise BodyNotRead(f"{caller} sends as many bytes at once as it may")
        self._held[caller] += size_bytes
        self.held_bytes += size_bytes

    def give_back(self, caller: str, size_bytes: int) -> None:
        """Give memory of a caller back."""
        self.held_bytes -= size_bytes
        self._held[caller] -= size_bytes
        if not self._held[caller]:
            del self._held[caller]


@asynccontextmanager
async def read_body(
    request: Request, budget: BodyBudget, caller: str
) -> AsyncIterator[bytes]:
    """Yield the whole body of a request; its memory is given back at the end.

    Raises
    ------
    BodyTooLarge
        If it is declared or turns out larger than `MAX_BODY_BYTES`.
    BodyMalformed
        If it does not arrive whole in time.
    BodyNotRead
        If there is no memory for it.
    """
    _check_declared(request)
    chunks: list[bytes] = []
    held = 0
    try:
        with trio.move_on_after(BODY_TIMEOUT_S) as scope:
            async for chunk in request.stream():
                if held + len(chunk) > MAX_BODY_BYTES:
                    raise _too_large()
                budget.take(caller, len(chunk))
                held += len(chunk)
                chunks.append(chunk)
        if scope.cancelled_caught:
            raise BodyMalformed("body", f"did not arrive within {BODY_TIMEOUT_S} s")
        yield b"".join(chunks)
    except ClientDisconnect:
        raise BodyMalformed("body", "ended early") from None
    finally:
        budget.give_back(caller, held)


def _check_declared(request: Request) -> None:
    text = request.headers.get("content-length", "0")
    if not (text.isascii() and text.isdecimal()):
        raise BodyMalformed("content-length", "is not a number of bytes")
    if int(text[:20]) > MAX_BODY_BYTES:
        raise _too_large()


def _too_large() -> BodyTooLarge:
    return BodyTooLarge("body", f"is larger than {MAX_BODY_BYTES} bytes")
