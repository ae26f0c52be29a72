"""The control service passes on what it knows, whatever its disk does."""

import msgspec
import pytest
import trio

from currantwell.agreement import LocalAgreement
from currantwell.fleet.channel import encode
from currantwell.fleet.control_service import (
    CLEANUP_INTERVAL_S,
    UPDATE_DELAY_S,
    ControlService,
)
from currantwell.fleet.endpoint_registry import (
    FORGET_AFTER_S,
    EndpointRegistry,
    MemoryHintStore,
)
from currantwell.fleet.fleet_state import (
    FleetState,
    PutConfiguration,
    SetOwner,
    encode_command,
)
from currantwell.fleet.messages import (
    ControlHostsUpdate,
    EndpointHeartbeats,
    EndpointReports,
)
from currantwell.fleet.ownership import OwnershipRule
from tests.fleet.builders import a_configuration, a_hello, a_report, an_ownership


class StallingHintStore(MemoryHintStore):
    """Saves nothing before `may_save` is set, and fails a number of times then."""

    def __init__(self, failures=0):
        super().__init__()
        self.may_save = trio.Event()
        self.saved = 0
        self._failures = failures

    async def save(self, data):
        await self.may_save.wait()
        self._failures -= 1
        if self._failures >= 0:
            return False
        self.saved += 1
        return await super().save(data)


class RecordingChannel:
    """Keeps what is sent to another host."""

    def __init__(self):
        self.sent = []

    def send_encoded(self, body):
        self.sent.append(body)


def a_service(hint):
    hello = a_hello(dispatches=False)
    state = FleetState()
    agreement = LocalAgreement(hello.host, state)
    rule = OwnershipRule(("valdres",))
    service = ControlService(hello, [], state, agreement, rule, hint)
    channel = RecordingChannel()
    service._channels[channel] = None
    return service, channel


async def test_heartbeats_are_passed_on_while_a_disk_stalls(nursery, autojump_clock):
    """Else other hosts remove the endpoints that send theirs to this host only."""
    hint = StallingHintStore()
    service, channel = a_service(hint)
    nursery.start_soon(service._cleanup_loop)
    nursery.start_soon(service._save_loop)
    heartbeats = encode(EndpointHeartbeats(("e1",)))
    sequence = 0
    for _ in range(2):
        channel.sent.clear()
        for _ in range(int(FORGET_AFTER_S)):
            sequence += 1
            service.heartbeat(a_report(sequence=sequence))
            await trio.sleep(1.0)
        assert channel.sent.count(heartbeats) > 1
    hint.may_save.set()
    await trio.sleep(3.0)
    assert hint.saved == 1


@pytest.mark.parametrize("failures", [1, 3])
async def test_endpoints_are_saved_again_until_that_works(
    nursery, autojump_clock, failures
):
    hint = StallingHintStore(failures)
    hint.may_save.set()
    service, _ = a_service(hint)
    nursery.start_soon(service._cleanup_loop)
    nursery.start_soon(service._save_loop)
    service.heartbeat(a_report())
    await trio.sleep(failures + 2.5)
    assert hint.saved == 1
    service.heartbeat(a_report(sequence=2, draining=True))
    await trio.sleep(2.5)
    assert hint.saved == 2


async def test_an_endpoint_that_was_removed_is_not_known_again_after_a_restart(
    nursery, autojump_clock
):
    hint = MemoryHintStore()
    service, _ = a_service(hint)
    nursery.start_soon(service._cleanup_loop)
    nursery.start_soon(service._save_loop)
    service.heartbeat(a_report())
    await trio.sleep(FORGET_AFTER_S / 2)
    assert list(EndpointRegistry(hint, 0.0).reports)
    await trio.sleep(FORGET_AFTER_S + 2 * CLEANUP_INTERVAL_S)
    assert not list(EndpointRegistry(hint, 0.0).reports)


class EntryHost(RecordingChannel):
    """The channel of an entry host that has said hello."""

    def __init__(self, service, number):
        super().__init__()
        service._channels[self] = None
        service._process_hello(self, a_hello(f"host-{number}", f"{number}"))


def sent_bytes(channel):
    return sum(len(body) for body in channel.sent)


@pytest.mark.parametrize("disconnects", [False, True])
async def test_one_host_more_or_less_is_sent_as_one(
    nursery, autojump_clock, disconnects
):
    """Else each restart sends the list of all hosts from each control host to each."""
    service, channel = a_service(MemoryHintStore())
    nursery.start_soon(service._send_updates_loop)
    hosts = [EntryHost(service, number) for number in range(200)]
    await trio.sleep(2 * UPDATE_DELAY_S)
    channel.sent.clear()
    if disconnects:
        service._note_disconnect(service._channels.pop(hosts[0]))
    else:
        EntryHost(service, 200)
    await trio.sleep(2 * UPDATE_DELAY_S)
    assert 0 < sent_bytes(channel) < 3 * len(encode(a_hello("host-200")))


async def test_ownerships_are_sent_when_they_change_only(nursery, autojump_clock):
    service, channel = a_service(MemoryHintStore())
    nursery.start_soon(service._send_state_loop)
    await trio.sleep(0.1)
    service._state.apply(1, encode_command(SetOwner(an_ownership())))
    await trio.sleep(0.1)
    assert len(channel.sent) == 1
    service._state.apply(2, encode_command(PutConfiguration(a_configuration(1))))
    await trio.sleep(0.1)
    assert len(channel.sent) == 2
    assert sent_bytes(channel) < 300


ODD_ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", "", "a\nb:1"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_an_address_that_can_not_be_used_is_neither_tried_nor_passed_on(address):
    """It ended this host, and each host that it was passed on to."""
    service, channel = a_service(MemoryHintStore())
    hello = msgspec.structs.replace(a_hello(dispatches=False), address=address)
    service._process(channel, hello)
    service._process(channel, ControlHostsUpdate((address, "127.0.0.1:7002")))
    assert service._control_addresses == {"127.0.0.1:7002"}
    assert channel.sent == []


async def test_an_odd_report_of_another_host_leaves_the_others():
    service, channel = a_service(MemoryHintStore())
    odd = a_report("odd", url="http://127.0.0.1:99999")
    service._process(channel, EndpointReports((odd, a_report())))
    assert list(service._registry.reports) == [a_report()]
