"""Control hosts and entry hosts in one process, with links that can be silenced.

A link delivers messages in order after a delay. One that is silent still seems
established to both of its ends, like a connection whose packets are dropped.
"""

import dataclasses
from functools import partial

import trio

from currantwell.agreement import LocalAgreement
from currantwell.fleet.channel import _decoder, encode
from currantwell.fleet.control_service import ControlService
from currantwell.fleet.endpoint_registry import MemoryHintStore
from currantwell.fleet.fleet_state import FleetState
from currantwell.fleet.fleet_view import FleetView
from currantwell.fleet.messages import EndpointReports
from currantwell.fleet.ownership import OwnershipRule
from tests.fleet.builders import a_hello

LINK_DELAY_S = 0.02


class Link:
    """One direction of a channel: the end that sends, and what the other end does."""

    def __init__(self, network, deliver):
        self.silent = False
        self.sent_bytes = 0
        self.sent_messages = 0
        self.reverse = None
        self._network = network
        self._deliver = deliver

    def send(self, message):
        self.send_encoded(encode(message))

    def send_encoded(self, body):
        self.sent_bytes += len(body)
        self.sent_messages += 1
        if not self.silent:
            self._network.start_soon(self._carry, body)

    async def _carry(self, body):
        await trio.sleep(LINK_DELAY_S)
        if not self.silent:
            self._deliver(self.reverse, _decoder.decode(body))


@dataclasses.dataclass
class EntryHost:
    """A view, and the links of the control hosts to it by the number of the host."""

    view: FleetView
    links: dict[int, Link]

    def draining(self, endpoint="e1"):
        record = self.view.endpoints.get(endpoint)
        return record is not None and record.report.announcement.draining


class ReportNetwork:
    """Control hosts that are connected to each other, and entry hosts."""

    def __init__(self, nursery, control_hosts):
        self._nursery = nursery
        self.services = [_a_service(number) for number in range(control_hosts)]
        # By the numbers of the control hosts that send and receive.
        self.links = {}
        for near in range(control_hosts):
            for far in range(near):
                self.connect(near, far)
        for service in self.services:
            nursery.start_soon(service._send_updates_loop)

    def connect(self, near, far):
        """Connect two control hosts, which send each other what they have."""
        ends = [self.services[near], self.services[far]]
        there = Link(self._nursery, partial(_deliver, ends[1]))
        back = Link(self._nursery, partial(_deliver, ends[0]))
        there.reverse, back.reverse = back, there
        self.links[near, far], self.links[far, near] = there, back
        ends[0]._channels[there] = ends[1]._hello
        ends[1]._channels[back] = ends[0]._hello
        for service, link in zip(ends, (there, back), strict=True):
            link.send(EndpointReports(tuple(service._registry.reports)))

    def add_entry_host(self, *numbers):
        """Connect an entry host to control hosts, to all of them by default."""
        hello = a_hello("entry-1")
        host = EntryHost(FleetView(hello, []), {})
        for number in numbers or range(len(self.services)):
            self.connect_entry_host(host, number)
        return host

    def connect_entry_host(self, host, number):
        """Connect an entry host to a control host, which sends what it has."""
        link = Link(self._nursery, host.view._process)
        host.links[number] = link
        service = self.services[number]
        service._channels[link] = host.view._hello
        link.send(EndpointReports(tuple(service._registry.reports)))

    def freeze(self, number):
        """Lose all that a control host has not delivered and sends from now on."""
        for link in self.services[number]._channels:
            link.silent = True

    def cut(self, number):
        """Cut a control host off from the others, in both directions."""
        for ends, link in self.links.items():
            if number in ends:
                link.silent = True

    @property
    def sent_bytes(self):
        """Bytes that each control host has sent."""
        return [
            sum(link.sent_bytes for link in service._channels)
            for service in self.services
        ]


def _deliver(service, link, message):
    service._process(link, message)


def _a_service(number):
    hello = a_hello(f"control-{number}", dispatches=False)
    state = FleetState()
    agreement = LocalAgreement(hello.host, state)
    rule = OwnershipRule(("valdres",))
    return ControlService(hello, [], state, agreement, rule, MemoryHintStore())
