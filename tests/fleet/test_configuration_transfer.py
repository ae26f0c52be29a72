"""Transfers of configurations: small, in parts, and from whichever host answers."""

import dataclasses

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantwell.fleet.configuration_transfer import (
    FIRST_TIMEOUT_S,
    GATHER_S,
    PART_BYTES,
    ConfigurationFetch,
    ConfigurationHistory,
    apply_changes,
    changes_between,
)
from currantwell.fleet.messages import (
    ConfigurationAnnouncement,
    ConfigurationPart,
    ConfigurationRequest,
)
from currantwell.fleet.routes import Configuration, Service
from tests.fleet.builders import BOARD, a_configuration, a_route, many_routes

NEAR, FAR, OTHER = "near", "far", "other"


def as_set(configuration):
    """Return what counts of a configuration: all but the order and the document."""
    return (
        configuration.version,
        frozenset(configuration.routes),
        configuration.services,
        configuration.max_body_bytes,
    )


@dataclasses.dataclass
class Fleet:
    """An entry host and control hosts that answer unless they are silent."""

    histories: dict
    fetch: ConfigurationFetch = dataclasses.field(
        default_factory=lambda: ConfigurationFetch("valdres")
    )
    now_s: float = 0.0
    silent: set = dataclasses.field(default_factory=set)
    requests: list = dataclasses.field(default_factory=list)
    received_bytes: int = 0

    def put(self, configuration, *peers):
        for peer in peers or self.histories:
            self.histories[peer].record(configuration)
            zone = "hallingdal" if peer == FAR else "valdres"
            self.fetch.add_announcement(peer, self.histories[peer].announcement(zone))

    def step(self):
        """Send one request and receive its reply; return whether there was one."""
        due_s = self.fetch.due_s(self.now_s)
        if due_s is None:
            return False
        self.now_s = max(self.now_s, due_s)
        request = self.fetch.next_request(self.now_s)
        while request is not None:
            peer, message = request
            self.requests.append((peer, message))
            if peer in self.silent:
                break
            part = self.histories[peer].part(message)
            self.received_bytes += len(part.data)
            message = self.fetch.receive(peer, part, self.now_s)
            request = None if message is None else (peer, message)
        return True

    def settle(self, steps=20):
        for _ in range(steps):
            if not self.step():
                return
        raise AssertionError("the host still asks")


def a_fleet(*peers):
    return Fleet({peer: ConfigurationHistory() for peer in peers or (NEAR,)})


routes = st.lists(
    st.builds(
        a_route,
        host=st.sampled_from(("a.example", "b.example")),
        path_prefix=st.sampled_from(("/", "/a/", "/b/", "/a/b/")),
        timeout_s=st.sampled_from((1.0, 2.0)),
    ),
    unique_by=lambda route: (route.host, route.path_prefix),
)
services = st.lists(st.sampled_from((Service(BOARD), Service("b"))), unique=True)


def configurations(version):
    return st.builds(
        Configuration,
        st.just(version),
        routes.map(tuple),
        services.map(tuple),
        st.integers(1, 3),
    )


@given(configurations(1), configurations(2))
def test_changes_turn_one_configuration_into_the_next(old, new):
    assert as_set(apply_changes(old, changes_between(old, new))) == as_set(new)


def test_changes_of_another_version_are_not_applied():
    changes = changes_between(a_configuration(1), a_configuration(2))
    with pytest.raises(ValueError, match="changes of version 1 against 3"):
        apply_changes(a_configuration(3), changes)


def test_one_changed_route_of_thousands_takes_few_bytes():
    """Else each change fills the links of hosts, and all other messages wait."""
    fleet = a_fleet()
    first = a_configuration(1, *many_routes(4_000))
    fleet.put(first)
    fleet.settle()
    assert as_set(fleet.fetch.configuration) == as_set(first)
    fleet.received_bytes = 0
    second = a_configuration(2, *first.routes[1:], a_route(timeout_s=9.0))
    fleet.put(second)
    fleet.settle()
    assert as_set(fleet.fetch.configuration) == as_set(second)
    assert fleet.received_bytes < 1_000


def test_control_hosts_that_announce_the_same_version_are_not_all_asked():
    fleet = a_fleet(NEAR, FAR, OTHER)
    fleet.put(a_configuration(1))
    fleet.settle()
    assert len(fleet.requests) == 1


