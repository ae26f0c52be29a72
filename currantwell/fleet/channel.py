"""Long-lived bidirectional connections between hosts.

A frame is a length followed by a MessagePack message, compressed if it is large: the
reports of all endpoints or the tasks of a large job repeat themselves. A message is
written at once, or queued while the kernel's buffer is full. Each end announces its
ping interval, which is short while the other end relies on it and long otherwise. A
channel whose other end misses its announced interval is closed, since an open
connection may have stalled for good while new connections work. Uses plain TCP instead
of `pynng`, which hides disconnects: the loss of a killed host has to be noticed at
once.
"""

import collections
import math
import re
import zlib
from collections.abc import AsyncIterator, Iterable
from contextlib import suppress

import msgspec
import trio

from .. import events
from ..clock import now_s
from ..decoding import decode
from ..direct_stream import DirectStream, open_direct_stream
from ..errors import MessageMalformed
from .keepalive import Keepalive
from .messages import Message, Ping

__all__ = [
    "PING_INTERVAL_S",
    "SILENCE_TIMEOUT_S",
    "Channel",
    "ChannelTraffic",
    "accept_channel",
    "encode",
    "open_channel",
    "traffic",
    "usable_addresses",
]

# Interval while the other end relies on the pings. Each ping wakes up both ends.
PING_INTERVAL_S = 0.19
# Shares of the interval by which a ping may be late, and early if only pings are sent.
# Together they suffice to bring the pings of all idle channels to the same time.
PING_DELAY_SHARE = 0.2
PING_ADVANCE_SHARE = 0.4
# The timeout is 0.75 s at the interval above, longer than an event loop pauses.
SILENCE_PINGS = 4
SILENCE_TIMEOUT_S = SILENCE_PINGS * PING_INTERVAL_S
# Leaves time for one retransmission of a lost SYN, which takes a second.
CONNECT_TIMEOUT_S = 1.5
# Several times the largest configuration or a list of 620 endpoints.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A peer that reads this far behind is treated as disconnected.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
LENGTH_BYTES = 4
MAX_PORT = 65_535
# Clocks of two machines drift apart by less than 3 ms in this time.
CLOCK_WINDOW_S = 30.0
_ADDRESS = re.compile(r"[A-Za-z0-9._-]{1,255}:([0-9]{1,5})")
# Above a part of a configuration, which is compressed already.
COMPRESS_ABOVE_BYTES = 40 * 1024
COMPRESSION_LEVEL = 1
# Begins a compressed message; MessagePack uses it for nothing.
COMPRESSED_MARK = b"\xc1"
# A message is a map of fewer than 16 fields; its tag comes first and has fewer than 32
# characters.
TAG_KEY = slice(1, 6)
TAG_AT = 6
TAG_LENGTH_MASK = 0x1F

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


class ChannelTraffic:
    """What the channels of this process have carried.

    Attributes
    ----------
    sent_bytes, received_bytes : Counter
        Bytes of frames by the tag of their message. A frame counts as sent once it is
        written or queued.
    """

    def __init__(self) -> None:
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self._channels: set[Channel] = set()

    def add(self, channel: "Channel") -> None:
        """Include the queue of a channel from now on."""
        self._channels.add(channel)

    def remove(self, channel: "Channel") -> None:
        """Leave out the queue of a channel."""
        self._channels.discard(channel)

    def largest_unsent_bytes(self) -> int:
        """Return the bytes that the most loaded open channel has yet to send."""
        return max((each.unsent_bytes for each in self._channels), default=0)


traffic = ChannelTraffic()


