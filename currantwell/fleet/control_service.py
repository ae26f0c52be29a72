"""The control host's service: hears hosts and endpoints, and tells entry hosts.

Each entry host keeps a channel to each control host and is told at once what changes:
the configuration, who dispatches, hosts and endpoints. The leader of the agreement also
has the next dispatchers agreed.
"""

from collections.abc import Sequence
from functools import partial

import trio

from .. import events
from ..agreement import Agreement
from ..clock import now_s
from ..errors import AgreementLost
from ..ids import EndpointId, HostId
from ..kernel import ServiceName
from .channel import Channel, encode, open_channel
from .endpoint_registry import EndpointRegistry, HintStore
from .fleet_state import FleetState, PutConfiguration, SetOwner, encode_command
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
from .ownership import HostLiveness, OwnershipRule
from .routes import Configuration

__all__ = ["ControlService"]

# Twenty looks within the time after which a silent host counts as lost.
LEAD_INTERVAL_S = 0.05
# Operators move on to another host after a second.
PUT_TIMEOUT_S = 0.9
# An assumption, not measured: long enough for a disk that stalls for a moment.
OWNER_TIMEOUT_S = 2.0
FORGET_INTERVAL_S = 1.0
# Endpoints are forgotten after 6 s and more of silence, whoever heard them last.
HEARD_INTERVAL_S = 2.0
# A host that was lost dials anew within this time.
DIAL_PAUSE_S = 0.2
# How often the other hosts hear from a control host: they have several more, and what
# changes comes from each of them.
CONTROL_PING_S = 0.8
# Hosts and endpoints that come in quick succession, as at a start, are told together.
TELL_PAUSE_S = 0.02


