"""The service of a control host, which hosts and endpoints report to.

Each entry host keeps a channel to each control host, over which it receives the
configuration, the ownerships, the hosts and the endpoints, and every change of them at
once. The leader of the agreement also proposes the next ownerships.
"""

from collections.abc import Iterable, Sequence
from functools import partial

import trio

from .. import events
from ..agreement import Agreement
from ..clock import now_s
from ..errors import AgreementLost
from ..ids import EndpointId, HostId
from ..isolation import isolated
from ..kernel import ServiceName
from .channel import (
    Channel,
    accept_channel,
    encode,
    open_channel,
    usable_addresses,
)
from .configuration_transfer import ConfigurationHistory
from .drain_confirmations import DrainConfirmations
from .endpoint_registry import EndpointRegistry, HintStore
from .fleet_state import FleetState, PutConfiguration, SetOwner, encode_command
from .messages import (
    ConfigurationRequest,
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
from .ownership import HostLiveness, OwnershipRule
from .routes import Configuration

__all__ = ["ControlService"]

# Twelve checks within `HOST_TIMEOUT_S`.
LEADER_INTERVAL_S = 0.05
# Operators try another control host after a second.
PUT_TIMEOUT_S = 0.9
# Endpoints ask another control host if they get no answer within a second.
CONFIRM_TIMEOUT_S = 0.6
# Long enough for a disk that stalls for a moment.
OWNER_TIMEOUT_S = 2.0
CLEANUP_INTERVAL_S = 1.0
# Endpoints are removed after 6 s or more without a heartbeat at any control host, so
# the hosts have to pass on heartbeats more often than that.
HEARTBEATS_INTERVAL_S = 2.0
# A host that disconnected reconnects within this time.
RECONNECT_DELAY_S = 0.2
# Interval of pings to other hosts. It may be long, since each host is connected to
# several control hosts and receives every change from each of them.
CONTROL_PING_INTERVAL_S = 0.8
# Changes of hosts and endpoints within this time, as at a start, are sent together.
UPDATE_DELAY_S = 0.02


class ControlService:
    """The service that entry hosts and endpoints report to.

    Parameters
    ----------
    hello : HostHello
        Describes this host.
    seeds : sequence of str
        Initial channel addresses of control hosts.
    state : FleetState
        The replicated state.
    agreement : Agreement
        Replicates commands to the state.
    rule : OwnershipRule
        Decides which ownerships to propose.
    hint : HintStore
        Keeps the endpoint reports across restarts.
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
        self._history = ConfigurationHistory()
        self._channels: dict[Channel, HostHello | None] = {}
        self._liveness: dict[HostId, HostLiveness] = {}
        self._control_addresses = {
            address for address in seeds if address != hello.address
        }
        self._connecting: set[str] = set()
        self._heartbeats: set[EndpointId] = set()
        self._registry_changed = False
        self._state_changed = trio.Event()
        self._update_pending = trio.Event()
        self._hosts_changed = False
        self._sent_hosts: dict[HostId, HostHello] = {}
        self._pending_reports: dict[EndpointId, EndpointReport] = {}
        self._confirmations = DrainConfirmations()
        self._pending_drains: dict[EndpointId, EndpointReport] = {}
        state.on_change = self._note_state_change
        self._note_state_change()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve channels until cancelled."""
        host, _, port = self._hello.address.rpartition(":")
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, self._accept, int(port), host=host)
            await nursery.start(serve)
            nursery.start_soon(self._leader_loop, nursery)
            nursery.start_soon(self._cleanup_loop)
            nursery.start_soon(self._save_loop)
            nursery.start_soon(self._send_state_loop)
            nursery.start_soon(self._send_updates_loop)
            task_status.started()

    async def drain(self) -> None:
        """No-op: this service has no work to finish."""

    # Requests of operators.

    async def put_configuration(self, configuration: Configuration) -> None:
        """Propose a configuration; it is ignored unless its version is the highest.

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
        """Return the latest configuration that any control host has accepted.

        Raises
        ------
        AgreementLost
            If no majority confirmed in time that it is the latest.
        """
        await self._agreement.read_barrier(PUT_TIMEOUT_S)
        return self._state.configuration

    # Requests of endpoints.

    def heartbeat(self, report: EndpointReport) -> None:
        """Record the heartbeat of an endpoint, and send an update on to entry hosts."""
        announcement = report.announcement
        self._heartbeats.add(announcement.endpoint)
        if self._registry.record_report(report, now_s()):
            # A late heartbeat of a removed endpoint brings back a later report.
            report = self._registry.report(announcement.endpoint) or report
            announcement = report.announcement
            events.ENDPOINT_REPORTED.log(
                endpoint=announcement.endpoint,
                born_unix_ms=report.born_unix_ms,
                sequence=report.sequence,
                draining=announcement.draining,
                url=announcement.url,
            )
            self._registry_changed = True
            if announcement.draining:
                # At once, as `confirm_drain` waits for another control host to have it.
                self._pending_reports.pop(announcement.endpoint, None)
                self._broadcast(EndpointReports((report,)))
            else:
                self._pending_reports[announcement.endpoint] = report
                self._update_pending.set()
        elif announcement.draining and not self._confirmations.contains(report):
            for channel in self._control_channels():
                channel.send(EndpointReports((report,)))

    async def confirm_drain(self, report: EndpointReport) -> bool:
        """Wait until a drain outlasts this host; return whether it does.

        Another control host has to have it too, if any is connected.
        """
        if not report.announcement.draining or not self._control_channels():
            return True
        if self._registry.report(report.announcement.endpoint) is None:
            return True
        if await self._confirmations.wait(report, CONFIRM_TIMEOUT_S):
            return True
        events.DRAIN_UNCONFIRMED.log(
            endpoint=report.announcement.endpoint,
            born_unix_ms=report.born_unix_ms,
            sequence=report.sequence,
        )
        return False

    def leave(self, endpoint: EndpointId, born_unix_ms: int | None = None) -> None:
        """Remove an endpoint that is shutting down, and notify all hosts.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        born_unix_ms : int or None
            Start time of the process that leaves; None for the one that is registered.
        """
        registered_unix_ms = self._registry.born_unix_ms(endpoint)
        if born_unix_ms is None:
            born_unix_ms = registered_unix_ms
        departure = Departure(endpoint, born_unix_ms)
        if registered_unix_ms > born_unix_ms:
            events.ENDPOINT_LEAVE_LATE.log(endpoint=endpoint, born_unix_ms=born_unix_ms)
            return
        self._pending_reports.pop(endpoint, None)
        self._pending_drains.pop(endpoint, None)
        self._confirmations.discard(endpoint)
        if self._registry.remove(departure):
            events.ENDPOINT_LEFT.log(endpoint=endpoint)
        self._registry_changed = True
        self._broadcast(EndpointsLeft((departure,)))

    # Channels.

    async def _accept(self, stream: trio.SocketStream) -> None:
        channel = accept_channel(stream, CONTROL_PING_INTERVAL_S)
        with isolated("channel of another host"):
            await self._serve_channel(channel)

    async def _serve_channel(self, channel: Channel) -> None:
        """Send the complete state to a host, and process what it sends.

        Changes of the state are sent by the loops of `run` from then on.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            self._channels[channel] = None
            self._send_all(channel)
            try:
                async for message in channel.messages():
                    if isinstance(message, ConfigurationRequest):
                        channel.send(self._history.part(message))
                    else:
                        self._process(channel, message)
            finally:
                hello = self._channels.pop(channel)
                if hello is not None:
                    self._note_disconnect(hello)

    async def _connect_loop(self, address: str) -> None:
        """Keep a channel to another control host."""
        while True:
            channel = await open_channel(address, CONTROL_PING_INTERVAL_S)
            if channel is not None:
                channel.send(self._hello)
                with isolated("channel to a control host"):
                    await self._serve_channel(channel)
            await trio.sleep(RECONNECT_DELAY_S)

    def _process(self, channel: Channel, message: Message) -> None:
        match message:
            case HostHello():
                self._process_hello(channel, message)
            case EndpointReports(reports):
                self._process_reports(channel, reports)
            case ControlHostsUpdate(addresses):
                self._control_addresses |= usable_addresses(addresses)
                self._control_addresses.discard(self._hello.address)
            case EndpointHeartbeats(endpoints):
                self._registry.record_heartbeats(endpoints, now_s())
            case EndpointsLeft(departures):
                for departure in departures:
                    self._registry_changed = True
                    if self._registry.remove(departure):
                        self._confirmations.discard(departure.endpoint)

    def _process_reports(
        self, channel: Channel, reports: Iterable[EndpointReport]
    ) -> None:
        """Record the reports of another control host, and pass on new drains.

        So a drain reaches each host from every control host, and none of the channels
        or hosts on the way has to be in order.
        """
        replies = []
        for report in reports:
            endpoint = report.announcement.endpoint
            known = self._registry.report(endpoint)
            changed = self._registry.record_report(report, now_s())
            latest = self._registry.report(endpoint)
            if known is not None:
                self._confirmations.add(report)
            repeated = known is not None and known.sort_key() == report.sort_key()
            if latest is not None and latest.announcement.draining and not repeated:
                replies.append(latest)
            if not changed:
                continue
            self._registry_changed = True
            if report.announcement.draining:
                self._pending_drains[endpoint] = report
                self._update_pending.set()
        if replies:
            # Tells the sender that this host has them.
            channel.send(EndpointReports(tuple(replies)))

    def _process_hello(self, channel: Channel, message: HostHello) -> None:
        if self._channels[channel] is None:
            events.HOST_CONNECTED.log(
                host=message.host,
                incarnation=message.incarnation,
                data_centre=message.data_centre,
            )
        self._channels[channel] = message
        seen = self._liveness.get(message.host)
        now = now_s()
        if seen is None or seen.hello.incarnation != message.incarnation:
            seen = self._liveness[message.host] = HostLiveness(message, now, now)
        seen.hello, seen.last_seen_s = message, now
        known = message.address in self._control_addresses
        if not message.dispatches and not known and usable_addresses([message.address]):
            self._control_addresses.add(message.address)
            self._broadcast(self._control_hosts())
        self._note_hosts_change()

    def _note_disconnect(self, hello: HostHello) -> None:
        connected = any(
            other is not None and other.incarnation == hello.incarnation
            for other in self._channels.values()
        )
        if not connected:
            events.HOST_DISCONNECTED.log(host=hello.host, incarnation=hello.incarnation)
            self._note_hosts_change()

    def _note_hosts_change(self) -> None:
        self._hosts_changed = True
        self._update_pending.set()

    def _refresh_liveness(self) -> None:
        """Count each host with a channel as seen now.

        That is right, since channels of unresponsive hosts are closed.
        """
        now = now_s()
        for hello in self._channels.values():
            if hello is None:
                continue
            seen = self._liveness.get(hello.host)
            if seen is not None and seen.hello.incarnation == hello.incarnation:
                seen.last_seen_s = now
        own = self._hello
        own_liveness = self._liveness.setdefault(own.host, HostLiveness(own, now, now))
        own_liveness.last_seen_s = now

    # Updates to other hosts.

    def _control_channels(self) -> list[Channel]:
        """Return the channels to other control hosts that have said who they are."""
        return [
            channel
            for channel, hello in self._channels.items()
            if hello is not None and not hello.dispatches
        ]

    def _pass_on(self, message: Message) -> None:
        """Send what another control host sent on to each host, once.

        Two control hosts have two channels; the one that this host opened is left out.
        """
        body = encode(message)
        for channel, hello in self._channels.items():
            if hello is not None:
                channel.send_encoded(body)

    def _broadcast(self, message: Message) -> None:
        body = encode(message)
        for channel in self._channels:
            channel.send_encoded(body)

    def _send_all(self, channel: Channel) -> None:
        channel.send(self._control_hosts())
        channel.send(self._history.announcement(self._hello.data_centre))
        channel.send(EntryHostsUpdate(tuple(self._sent_hosts.values())))
        # First, so that no report of an endpoint that has left is used.
        channel.send(EndpointsLeft(tuple(self._registry.departures)))
        channel.send(EndpointReports(tuple(self._registry.reports)))
        channel.send(OwnershipsUpdate(tuple(self._state.ownerships)))

    def _broadcast_hosts(self) -> None:
        """Send the entry hosts that connected or disconnected since the last time."""
        hosts = {
            hello.host: hello
            for hello in self._channels.values()
            if hello is not None and hello.dispatches
        }
        sent, self._sent_hosts = self._sent_hosts, hosts
        connected = [hello for host, hello in hosts.items() if sent.get(host) != hello]
        disconnected = [host for host in sent if host not in hosts]
        if connected or disconnected:
            self._broadcast(EntryHostsChange(tuple(connected), tuple(disconnected)))

    def _control_hosts(self) -> ControlHostsUpdate:
        return ControlHostsUpdate(
            (self._hello.address, *sorted(self._control_addresses))
        )

    def _note_state_change(self) -> None:
        self._history.record(self._state.configuration)
        self._state_changed.set()

    async def _send_state_loop(self) -> None:
        """Broadcast the version in force and the ownerships when they change."""
        version = self._state.configuration.version
        ownerships = tuple(self._state.ownerships)
        while True:
            await self._state_changed.wait()
            self._state_changed = trio.Event()
            if self._state.configuration.version != version:
                version = self._state.configuration.version
                self._broadcast(self._history.announcement(self._hello.data_centre))
            if tuple(self._state.ownerships) != ownerships:
                ownerships = tuple(self._state.ownerships)
                self._broadcast(OwnershipsUpdate(ownerships))

    async def _send_updates_loop(self) -> None:
        """Broadcast changes of hosts and endpoints, in batches."""
        while True:
            await self._update_pending.wait()
            await trio.sleep(UPDATE_DELAY_S)
            self._update_pending = trio.Event()
            if self._hosts_changed:
                self._hosts_changed = False
                self._broadcast_hosts()
            if self._pending_reports:
                reports = tuple(self._pending_reports.values())
                self._pending_reports.clear()
                self._broadcast(EndpointReports(reports))
            if self._pending_drains:
                reports = tuple(self._pending_drains.values())
                self._pending_drains.clear()
                self._pass_on(EndpointReports(reports))

    # Work of the leader.

    async def _leader_loop(self, nursery: trio.Nursery) -> None:
        """Connect to new control hosts; on the leader, propose ownerships too."""
        while True:
            await trio.sleep(LEADER_INTERVAL_S)
            for address in self._control_addresses - self._connecting:
                self._connecting.add(address)
                nursery.start_soon(self._connect_loop, address)
            self._refresh_liveness()
            if self._agreement.leader != self._hello.host:
                self._rule.reset()
                continue
            owners = {owned.group: owned for owned in self._state.ownerships}
            changes = self._rule.next_ownerships(now_s(), owners, self._liveness)
            async with trio.open_nursery() as proposals:
                for ownership in changes:
                    proposals.start_soon(self._set_owner, SetOwner(ownership))

    async def _set_owner(self, command: SetOwner) -> None:
        ownership = command.ownership
        try:
            result = await self._agreement.propose(
                encode_command(command), OWNER_TIMEOUT_S
            )
        except AgreementLost as error:
            events.AGREEMENT_LOST.log(what="owner", error=str(error))
            return
        events.OWNER_CHANGED.log(
            group=str(ownership.group),
            epoch=ownership.epoch,
            host=ownership.host,
            incarnation=ownership.incarnation,
            result=result.decode(),
        )

    async def _cleanup_loop(self) -> None:
        """Pass on heartbeats and remove unresponsive endpoints."""
        sent_s = now_s()
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            if self._heartbeats and now_s() - sent_s >= HEARTBEATS_INTERVAL_S:
                sent_s = now_s()
                self._broadcast(EndpointHeartbeats(tuple(self._heartbeats)))
                self._heartbeats.clear()
            for endpoint in self._registry.remove_unresponsive(now_s()):
                events.ENDPOINT_UNRESPONSIVE.log(endpoint=endpoint)
                self._confirmations.discard(endpoint)
                self._registry_changed = True

    async def _save_loop(self) -> None:
        """Save the registry when it has changed; waits for the disk."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            if self._registry_changed:
                self._registry_changed = False
                if not await self._registry.save():
                    self._registry_changed = True
