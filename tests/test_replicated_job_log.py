"""The replicated job log over in-memory copies and a network that may lose contact."""

import random

import pytest
import trio

from currantwell.copy_messages import ViewJoined, ViewVouched
from currantwell.copy_store import CopyStores
from currantwell.errors import Deposed, PeerUnreachable
from currantwell.ids import Epoch, HostId
from currantwell.job_backup import JobBackup
from currantwell.journal import MemoryJournal
from currantwell.replicated_job_log import ReplicatedJobLog
from currantwell.views import View, ViewTable
from tests.builders import DATA_CENTRE, a_submission, accepted

A, B = HostId("a"), HostId("b")
VIEW = View(DATA_CENTRE, Epoch(2), A, B)

SCHEDULER_TURNS = 50


class Network:
    """Delivers the requests of host A to host B."""

    def __init__(self):
        self.handlers = {}
        self.unresponsive = False
        self.on_reply = lambda: None

    def handle(self, message, handler):
        self.handlers[message] = handler

    async def request(self, host, message, reply, timeout_s=1.0):
        await trio.sleep(timeout_s if self.unresponsive else 0.001)
        if self.unresponsive:
            raise PeerUnreachable(host)
        answer = await self.handlers[type(message)](A, message)
        self.on_reply()
        return answer


class Pair:
    def __init__(self):
        self.network = Network()
        self.stores = {h: CopyStores(lambda name: MemoryJournal()) for h in (A, B)}
        self.views = ViewTable(VIEW)
        JobBackup(self.stores[B], self.views).attach(self.network)

    async def store(self, host, counts=True):
        store = await self.stores[host].get(DATA_CENTRE)
        if counts:
            await store.write([ViewVouched(VIEW)])
        return store

    async def log(self, nursery, view=VIEW, copies=2):
        store = await self.store(A)
        await store.write([ViewJoined(view.number)])
        log = ReplicatedJobLog(view, store, self.network, copies)
        await nursery.start(log.run)
        return log


def jobs_of(store):
    return [job.submission.key for job in store.copy.table.jobs.values()]


async def test_a_record_is_committed_only_with_the_backup(nursery, autojump_clock):
    pair = Pair()
    backup = await pair.store(B)
    log = await pair.log(nursery)
    pair.network.unresponsive = True
    with trio.move_on_after(30.0) as scope:
        await log.commit([accepted(a_submission("a"))])
    assert scope.cancelled_caught
    assert log.confirmed_age_s() > 25.0
    with trio.move_on_after(5.0) as scope:
        await log.confirm_primary()
    assert scope.cancelled_caught
    pair.network.unresponsive = False
    await log.commit([accepted(a_submission("b"))])
    await log.confirm_primary()
    await trio.sleep(1.0)
    assert jobs_of(backup) == ["valdres:a", "valdres:b"]
    assert log.confirmed_age_s() < 1.0


async def test_a_primary_learns_that_it_is_deposed(autojump_clock):
    pair = Pair()
    backup = await pair.store(B)
    with pytest.RaisesGroup(Deposed, flatten_subgroups=True):
        async with trio.open_nursery() as nursery:
            log = await pair.log(nursery)
            await backup.write([ViewJoined(Epoch(3))])
            await log.commit([accepted(a_submission())])


async def test_nothing_is_committed_with_a_copy_that_lost_its_disk(autojump_clock):
    pair = Pair()
    backup = await pair.store(B, counts=False)
    with trio.move_on_after(10.0) as scope:
        async with trio.open_nursery() as nursery:
            await pair.log(nursery)
    assert scope.cancelled_caught
    assert backup.copy.last.seq == 1
    assert not backup.copy.is_vouched_for(VIEW)
    assert (await pair.store(A)).copy.applied.seq == 0


async def test_a_snapshot_updates_a_copy_that_is_far_behind(nursery, autojump_clock):
    pair = Pair()
    alone = View(DATA_CENTRE, Epoch(1), A)
    log = await pair.log(nursery, alone)
    assert log.second_copy_missing()
    jobs = [accepted(a_submission(str(index), 200)) for index in range(60)]
    await log.commit(jobs)
    store = await pair.store(A)
    store.copy.trim(store.copy.applied.seq)
    pair.views = ViewTable(alone)
    log.follow(B)
    while not log.up_to_date(B):
        await trio.sleep(0.01)
    backup = await pair.store(B, counts=False)
    assert len(jobs_of(backup)) == 60
    assert await log.vouch(VIEW)
    assert backup.copy.is_vouched_for(VIEW)
    assert not log.second_copy_missing()


@pytest.mark.parametrize("seed", range(20))
async def test_a_copy_may_be_dropped_at_any_moment(nursery, autojump_clock, seed):
    """Dropping a copy as its reply arrives, or a record is added, ends nothing else."""
    moment = random.Random(seed)
    pair = Pair()
    alone = View(DATA_CENTRE, Epoch(1), A)
    log = await pair.log(nursery, alone)
    pair.views = ViewTable(alone)

    def drop_sometimes():
        if moment.random() < 0.3:
            log.unfollow(B)

    pair.network.on_reply = drop_sometimes
    for index in range(20):
        log.follow(B)
        nursery.start_soon(log.commit, [accepted(a_submission(str(index)))])
        await trio.sleep(moment.choice([0.0, 0.001, 0.6]))
        if moment.random() < 0.5:
            log.unfollow(B)
    pair.network.on_reply = lambda: None
    log.follow(B)
    while not log.up_to_date(B):
        await trio.sleep(0.01)


async def test_a_restarted_copy_is_the_same_after_compaction(nursery, autojump_clock):
    """Records that arrive while the snapshot is taken must not be lost."""
    journals = {}
    stores = CopyStores(lambda name: journals.setdefault(name, MemoryJournal()))
    store = await stores.get(DATA_CENTRE)
    store._compact_at = 5
    view = View(DATA_CENTRE, Epoch(1), A)
    await store.write([ViewVouched(view), ViewJoined(Epoch(1))])
    log = ReplicatedJobLog(view, store, Network(), 1)
    await nursery.start(log.run)
    for index in range(12):
        await log.commit([accepted(a_submission(str(index)))])
    nursery.start_soon(store.compact)
    for _ in range(SCHEDULER_TURNS):
        if store.copy.frozen:
            break
        await trio.lowlevel.checkpoint()
    assert store.copy.frozen
    await log.commit([accepted(a_submission("late"))])
    await store.wait_snapshot_done()
    await log.commit([accepted(a_submission("later"))])
    reopened = CopyStores(lambda name: journals[name])
    copy = (await reopened.get(DATA_CENTRE)).copy
    assert copy.base.seq >= 12
    copy.apply_to_table(copy.last.seq)
    assert len(copy.table.jobs) == 14
    assert copy.table.jobs == store.copy.table.jobs
    assert copy.is_vouched_for(view)
    assert copy.last == store.copy.last