class ControlService:
    """The service that entry hosts and endpoints report to.

    Parameters
    ----------
    hello : HostHello
        This host.
    seeds : sequence of str
        Addresses at which control hosts accept channels, as first known.
    state : FleetState
        The agreed state.
    agreement : Agreement
        What changes it.
    rule : OwnershipRule
        Decides who dispatches.
    hint : HintStore
        Where the known endpoints are kept over a restart.
    """

    name = ServiceName("fleet-control")

    def __init__(
        self,
        hello: HostHello,
        seeds: Sequence[str],
        state: FleetState,
        agreement: Agreement,
        rule: OwnershipRule,
        hint: HintStore,
    ) -> None:
        self._hello = hello
        self._state = state
        self._agreement = agreement
        self._rule = rule
        self._registry = EndpointRegistry(hint, now_s())
        self._channels: dict[Channel, HostHello | None] = {}
        self._sightings: dict[HostId, HostLiveness] = {}
        self._controls = {address for address in seeds if address != hello.address}
        self._dialled: set[str] = set()
        self._heard: set[EndpointId] = set()
        self._registry_changed = False
        self._state_changed = trio.Event()
        self._news = trio.Event()
        self._hosts_changed = False
        self._fresh_reports: dict[EndpointId, EndpointReport] = {}
        state.on_change = self._note_change

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve channels until cancelled."""
        host, _, port = self._hello.address.rpartition(":")
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, self._accept, int(port), host=host)
            await nursery.start(serve)
            nursery.start_soon(self._lead_loop, nursery)
            nursery.start_soon(self._forget_loop)
            nursery.start_soon(self._tell_loop)
            nursery.start_soon(self._news_loop)
            task_status.started()

    async def drain(self) -> None:
        """Have nothing to finish."""

    # What operators ask.

    async def put_configuration(self, configuration: Configuration) -> None:
        """Have a configuration agreed; one that is not higher changes nothing.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        command = encode_command(PutConfiguration(configuration))
        result = await self._agreement.propose(command, PUT_TIMEOUT_S)
        events.CONFIGURATION_PUT.log(
            version=configuration.version,
            routes=len(configuration.routes),
            result=result.decode(),
            in_force=self._state.configuration.version,
        )

    async def configuration(self) -> Configuration:
        """Return the newest configuration that was accepted anywhere.

        Raises
        ------
        AgreementLost
            If no majority confirmed in time that it is the newest.
        """
        await self._agreement.read_barrier(PUT_TIMEOUT_S)
        return self._state.configuration

    # What endpoints say.

    def heartbeat(self, report: EndpointReport) -> None:
        """Take in what an endpoint says of itself, and pass on what is new."""
        said = report.announcement
        self._heard.add(said.endpoint)
        if self._registry.record_report(report, now_s()):
            events.ENDPOINT_REPORTED.log(
                endpoint=said.endpoint,
                born_unix_ms=report.born_unix_ms,
                sequence=report.sequence,
                draining=said.draining,
                url=said.url,
            )
            self._fresh_reports[said.endpoint] = report
            self._news.set()
            self._registry_changed = True

    def leave(self, endpoint: EndpointId) -> None:
        """Take in that an endpoint ends."""
        self._fresh_reports.pop(endpoint, None)
        if self._registry.leave(endpoint):
            events.ENDPOINT_LEFT.log(endpoint=endpoint)
            self._registry_changed = True
        self._tell(EndpointsLeft((endpoint,)))

    # Channels.

    async def _accept(self, stream: trio.SocketStream) -> None:
        await self._talk(Channel(stream, CONTROL_PING_S))

    async def _talk(self, channel: Channel) -> None:
        """Tell a host everything, then what changes, and hear it."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._channels[channel] = None
            self._tell_all(channel)
            try:
                async for message in channel.messages():
                    self._hear(channel, message)
            finally:
                hello = self._channels.pop(channel)
                if hello is not None:
                    self._host_silent(hello)

    async def _dial_loop(self, address: str) -> None:
        """Keep a channel to another control host."""
        while True:
            channel = await open_channel(address, CONTROL_PING_S)
            if channel is not None:
                channel.send(self._hello)
                await self._talk(channel)
            await trio.sleep(DIAL_PAUSE_S)

    def _hear(self, channel: Channel, message: Message) -> None:
        match message:
            case HostHello():
                self._hear_host(channel, message)
            case EndpointReports(reports):
                for report in reports:
                    if self._registry.record_report(report, now_s()):
                        self._registry_changed = True
            case ControlHostsUpdate(addresses):
                self._controls.update(set(addresses) - {self._hello.address})
            case EndpointHeartbeats(endpoints):
                self._registry.record_heartbeats(endpoints, now_s())
            case EndpointsLeft(endpoints):
                for endpoint in endpoints:
                    if self._registry.leave(endpoint):
                        self._registry_changed = True

    def _hear_host(self, channel: Channel, message: HostHello) -> None:
        if self._channels[channel] is None:
            events.HOST_CONNECTED.log(
                host=message.host,
                incarnation=message.incarnation,
                data_centre=message.data_centre,
            )
        self._channels[channel] = message
        seen = self._sightings.get(message.host)
        now = now_s()
        if seen is None or seen.hello.incarnation != message.incarnation:
            seen = self._sightings[message.host] = HostLiveness(message, now, now)
        seen.hello, seen.last_seen_s = message, now
        if not message.dispatches and message.address not in self._controls:
            self._controls.add(message.address)
            self._tell(self._control_hosts())
        self._note_hosts()

    def _host_silent(self, hello: HostHello) -> None:
        still = any(
            other is not None and other.incarnation == hello.incarnation
            for other in self._channels.values()
        )
        if not still:
            events.HOST_DISCONNECTED.log(host=hello.host, incarnation=hello.incarnation)
            self._note_hosts()

    def _note_hosts(self) -> None:
        self._hosts_changed = True
        self._news.set()

    def _refresh_sightings(self) -> None:
        """Count each host with a channel as heard, since silent ones are closed."""
        now = now_s()
        for hello in self._channels.values():
            if hello is None:
                continue
            seen = self._sightings.get(hello.host)
            if seen is not None and seen.hello.incarnation == hello.incarnation:
                seen.last_seen_s = now
        own = self._hello
        first = self._sightings.setdefault(own.host, HostLiveness(own, now, now))
        first.last_seen_s = now

    # What entry hosts are told.

    def _tell(self, message: Message) -> None:
        body = encode(message)
        for channel in self._channels:
            channel.send_encoded(body)

    def _tell_all(self, channel: Channel) -> None:
        channel.send(self._control_hosts())
        channel.send(ConfigurationUpdate(self._state.configuration))
        channel.send(self._hosts())
        channel.send(EndpointReports(tuple(self._registry.reports)))
        channel.send(OwnershipsUpdate(tuple(self._state.ownerships)))

    def _hosts(self) -> EntryHostsUpdate:
        heard = {
            hello.host: hello
            for hello in self._channels.values()
            if hello is not None and hello.dispatches
        }
        return EntryHostsUpdate(tuple(heard.values()))

    def _control_hosts(self) -> ControlHostsUpdate:
        return ControlHostsUpdate((self._hello.address, *sorted(self._controls)))

    def _note_change(self) -> None:
        self._state_changed.set()

    async def _tell_loop(self) -> None:
        version = self._state.configuration.version
        while True:
            await self._state_changed.wait()
            self._state_changed = trio.Event()
            if self._state.configuration.version != version:
                version = self._state.configuration.version
                self._tell(ConfigurationUpdate(self._state.configuration))
            self._tell(OwnershipsUpdate(tuple(self._state.ownerships)))

    async def _news_loop(self) -> None:
        while True:
            await self._news.wait()
            await trio.sleep(TELL_PAUSE_S)
            self._news = trio.Event()
            if self._hosts_changed:
                self._hosts_changed = False
                self._tell(self._hosts())
            if self._fresh_reports:
                reports = tuple(self._fresh_reports.values())
                self._fresh_reports.clear()
                self._tell(EndpointReports(reports))

    # Leading.

    async def _lead_loop(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(LEAD_INTERVAL_S)
            for address in self._controls - self._dialled:
                self._dialled.add(address)
                nursery.start_soon(self._dial_loop, address)
            self._refresh_sightings()
            if self._agreement.leader != self._hello.host:
                self._rule.reset()
                continue
            owners = {owned.group: owned for owned in self._state.ownerships}
            changes = self._rule.next_ownerships(now_s(), owners, self._sightings)
            async with trio.open_nursery() as proposals:
                for ownership in changes:
                    proposals.start_soon(self._set_owner, SetOwner(ownership))

    async def _set_owner(self, command: SetOwner) -> None:
        owned = command.ownership
        try:
            result = await self._agreement.propose(
                encode_command(command), OWNER_TIMEOUT_S
            )
        except AgreementLost as error:
            events.AGREEMENT_LOST.log(what="owner", error=str(error))
            return
        events.OWNER_CHANGED.log(
            group=str(owned.group),
            epoch=owned.epoch,
            host=owned.host,
            incarnation=owned.incarnation,
            result=result.decode(),
        )

    async def _forget_loop(self) -> None:
        told_s = now_s()
        while True:
            await trio.sleep(FORGET_INTERVAL_S)
            if self._heard and now_s() - told_s >= HEARD_INTERVAL_S:
                told_s = now_s()
                self._tell(EndpointHeartbeats(tuple(self._heard)))
                self._heard.clear()
            if self._registry_changed:
                self._registry_changed = False
                await self._registry.save()
            for endpoint in self._registry.remove_unresponsive(now_s()):
                events.ENDPOINT_UNRESPONSIVE.log(endpoint=endpoint)
