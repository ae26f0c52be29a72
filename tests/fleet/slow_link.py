"""Network of machines whose links have a bandwidth and a delay, on trio's clock.

A machine has one link, over which everything reaches it in the order in which it was
sent, as at the queue of a router. A stream keeps a limited number of bytes on its way,
as TCP does, and a limited number in its buffer; a sender waits when both are full.
What a machine sends is limited by the links of the receivers only.
"""

import collections
import contextvars
import math

import trio

from currantwell.direct_stream import DirectStream

SEGMENT_BYTES = 1_460
# On a link without a limit, where it makes no difference, fewer segments are faster.
UNLIMITED_SEGMENT_BYTES = 64 * 1024
WINDOW_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 256 * 1024

_machine = contextvars.ContextVar("machine")


class Machine:
    """A machine and the link over which it receives.

    Parameters
    ----------
    name : str
        Name of the machine.
    bytes_per_s : float
        Bandwidth of its link.
    delay_s : float
        Time that a segment takes in addition to its transmission.

    Attributes
    ----------
    received_from : Counter
        Bytes that have arrived, by the name of the sender.
    frozen : bool
        Whether it neither receives nor sends, while its streams stay open.
    up : bool
        Whether it accepts connections.
    """

    def __init__(self, name, bytes_per_s=math.inf, delay_s=0.0005):
        self.name = name
        self.received_from = collections.Counter()
        self.frozen = False
        self.up = True
        self.streams = set()
        unlimited = math.isinf(bytes_per_s)
        self.segment_bytes = UNLIMITED_SEGMENT_BYTES if unlimited else SEGMENT_BYTES
        self._bytes_per_s = bytes_per_s
        self._delay_s = delay_s
        self._free_s = -math.inf
        self._on_the_way = collections.deque()
        self._added = trio.Event()

    @property
    def received_bytes(self):
        """Number of bytes that have arrived."""
        return self.received_from.total()

    def carry(self, sender, data):
        """Transmit a segment of a stream to this machine."""
        start_s = max(trio.current_time(), self._free_s)
        self._free_s = start_s + len(data) / self._bytes_per_s
        self._on_the_way.append((self._free_s + self._delay_s, sender, data))
        self._added.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Deliver what is transmitted until cancelled."""
        task_status.started()
        while True:
            while self._on_the_way:
                arrival_s, sender, data = self._on_the_way.popleft()
                await trio.sleep_until(arrival_s)
                self.received_from[sender.machine.name] += len(data)
                sender.note_arrival(data)
            self._added = trio.Event()
            await self._added.wait()

    def silence(self):
        """Lose all that is sent over the open streams of this machine from now on."""
        for stream in self.streams:
            stream.silent = stream.peer.silent = True

    def disconnect(self):
        """Close all streams of this machine."""
        for stream in list(self.streams):
            stream.break_off()


class SlowStream(DirectStream):
    """One end of a connection between two machines."""

    def __init__(self, machine):
        self.machine = machine
        self.silent = False
        self.peer = None
        self._unsent = bytearray()
        self._on_the_way_bytes = 0
        self._received = bytearray()
        self._ended = False
        self._closed = False
        self._changed = trio.Event()
        machine.streams.add(self)

    def send_now(self, data):
        self._check_open()
        if self._ended:
            raise trio.BrokenResourceError("connection reset")
        if self.machine.frozen:
            return len(data)
        accepted = min(len(data), SEND_BUFFER_BYTES - len(self._unsent))
        self._unsent += data[:accepted]
        self._transmit()
        return accepted

    async def wait_send_all_might_not_block(self):
        self._check_open()
        while len(self._unsent) >= SEND_BUFFER_BYTES and not self._ended:
            await self._changed.wait()
            self._check_open()

    async def receive_some(self, max_bytes=None):
        while True:
            self._check_open()
            data = self.receive_now(max_bytes)
            if data is not None:
                await trio.lowlevel.checkpoint()
                return data
            await self._changed.wait()

    def receive_now(self, max_bytes=None):
        if not self._received:
            return b"" if self._ended else None
        data = bytes(self._received[:max_bytes])
        del self._received[: len(data)]
        return data

    def send_eof(self):
        self.peer.note_end()

    def close(self):
        self._closed = True
        self.machine.streams.discard(self)
        self._notify()
        self.peer.note_end()

    def break_off(self):
        """End the connection at both ends."""
        self.note_end()
        self.peer.note_end()

    def note_end(self):
        """End the connection at this end."""
        self._ended = True
        self._notify()

    def note_arrival(self, data):
        """Hand a segment that this end sent to the other end."""
        self._on_the_way_bytes -= len(data)
        self._transmit()
        if not self.peer.machine.frozen:
            self.peer.take(data)

    def take(self, data):
        """Receive a segment."""
        if not self._ended and not self._closed:
            self._received += data
            self._notify()

    def _transmit(self):
        while self._unsent and self._on_the_way_bytes < WINDOW_BYTES:
            if self._ended or self.machine.frozen or self.silent:
                self._unsent.clear()
                break
            receiver = self.peer.machine
            segment = bytes(self._unsent[: receiver.segment_bytes])
            del self._unsent[: receiver.segment_bytes]
            self._on_the_way_bytes += len(segment)
            receiver.carry(self, segment)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def _check_open(self):
        if self._closed:
            raise trio.ClosedResourceError("this stream is closed")


class SlowNetwork:
    """Takes the place of TCP for the channels of machines.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces the functions by which channels listen and connect.
    """

    def __init__(self, monkeypatch):
        self._listeners = {}
        monkeypatch.setattr(trio, "serve_tcp", self._serve)
        monkeypatch.setattr(
            "currantwell.fleet.channel.open_direct_stream", self._connect
        )
        monkeypatch.setattr(DirectStream, "taken_from", lambda stream: stream)

    async def run_on(self, machine, function, task_status=trio.TASK_STATUS_IGNORED):
        """Run a function that takes a task status on a machine."""
        _machine.set(machine)
        async with trio.open_nursery() as nursery:
            await nursery.start(machine.run)
            await function(task_status=task_status)

    async def _serve(self, handler, port, *, host, task_status):
        machine = _machine.get()
        accepted_send, accepted = trio.open_memory_channel(math.inf)
        self._listeners[host, port] = machine, accepted_send
        task_status.started()
        async with trio.open_nursery() as nursery:
            async for stream in accepted:
                nursery.start_soon(handler, stream)

    async def _connect(self, host, port):
        machine, accepted = self._listeners.get((host, port), (None, None))
        await trio.sleep(0.001)
        if machine is None or not machine.up:
            raise ConnectionRefusedError(f"{host}:{port}")
        near, far = SlowStream(_machine.get()), SlowStream(machine)
        near.peer, far.peer = far, near
        accepted.send_nowait(far)
        return near
