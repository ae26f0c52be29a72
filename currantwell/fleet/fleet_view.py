"""An entry host's view of the fleet, as received from the control hosts.

Invariants: the version of the configuration never decreases within the lifetime of the
process, and of two ownerships of a group the one with the higher epoch is used,
whichever control host sent it.
"""

import math
from collections.abc import Callable, Iterable, Sequence

import trio

from .. import events
from ..clock import now_s
from ..ids import EndpointId, HostId
from ..isolation import isolated
from ..kernel import ServiceName
from .channel import PING_INTERVAL_S, Channel, open_channel, usable_addresses
from .configuration_transfer import ConfigurationFetch
from .endpoint_registry import Departures, RemovedReports, is_usable
from .fleet_state import Ownership
from .groups import EndpointGroup
from .messages import (
    ConfigurationAnnouncement,
    ConfigurationPart,
    ControlHostsUpdate,
    Departure,
    EndpointHeartbeats,
    EndpointReport,
    EndpointReports,
    EndpointsLeft,
    EntryHostsChange,
    EntryHostsUpdate,
    HostHello,
    Message,
    OwnershipsUpdate,
)
from .routes import Configuration, Route, RouteTable

__all__ = ["EndpointRecord", "FleetView"]

RECONNECT_DELAY_S = 0.1
# Interval of pings to control hosts while this host runs no dispatcher. While it runs
# one it pings at the shortest interval, so that its loss is noticed without delay.
IDLE_PING_INTERVAL_S = 0.8


class EndpointRecord:
    """The latest report of an endpoint and the time of its last heartbeat.

    The time is on this host's clock, when a control host's message with the report or
    the heartbeat arrived; so is `received_s`, when that of the report arrived.
    """

    __slots__ = ("last_heartbeat_s", "received_s", "report")

    def __init__(self, report: EndpointReport, last_heartbeat_s: float) -> None:
        self.report = report
        self.last_heartbeat_s = last_heartbeat_s
        self.received_s = last_heartbeat_s


