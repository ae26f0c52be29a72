"""Configurations reach a host with a slow link in time, and hold nothing else up."""

import json
import random
import string

import msgspec
import pytest
import trio

from currantwell.agreement import LocalAgreement
from currantwell.fleet.channel import accept_channel, open_channel
from currantwell.fleet.control_service import ControlService
from currantwell.fleet.endpoint_registry import MemoryHintStore
from currantwell.fleet.fleet_state import FleetState
from currantwell.fleet.fleet_view import FleetView
from currantwell.fleet.messages import CancelJob, HostHello
from currantwell.fleet.ownership import OwnershipRule
from currantwell.fleet.routes import Configuration, Route, Service
from currantwell.ids import DataCentre, HostId, Incarnation, Team
from tests.fleet.builders import BOARD, a_report
from tests.fleet.slow_link import Machine, SlowNetwork

CONTROL_HOSTS = 8
SLOW_BYTES_PER_S = 9_500_000 / 8
SLOW_DELAY_S = 0.0015
ROUTES = 2_800
SECOND_CHANGE_S = 0.2
DELIVERY_S = 1.0
MESSAGE_S = 0.2
FAILOVER_S = 2.0
# Time after a reset of its connections from which a host has to be up to date again.
CONTACT_TIMEOUT_S = 4.0
STORM_INTERVAL_S = 0.33
STORM_CHANGES = 12
# Pings, hosts and endpoints for 3 s, and no configuration.
RECONNECT_BYTES = 32 * 1024
CHANGE_BYTES = 16 * 1024
# More than is sent in a moment without a transfer.
TRANSFER_BYTES = 4 * 1024
POLL_S = 0.01
LIMIT_S = 30.0
ENTRY_ADDRESS = "10.0.1.1:7001"


