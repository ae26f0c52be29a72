"""Direct streams: all data in order past a full buffer, and closed connections."""

import socket

import pytest
import trio
import trio.testing

from currantwell.direct_stream import DirectStream, open_direct_stream

DATA = bytes(range(256)) * 20_000


def a_pair():
    return tuple(map(DirectStream, _connected_pair()))


def _connected_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


async def receive_all(stream):
    received = bytearray()
    while data := await stream.receive_some():
        received += data
    return bytes(received)


async def test_more_data_than_the_kernel_buffers_arrives_complete(nursery):
    near, far = a_pair()
    assert 0 < near.send_now(DATA) < len(DATA)
    near, far = a_pair()

    async def send():
        await near.send_all(DATA)
        near.close()

    nursery.start_soon(send)
    assert await receive_all(far) == DATA


async def test_closing_ends_a_wait_for_data(nursery):
    near, _far = a_pair()

    async def close():
        await trio.testing.wait_all_tasks_blocked()
        near.close()

    nursery.start_soon(close)
    with pytest.raises(trio.ClosedResourceError):
        await near.receive_some()
    with pytest.raises(trio.BrokenResourceError):
        near.send_now(b"x")


async def test_a_closed_stream_can_be_waited_for_no_more():
    near, _far = a_pair()
    near.close()
    for wait in (near.receive_some, near.wait_send_all_might_not_block):
        with pytest.raises(trio.ClosedResourceError):
            await wait()


async def test_a_reset_connection_is_broken():
    near, far = a_pair()
    far.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    far.close()
    with pytest.raises(trio.BrokenResourceError):
        await near.receive_some()


async def test_connecting_to_a_port_that_nobody_listens_to_fails():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(OSError, match=str(port)):
        await open_direct_stream("127.0.0.1", port)


class FixedResolver(trio.abc.HostnameResolver):
    """Resolves each name to the loopback address."""

    def __init__(self):
        self.names = []

    async def getaddrinfo(self, host, port, family=0, type=0, proto=0, flags=0):
        self.names.append(host)
        return [(family, type, proto, "", ("127.0.0.1", port))]

    async def getnameinfo(self, sockaddr, flags):
        raise NotImplementedError


async def test_a_name_is_resolved_without_blocking_the_event_loop():
    resolver = FixedResolver()
    trio.socket.set_custom_hostname_resolver(resolver)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        stream = await open_direct_stream("localhost", listener.getsockname()[1])
        stream.close()
    assert resolver.names == [b"localhost"]


async def test_a_stream_takes_over_the_connection_of_another():
    near, far = _connected_pair()
    near.setblocking(False)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(near))
    taken = DirectStream.taken_from(stream)
    await stream.aclose()
    await taken.send_all(b"abc")
    assert far.recv(3) == b"abc"
    taken.close()
    far.close()