class FleetView:
    """The service that keeps channels to the control hosts.

    Parameters
    ----------
    hello : HostHello
        Describes this host.
    seeds : sequence of str
        Initial addresses of control hosts; they send the addresses of others.

    Attributes
    ----------
    on_change : callable
        Called after each change of ownerships, hosts or endpoints.
    endpoints : dict
        The endpoints that are registered with the control hosts.
    """

    name = ServiceName("fleet-view")

    def __init__(self, hello: HostHello, seeds: Sequence[str]) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self.endpoints: dict[EndpointId, EndpointRecord] = {}
        self._removed = RemovedReports()
        self._departures = Departures()
        self._hello = hello
        self._fetch: ConfigurationFetch[Channel] = ConfigurationFetch(hello.data_centre)
        self._fetch_changed = trio.Event()
        self._routes = RouteTable()
        self._configured = trio.Event()
        self._ownerships: dict[EndpointGroup, Ownership] = {}
        self._hosts: dict[Channel, dict[HostId, HostHello]] = {}
        self._ping_interval_s = IDLE_PING_INTERVAL_S
        self._control_addresses = set(seeds)
        self._addresses_changed = trio.Event()

    @property
    def configuration(self) -> Configuration:
        """The highest version received from any control host."""
        return self._fetch.configuration

    @property
    def connected(self) -> bool:
        """Whether this host is connected to any control host."""
        return bool(self._hosts)

    @property
    def longest_silence_s(self) -> float:
        """The longest time since a connected control host sent anything, in seconds."""
        return max((channel.silent_for_s for channel in self._hosts), default=0.0)

    @property
    def ownerships(self) -> Iterable[Ownership]:
        """The latest ownership of each group."""
        return self._ownerships.values()

    def owner(self, group: EndpointGroup) -> Ownership | None:
        """Return the latest ownership of a group, if it has one."""
        return self._ownerships.get(group)

    def address_of(self, ownership: Ownership) -> str | None:
        """Return the channel address of an owner.

        None unless its process is connected to a control host.
        """
        for hosts in self._hosts.values():
            hello = hosts.get(ownership.host)
            if hello is not None and hello.incarnation == ownership.incarnation:
                return hello.address
        return None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if no route matches."""
        return self._routes.find(host, path)

    async def wait_configured(self) -> None:
        """Return once a configuration has been received."""
        await self._configured.wait()

    def update_hello(self, hello: HostHello) -> None:
        """Send a changed description of this host to all control hosts."""
        self._hello = hello
        for channel in self._hosts:
            channel.send(hello)

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Connect to further control hosts too."""
        self._control_addresses |= usable_addresses(addresses)
        self._addresses_changed.set()

    def set_dispatching(self, dispatching: bool) -> None:
        """Adapt the ping interval to whether this host runs a dispatcher."""
        ping_interval_s = PING_INTERVAL_S if dispatching else IDLE_PING_INTERVAL_S
        if ping_interval_s == self._ping_interval_s:
            return
        self._ping_interval_s = ping_interval_s
        for channel in self._hosts:
            channel.ping_every(self._ping_interval_s)

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that has left or is unresponsive."""
        record = self.endpoints.pop(endpoint, None)
        if record is not None:
            self._removed.add(record.report)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep a channel to each control host until cancelled."""
        connecting: set[str] = set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch_loop)
            task_status.started()
            while True:
                for address in self._control_addresses - connecting:
                    connecting.add(address)
                    nursery.start_soon(self._connect_loop, address)
                await self._addresses_changed.wait()
                self._addresses_changed = trio.Event()

    async def drain(self) -> None:
        """No-op: this service has no work to finish."""

    async def _connect_loop(self, address: str) -> None:
        """Keep a channel to one control host."""
        while True:
            channel = await open_channel(address, self._ping_interval_s)
            if channel is not None:
                events.CONTROL_CONNECTED.log(address=address)
                with isolated("channel to a control host"):
                    await self._receive_loop(channel)
                events.CONTROL_DISCONNECTED.log(address=address)
            await trio.sleep(RECONNECT_DELAY_S)

    async def _receive_loop(self, channel: Channel) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._hosts[channel] = {}
            channel.send(self._hello)
            try:
                async for message in channel.messages():
                    self._process(channel, message)
            finally:
                del self._hosts[channel]
                self._fetch.remove_peer(channel)
                self._fetch_changed.set()

    def _process(self, channel: Channel, message: Message) -> None:
        match message:
            case ConfigurationAnnouncement():
                self._fetch.add_announcement(channel, message)
                self._fetch_changed.set()
            case ConfigurationPart():
                self._receive_part(channel, message)
            case ControlHostsUpdate(addresses):
                self.add_control_addresses(addresses)
            case EndpointHeartbeats(endpoints):
                self._record_heartbeats(endpoints)
            case EntryHostsUpdate(hosts):
                self._hosts[channel] = {hello.host: hello for hello in hosts}
                self.on_change()
            case EntryHostsChange(connected, disconnected):
                known = self._hosts[channel]
                known.update((hello.host, hello) for hello in connected)
                for host in disconnected:
                    known.pop(host, None)
                self.on_change()
            case OwnershipsUpdate(ownerships):
                self._apply_ownerships(ownerships)
                self.on_change()
            case EndpointReports() | EndpointsLeft():
                self._update_endpoints(message)
                self.on_change()

    def _record_heartbeats(self, endpoints: Iterable[EndpointId]) -> None:
        for endpoint in endpoints:
            if endpoint in self.endpoints:
                self.endpoints[endpoint].last_heartbeat_s = now_s()

    def _apply_ownerships(self, ownerships: Iterable[Ownership]) -> None:
        for ownership in ownerships:
            current = self._ownerships.get(ownership.group)
            if current is None or ownership.epoch > current.epoch:
                self._ownerships[ownership.group] = ownership

    def _update_endpoints(self, message: EndpointReports | EndpointsLeft) -> None:
        if isinstance(message, EndpointReports):
            for report in message.reports:
                self._record_report(report)
        else:
            for departure in message.departures:
                self._record_departure(departure)

    def _record_departure(self, departure: Departure) -> None:
        """Remove an endpoint that has left, unless it has started again since."""
        self._departures.add(departure)
        record = self.endpoints.get(departure.endpoint)
        if record is not None and self._departures.includes(record.report):
            self.remove_endpoint(departure.endpoint)

    def _record_report(self, report: EndpointReport) -> None:
        """Use a report that is later than the one in use.

        A control host that was restarted or cut off may still send reports of endpoints
        that have left.
        """
        if self._departures.includes(report):
            return
        endpoint = report.announcement.endpoint
        record = self.endpoints.get(endpoint)
        if record is not None and report.sort_key() <= record.report.sort_key():
            return
        if not is_usable(report):
            return
        if record is None:
            report = self._removed.take_latest(report)
        self.endpoints[endpoint] = EndpointRecord(report, now_s())

    async def _fetch_loop(self) -> None:
        """Begin to fetch the configuration whenever a newer version is announced."""
        while True:
            request = self._fetch.next_request(now_s())
            if request is not None:
                channel, message = request
                channel.send(message)
            due_s = self._fetch.due_s(now_s())
            with trio.move_on_at(math.inf if due_s is None else due_s):
                await self._fetch_changed.wait()
            self._fetch_changed = trio.Event()

    def _receive_part(self, channel: Channel, part: ConfigurationPart) -> None:
        """Add a part, and request the next one or use the complete configuration."""
        held = self.configuration
        request = self._fetch.receive(channel, part, now_s())
        if request is not None:
            channel.send(request)
            return
        self._fetch_changed.set()
        if self.configuration is held:
            return
        self._routes = RouteTable(self.configuration.routes)
        self._configured.set()
        events.CONFIGURATION_APPLIED.log(
            version=self.configuration.version,
            routes=len(self.configuration.routes),
            base=part.base,
            transfer_bytes=part.total,
        )
