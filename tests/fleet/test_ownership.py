"""The policy by which the leader assigns dispatchers."""

import pytest

from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.ownership import (
    FAILBACK_DELAY_S,
    HOST_TIMEOUT_S,
    SETTLE_S,
    OwnershipRule,
)
from currantwell.ids import DataCentre
from tests.fleet.builders import a_sighting, an_ownership

VALDRES = DataCentre("valdres")


def decide(owners, *liveness, now_s=10.0, started_s=0.0):
    """Return the rule's decision after the same hosts were connected all the time."""
    rule = OwnershipRule([VALDRES])
    hosts = {seen.hello.host: seen for seen in liveness}
    current = {owned.group: owned for owned in owners}
    rule.next_ownerships(started_s, current, hosts)
    return rule.next_ownerships(now_s, current, hosts)


def test_an_owner_has_time_to_reconnect_after_a_partition():
    rule = OwnershipRule([VALDRES])
    owned = {EndpointGroup(VALDRES): an_ownership(1)}
    rule.next_ownerships(0.0, owned, {})
    other = a_sighting(host="valdres-2", last_seen_s=11.0)
    hosts = {other.hello.host: other}
    assert not rule.next_ownerships(10.0, owned, hosts)
    assert not rule.next_ownerships(10.0 + HOST_TIMEOUT_S / 2, owned, hosts)
    assert rule.next_ownerships(10.0 + 1.1 * HOST_TIMEOUT_S, owned, hosts)


def test_the_first_owner_is_chosen_after_all_hosts_had_time_to_connect():
    seen = a_sighting(last_seen_s=SETTLE_S)
    assert not decide([], seen, now_s=0.9 * SETTLE_S)
    assert decide([], seen, now_s=SETTLE_S) == [an_ownership(1)]


def test_a_connected_dispatcher_is_kept():
    others = a_sighting(host="valdres-0")
    assert not decide([an_ownership(1)], a_sighting(), others)


def test_a_lost_dispatcher_is_replaced_by_a_host_of_its_data_centre():
    lost = a_sighting(last_seen_s=10.0 - 2 * HOST_TIMEOUT_S)
    near = a_sighting(host="valdres-2")
    far = a_sighting(host="hallingdal-1", data_centre="hallingdal")
    assert decide([an_ownership(1)], lost, near, far) == [an_ownership(2, "valdres-2")]


def test_a_restarted_dispatcher_is_replaced_at_once_by_its_next_process():
    again = a_sighting(incarnation="b", last_seen_s=0.1)
    other = a_sighting(host="valdres-0", last_seen_s=0.1)
    assert decide([an_ownership(1)], again, other, now_s=0.1) == [
        an_ownership(2, incarnation="b")
    ]


def test_a_disconnected_data_centre_keeps_its_dispatchers():
    far = a_sighting(host="hallingdal-1", data_centre="hallingdal")
    assert not decide([an_ownership(1)], far)


def test_another_data_centre_takes_over_if_only_a_control_host_is_connected():
    far = a_sighting(host="hallingdal-1", data_centre="hallingdal")
    control = a_sighting(host="10.1.0.1", dispatches=False)
    takeover = an_ownership(2, "hallingdal-1")
    assert decide([an_ownership(1)], far, control) == [takeover]


@pytest.mark.parametrize("up_s", [0.5 * FAILBACK_DELAY_S, 2 * FAILBACK_DELAY_S])
def test_a_host_that_is_back_long_enough_takes_over_from_another_data_centre(up_s):
    far = a_sighting(host="hallingdal-1", data_centre="hallingdal")
    back = a_sighting(incarnation="b", first_seen_s=10.0 - up_s)
    changes = decide([an_ownership(2, "hallingdal-1")], far, back)
    settled = up_s >= FAILBACK_DELAY_S
    assert changes == ([an_ownership(3, incarnation="b")] if settled else [])


def test_a_draining_dispatcher_is_replaced():
    leaving, near = a_sighting(draining=True), a_sighting(host="valdres-2")
    assert decide([an_ownership(1)], leaving, near) == [an_ownership(2, "valdres-2")]


def test_a_large_data_centre_has_several_dispatchers_on_its_largest_hosts():
    hosts = [
        a_sighting(host=f"valdres-{number}", cores=number / 4) for number in range(12)
    ]
    changes = decide([], *hosts)
    assert [change.group for change in changes] == [
        EndpointGroup(VALDRES, index, 3) for index in range(3)
    ]
    assert {change.host for change in changes} == {
        "valdres-11",
        "valdres-10",
        "valdres-9",
    }


def test_the_number_of_groups_is_fixed_by_the_first_owner():
    hosts = [a_sighting(host=f"valdres-{number}") for number in range(1, 10)]
    assert not decide([an_ownership(1)], *hosts)
