"""The dispatchers that this host hands jobs to: its own and those of other hosts.

Invariant: whoever waits for a job over a channel is told that its outcome is unknown
when the channel closes.
"""

import dataclasses
from collections.abc import Callable
from functools import partial

import msgspec
import trio

from ..clock import now_s
from ..codes import ResultCode
from ..ids import HostId, job_id
from ..kernel import ServiceName
from ..metrics import HostLoad
from ..submission import Submission
from .capacity_updates import (
    CapacityUpdateFilter,
    max_update_interval_s,
    min_update_interval_s,
)
from .channel import PING_INTERVAL_S, Channel, encode, open_channel
from .fleet_state import Ownership
from .fleet_view import FleetView
from .groups import EndpointGroup
from .local_dispatch import LocalDispatch
from .messages import (
    CancelJob,
    CapacityReport,
    HostHello,
    JobEnded,
    Message,
    RunJob,
)

__all__ = ["DispatcherLinks"]

# Changes wake the loop; this is for what no one tells of.
CHECK_INTERVAL_S = 0.5
# A connection between data centres is set up in 3 ms.
DIAL_PAUSE_S = 0.05
# What a dispatcher told long ago says nothing of its room now.
TOLD_FOR_S = 1.0
# How often a dispatcher hears from a host of which it runs nothing.
IDLE_PING_S = 1.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """Someone who waits for the end of a job."""

    ended: trio.Event
    answer: JobEnded


class _RemoteHost:
    """The channel to another entry host."""

    def __init__(self, host: HostId, address: str) -> None:
        self.host = host
        self.address = address
        self.channel: Channel | None = None
        self.scope = trio.CancelScope()