def some_routes(count, seed=0):
    """Return routes of realistic sizes."""
    rng = random.Random(seed)

    def name(length):
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))

    hosts = [f"{name(6)}.example" for _ in range(1 + count // 4)]
    return tuple(
        Route(
            Team(name(8)),
            rng.choice(hosts),
            f"/{name(7)}/",
            BOARD,
            timeout_s=rng.choice((1.5, 2.5, 4.0)),
            target_s=0.06,
            stretch=1.6,
            priority=rng.randrange(3),
            max_failures=2,
        )
        for _ in range(count)
    )


def with_document(version, routes):
    """Return a configuration of some routes, with the document of an operator."""
    document = {
        "version": version,
        "routes": [msgspec.structs.asdict(route) for route in routes],
    }
    source = json.dumps(document).encode()
    return Configuration(version, routes, (Service(BOARD),), source=source)


def one_changed(configuration, index=0):
    """Return the next version, with another timeout of one route."""
    routes = list(configuration.routes)
    timeout_s = routes[index].timeout_s + 0.25
    routes[index] = msgspec.structs.replace(routes[index], timeout_s=timeout_s)
    return with_document(configuration.version + 1, tuple(routes))


class SharedAgreement(LocalAgreement):
    """Applies each command to the states of all control hosts at once."""

    def __init__(self, host, states):
        super().__init__(host, FleetState())
        self._states = states
        self._applied = 0

    async def propose(self, command, timeout_s=1.0):
        await trio.lowlevel.checkpoint()
        self._applied += 1
        results = [state.apply(self._applied, command) for state in self._states]
        return results[0]


class SlowFleet:
    """Control hosts, and an entry host behind a slow link."""

    def __init__(self, monkeypatch):
        self.network = SlowNetwork(monkeypatch)
        self.entry = Machine("entry", SLOW_BYTES_PER_S, SLOW_DELAY_S)
        self.controls = {}
        self.services = []
        self.versions = []
        self.job_messages = {}
        self.view = None
        self._addresses = [f"10.0.0.{n + 1}:7001" for n in range(CONTROL_HOSTS)]

    async def start(self, nursery):
        states = [FleetState() for _ in self._addresses]
        agreement = SharedAgreement(HostId("control-0"), states)
        for number, (address, state) in enumerate(
            zip(self._addresses, states, strict=True)
        ):
            name = f"control-{number}"
            hello = _hello(name, address, dispatches=False)
            rule = OwnershipRule((DataCentre("valdres"),))
            service = ControlService(
                hello, self._addresses, state, agreement, rule, MemoryHintStore()
            )
            self.controls[name] = Machine(name)
            self.services.append(service)
            await nursery.start(self.network.run_on, self.controls[name], service.run)
        hello = _hello("entry", ENTRY_ADDRESS)
        self.view = FleetView(hello, self._addresses)
        await nursery.start(self.network.run_on, self.entry, self._run_entry)
        nursery.start_soon(self._watch_versions)
        with trio.fail_after(5):
            while len(self.entry.received_from) < CONTROL_HOSTS:
                await trio.sleep(POLL_S)
        await trio.sleep(1.0)

    async def put(self, configuration):
        """Put a configuration; returns the time of its acceptance."""
        await self.services[0].put_configuration(configuration)
        return trio.current_time()

    async def in_force(self, version):
        """Wait until a version or a later one is in force at the entry host."""
        with trio.move_on_after(LIMIT_S):
            while self.view.configuration.version < version:
                await trio.sleep(POLL_S)

    async def delivery_s(self, configuration):
        """Put a configuration; returns how long it takes to be in force."""
        accepted_s = await self.put(configuration)
        await self.in_force(configuration.version)
        return trio.current_time() - accepted_s

    async def put_first(self, configuration):
        """Put a configuration, and wait until everything sent has arrived."""
        await self.put(configuration)
        await self.in_force(configuration.version)
        while True:
            before_bytes = self.entry.received_bytes
            await trio.sleep(1.0)
            if self.entry.received_bytes - before_bytes < CHANGE_BYTES:
                return

    async def transfer_to_entry(self):
        """Return the control host that sends most, once some of it has arrived."""
        before = self.entry.received_from.copy()
        while True:
            sent = self.entry.received_from - before
            if sent and max(sent.values()) >= TRANSFER_BYTES:
                return self.controls[max(sent, key=sent.get)]
            await trio.sleep(0.001)

    def received_bytes(self):
        """Return the bytes that have arrived at each machine."""
        machines = (self.entry, *self.controls.values())
        return {machine.name: machine.received_bytes for machine in machines}

    def largest_increase(self, before):
        """Return the most bytes that a machine has received since then."""
        now = self.received_bytes()
        return max(now[name] - before[name] for name in now)

    def connected_controls(self):
        """Return the number of control hosts that the entry host is connected to."""
        return len(
            {
                stream.peer.machine.name
                for stream in self.entry.streams
                if stream.peer in stream.peer.machine.streams
            }
        )

    async def _run_entry(self, task_status):
        async with trio.open_nursery() as nursery:
            host, _, port = ENTRY_ADDRESS.rpartition(":")
            await nursery.start(
                lambda task_status: trio.serve_tcp(
                    self._accept, int(port), host=host, task_status=task_status
                )
            )
            await nursery.start(self.view.run)
            task_status.started()

    async def _accept(self, stream):
        channel = accept_channel(stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            async for message in channel.messages():
                if isinstance(message, CancelJob):
                    self.job_messages[message.request] = trio.current_time()

    async def _watch_versions(self):
        while True:
            self.versions.append(self.view.configuration.version)
            await trio.sleep(POLL_S)


def _hello(name, address, **changes):
    return HostHello(
        HostId(name),
        Incarnation(f"{name}-a"),
        DataCentre("valdres"),
        address,
        **changes,
    )


@pytest.fixture
async def fleet(monkeypatch, autojump_clock, nursery):
    slow_fleet = SlowFleet(monkeypatch)
    await slow_fleet.start(nursery)
    yield slow_fleet
    nursery.cancel_scope.cancel()


async def grow(fleet):
    """Put twice as many routes and one more change; returns the second version."""
    routes = some_routes(ROUTES)
    await fleet.put_first(with_document(1, routes[: ROUTES // 2]))
    grown = with_document(2, routes)
    await fleet.put(grown)
    await trio.sleep(SECOND_CHANGE_S)
    return one_changed(grown)


async def test_the_newest_version_is_in_force_within_a_second(fleet):
    newest = await grow(fleet)
    assert await fleet.delivery_s(newest) <= DELIVERY_S
    assert set(fleet.view.configuration.routes) == set(newest.routes)


async def test_reports_and_job_messages_pass_a_configuration(fleet, nursery):
    newest = await grow(fleet)
    other = Machine("other")
    channels = []

    async def connect(task_status):
        channel = await open_channel(ENTRY_ADDRESS)
        channels.append(channel)
        task_status.started()
        await channel.run()

    await nursery.start(fleet.network.run_on, other, connect)
    await fleet.put(newest)
    sent_s = {}
    report_arrivals_s = {}

    async def watch_reports():
        while True:
            for endpoint in fleet.view.endpoints:
                report_arrivals_s.setdefault(endpoint, trio.current_time())
            await trio.sleep(POLL_S)

    nursery.start_soon(watch_reports)
    for number in range(20):
        sent_s[number] = trio.current_time()
        fleet.services[number % CONTROL_HOSTS].heartbeat(a_report(f"e{number}"))
        channels[0].send(CancelJob(number))
        await trio.sleep(0.05)
    with trio.move_on_after(LIMIT_S):
        while len(report_arrivals_s) + len(fleet.job_messages) < 2 * len(sent_s):
            await trio.sleep(POLL_S)
    late_s = {
        kind: max(
            arrivals_s.get(key(number), float("inf")) - sent_s[number]
            for number in sent_s
        )
        for kind, arrivals_s, key in (
            ("report", report_arrivals_s, "e{}".format),
            ("job message", fleet.job_messages, int),
        )
    }
    assert max(late_s.values()) <= MESSAGE_S, late_s


@pytest.mark.parametrize("routes", [200, ROUTES, 2 * ROUTES])
async def test_the_bytes_of_a_change_do_not_grow_with_the_routes(fleet, routes):
    first = with_document(1, some_routes(routes))
    await fleet.put_first(first)
    before_bytes = fleet.entry.received_bytes
    changed = one_changed(first)
    await fleet.put(changed)
    await fleet.in_force(changed.version)
    await trio.sleep(1.0)
    assert fleet.view.configuration.version == changed.version
    assert fleet.entry.received_bytes - before_bytes <= CHANGE_BYTES


async def test_in_a_storm_of_changes_the_last_one_is_in_force_in_time(fleet):
    configuration = with_document(1, some_routes(ROUTES))
    await fleet.put_first(configuration)
    del fleet.versions[:]
    for number in range(STORM_CHANGES):
        await trio.sleep(STORM_INTERVAL_S)
        configuration = one_changed(configuration, number)
        accepted_s = await fleet.put(configuration)
    await fleet.in_force(configuration.version)
    assert trio.current_time() - accepted_s <= DELIVERY_S
    assert fleet.versions == sorted(fleet.versions)


@pytest.mark.parametrize("failure", ["freezes", "closes"])
async def test_a_control_host_that_fails_in_a_transfer_is_replaced(fleet, failure):
    routes = some_routes(ROUTES)
    await fleet.put_first(with_document(1, routes[: ROUTES // 2]))
    grown = with_document(2, routes)
    accepted_s = await fleet.put(grown)
    source = await fleet.transfer_to_entry()
    assert fleet.view.configuration.version < grown.version
    if failure == "freezes":
        source.frozen = True
    else:
        source.up = False
        source.disconnect()
    await fleet.in_force(grown.version)
    assert trio.current_time() - accepted_s <= FAILOVER_S


async def test_a_control_host_that_reconnects_sends_no_configuration_again(fleet):
    await fleet.put_first(with_document(1, some_routes(ROUTES)))
    before = fleet.received_bytes()
    fleet.controls["control-1"].disconnect()
    await trio.sleep(3.0)
    assert fleet.connected_controls() == CONTROL_HOSTS
    assert fleet.largest_increase(before) <= RECONNECT_BYTES


async def test_an_entry_host_that_reconnects_receives_no_configuration_again(fleet):
    await fleet.put_first(with_document(1, some_routes(ROUTES)))
    before = fleet.received_bytes()
    fleet.entry.disconnect()
    await trio.sleep(3.0)
    assert fleet.connected_controls() == CONTROL_HOSTS
    assert fleet.largest_increase(before) <= RECONNECT_BYTES


async def test_the_view_is_current_again_after_all_connections_went_silent(fleet):
    """Nothing else bounds the age of what a host acts on: the connections look open."""
    first = with_document(1, some_routes(200))
    await fleet.put_first(first)
    fleet.entry.silence()
    silent_s = trio.current_time()
    changed = one_changed(first)
    await fleet.put(changed)
    fleet.services[0].heartbeat(a_report("e1", draining=True))
    await fleet.in_force(changed.version)
    while "e1" not in fleet.view.endpoints:
        await trio.sleep(POLL_S)
    assert fleet.view.endpoints["e1"].report.announcement.draining
    assert trio.current_time() - silent_s <= CONTACT_TIMEOUT_S
