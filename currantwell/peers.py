"""Requests between hosts, over `pynng`.

Each host listens on one socket and dials each other host with one. A frame is a
MessagePack message preceded by a keyed digest; frames of senders without the shared key
are ignored. A request that times out closes its connection, and the next request dials
again, because an open connection may have stopped delivering for good while new ones
work. Every request must be idempotent: its sender may not receive the reply to a
request that was executed.
"""

import hashlib
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol, TypeVar

import msgspec
import pynng
import trio

from . import events
from .decoding import decode
from .errors import MessageMalformed, PeerUnreachable
from .ids import HostId
from .kernel import ServiceName

__all__ = ["PeerHandler", "PeerMessage", "PeerNetwork", "PeerTransport"]

DIGEST_BYTES = 32
CONCURRENT_REQUESTS = 64
DEFAULT_TIMEOUT_S = 1.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base class of all messages between hosts; the tag is the class name."""


Reply = TypeVar("Reply", bound=PeerMessage)
PeerHandler = Callable[[HostId, Any], Awaitable[PeerMessage]]


class PeerNetwork(Protocol):
    """Sends requests to other hosts and serves theirs."""

    async def request(
        self,
        host: HostId,
        message: PeerMessage,
        reply: type[Reply],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Reply:
        """Send a request and return the reply.

        Raises
        ------
        PeerUnreachable
            If no reply of the expected type arrived in time; whether the request was
            executed is unknown.
        """
        ...

    def handle(self, message: type[PeerMessage], handler: PeerHandler) -> None:
        """Register the handler of a message type; its result is sent as the reply."""
        ...


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    """A message on the wire: its sender, its class name and its encoded body."""

    sender: HostId
    name: str
    body: msgspec.Raw


_frame_decoder = msgspec.msgpack.Decoder(_Frame)


class PeerTransport:
    """The service that exchanges requests with the other hosts.

    Parameters
    ----------
    host : HostId
        This host.
    address : str
        IP address and port to listen on, such as ``127.0.0.1:9100``.
    addresses : mapping of HostId to str
        IP address and port of each other host.
    key : bytes
        The key that all hosts share.
    address_of : callable or None
        Returns the address of a host that is missing from ``addresses``.
    """

    name = ServiceName("peers")

    def __init__(
        self,
        host: HostId,
        address: str,
        addresses: Mapping[HostId, str],
        key: bytes,
        address_of: Callable[[HostId], str] | None = None,
    ) -> None:
        self.host = host
        self._address = address
        self._addresses = dict(addresses)
        self._key = key
        self._address_of = address_of
        self._handlers: dict[str, tuple[type[PeerMessage], PeerHandler]] = {}
        self._sockets: dict[HostId, pynng.Req0] = {}

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Listen until cancelled."""
        with pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES) as listener:
            listener.listen(f"tcp://{self._address}")
            async with trio.open_nursery() as nursery:
                for _ in range(CONCURRENT_REQUESTS):
                    nursery.start_soon(self._serve, listener.new_context())
                task_status.started()

    async def drain(self) -> None:
        """No-op: the service has no work to finish."""

    def set_address(self, host: HostId, address: str | None) -> None:
        """Set the address of a host, or remove it if None."""
        if self._addresses.get(host) == address:
            return
        self._close_socket(host)
        if address is None:
            self._addresses.pop(host, None)
        else:
            self._addresses[host] = address

    def handle(self, message: type[PeerMessage], handler: PeerHandler) -> None:
        """Register the handler of a message type; its result is sent as the reply."""
        self._handlers[message.__name__] = (message, handler)

    async def request(
        self,
        host: HostId,
        message: PeerMessage,
        reply: type[Reply],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Reply:
        """Send a request and return the reply."""
        socket = self._socket(host)
        try:
            with trio.fail_after(timeout_s), socket.new_context() as context:
                await context.asend(self._encode_frame(message))
                data = await context.arecv()
        except (trio.TooSlowError, pynng.NNGException) as error:
            if self._sockets.get(host) is socket:
                self._close_socket(host)
            raise PeerUnreachable(f"{host}: {error!r}") from error
        return self._decode_reply(host, data, reply)

    def _decode_reply(self, host: HostId, data: bytes, reply: type[Reply]) -> Reply:
        frame = self._decode_frame(data)
        if frame is None or frame.name != reply.__name__:
            raise PeerUnreachable(f"{host}: answered with something else")
        try:
            return decode(msgspec.msgpack.Decoder(reply), bytes(frame.body))
        except MessageMalformed as error:
            events.REQUEST_MALFORMED.log(
                host=host, message=frame.name, error=str(error)
            )
            raise PeerUnreachable(f"{host}: answered with something else") from error

    def _socket(self, host: HostId) -> pynng.Req0:
        socket = self._sockets.get(host)
        if socket is None:
            address = self._addresses.get(host)
            if address is None and self._address_of is not None:
                address = self._address_of(host)
            if address is None:
                raise PeerUnreachable(f"{host}: no address is known")
            socket = pynng.Req0(
                resend_time=-1, recv_max_size=MAX_MESSAGE_BYTES, reconnect_time_max=500
            )
            socket.dial(f"tcp://{address}", block=False)
            self._sockets[host] = socket
        return socket

    def _close_socket(self, host: HostId) -> None:
        socket = self._sockets.pop(host, None)
        if socket is not None:
            socket.close()

    async def _serve(self, context: Any) -> None:
        with context:
            while True:
                data = await context.arecv()
                reply = await self._handle_frame(data)
                frame = None if reply is None else self._encode_reply(reply)
                if frame is not None:
                    await context.asend(frame)

    async def _handle_frame(self, data: bytes) -> PeerMessage | None:
        frame = self._decode_frame(data)
        if frame is None or frame.name not in self._handlers:
            return None
        message, handler = self._handlers[frame.name]
        try:
            request = decode(msgspec.msgpack.Decoder(message), bytes(frame.body))
        except MessageMalformed as error:
            events.REQUEST_MALFORMED.log(
                host=frame.sender, message=frame.name, error=str(error)
            )
            return None
        return await handler(frame.sender, request)

    def _encode_reply(self, reply: PeerMessage) -> bytes | None:
        """Encode a reply; return None if that fails, as for too large an integer."""
        try:
            return self._encode_frame(reply)
        except (OverflowError, RecursionError, ValueError) as error:
            name = type(reply).__name__
            events.REQUEST_MALFORMED.log(message=name, error=str(error))
            return None

    def _encode_frame(self, message: PeerMessage) -> bytes:
        body = msgspec.Raw(msgspec.msgpack.encode(message))
        frame = _Frame(self.host, type(message).__name__, body)
        data = msgspec.msgpack.encode(frame)
        return self._digest(data) + data

    def _decode_frame(self, data: bytes) -> _Frame | None:
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            return None
        try:
            return decode(_frame_decoder, payload)
        except MessageMalformed:
            return None

    def _digest(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES, key=self._key).digest()
