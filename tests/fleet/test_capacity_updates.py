"""Telling of room: every change to the near, what matters to the far."""

import msgspec
import pytest
import trio

from currantwell.fleet.capacity_updates import (
    CapacityUpdateFilter,
    max_update_interval_s,
)
from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.messages import CapacityReport
from currantwell.ids import DataCentre, Epoch

GROUP = EndpointGroup(DataCentre("valdres"))
SAID = CapacityReport(GROUP, Epoch(1), True, free=10, slots=20)
EVERY_S, REPEAT_S = 0.1, 0.3


def changed(**changes):
    return msgspec.structs.replace(SAID, **changes)


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
async def test_the_far_hear_of_what_makes_a_difference(
    autojump_clock, changes, near, far
):
    for exact, told in ((True, near), (False, far)):
        news = CapacityUpdateFilter(exact)
        assert news.should_send(SAID, EVERY_S, REPEAT_S)
        await trio.sleep(EVERY_S)
        assert news.should_send(changed(**changes), EVERY_S, REPEAT_S) is told


async def test_nothing_is_told_too_often_and_everything_again(autojump_clock):
    news = CapacityUpdateFilter(exact=True)
    assert news.should_send(SAID, EVERY_S, REPEAT_S)
    assert not news.should_send(changed(free=0), EVERY_S, REPEAT_S)
    await trio.sleep(EVERY_S)
    assert news.should_send(changed(free=0), EVERY_S, REPEAT_S)
    await trio.sleep(REPEAT_S)
    assert news.should_send(changed(free=0), EVERY_S, REPEAT_S)


def test_repeats_come_well_before_what_was_told_counts_as_old():
    assert (
        max_update_interval_s(2)
        < max_update_interval_s(20)
        <= max_update_interval_s(700)
        < 0.5
    )
