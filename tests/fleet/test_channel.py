"""Channels: whole messages, and an end that is noticed."""

import trio
import trio.testing

from currantwell.fleet.channel import PING_S, SILENCE_S, Channel
from currantwell.fleet.messages import CancelJob, ConfigurationTold
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
    sent = [ConfigurationTold(a_configuration(1)), CancelJob(1), CancelJob(2)]
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
    await trio.sleep(4 * SILENCE_S)
    assert not far.closed
    assert not heard
    nursery.cancel_scope.cancel()


async def test_a_silent_channel_is_closed(autojump_clock, nursery):
    _, far = map(Channel, trio.testing.memory_stream_pair())
    began_s = trio.current_time()
    nursery.start_soon(far.run)
    await listen(far, [])
    assert far.closed
    assert trio.current_time() - began_s <= SILENCE_S + PING_S


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
