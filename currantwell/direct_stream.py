"""TCP streams that leave out the checkpoints of `trio.SocketStream`.

A checkpoint costs a pass of the event loop and a system call, more than the write that
it follows. A stream here waits only when the kernel has no space or no data, so a
request and its reply take one wait.
"""

import errno
import os
import socket
from contextlib import suppress
from typing import Any, Self

import trio

__all__ = ["DirectStream", "open_direct_stream"]

RECEIVE_BYTES = 64 * 1024


class DirectStream(trio.abc.Stream):
    """A TCP connection whose sends are tried at once.

    Parameters
    ----------
    connected : socket.socket
        The connection; the stream takes ownership of it.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = connected

    @classmethod
    def taken_from(cls, stream: trio.SocketStream) -> Self:
        """Return a stream that takes over the connection of another one."""
        return cls(socket.socket(fileno=stream.socket.detach()))

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Send what the kernel accepts without waiting; return the number of bytes.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is lost or closed.
        """
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all data; waits only while the kernel's buffer is full."""
        sent = self.send_now(data)
        with memoryview(data) as remaining:
            while sent < len(remaining):
                await self.wait_send_all_might_not_block()
                sent += self.send_now(remaining[sent:])

    async def wait_send_all_might_not_block(self) -> None:
        """Return once `send_all` may be able to send without waiting."""
        self._check_open()
        await trio.lowlevel.wait_writable(self.socket)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received data as soon as there is some, none at the end of stream."""
        while True:
            self._check_open()
            await trio.lowlevel.wait_readable(self.socket)
            data = self.receive_now(max_bytes)
            if data is not None:
                return data

    def receive_now(self, max_bytes: int | None = None) -> bytes | None:
        """Return received data without waiting, None if there is none yet.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is lost or closed.
        """
        try:
            return self.socket.recv(max_bytes or RECEIVE_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def send_eof(self) -> None:
        """Tell the other end that nothing more is sent, if the connection is open."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection; tasks that wait for it get `ClosedResourceError`."""
        if self.socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self.socket)
            self.socket.close()

    async def aclose(self) -> None:
        """Close the connection."""
        self.close()
        await trio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        # The event loop raises ValueError for a closed socket.
        if self.socket.fileno() < 0:
            raise trio.ClosedResourceError("this stream is closed")


async def open_direct_stream(host: str, port: int) -> DirectStream:
    """Connect to an IPv4 address, or to the first one of a host name.

    Raises
    ------
    OSError
        If the connection fails.
    """
    address: Any = (host, port)
    if not _is_ipv4_address(host):
        # The socket would resolve the name itself, and block the event loop meanwhile.
        found = await trio.socket.getaddrinfo(
            host, port, socket.AF_INET, socket.SOCK_STREAM
        )
        address = found[0][4]
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        error = connection.connect_ex(address)
        if error == errno.EINPROGRESS:
            await trio.lowlevel.wait_writable(connection)
            error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error), f"{host}:{port}")
        return DirectStream(connection)
    except BaseException:
        connection.close()
        raise


def _is_ipv4_address(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return True
