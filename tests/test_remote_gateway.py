"""Requests to owners over a network that loses replies, across changes of view."""

import pytest
import trio

from currantwell.answers import Answer, JobState, Refusal
from currantwell.codes import ResultCode
from currantwell.errors import Deposed, PeerUnreachable
from currantwell.ids import Epoch, HostId
from currantwell.owner_directory import OwnerDirectory
from currantwell.remote_gateway import RETRY_PAUSE_S
from currantwell.views import View, ViewTable
from tests.builders import DATA_CENTRE, a_job_id, a_submission

A, B, C = HostId("a"), HostId("b"), HostId("c")
JOB = a_submission()
OVERLOADED = Refusal(ResultCode.NOT_RUN_OVERLOADED, "full")
DONE = Answer(JOB.key, JobState.COMPLETE, ResultCode.COMPLETE, results=("v",))
RUNNING = Answer(JOB.key, JobState.RUNNING, ResultCode.RUNNING)


class Owner:
    """A dispatcher stub that returns or raises what the test sets."""

    def __init__(self):
        self.reply = RUNNING
        self.ended = trio.Event()

    async def submit(self, submission):
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply

    async def wait(self, job, timeout_s):
        return self.reply

    def has_ended(self, job):
        return self.reply is not RUNNING

    async def wait_any_job_ended(self):
        await self.ended.wait()


class FakeNetwork:
    """Hosts A, B and C in one process; replies of unresponsive hosts are lost."""

    def __init__(self, nursery, primary=B):
        self.unresponsive, self.handlers, self.owners = set(), {}, {}
        self.views = ViewTable(View(DATA_CENTRE, Epoch(1), primary))
        self.directories = {}
        for host in (A, B, C):
            node = Node(self, host)
            directory = OwnerDirectory(host, self.views, node, node)
            self.directories[host] = directory
            directory.gateway(DATA_CENTRE)
            nursery.start_soon(nursery.start, directory.run)

    def gateway(self):
        return self.directories[A].gateway(DATA_CENTRE)


class Node:
    def __init__(self, network, host):
        self.network, self.host = network, host

    def dispatcher(self, data_centre):
        return self.network.owners.get(self.host)

    def handle(self, message, handler):
        self.network.handlers[self.host, message] = handler

    async def request(self, host, message, reply, timeout_s=1.0):
        answer = await self.network.handlers[host, type(message)](self.host, message)
        if host in self.network.unresponsive:
            await trio.sleep(timeout_s)
            raise PeerUnreachable(host)
        return answer


@pytest.mark.parametrize("first", ["unresponsive", "deposed"])
async def test_not_run_is_not_returned_after_an_unanswered_attempt(
    nursery, autojump_clock, first
):
    network = FakeNetwork(nursery)
    network.owners[B], network.owners[C] = Owner(), Owner()
    network.owners[C].reply = OVERLOADED
    if first == "unresponsive":
        network.unresponsive.add(B)
    else:
        network.owners[B].reply = Deposed("over")

    async def take_over():
        await trio.sleep(1.0)
        await network.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    reply = await network.gateway().submit(JOB)
    assert reply.code is ResultCode.UNKNOWN_OWNER_UNREACHABLE


async def test_not_run_is_returned_if_it_is_certain(nursery, autojump_clock):
    network = FakeNetwork(nursery)
    network.owners[C] = Owner()
    network.owners[C].reply = OVERLOADED

    async def take_over():
        await trio.sleep(1.0)
        await network.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    assert await network.gateway().submit(JOB) == OVERLOADED


async def test_a_caller_does_not_wait_for_an_owner_that_was_replaced(
    nursery, autojump_clock
):
    network = FakeNetwork(nursery)
    network.owners[B], network.owners[C] = Owner(), Owner()
    network.unresponsive.add(B)

    async def take_over():
        await trio.sleep(2.5)
        await network.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    assert await network.gateway().submit(JOB) == RUNNING
    assert trio.current_time() < 2.5 + 2 * RETRY_PAUSE_S


async def test_no_owner_at_all_is_unknown(nursery, autojump_clock):
    network = FakeNetwork(nursery)
    network.owners[B] = Owner()
    network.unresponsive.add(B)
    with pytest.raises(PeerUnreachable):
        await network.gateway().submit(JOB)


async def test_a_wait_follows_the_job_to_its_next_owner(nursery, autojump_clock):
    network = FakeNetwork(nursery)
    network.owners[B], network.owners[C] = Owner(), Owner()
    network.owners[C].reply = DONE

    async def take_over():
        await trio.sleep(5.0)
        network.unresponsive.add(B)
        await network.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    assert await network.gateway().wait(a_job_id(JOB), 30.0) == DONE
    assert trio.current_time() < 10.0


async def test_the_end_of_a_job_is_notified_at_once(nursery, autojump_clock):
    network = FakeNetwork(nursery)
    owner = network.owners[B] = Owner()

    async def end():
        await trio.sleep(5.1)
        owner.reply = DONE
        owner.ended.set()
        owner.ended = trio.Event()

    nursery.start_soon(end)
    started_s = trio.current_time()
    assert await network.gateway().wait(a_job_id(JOB), 30.0) == DONE
    assert trio.current_time() - started_s < 5.2
