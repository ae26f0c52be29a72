"""Owners asked over a network that loses replies and changes of view."""

import pytest
import trio

from currantwell.answers import Answer, JobState, Refusal
from currantwell.codes import ResultCode
from currantwell.errors import Deposed, PeerUnreachable
from currantwell.ids import Epoch, HostId
from currantwell.owner_directory import OwnerDirectory
from currantwell.views import View, ViewTable
from tests.builders import DATA_CENTRE, a_job_id, a_submission

A, B, C = HostId("a"), HostId("b"), HostId("c")
JOB = a_submission()
OVERLOADED = Refusal(ResultCode.NOT_RUN_OVERLOADED, "full")
DONE = Answer(JOB.key, JobState.COMPLETE, ResultCode.COMPLETE, results=("v",))
RUNNING = Answer(JOB.key, JobState.RUNNING, ResultCode.RUNNING)


class Owner:
    """A dispatcher that says what the test wants."""

    def __init__(self):
        self.told = RUNNING
        self.ended = trio.Event()

    async def submit(self, submission):
        if isinstance(self.told, Exception):
            raise self.told
        return self.told

    async def wait(self, job, timeout_s):
        return self.told

    def has_ended(self, job):
        return self.told is not RUNNING

    async def wait_any_job_ended(self):
        await self.ended.wait()


class Web:
    """Hosts A, B and C in one process; replies of silent hosts are lost."""

    def __init__(self, nursery, primary=B):
        self.silent, self.handlers, self.owners = set(), {}, {}
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
    def __init__(self, web, host):
        self.web, self.host = web, host

    def dispatcher(self, data_centre):
        return self.web.owners.get(self.host)

    def handle(self, message, handler):
        self.web.handlers[self.host, message] = handler

    async def request(self, host, message, reply, timeout_s=1.0):
        told = await self.web.handlers[host, type(message)](self.host, message)
        if host in self.web.silent:
            await trio.sleep(timeout_s)
            raise PeerUnreachable(host)
        return told


@pytest.mark.parametrize("first", ["silent", "deposed"])
async def test_not_run_is_not_said_of_what_was_in_doubt(nursery, autojump_clock, first):
    web = Web(nursery)
    web.owners[B], web.owners[C] = Owner(), Owner()
    web.owners[C].told = OVERLOADED
    if first == "silent":
        web.silent.add(B)
    else:
        web.owners[B].told = Deposed("over")

    async def take_over():
        await trio.sleep(1.0)
        await web.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    told = await web.gateway().submit(JOB)
    assert told.code is ResultCode.UNKNOWN_OWNER_UNREACHABLE


async def test_not_run_is_passed_on_where_it_is_sure(nursery, autojump_clock):
    web = Web(nursery)
    web.owners[C] = Owner()
    web.owners[C].told = OVERLOADED

    async def take_over():
        await trio.sleep(1.0)
        await web.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    assert await web.gateway().submit(JOB) == OVERLOADED


async def test_no_owner_at_all_is_unknown(nursery, autojump_clock):
    web = Web(nursery)
    web.owners[B] = Owner()
    web.silent.add(B)
    with pytest.raises(PeerUnreachable):
        await web.gateway().submit(JOB)


async def test_a_wait_follows_the_job_to_its_next_owner(nursery, autojump_clock):
    web = Web(nursery)
    web.owners[B], web.owners[C] = Owner(), Owner()
    web.owners[C].told = DONE

    async def take_over():
        await trio.sleep(5.0)
        web.silent.add(B)
        await web.views.propose_view(View(DATA_CENTRE, Epoch(2), C))

    nursery.start_soon(take_over)
    assert await web.gateway().wait(a_job_id(JOB), 30.0) == DONE
    assert trio.current_time() < 10.0


async def test_the_end_of_a_job_is_noted_at_once(nursery, autojump_clock):
    web = Web(nursery)
    owner = web.owners[B] = Owner()

    async def end():
        await trio.sleep(5.1)
        owner.told = DONE
        owner.ended.set()
        owner.ended = trio.Event()

    nursery.start_soon(end)
    begun = trio.current_time()
    assert await web.gateway().wait(a_job_id(JOB), 30.0) == DONE
    assert trio.current_time() - begun < 5.2
