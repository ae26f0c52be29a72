"""The link to a worker, against a stand-in over HTTP."""

from contextlib import asynccontextmanager

import pytest
import trio

from cooperative.worker_link import WorkerLink
from currantwell.codes import ResultCode
from currantwell.endpoint_protocol import AttemptRef, LeaseGrant, Start
from currantwell.ids import EndpointId, Epoch, Incarnation, JobId
from tests.cooperative.worker import Worker, serving

LEASE_S = 0.6
PATIENCE_S = 5.0


class Owner:
    """Notes what a link tells."""

    def __init__(self):
        self.refused = []
        self.results = []
        self.left_s = {}
        self.answers = None
        self.held = None
        self.deposed = False

    async def batch_answered(self, endpoint, batch, reply):
        self.refused.extend(refused.code for refused in reply.refused)

    async def results_received(self, endpoint, incarnation, results):
        self.results.extend(results)

    async def held_attempts_received(self, endpoint, held):
        self.held = held

    def heartbeat_received(self, endpoint, beat):
        return LeaseGrant(beat.beat, LEASE_S)

    def progress_received(self, endpoint, progress):
        self.left_s.update({ref: seen.left_s for ref, seen in progress.items()})

    def endpoint_reachability_changed(self, endpoint, answers):
        self.answers = answers

    def newer_epoch_seen(self, endpoint):
        self.deposed = True


def a_start(name="j.0.0.0", attempt=1):
    ref = AttemptRef(JobId("crew/valdres:j"), 0, attempt)
    return Start(ref, "crew", (name, "text"), 1.0)


async def until(condition):
    with trio.fail_after(PATIENCE_S):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def linked(worker, epoch=1, owner=None):
    owner = owner or Owner()
    async with serving(worker) as url, trio.open_nursery() as nursery:
        link = WorkerLink(
            EndpointId(worker.identifier),
            Incarnation(f"{worker.born}.1"),
            url,
            Epoch(epoch),
            owner,
            LEASE_S,
        )
        nursery.start_soon(link.run)
        yield link, owner
        nursery.cancel_scope.cancel()


async def test_a_task_is_started_and_its_end_is_told_and_acknowledged():
    worker = Worker()
    async with linked(worker) as (link, owner):
        await until(lambda: owner.answers)
        link.send([a_start()])
        await until(lambda: owner.results and not worker.ended)
    (result,) = owner.results
    assert result.code is ResultCode.COMPLETE
    assert worker.started == [("j.0.0.0", 1)]
    assert not owner.refused


async def test_a_long_task_outlives_many_leases():
    worker = Worker()
    worker.task_s = 3 * LEASE_S
    async with linked(worker) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.results)
    assert owner.results[0].code is ResultCode.COMPLETE


async def test_progress_tells_how_long_a_task_will_take():
    worker = Worker()
    worker.task_s = 2.0
    async with linked(worker) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.left_s)
        (left_s,) = owner.left_s.values()
    assert 1.0 < left_s < 3.0


async def test_a_start_whose_answer_was_lost_is_not_started_again():
    worker = Worker()
    worker.task_s = 0.5
    worker.lose_answers_of = {"/-/run-start"}
    async with linked(worker) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.results)
    assert worker.started == [("j.0.0.0", 1)]
    assert owner.results[0].code is ResultCode.COMPLETE
    assert not owner.refused


async def test_a_start_that_never_arrived_is_undone_before_it_is_given_up():
    class Deaf(Worker):
        """Loses the first start before it is carried out."""

        def start(self, order):
            self.lose_answers_of = {"/-/run-start"}
            return 200, {}

    worker = Deaf()
    async with linked(worker) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.refused)
        assert worker.tombstones == {"j.0.0.0": 1}
    assert owner.refused == [ResultCode.NOT_RUN_NO_PRIMARY]


async def test_a_stop_is_repeated_until_it_is_answered():
    worker = Worker()
    worker.task_s = 30.0
    async with linked(worker) as (link, owner):
        start = a_start()
        link.send([start])
        await until(lambda: worker.started)
        worker.lose_answers_of = {"/-/run-stop"}
        link.send((), [start.ref])
        await until(lambda: owner.results)
    assert owner.results[0].code is ResultCode.TASK_STOPPED


async def test_what_an_earlier_dispatcher_started_is_stopped_first():
    worker = Worker()
    worker.task_s = 30.0
    async with linked(worker) as (link, _):
        link.send([a_start()])
        await until(lambda: worker.started)
    assert worker.runs
    async with linked(worker, epoch=2) as (_, owner):
        await until(lambda: owner.held is not None)
        assert not worker.runs


async def test_a_newer_dispatcher_deposes():
    worker = Worker()
    worker.token = 5
    async with linked(worker, epoch=4) as (_, owner):
        await until(lambda: owner.deposed)


@pytest.mark.parametrize(
    ("reason", "code"),
    [
        ("room", ResultCode.NOT_RUN_OVERLOADED),
        ("old", ResultCode.NOT_RUN_NO_PRIMARY),
        ("late", ResultCode.NOT_RUN_NO_PRIMARY),
    ],
)
async def test_a_rejected_start_has_not_run(reason, code):
    worker = Worker()
    worker.reject = reason
    async with linked(worker) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.refused)
    assert owner.refused == [code]


async def test_a_silent_worker_does_not_answer():
    worker = Worker()
    async with linked(worker) as (_, owner):
        await until(lambda: owner.answers)
        worker.silent = True
        await until(lambda: owner.answers is False)
        worker.silent = False
        await until(lambda: owner.answers)


async def test_another_life_under_the_same_id_is_not_used():
    worker = Worker()
    async with linked(worker) as (_, owner):
        await until(lambda: owner.answers)
        worker.born = 2_000
        await until(lambda: owner.answers is False)
        calls = len(worker.calls)
        await trio.sleep(0.5)
        assert len(worker.calls) == calls


async def test_a_worker_given_up_while_it_was_adopted_is_started_nothing():
    class GivenUp(Owner):
        """Has counted the worker's lease as over meanwhile."""

        def heartbeat_received(self, endpoint, beat):
            return LeaseGrant(beat.beat, 0.0)

    worker = Worker()
    async with linked(worker, owner=GivenUp()) as (link, _):
        link.send([a_start()])
        await trio.sleep(0.5)
    assert not worker.started


async def test_adoption_is_a_sign_of_life_before_anything_is_started():
    class Ordered(Owner):
        """Notes whether it heard of the worker before the first start."""

        def heartbeat_received(self, endpoint, beat):
            self.started_before = list(worker.started)
            return super().heartbeat_received(endpoint, beat)

        started_before = None

    worker = Worker()
    async with linked(worker, owner=Ordered()) as (link, owner):
        link.send([a_start()])
        await until(lambda: owner.started_before is not None)
        assert not owner.started_before
