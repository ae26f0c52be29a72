"""Jobs that are cancelled while their tasks are being started, over real links."""

import random
from contextlib import asynccontextmanager

import pytest
import trio

from cooperative.worker_link import WorkerLink
from currantwell.clock import SystemCalendar
from currantwell.dispatch_policies import interactive_scheduler
from currantwell.dispatcher import Dispatcher, DispatcherLimits
from currantwell.ids import Epoch
from currantwell.job_log import VolatileJobLog
from currantwell.submission import RestartRule, Submission, TaskSpec
from tests.builders import DATA_CENTRE, a_job_id, an_announcement
from tests.cooperative.worker import Worker, serving

LEASE_S = 0.6
# Far more turns of the event loop than there are from a submission to its start.
TURNS = 24
PATIENCE_S = 5.0


@asynccontextmanager
async def dispatching(worker):
    """Yield a dispatcher that has adopted a worker."""
    adopted = trio.Event()

    def make_link(endpoint, incarnation, url, epoch, handler):
        return WorkerLink(endpoint, incarnation, url, epoch, handler, LEASE_S)

    dispatcher = Dispatcher(
        DATA_CENTRE,
        Epoch(1),
        VolatileJobLog(),
        interactive_scheduler(1.0, random.Random(1)),
        SystemCalendar(),
        DispatcherLimits(LEASE_S, 0.5, 5.0, 0.02, adopt_before_start=True),
        make_link=make_link,
    )
    note = dispatcher.endpoint_reachability_changed

    def note_adoption(endpoint, reachable):
        note(endpoint, reachable)
        if reachable:
            adopted.set()

    dispatcher.endpoint_reachability_changed = note_adoption
    async with serving(worker) as url, trio.open_nursery() as nursery:
        await nursery.start(dispatcher.run)
        announcement = an_announcement(worker.identifier, f"{worker.born}.1", url=url)
        await dispatcher.announce(announcement)
        with trio.fail_after(PATIENCE_S):
            await adopted.wait()
        yield dispatcher
        nursery.cancel_scope.cancel()


def a_job(name, tasks=2):
    specs = [
        TaskSpec("crew", (f"{name}.0.0.{index}", "text"), restart=RestartRule.IF_OVER)
        for index in range(tasks)
    ]
    return Submission(f"{DATA_CENTRE}:{name}", "crew", tuple(specs), 60.0)


@pytest.mark.parametrize("turns", range(1, TURNS))
async def test_no_task_of_a_cancelled_job_runs_on(turns):
    # Guards against tasks that run on beside those of the job's next attempt (TWICE).
    worker, job = Worker(), a_job("j")
    worker.task_s = 30.0
    async with dispatching(worker) as dispatcher, trio.open_nursery() as nursery:
        nursery.start_soon(dispatcher.submit, job)
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        await dispatcher.cancel(a_job_id(job))
        with trio.fail_after(PATIENCE_S):
            while not dispatcher.has_ended(a_job_id(job)):
                await trio.sleep(0.01)
        assert not worker.runs
