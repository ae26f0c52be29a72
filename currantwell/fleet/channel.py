"""Long-lived bidirectional connections between hosts.

A frame is a length followed by a MessagePack message. Messages that are queued during a
write are sent together by the next one. Each end announces its ping interval, which is
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
from .messages import Message, Ping

__all__ = ["PING_INTERVAL_S", "Channel", "encode", "open_channel"]

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
    stream : trio.SocketStream
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
        self._ping_s = ping_s
        self._promised_s = math.inf
        self._silence_s = SILENCE_TIMEOUT_S
        self._unsent = bytearray()
        self._changed = trio.Event()
        self._scope = trio.CancelScope()
        self.closed = False

    def send(self, message: Message) -> None:
        """Queue a message; it is lost if the channel closes before it is written."""
        if not self.closed:
            self._queue(_encoder.encode(message))

    def send_encoded(self, body: bytes) -> None:
        """Queue a message that `encode` returned, so that a broadcast encodes once."""
        if not self.closed:
            self._queue(body)

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
        try:
            while not self.closed:
                data: bytes | bytearray = b""
                with trio.move_on_after(self._silence_s):
                    data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    return
                buffer += data
                for frame in _take_frames(buffer):
                    message = _decoder.decode(frame)
                    if isinstance(message, Ping):
                        self._silence_s = SILENCE_PINGS * message.next_s
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
        due_s = now_s()
        while True:
            with trio.move_on_at(due_s):
                await self._changed.wait()
            if now_s() >= due_s or self._ping_s < self._promised_s:
                self._promised_s = self._ping_s
                self._queue(_encoder.encode(Ping(self._ping_s)))
            due_s = now_s() + self._promised_s
            self._changed = trio.Event()
            data, self._unsent = self._unsent, bytearray()
            await self._stream.send_all(data)

    def _queue(self, body: bytes) -> None:
        self._unsent += len(body).to_bytes(LENGTH_BYTES, "big")
        self._unsent += body
        self._changed.set()
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.close()


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
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return None
    return Channel(stream, ping_s)
