"""Decoding of bytes from outside the process, and types for the numbers in them.

Invariant: whatever is wrong with the bytes, `decode` raises nothing but
`MessageMalformed`. A decoder takes integers of any size; a message that is encoded
again, or calculated with, declares them as one of the types here.
"""

from typing import Annotated, Protocol, TypeVar

import msgspec

from .errors import MessageMalformed

__all__ = ["MAX_INTEGER", "Count", "Decoder", "Integer", "Quantity", "Real", "decode"]

# Integers up to here are exact as floats and as JSON numbers of any reader.
MAX_INTEGER = 2**53
# Sums and products of a few such values stay finite.
MAX_REAL = 1e15
MAX_REASON_CHARS = 200

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Real = Annotated[float, msgspec.Meta(ge=-MAX_REAL, le=MAX_REAL)]
Quantity = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_REAL)]

_Value = TypeVar("_Value", covariant=True)


class Decoder(Protocol[_Value]):
    """A decoder of `msgspec`, for JSON or MessagePack."""

    def decode(self, data: bytes, /) -> _Value:
        """Decode a complete message."""
        ...


def decode(decoder: Decoder[_Value], data: bytes) -> _Value:
    """Decode a message.

    Raises
    ------
    MessageMalformed
        If it can't be decoded, has values of other types or out of range, or is nested
        too deep.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise MessageMalformed(str(error)[:MAX_REASON_CHARS]) from None
