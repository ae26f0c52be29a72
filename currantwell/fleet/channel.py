"""Long-lived bidirectional connections between hosts.

A frame is a length followed by a MessagePack message. A message is written at once, or
queued while the kernel's buffer is full. Each end announces its ping interval, which is
short while the other end relies on it and long otherwise. A channel whose other end
misses its announced interval is closed, since an open connection may have stalled for
good while new connections work. Uses plain TCP instead of `pynng`, which hides
disconnects: the loss of a killed host has to be noticed at once.
"""

import math
from collections.abc import AsyncIterator
from contextlib import suppress

import msgspec
import trio

from ..clock import now_s
from ..direct_stream import DirectStream, open_direct_stream
from .messages import Message, Ping

__all__ = ["PING_INTERVAL_S", "Channel", "accept_channel", "encode", "open_channel"]

# Interval while the other end relies on the pings. Each ping wakes up both ends.
PING_INTERVAL_S = 0.19
# The timeout is 0.75 s at the interval above, longer than an event loop pauses.
SILENCE_PINGS = 4
SILENCE_TIMEOUT_S = SILENCE_PINGS * PING_INTERVAL_S
# Leaves time for one retransmission of a lost SYN, which takes a second.
CONNECT_TIMEOUT_S = 1.5
# Many times a configuration of 256 KiB or a list of 620 endpoints.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# A peer that reads this far behind is treated as disconnected.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024
LENGTH_BYTES = 4

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


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
        self._silence_s = SILENCE_TIMEOUT_S
        self._received_s = math.inf
        self._sending = False
        self._unsent = bytearray()
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        self.closed = False

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
            self._changed.set()

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
        self._changed.set()
        try:
            while not self.closed:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    return
                self._received_s = now_s()
                buffer += data
                for frame in _take_frames(buffer):
                    message = _decoder.decode(frame)
                    if isinstance(message, Ping):
                        self._expect_message_within(message.next_s)
                    else:
                        yield message
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except (msgspec.MsgspecError, ValueError):
            return
        finally:
            self.close()

    async def run(self) -> None:
        """Send queued messages and pings until the channel closes."""
        try:
            with self._scope:
                await self._send_loop()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed = True
            with trio.CancelScope(shield=True), suppress(OSError):
                await trio.aclose_forcefully(self._stream)

    async def _send_loop(self) -> None:
        while True:
            self._changed = trio.Event()
            if now_s() >= self._ping_due_s() or self._ping_s < self._promised_s:
                self._promised_s = self._ping_s
                self._write(_encoder.encode(Ping(self._ping_s)))
            while self._unsent:
                data, self._unsent = self._unsent, bytearray()
                self._sending = True
                await self._stream.send_all(data)
                self._sending = False
            with trio.move_on_at(min(self._ping_due_s(), self._silence_end_s())):
                await self._changed.wait()
            if now_s() >= self._silence_end_s():
                # What has arrived by now is received first.
                await trio.lowlevel.checkpoint()
                if now_s() >= self._silence_end_s():
                    return

    def _ping_due_s(self) -> float:
        return self._sent_s + min(self._promised_s, self._ping_s)

    def _silence_end_s(self) -> float:
        return self._received_s + self._silence_s

    def _expect_message_within(self, interval_s: float) -> None:
        """Adapt the timeout to the interval that the other end announced."""
        previous_s = self._silence_s
        self._silence_s = SILENCE_PINGS * interval_s
        if self._silence_s < previous_s:
            self._changed.set()

    def _write(self, body: bytes) -> None:
        """Write a message as far as the kernel accepts it, and queue the rest."""
        frame = len(body).to_bytes(LENGTH_BYTES, "big") + body
        self._sent_s = now_s()
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
        self._changed.set()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close()


def accept_channel(
    stream: trio.SocketStream, ping_s: float = PING_INTERVAL_S
) -> Channel:
    """Return a channel that takes over an accepted connection."""
    return Channel(DirectStream.taken_from(stream), ping_s)


def _take_frames(buffer: bytearray) -> list[bytes]:
    """Remove and return the complete frames at the start of a buffer."""
    frames = []
    at = 0
    while len(buffer) - at >= LENGTH_BYTES:
        length = int.from_bytes(buffer[at : at + LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {length} bytes exceeds the size limit")
        end = at + LENGTH_BYTES + length
        if len(buffer) < end:
            break
        frames.append(bytes(buffer[at + LENGTH_BYTES : end]))
        at = end
    del buffer[:at]
    return frames


def encode(message: Message) -> bytes:
    """Encode a message for `Channel.send_encoded`."""
    return _encoder.encode(message)


async def open_channel(address: str, ping_s: float = PING_INTERVAL_S) -> Channel | None:
    """Connect to ``IP:port``; return None if the connection fails."""
    host, _, port = address.rpartition(":")
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await open_direct_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return None
    return Channel(stream, ping_s)
