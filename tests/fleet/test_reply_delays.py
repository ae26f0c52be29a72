"""Delays of replies: time on the way, by one clock, and not for long."""

import trio

from currantwell.fleet.reply_delays import MAX_REPLY_S, WINDOW_S, ReplyDelays


async def test_the_work_of_the_other_host_is_no_delay(autojump_clock):
    delays = ReplyDelays()
    delays.note_request(1)
    await trio.sleep(0.75)
    delays.note_reply(1, 0.5)
    assert delays.delay_s() == 0.25


async def test_one_quick_reply_shows_that_the_way_is_free(autojump_clock):
    delays = ReplyDelays()
    delays.note_request(1)
    delays.note_request(2)
    await trio.sleep(0.5)
    delays.note_reply(1, 0.0)
    delays.note_reply(2, 0.5)
    assert delays.delay_s() == 0.0


async def test_a_delay_does_not_outlast_its_reply_for_long(autojump_clock):
    """Else a host that is not asked again for its delay is never asked again."""
    delays = ReplyDelays()
    delays.note_request(1)
    await trio.sleep(2.0)
    delays.note_reply(1, 0.0)
    assert delays.delay_s() == 2.0
    await trio.sleep(1.1 * WINDOW_S)
    assert delays.delay_s() == 0.0


async def test_requests_without_a_reply_are_not_kept(autojump_clock):
    delays = ReplyDelays()
    for request in range(100):
        delays.note_request(request)
        await trio.sleep(MAX_REPLY_S / 10)
    assert len(delays._sent_s) <= 11


def test_a_reply_to_an_unknown_request_counts_for_nothing():
    delays = ReplyDelays()
    delays.note_reply(7, 0.0)
    assert not delays._delays