def test_a_control_host_of_the_same_data_centre_is_preferred():
    for _ in range(20):
        fleet = a_fleet(NEAR, FAR)
        fleet.put(a_configuration(1), FAR)
        fleet.now_s += GATHER_S / 2
        fleet.put(a_configuration(1), NEAR)
        fleet.settle()
        assert [peer for peer, _ in fleet.requests] == [NEAR]


def test_a_large_configuration_arrives_in_parts():
    fleet = a_fleet()
    configuration = a_configuration(1, *many_routes(4_000))
    fleet.put(configuration)
    fleet.settle()
    assert len(fleet.requests) > 1
    assert fleet.received_bytes / len(fleet.requests) <= PART_BYTES
    assert as_set(fleet.fetch.configuration) == as_set(configuration)


def test_a_silent_control_host_is_replaced():
    fleet = a_fleet(NEAR, FAR)
    fleet.silent.add(NEAR)
    fleet.put(a_configuration(1))
    fleet.settle()
    assert fleet.fetch.configuration.version == 1
    assert fleet.now_s <= GATHER_S + FIRST_TIMEOUT_S + GATHER_S


def test_a_lone_control_host_is_asked_again():
    fleet = a_fleet()
    fleet.silent.add(NEAR)
    fleet.put(a_configuration(1))
    for _ in range(3):
        fleet.step()
    fleet.silent.clear()
    fleet.settle()
    assert fleet.fetch.configuration.version == 1


def test_a_closed_channel_ends_its_transfer_at_once():
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(1))
    fleet.silent.add(NEAR)
    fleet.step()
    fleet.fetch.remove_peer(NEAR)
    fleet.settle()
    assert fleet.fetch.configuration.version == 1
    assert fleet.now_s < FIRST_TIMEOUT_S


def test_a_version_that_is_replaced_during_its_transfer_arrives_first():
    """Else a host that is slower than the changes never has any of them."""
    fleet = a_fleet()
    fleet.put(a_configuration(1, *many_routes(4_000)))
    fleet.now_s = fleet.fetch.due_s(0.0)
    peer, message = fleet.fetch.next_request(fleet.now_s)
    versions = []
    for version in range(2, 12):
        message = fleet.fetch.receive(
            peer, fleet.histories[peer].part(message), fleet.now_s
        )
        if message is None:
            break
        fleet.put(a_configuration(version, *many_routes(4_000)))
        versions.append(version)
    assert versions
    assert fleet.fetch.configuration.version == 1
    fleet.settle()
    assert fleet.fetch.configuration.version == versions[-1]


def test_a_host_far_behind_receives_all_routes():
    fleet = a_fleet()
    fleet.put(a_configuration(1))
    fleet.settle()
    for version in range(2, 30):
        fleet.histories[NEAR].record(a_configuration(version, a_route(host="b")))
    fleet.put(a_configuration(30))
    fleet.settle()
    assert as_set(fleet.fetch.configuration) == as_set(a_configuration(30))


@pytest.mark.parametrize(
    "part",
    [
        ConfigurationPart(0, 2, 0, 4, b"nope"),
        ConfigurationPart(0, 2, 0, 0, b""),
        ConfigurationPart(0, 2, 0, 1 << 40, b"x"),
        ConfigurationPart(0, 2, 0, 3, b"too long"),
    ],
)
def test_a_transfer_that_cannot_be_used_is_fetched_elsewhere(part):
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(1))
    fleet.now_s = fleet.fetch.due_s(0.0)
    peer, _ = fleet.fetch.next_request(fleet.now_s)
    assert fleet.fetch.receive(peer, part, fleet.now_s) is None
    assert fleet.fetch.configuration.version == 0
    fleet.settle()
    assert fleet.fetch.configuration.version == 1
    assert fleet.requests[-1][0] != peer


def test_parts_of_other_hosts_and_of_earlier_requests_are_ignored():
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(1, *many_routes(12_000)))
    fleet.now_s = fleet.fetch.due_s(0.0)
    peer, message = fleet.fetch.next_request(fleet.now_s)
    other = FAR if peer == NEAR else NEAR
    first = fleet.histories[peer].part(message)
    assert fleet.fetch.receive(other, first, fleet.now_s) is None
    second = fleet.fetch.receive(peer, first, fleet.now_s)
    later = fleet.histories[peer].part(second)
    stale = msgspec.structs.replace(later, offset=later.offset + 1)
    assert fleet.fetch.receive(peer, stale, fleet.now_s) is None
    third = fleet.fetch.receive(peer, later, fleet.now_s)
    assert third.offset == 2 * PART_BYTES


