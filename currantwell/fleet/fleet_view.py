"""What an entry host knows of the fleet, told by the control hosts.

Invariants: the configuration never goes back to a lower version within one life of the
process, and of two ownerships of a group the one with the higher epoch counts,
whichever control host tells.
"""

from collections.abc import Callable, Iterable, Sequence

import trio

from .. import events
from ..clock import now_s
from ..ids import EndpointId, HostId
from ..kernel import ServiceName
from .channel import PING_INTERVAL_S, Channel, open_channel
from .fleet_state import Ownership
from .groups import EndpointGroup
from .messages import (
    ConfigurationUpdate,
    ControlHostsUpdate,
    EndpointHeartbeats,
    EndpointReport,
    EndpointReports,
    EndpointsLeft,
    EntryHostsUpdate,
    HostHello,
    Message,
    OwnershipsUpdate,
)
from .routes import NO_CONFIGURATION, Configuration, Route, RouteTable

__all__ = ["EndpointRecord", "FleetView"]

DIAL_PAUSE_S = 0.1
# How often a control host hears from a host on which nothing depends; one that
# dispatches is heard as often as any channel allows, lest its loss be noticed late.
IDLE_PING_S = 0.8


class EndpointRecord:
    """A report and when its endpoint was last heard by a control host."""

    __slots__ = ("last_heartbeat_s", "report")

    def __init__(self, report: EndpointReport, last_heartbeat_s: float) -> None:
        self.report = report
        self.last_heartbeat_s = last_heartbeat_s


class FleetView:
    """The service that keeps channels to the control hosts.

    Parameters
    ----------
    hello : HostHello
        This host.
    seeds : sequence of str
        Addresses at which control hosts accept channels, as first known.

    Attributes
    ----------
    configuration : Configuration
        The newest that any control host told.
    changed : callable
        Called after each change of ownerships, hosts or endpoints.
    """

    name = ServiceName("fleet-view")

    def __init__(self, hello: HostHello, seeds: Sequence[str]) -> None:
        self.configuration: Configuration = NO_CONFIGURATION
        self.on_change: Callable[[], None] = lambda: None
        self.endpoints: dict[EndpointId, EndpointRecord] = {}
        self._hello = hello
        self._routes = RouteTable()
        self._ownerships: dict[EndpointGroup, Ownership] = {}
        self._hosts: dict[Channel, dict[HostId, HostHello]] = {}
        self._ping_s = IDLE_PING_S
        self._addresses = set(seeds)
        self._new_address = trio.Event()

    @property
    def connected(self) -> bool:
        """Whether any control host is heard."""
        return bool(self._hosts)

    @property
    def ownerships(self) -> Iterable[Ownership]:
        """The newest ownership of each group."""
        return self._ownerships.values()

    def owner(self, group: EndpointGroup) -> Ownership | None:
        """Return who dispatches to a group, if anyone does."""
        return self._ownerships.get(group)

    def address_of(self, ownership: Ownership) -> str | None:
        """Return where the owner accepts channels, if its process is heard."""
        for hosts in self._hosts.values():
            hello = hosts.get(ownership.host)
            if hello is not None and hello.incarnation == ownership.incarnation:
                return hello.address
        return None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self._routes.find(host, path)

    def update_hello(self, hello: HostHello) -> None:
        """Tell all control hosts something new about this host."""
        self._hello = hello
        for channel in self._hosts:
            channel.send(hello)

    def dispatching(self, dispatching: bool) -> None:
        """Have control hosts hear from this host as often as its role asks for."""
        ping_s = PING_INTERVAL_S if dispatching else IDLE_PING_S
        if ping_s == self._ping_s:
            return
        self._ping_s = ping_s
        for channel in self._hosts:
            channel.ping_every(self._ping_s)

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint that is silent to everyone."""
        self.endpoints.pop(endpoint, None)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Keep a channel to each control host until cancelled."""
        dialled: set[str] = set()
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                for address in self._addresses - dialled:
                    dialled.add(address)
                    nursery.start_soon(self._follow, address)
                await self._new_address.wait()
                self._new_address = trio.Event()

    async def drain(self) -> None:
        """Have nothing to finish."""

    async def _follow(self, address: str) -> None:
        while True:
            channel = await open_channel(address, self._ping_s)
            if channel is not None:
                events.CONTROL_CONNECTED.log(address=address)
                await self._listen(channel)
                events.CONTROL_DISCONNECTED.log(address=address)
            await trio.sleep(DIAL_PAUSE_S)

    async def _listen(self, channel: Channel) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._hosts[channel] = {}
            channel.send(self._hello)
            try:
                async for message in channel.messages():
                    self._take(channel, message)
            finally:
                del self._hosts[channel]

    def _take(self, channel: Channel, message: Message) -> None:
        match message:
            case ConfigurationUpdate(configuration):
                self._follow_configuration(configuration)
            case ControlHostsUpdate(addresses):
                self._addresses.update(addresses)
                self._new_address.set()
            case EndpointHeartbeats(endpoints):
                self._note_heard(endpoints)
            case EntryHostsUpdate(hosts):
                self._hosts[channel] = {hello.host: hello for hello in hosts}
                self.on_change()
            case OwnershipsUpdate(ownerships):
                self._take_ownerships(ownerships)
                self.on_change()
            case EndpointReports() | EndpointsLeft():
                self._take_endpoints(message)
                self.on_change()

    def _note_heard(self, endpoints: Iterable[EndpointId]) -> None:
        for endpoint in endpoints:
            if endpoint in self.endpoints:
                self.endpoints[endpoint].last_heartbeat_s = now_s()

    def _take_ownerships(self, ownerships: Iterable[Ownership]) -> None:
        for owned in ownerships:
            known = self._ownerships.get(owned.group)
            if known is None or owned.epoch > known.epoch:
                self._ownerships[owned.group] = owned

    def _take_endpoints(self, message: EndpointReports | EndpointsLeft) -> None:
        if isinstance(message, EndpointReports):
            for report in message.reports:
                self._take_report(report)
        else:
            for endpoint in message.endpoints:
                self.endpoints.pop(endpoint, None)

    def _take_report(self, report: EndpointReport) -> None:
        endpoint = report.announcement.endpoint
        known = self.endpoints.get(endpoint)
        if known is None or report.sort_key() > known.report.sort_key():
            self.endpoints[endpoint] = EndpointRecord(report, now_s())

    def _follow_configuration(self, configuration: Configuration) -> None:
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)
        events.CONFIGURATION_APPLIED.log(
            version=configuration.version, routes=len(configuration.routes)
        )
