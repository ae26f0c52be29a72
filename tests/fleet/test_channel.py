"""Channels: whole messages, and an end that is noticed."""

import trio
import trio.testing

from currantwell.fleet.channel import (
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    Channel,
    encode,
)
from currantwell.fleet.messages import CancelJob, ConfigurationUpdate, Ping
from tests.fleet.builders import a_configuration


async def listen(channel, heard):
    async for message in channel.messages():
        heard.append(message)


async def test_messages_arrive_whole_and_in_order(nursery):
    near, far = map(Channel, trio.testing.memory_stream_pair())
    heard = []
    nursery.start_soon(near.run)
    nursery.start_soon(far.run)
    nursery.start_soon(listen, far, heard)
    sent = [ConfigurationUpdate(a_configuration(1)), CancelJob(1), CancelJob(2)]
    for message in sent:
        near.send(message)
    await trio.testing.wait_all_tasks_blocked(0.01)
    assert heard == sent
    nursery.cancel_scope.cancel()


async def test_a_channel_that_only_pings_stays_open(autojump_clock, nursery):
    near, far = map(Channel, trio.testing.memory_stream_pair())
    heard = []
    nursery.start_soon(near.run)
    nursery.start_soon(far.run)
    nursery.start_soon(listen, far, heard)
    await trio.sleep(4 * SILENCE_TIMEOUT_S)
    assert not far.closed
    assert not heard
    nursery.cancel_scope.cancel()


async def test_a_silent_channel_is_closed(autojump_clock, nursery):
    _, far = map(Channel, trio.testing.memory_stream_pair())
    began_s = trio.current_time()
    nursery.start_soon(far.run)
    await listen(far, [])
    assert far.closed
    assert trio.current_time() - began_s <= SILENCE_TIMEOUT_S + PING_INTERVAL_S


async def test_an_end_that_promised_little_may_stay_silent_longer(
    autojump_clock, nursery
):
    near, far = trio.testing.memory_stream_pair()
    rare, other = Channel(near, ping_s=10 * PING_INTERVAL_S), Channel(far)
    nursery.start_soon(rare.run)
    nursery.start_soon(other.run)
    nursery.start_soon(listen, other, [])
    await trio.sleep(30 * PING_INTERVAL_S)
    assert not other.closed


async def test_an_end_that_promised_more_is_soon_missed(autojump_clock, nursery):
    near, far = trio.testing.memory_stream_pair()
    other = Channel(far)
    nursery.start_soon(other.run)
    for next_s in (10 * PING_INTERVAL_S, PING_INTERVAL_S):
        body = encode(Ping(next_s))
        await near.send_all(len(body).to_bytes(4, "big") + body)
    began_s = trio.current_time()
    await listen(other, [])
    assert trio.current_time() - began_s <= SILENCE_TIMEOUT_S + PING_INTERVAL_S


async def test_a_hurried_end_says_so_at_once(autojump_clock, nursery):
    near, far = map(Channel, trio.testing.memory_stream_pair())
    near.ping_every(10 * PING_INTERVAL_S)
    nursery.start_soon(near.run)
    nursery.start_soon(far.run)
    nursery.start_soon(listen, far, [])
    await trio.sleep(PING_INTERVAL_S)
    near.ping_every(PING_INTERVAL_S)
    await trio.testing.wait_all_tasks_blocked(0.01)
    assert far._silence_s == SILENCE_TIMEOUT_S


async def test_what_is_no_message_closes_the_channel():
    near, far = trio.testing.memory_stream_pair()
    channel = Channel(far)
    await near.send_all(b"\x00\x00\x00\x02\xc1\xc1")
    await listen(channel, [])
    assert channel.closed


async def test_a_frame_that_is_too_large_closes_the_channel():
    near, far = trio.testing.memory_stream_pair()
    channel = Channel(far)
    await near.send_all(b"\xff\xff\xff\xff")
    await listen(channel, [])
    assert channel.closed
