"""Telling of room: every change to the near, what matters to the far."""

import msgspec
import pytest
import trio

from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.messages import DispatcherTold
from currantwell.fleet.room_news import RoomNews, repeat_interval_s
from currantwell.ids import DataCentre, Epoch

GROUP = EndpointGroup(DataCentre("valdres"))
SAID = DispatcherTold(GROUP, Epoch(1), True, free=10, slots=20)
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
        news = RoomNews(exact)
        assert news.is_news(SAID, EVERY_S, REPEAT_S)
        await trio.sleep(EVERY_S)
        assert news.is_news(changed(**changes), EVERY_S, REPEAT_S) is told


async def test_nothing_is_told_too_often_and_everything_again(autojump_clock):
    news = RoomNews(exact=True)
    assert news.is_news(SAID, EVERY_S, REPEAT_S)
    assert not news.is_news(changed(free=0), EVERY_S, REPEAT_S)
    await trio.sleep(EVERY_S)
    assert news.is_news(changed(free=0), EVERY_S, REPEAT_S)
    await trio.sleep(REPEAT_S)
    assert news.is_news(changed(free=0), EVERY_S, REPEAT_S)


def test_repeats_come_well_before_what_was_told_counts_as_old():
    assert repeat_interval_s(2) < repeat_interval_s(20) <= repeat_interval_s(700) < 0.5