@pytest.mark.parametrize("offset", [-1, 0, 1, 1 << 70])
def test_a_request_that_names_no_kept_transfer_begins_a_new_one(offset):
    history = ConfigurationHistory()
    history.record(a_configuration(3))
    part = history.part(ConfigurationRequest(-5, 7, 9, offset))
    assert (part.base, part.version, part.offset) == (0, 3, 0)


def test_an_older_configuration_is_not_recorded():
    history = ConfigurationHistory()
    assert history.record(a_configuration(3))
    assert not history.record(a_configuration(2))
    assert history.announcement("valdres").version == 3


def test_an_announcement_of_an_older_version_requests_nothing():
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(2))
    fleet.settle()
    behind = ConfigurationHistory()
    behind.record(a_configuration(1))
    fleet.fetch.add_announcement(FAR, behind.announcement("valdres"))
    assert fleet.fetch.due_s(fleet.now_s) is None


def test_a_reply_that_is_later_than_its_timeout_is_used():
    """Else a link that is busy with other traffic never brings a configuration."""
    fleet = a_fleet(*range(7))
    fleet.put(a_configuration(1, *many_routes(4_000)))
    replies = []
    while fleet.now_s < 10.0 and not fleet.fetch.configuration.version:
        request = fleet.fetch.next_request(fleet.now_s)
        while request is not None or (replies and replies[0][0] <= fleet.now_s):
            if request is None:
                _, peer, part = replies.pop(0)
                message = fleet.fetch.receive(peer, part, fleet.now_s)
                request = None if message is None else (peer, message)
                continue
            peer, message = request
            part = fleet.histories[peer].part(message)
            replies.append((fleet.now_s + 1.7, peer, part))
            request = None
        fleet.now_s += 0.01
    assert fleet.fetch.configuration.version == 1
    assert fleet.now_s < 0.1 + 2 * 1.7


def test_a_late_first_part_of_an_earlier_request_does_not_end_the_next_transfer():
    fleet = a_fleet()
    fetch, history = fleet.fetch, fleet.histories[NEAR]
    fleet.put(a_configuration(1))
    fleet.settle()
    fleet.put(a_configuration(2, a_route(path_prefix="/b/")))
    fetch.due_s(1.0)
    _, first = fetch.next_request(1.1)
    _, second = fetch.next_request(1.6)
    early, late = history.part(first), history.part(second)
    fetch.receive(NEAR, early, 1.65)
    assert fetch.configuration.version == 2
    fleet.put(a_configuration(3, a_route(path_prefix="/c/")))
    fetch.due_s(1.7)
    _, third = fetch.next_request(1.73)
    fetch.receive(NEAR, late, 1.74)
    fetch.receive(NEAR, history.part(third), 1.75)
    assert fetch.configuration.version == 3


def test_a_host_that_announces_more_than_it_serves_is_not_asked_without_pause():
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(5, *many_routes(1_400)))
    for peer, zone in ((NEAR, "valdres"), (FAR, "hallingdal")):
        fleet.fetch.add_announcement(peer, ConfigurationAnnouncement(9, zone))
    fleet.step()
    fleet.histories[FAR].record(a_configuration(9))
    fleet.settle(5)
    assert fleet.fetch.configuration.version == 9
    assert len(fleet.requests) < 10


def test_a_transfer_goes_on_at_another_host():
    fleet = a_fleet(NEAR, FAR)
    fleet.put(a_configuration(1, *many_routes(4_000)))
    fleet.now_s = fleet.fetch.due_s(0.0)
    peer, message = fleet.fetch.next_request(fleet.now_s)
    part = fleet.histories[peer].part(message)
    assert fleet.fetch.receive(peer, part, fleet.now_s) is not None
    fleet.silent.add(peer)
    fleet.settle()
    assert fleet.fetch.configuration.version == 1
    other, request = fleet.requests[0]
    assert other != peer
    assert request.offset == PART_BYTES