class Channel:
    """One end of a connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    ping_s : float
        Interval of the pings that this end sends, in seconds.

    Attributes
    ----------
    closed : bool
        Whether the channel is closed.
    """

    def __init__(
        self, stream: trio.abc.Stream, ping_s: float = PING_INTERVAL_S
    ) -> None:
        self._stream = stream
        self._direct = stream if isinstance(stream, DirectStream) else None
        self._ping_s = ping_s
        self._promised_s = math.inf
        self._sent_s = -math.inf
        self._sent_ping = False
        self._silence_s = SILENCE_TIMEOUT_S
        self._received_s = math.inf
        self._clock_ahead_s = self._clock_ahead_before_s = math.inf
        self._clock_window_s = -math.inf
        self._sending = False
        self._sending_bytes = 0
        self._unsent = bytearray()
        self._unsent_added = trio.Event()
        self._keepalive: Keepalive | None = None
        self._scope = trio.CancelScope()
        self.closed = False

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted.

        What is being written counts until all of it is accepted.
        """
        return self._sending_bytes + len(self._unsent)

    @property
    def silent_for_s(self) -> float:
        """Time since anything was received, in seconds; 0 before `messages` runs."""
        return max(0.0, now_s() - self._received_s)

    def send(self, message: Message) -> None:
        """Queue a message; it is lost if the channel closes before it is written."""
        if not self.closed:
            self._write(_encoder.encode(message))

    def send_encoded(self, body: bytes) -> None:
        """Queue a message that `encode` returned, so that a broadcast encodes once."""
        if not self.closed:
            self._write(body)

    def ping_every(self, ping_s: float) -> None:
        """Change the ping interval; a shorter one is announced to the peer at once."""
        self._ping_s = ping_s
        if ping_s < self._promised_s:
            self._note_next_check()

    def expect_message_within(self, interval_s: float) -> None:
        """Close the channel unless the peer sends something soon.

        For a message to which the peer replies by pings of this interval, as long as it
        has not announced another one.
        """
        self._received_s = max(self._received_s, now_s())
        self._adapt_timeout(interval_s)

    def delay_s(self, clock_s: float | None) -> float:
        """Return how much longer a message was on its way than the fastest one.

        That includes the time for which the peer stood still after it had taken the
        time, or this process before it read the message.

        Parameters
        ----------
        clock_s : float or None
            The peer's clock when it sent the message, None if it does not tell.
        """
        if clock_s is None:
            return 0.0
        now = now_s()
        if now - self._clock_window_s > CLOCK_WINDOW_S:
            self._clock_window_s = now
            self._clock_ahead_before_s = self._clock_ahead_s
            self._clock_ahead_s = math.inf
        ahead_s = now - clock_s
        self._clock_ahead_s = min(self._clock_ahead_s, ahead_s)
        return ahead_s - min(self._clock_ahead_s, self._clock_ahead_before_s)

    def close(self) -> None:
        """Close the channel."""
        self.closed = True
        self._scope.cancel()

    async def messages(self) -> AsyncIterator[Message]:
        """Yield received messages until the channel closes.

        `run` must be running at the same time. The channel closes if the peer sends
        nothing within its announced interval, or sends what is not a valid frame.
        """
        buffer = bytearray()
        self._received_s = now_s()
        self._note_next_check()
        try:
            while not self.closed:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    return
                self._received_s = now_s()
                buffer += data
                for frame in _take_frames(buffer):
                    body = _decompress(frame)
                    message = decode(_decoder, body)
                    traffic.received_bytes[_tag(body)] += LENGTH_BYTES + len(frame)
                    if isinstance(message, Ping):
                        self._adapt_timeout(message.next_s)
                        self.delay_s(message.clock_s)
                    else:
                        yield message
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except MessageMalformed as error:
            events.REQUEST_MALFORMED.log(message="channel", error=str(error))
            return
        finally:
            self.close()

    async def run(self) -> None:
        """Keep the channel alive and send queued messages until it closes."""
        self._keepalive = Keepalive.current()
        self._keepalive.add(self)
        traffic.add(self)
        try:
            with self._scope:
                await self._send_loop()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed = True
            self._keepalive.remove(self)
            traffic.remove(self)
            with trio.CancelScope(shield=True), suppress(OSError):
                await trio.aclose_forcefully(self._stream)

    async def _send_loop(self) -> None:
        """Send what could not be written at once."""
        while True:
            while self._unsent:
                data, self._unsent = self._unsent, bytearray()
                self._sending = True
                self._sending_bytes = len(data)
                await self._stream.send_all(data)
                self._sending = False
                self._sending_bytes = 0
            self._unsent_added = trio.Event()
            await self._unsent_added.wait()

    # Pings and silence, see `KeptAlive`.

    def next_check_s(self) -> float:
        """Return the time by which a ping or a check for silence is due."""
        if self.closed:
            return math.inf
        if self._ping_s < self._promised_s:
            return -math.inf
        delay_s = PING_DELAY_SHARE * self._promised_s
        return min(self._ping_due_s() + delay_s, self._silence_end_s())

    def ping_if_due(self) -> None:
        """Send a ping if its time has come, or if it announces a shorter interval.

        Only a channel that carries nothing else is pinged early, since what another one
        sends next takes the place of a ping.
        """
        if self.closed:
            return
        due_s = self._ping_due_s()
        if self._sent_ping:
            due_s -= PING_ADVANCE_SHARE * self._ping_s
        if now_s() >= due_s or self._ping_s < self._promised_s:
            self._promised_s = self._ping_s
            self._write(_encoder.encode(Ping(self._ping_s, now_s())))
            self._sent_ping = True

    def is_silent(self) -> bool:
        """Return whether the other end has missed its announced interval."""
        return now_s() >= self._silence_end_s()

    def _note_next_check(self) -> None:
        if self._keepalive is not None:
            self._keepalive.check_by(self.next_check_s())

    def _ping_due_s(self) -> float:
        return self._sent_s + min(self._promised_s, self._ping_s)

    def _silence_end_s(self) -> float:
        return self._received_s + self._silence_s

    def _adapt_timeout(self, interval_s: float) -> None:
        """Adapt the timeout to the interval that the other end announced."""
        previous_s = self._silence_s
        self._silence_s = SILENCE_PINGS * interval_s
        if self._silence_s < previous_s:
            self._note_next_check()

    def _write(self, body: bytes) -> None:
        """Write a message as far as the kernel accepts it, and queue the rest."""
        packed = _compress(body)
        frame = len(packed).to_bytes(LENGTH_BYTES, "big") + packed
        traffic.sent_bytes[_tag(body)] += len(frame)
        self._sent_s = now_s()
        self._sent_ping = False
        sent = 0
        if self._direct is not None and not self._sending and not self._unsent:
            try:
                sent = self._direct.send_now(frame)
            except trio.BrokenResourceError:
                self.close()
                return
        if sent == len(frame):
            return
        self._unsent += frame[sent:]
        self._unsent_added.set()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close()


def accept_channel(
    stream: trio.SocketStream, ping_s: float = PING_INTERVAL_S
) -> Channel:
    """Return a channel that takes over an accepted connection."""
    return Channel(DirectStream.taken_from(stream), ping_s)


def _tag(body: bytes) -> str:
    """Return the tag of an encoded message without decoding the rest of it."""
    if body[TAG_KEY] != b"\xa4type":
        return "other"
    length = body[TAG_AT] & TAG_LENGTH_MASK
    return body[TAG_AT + 1 : TAG_AT + 1 + length].decode()


def _take_frames(buffer: bytearray) -> list[bytes]:
    """Remove and return the complete frames at the start of a buffer."""
    frames = []
    at = 0
    while len(buffer) - at >= LENGTH_BYTES:
        length = int.from_bytes(buffer[at : at + LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise MessageMalformed(f"frame of {length} bytes exceeds the size limit")
        end = at + LENGTH_BYTES + length
        if len(buffer) < end:
            break
        frames.append(bytes(buffer[at + LENGTH_BYTES : end]))
        at = end
    del buffer[:at]
    return frames


def _compress(body: bytes) -> bytes:
    """Compress a large message, if that makes it smaller."""
    if len(body) <= COMPRESS_ABOVE_BYTES:
        return body
    packed = COMPRESSED_MARK + zlib.compress(body, COMPRESSION_LEVEL)
    return min(packed, body, key=len)


def _decompress(frame: bytes) -> bytes:
    """Return the message of a frame.

    Raises
    ------
    MessageMalformed
        If it is damaged or exceeds the size limit.
    """
    if not frame.startswith(COMPRESSED_MARK):
        return frame
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(frame[1:], MAX_FRAME_BYTES)
    except zlib.error as error:
        raise MessageMalformed(str(error)) from None
    if not decompressor.eof:
        raise MessageMalformed("a compressed message is truncated or too large")
    return body


def encode(message: Message) -> bytes:
    """Encode a message for `Channel.send_encoded`."""
    return _encoder.encode(message)


def usable_addresses(addresses: Iterable[str]) -> set[str]:
    """Return the addresses that may be connected to; the others are logged."""
    usable = set()
    for address in addresses:
        if _is_address(address):
            usable.add(address)
        else:
            events.ADDRESS_IGNORED.log(address=address[:80])
    return usable


def _is_address(address: str) -> bool:
    match = _ADDRESS.fullmatch(address)
    return match is not None and 1 <= int(match[1]) <= MAX_PORT


async def open_channel(address: str, ping_s: float = PING_INTERVAL_S) -> Channel | None:
    """Connect to ``IP:port``; return None if the connection fails."""
    if not _is_address(address):
        return None
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await open_direct_stream(host, int(port))
    except (OSError, UnicodeError, trio.TooSlowError):
        # The codec of host names refuses some with an UnicodeError.
        return None
    return Channel(stream, ping_s)
