"""Capacity updates: all changes to near hosts, significant ones to far hosts."""

import msgspec
import pytest
import trio

from currantwell.fleet.capacity_updates import (
    CapacityUpdateFilter,
    max_update_interval_s,
    min_update_interval_s,
)
from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.messages import CapacityReport
from currantwell.ids import DataCentre, Epoch

GROUP = EndpointGroup(DataCentre("valdres"))
REPORT = CapacityReport(GROUP, Epoch(1), True, free=10, slots=20)
MIN_INTERVAL_S, MAX_INTERVAL_S = 0.1, 0.3


def changed(**changes):
    return msgspec.structs.replace(REPORT, **changes)


@pytest.mark.parametrize(
    ("changes", "near", "far"),
    [
        ({"free": 9}, True, False),
        ({"free": 7}, True, True),
        ({"free": 0}, True, True),
        ({"serving": False}, True, True),
        ({"epoch": Epoch(2)}, True, True),
        ({"waiting_s": 0.05}, True, False),
        ({"waiting_s": 4.0}, True, True),
        ({}, False, False),
    ],
    ids=str,
)
async def test_far_hosts_get_significant_changes_only(
    autojump_clock, changes, near, far
):
    for exact, expected in ((True, near), (False, far)):
        update_filter = CapacityUpdateFilter(exact)
        assert update_filter.should_send(REPORT, MIN_INTERVAL_S, MAX_INTERVAL_S)
        await trio.sleep(MIN_INTERVAL_S)
        assert (
            update_filter.should_send(
                changed(**changes), MIN_INTERVAL_S, MAX_INTERVAL_S
            )
            is expected
        )


async def test_reports_are_limited_in_rate_and_repeated(autojump_clock):
    update_filter = CapacityUpdateFilter(exact=True)
    assert update_filter.should_send(REPORT, MIN_INTERVAL_S, MAX_INTERVAL_S)
    assert not update_filter.should_send(
        changed(free=0), MIN_INTERVAL_S, MAX_INTERVAL_S
    )
    await trio.sleep(MIN_INTERVAL_S)
    assert update_filter.should_send(changed(free=0), MIN_INTERVAL_S, MAX_INTERVAL_S)
    await trio.sleep(MAX_INTERVAL_S)
    assert update_filter.should_send(changed(free=0), MIN_INTERVAL_S, MAX_INTERVAL_S)


def test_reports_are_repeated_well_before_they_expire():
    assert (
        max_update_interval_s(2)
        < max_update_interval_s(20)
        <= max_update_interval_s(700)
        < 0.5
    )


@pytest.mark.parametrize("hosts", [1, 34, 300, 700])
def test_a_report_that_keeps_changing_does_not_expire(hosts):
    assert min_update_interval_s(hosts) <= max_update_interval_s(hosts)
