"""An acknowledged drain reaches every entry host in time, over more than one path."""

import pytest
import trio

from cooperative.operator_api import OperatorApi
from currantwell.fleet.endpoint_registry import FORGET_AFTER_S
from tests.fleet.builders import a_report
from tests.fleet.report_network import LINK_DELAY_S, ReportNetwork

# Callers allow 2.5 s. The rest is for the dispatcher and for starts on their way.
DELIVERY_BOUND_S = 1.5
CONTROL_HOSTS = 8
HEARTBEAT = (
    b'{"service":"crew-board","address":"127.0.0.1:9000","zone":"valdres",'
    b'"version":"v1","slots":8,"state":"%s","cold_remaining_ms":0,'
    b'"capacity":{"cpu_millicores":16000,"memory_request_mb":32768,"gpus":0},'
    b'"labels":[],"sequence":%d,"born":1000}'
)


@pytest.fixture
def network(nursery):
    return ReportNetwork(nursery, CONTROL_HOSTS)


async def post_heartbeat(service, sequence, state=b"draining"):
    """Send a heartbeat to a control host; return the status of its answer."""
    statuses = []

    async def receive():
        body = HEARTBEAT % (state, sequence)
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {"type": "http", "method": "POST", "path": "/-/Instances.Heartbeat/e1"}
    await OperatorApi(service)({**scope, "headers": []}, receive, send)
    return statuses[0]


async def test_a_drain_reaches_an_entry_host_past_a_silent_channel(
    network, autojump_clock
):
    entry = network.add_entry_host()
    assert await post_heartbeat(network.services[0], 1, b"ready") == 200
    await trio.sleep(1.0)
    assert "e1" in entry.view.endpoints
    entry.links[0].silent = True
    assert await post_heartbeat(network.services[0], 2) == 200
    await trio.sleep(DELIVERY_BOUND_S)
    assert entry.draining()


async def test_a_drain_outlasts_the_control_host_that_acknowledged_it(
    network, autojump_clock
):
    entry = network.add_entry_host()
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    assert await post_heartbeat(network.services[0], 2) == 200
    network.freeze(0)
    await trio.sleep(DELIVERY_BOUND_S)
    assert entry.draining()


async def test_a_drain_reaches_entry_hosts_of_a_control_host_that_was_cut_off(
    network, autojump_clock
):
    """Its entry hosts may not have reached the other control hosts again yet."""
    await post_heartbeat(network.services[0], 1, b"ready")
    entry = network.add_entry_host(7)
    await trio.sleep(1.0)
    network.cut(7)
    await post_heartbeat(network.services[0], 2)
    await trio.sleep(1.0)
    assert not entry.draining()
    network.connect(7, 1)
    await trio.sleep(DELIVERY_BOUND_S)
    assert entry.draining()


async def test_an_endpoint_that_an_entry_host_forgot_comes_back_as_last_reported(
    network, autojump_clock
):
    """The control host that it reconnects to may be behind."""
    await post_heartbeat(network.services[0], 1, b"ready")
    entry = network.add_entry_host(0)
    await trio.sleep(1.0)
    network.cut(7)
    await post_heartbeat(network.services[0], 2)
    await trio.sleep(1.0)
    assert entry.draining()
    entry.view.remove_endpoint(a_report().announcement.endpoint)
    network.connect_entry_host(entry, 7)
    await trio.sleep(2 * LINK_DELAY_S)
    assert entry.draining()


async def test_a_forgotten_endpoint_is_not_passed_on_as_it_was_before(
    network, autojump_clock
):
    """A control host that forgot it may be the only one that a new host reaches."""
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    network.cut(7)
    await post_heartbeat(network.services[0], 2)
    await trio.sleep(FORGET_AFTER_S + 1.0)
    for service in network.services[:7]:
        service._registry.remove_unresponsive(trio.current_time())
    network.connect(7, 1)
    await trio.sleep(DELIVERY_BOUND_S)
    entry = network.add_entry_host(1)
    await trio.sleep(DELIVERY_BOUND_S)
    assert entry.draining()


async def test_an_acknowledged_drain_costs_few_bytes(network, autojump_clock):
    """A link at rest carries 8 KB a second for control; drains are rare there."""
    entry = network.add_entry_host()
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    before = {number: link.sent_messages for number, link in entry.links.items()}
    bytes_before = sum(link.sent_bytes for link in entry.links.values())
    for sequence in range(2, 6):
        await post_heartbeat(network.services[0], sequence)
        await trio.sleep(1.5)
    after = {number: link.sent_messages for number, link in entry.links.items()}
    # Each control host sends it once, and nothing for heartbeats that repeat it.
    assert {
        number: after[number] - before[number] for number in after
    } == dict.fromkeys(range(CONTROL_HOSTS), 1)
    received_bytes = sum(link.sent_bytes for link in entry.links.values())
    assert received_bytes - bytes_before <= CONTROL_HOSTS * 400


async def test_a_drain_that_no_other_control_host_confirms_is_not_acknowledged(
    network, autojump_clock
):
    """Its endpoint asks another control host, and this one again once it is back."""
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    network.cut(0)
    asked_s = trio.current_time()
    assert await post_heartbeat(network.services[0], 2) == 503
    assert trio.current_time() - asked_s < 1.0
    assert await post_heartbeat(network.services[1], 3) == 200
    network.connect(0, 2)
    await trio.sleep(2 * LINK_DELAY_S)
    assert await post_heartbeat(network.services[0], 4) == 200


async def test_a_drain_is_acknowledged_by_the_only_control_host(nursery):
    network = ReportNetwork(nursery, 1)
    assert await post_heartbeat(network.services[0], 1) == 200


async def test_a_drain_is_confirmed_though_another_host_has_a_later_report(
    network, autojump_clock
):
    """Heartbeats of an endpoint that changes its control host may overtake."""
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    for link in network.links.values():
        link.silent = True
    network.services[1].heartbeat(a_report(sequence=9, draining=True))
    network.connect(0, 1)
    network.services[0].heartbeat(a_report(sequence=8, draining=True))
    assert await post_heartbeat(network.services[0], 8) == 200


async def test_a_drain_whose_confirmations_were_lost_is_confirmed_again(
    network, autojump_clock
):
    """To the other control hosts the next heartbeat is no news."""
    await post_heartbeat(network.services[0], 1, b"ready")
    await trio.sleep(1.0)
    inbound = [link for (_, far), link in network.links.items() if far == 0]
    for link in inbound:
        link.silent = True
    assert await post_heartbeat(network.services[0], 2) == 503
    for link in inbound:
        link.silent = False
    assert await post_heartbeat(network.services[0], 3) == 200
