"""Requests between hosts: what a frame that can't be read does to the process."""

import msgspec
import pynng
import pytest
import trio

from currantwell.errors import PeerUnreachable
from currantwell.peers import PeerMessage, PeerTransport
from tests.builders import KEY, free_addresses


class Asked(PeerMessage, frozen=True):
    number: int


class Answered(PeerMessage, frozen=True):
    number: int


class AnsweredByAnotherVersion(PeerMessage, frozen=True, tag="Answered"):
    number: str


AnsweredByAnotherVersion.__name__ = "Answered"


NESTED = b"\x82\xa4type\xa5Asked\xa1x" + b"\x91" * 100_000 + b"\xc0"
NESTED_REQUEST = b"\x93\xa1h\xa5Asked" + NESTED
TOO_LARGE_REQUEST = msgspec.msgpack.encode(["h", "Asked", {"type": "Asked"}]).replace(
    b"\x81", b"\x82\xa6number\xcf" + b"\xff" * 8, 1
)


async def answer(host, message):
    return Answered(message.number + 1)


async def answer_in_another_form(host, message):
    return AnsweredByAnotherVersion("one more")


async def two_hosts(nursery, handler):
    first, second = free_addresses(2)
    asking = PeerTransport("h-1", first, {"h-2": second}, KEY)
    answering = PeerTransport("h-2", second, {"h-1": first}, KEY)
    answering.handle(Asked, handler)
    for peers in (asking, answering):
        await nursery.start(peers.run)
    return asking, answering


async def test_a_reply_of_another_version_counts_as_none():
    """Else it would end the process, since nothing expects such an error."""
    async with trio.open_nursery() as nursery:
        asking, answering = await two_hosts(nursery, answer_in_another_form)
        with pytest.raises(PeerUnreachable):
            await asking.request("h-2", Asked(1), Answered)
        answering.handle(Asked, answer)
        assert await asking.request("h-2", Asked(1), Answered) == Answered(2)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("signed", [False, True])
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode(["h", 7, 1]),
        b"\x91" * 100_000 + b"\xc0",
        NESTED_REQUEST,
        TOO_LARGE_REQUEST,
    ],
    ids=["empty", "no message", "other types", "nested", "nested body", "large number"],
)
async def test_a_malformed_request_gets_no_reply_and_ends_nothing(data, signed):
    async with trio.open_nursery() as nursery:
        asking, answering = await two_hosts(nursery, answer)
        if signed:
            data = answering._digest(data) + data
        with pynng.Req0(resend_time=-1) as socket:
            socket.dial(f"tcp://{answering._address}")
            await socket.asend(data)
            for number in range(70):
                assert (await asking.request("h-2", Asked(number), Answered)).number
        nursery.cancel_scope.cancel()