class DispatcherLinks:
    """The service that runs own dispatchers and reaches those of other hosts.

    Parameters
    ----------
    hello : HostHello
        This host.
    view : FleetView
        Knows who dispatches.
    make_local : callable
        Makes the dispatcher of an ownership.
    """

    name = ServiceName("dispatchers")

    def __init__(
        self,
        hello: HostHello,
        view: FleetView,
        make_local: Callable[[Ownership], LocalDispatch],
    ) -> None:
        self._hello = hello
        self._view = view
        self._make_local = make_local
        self._local: dict[EndpointGroup, LocalDispatch] = {}
        self._remote: dict[str, _RemoteHost] = {}
        self._told: dict[EndpointGroup, tuple[float, CapacityReport]] = {}
        self._waiters: dict[Channel | None, dict[int, _Waiter]] = {None: {}}
        self._requests = 0
        self._accepted: dict[Channel, HostHello | None] = {}
        self._wake = trio.Event()
        self._dispatching = trio.Event()
        self._draining = False
        self._nursery: trio.Nursery | None = None
        view.on_change = self._note_change

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve and keep channels until cancelled."""
        host, _, port = self._hello.address.rpartition(":")
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            serve = partial(trio.serve_tcp, self._accept, int(port), host=host)
            await nursery.start(serve)
            nursery.start_soon(self._tell_loop)
            task_status.started()
            while True:
                self._follow_ownerships(nursery)
                with trio.move_on_after(CHECK_INTERVAL_S):
                    await self._wake.wait()
                self._wake = trio.Event()

    async def drain(self) -> None:
        """Let own dispatchers finish their jobs."""
        self._draining = True
        async with trio.open_nursery() as nursery:
            for local in list(self._local.values()):
                nursery.start_soon(local.drain)

    def load(self) -> HostLoad:
        """Return what there is to do for the data centres dispatched to here."""
        loads = [local.load() for local in self._local.values()]
        fields = [field.name for field in dataclasses.fields(HostLoad)]
        return HostLoad(
            *(sum(getattr(load, field) for load in loads) for field in fields)
        )

    # What the router asks.

    def capacity_reports(self) -> dict[EndpointGroup, CapacityReport]:
        """Return what each dispatcher that can be reached last told of its room."""
        now = now_s()
        told = {
            group: said
            for group, (told_s, said) in self._told.items()
            if now - told_s < TOLD_FOR_S and said.serving and self._reaches(group)
        }
        for group, local in self._local.items():
            if local.serving:
                told[group] = local.capacity_report()
        return told

    def reserve_capacity(self, group: EndpointGroup, tasks: int) -> None:
        """Count tasks that were just handed to a dispatcher as taking room."""
        entry = self._told.get(group)
        if entry is not None:
            told_s, said = entry
            left = msgspec.structs.replace(said, free=max(0, said.free - tasks))
            self._told[group] = (told_s, left)

    async def run_job(self, group: EndpointGroup, submission: Submission) -> JobEnded:
        """Have a dispatcher run a job; cancelling the call stops the job."""
        self._requests += 1
        request = self._requests
        local = self._local.get(group)
        if local is not None:
            return await self._run_local(local, request, submission)
        channel = self._channel(group)
        if channel is None:
            return JobEnded(
                request, ResultCode.NOT_RUN_NO_PRIMARY, "no dispatcher is reached"
            )
        return await self._run_remote(channel, group, request, submission)

    async def _run_local(
        self, local: LocalDispatch, request: int, submission: Submission
    ) -> JobEnded:
        done = False
        try:
            ended = await local.run_job(request, submission)
            done = True
            return ended
        finally:
            if not done and self._nursery is not None:
                job = job_id(submission.team, submission.key)
                self._nursery.start_soon(local.cancel, job)

    async def _run_remote(
        self,
        channel: Channel,
        group: EndpointGroup,
        request: int,
        submission: Submission,
    ) -> JobEnded:
        unknown = JobEnded(
            request, ResultCode.UNKNOWN_OWNER_UNREACHABLE, "channel closed"
        )
        waiter = _Waiter(trio.Event(), unknown)
        waiters = self._waiters.setdefault(channel, {})
        waiters[request] = waiter
        channel.ping_every(PING_INTERVAL_S)
        channel.send(RunJob(request, group, submission))
        try:
            await waiter.ended.wait()
        finally:
            waiters.pop(request, None)
            if not waiters:
                channel.ping_every(IDLE_PING_S)
            if not waiter.ended.is_set():
                channel.send(CancelJob(request))
        return waiter.answer

    # Ownerships.

    def _note_change(self) -> None:
        self._wake.set()

    def _follow_ownerships(self, nursery: trio.Nursery) -> None:
        own = self._hello
        for owned in self._view.ownerships:
            local = self._local.get(owned.group)
            if local is not None and local.ownership != owned:
                local.close()
                del self._local[owned.group]
                local = None
            if (owned.host, owned.incarnation) == (own.host, own.incarnation):
                if local is None and not self._draining:
                    local = self._local[owned.group] = self._make_local(owned)
                    nursery.start_soon(local.run)
                    self._dispatching.set()
                continue
            address = self._view.address_of(owned)
            if address is not None and address not in self._remote:
                remote = self._remote[address] = _RemoteHost(owned.host, address)
                nursery.start_soon(self._dial_loop, remote)
        self._view.dispatching(bool(self._local))

    def _channel(self, group: EndpointGroup) -> Channel | None:
        """Return the channel to the owner, also while no control host hears it."""
        owned = self._view.owner(group)
        if owned is None:
            return None
        for remote in self._remote.values():
            if remote.host == owned.host:
                return remote.channel
        return None

    def _reaches(self, group: EndpointGroup) -> bool:
        channel = self._channel(group)
        return channel is not None and not channel.closed

    # Channels to dispatchers.

    async def _dial_loop(self, remote: _RemoteHost) -> None:
        while True:
            channel = await open_channel(remote.address, IDLE_PING_S)
            if channel is not None:
                channel.send(self._hello)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(channel.run)
                    remote.channel = channel
                    try:
                        async for message in channel.messages():
                            self._take(channel, message)
                    finally:
                        remote.channel = None
                        for waiter in self._waiters.pop(channel, {}).values():
                            waiter.ended.set()
            await trio.sleep(DIAL_PAUSE_S)

    def _take(self, channel: Channel, message: Message) -> None:
        match message:
            case CapacityReport():
                known = self._told.get(message.group)
                if known is None or message.epoch >= known[1].epoch:
                    self._told[message.group] = (now_s(), message)
            case JobEnded():
                waiter = self._waiters.get(channel, {}).get(message.request)
                if waiter is not None:
                    waiter.answer = message
                    waiter.ended.set()

    # Channels from other entry hosts.

    async def _accept(self, stream: trio.SocketStream) -> None:
        channel = Channel(stream)
        scopes: dict[int, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._accepted[channel] = None
            for local in self._local.values():
                channel.send(local.capacity_report())
            try:
                async for message in channel.messages():
                    match message:
                        case HostHello():
                            self._accepted[channel] = message
                        case RunJob():
                            nursery.start_soon(self._serve, channel, message, scopes)
                        case CancelJob(request):
                            if request in scopes:
                                scopes[request].cancel()
            finally:
                del self._accepted[channel]
                nursery.cancel_scope.cancel()

    async def _serve(
        self, channel: Channel, message: RunJob, scopes: dict[int, trio.CancelScope]
    ) -> None:
        """Run a job for another host; it is stopped when that host is lost."""
        local = self._local.get(message.group)
        if local is None:
            ended = JobEnded(
                message.request,
                ResultCode.NOT_RUN_NO_PRIMARY,
                "this host does not dispatch there",
            )
            channel.send(ended)
            return
        with trio.CancelScope() as scope:
            scopes[message.request] = scope
            try:
                channel.send(
                    await self._run_local(local, message.request, message.submission)
                )
            finally:
                del scopes[message.request]

    async def _tell_loop(self) -> None:
        """Tell other hosts of the room here, those of this data centre in detail."""
        told = {
            True: CapacityUpdateFilter(exact=True),
            False: CapacityUpdateFilter(exact=False),
        }
        while True:
            if not self._local:
                self._dispatching = trio.Event()
                await self._dispatching.wait()
            audience: dict[bool, list[Channel]] = {True: [], False: []}
            for channel, hello in self._accepted.items():
                near = hello is None or hello.data_centre == self._hello.data_centre
                audience[near].append(channel)
            await trio.sleep(min_update_interval_s(len(audience[True])))
            every_s = {True: 0.0, False: min_update_interval_s(len(self._accepted))}
            repeat_s = max_update_interval_s(len(self._accepted))
            for local in self._local.values():
                said = local.capacity_report()
                for near, channels in audience.items():
                    if channels and told[near].should_send(
                        said, every_s[near], repeat_s
                    ):
                        body = encode(said)
                        for channel in channels:
                            channel.ping_every(max(PING_INTERVAL_S, repeat_s))
                            channel.send_encoded(body)
