"""The result code of a job, and replies of a dispatcher that stops."""

from contextlib import asynccontextmanager
from itertools import pairwise

import pytest
import trio

from currantwell.answers import Answer, JobState, TaskState, TaskStatus
from currantwell.clock import SystemCalendar, now_s
from currantwell.codes import ResultCode
from currantwell.dispatcher import Dispatcher, DispatcherLimits
from currantwell.endpoint_protocol import AttemptRef, ResultLine
from currantwell.fleet.fleet_state import Ownership
from currantwell.fleet.fleet_view import EndpointRecord, FleetView
from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.local_dispatch import (
    FORGET_AFTER_S,
    REGISTER_INTERVAL_S,
    LocalDispatch,
    job_result_code,
)
from currantwell.fleet.messages import HostHello
from currantwell.ids import DataCentre, Epoch, HostId, Incarnation, JobKey
from currantwell.job_log import VolatileJobLog
from tests.builders import a_job_id, a_submission
from tests.fleet.builders import a_report
from tests.test_dispatcher import E1, Bench, FakeLink, settle


def an_answer(code, *tasks):
    statuses = tuple(
        TaskStatus(index, state, task_code)
        for index, (state, task_code) in enumerate(tasks)
    )
    return Answer(JobKey("valdres:a"), JobState.FAILED, code, tasks=statuses)


DONE = (TaskState.DONE, ResultCode.COMPLETE)
FAILED = (TaskState.FAILED, ResultCode.TASK_FAILED)
STOPPED = (TaskState.FAILED, ResultCode.TASK_STOPPED)
NOT_RUN = (TaskState.NOT_RUN, ResultCode.NOT_RUN_JOB_FAILED)
UNKNOWN = (TaskState.UNKNOWN, ResultCode.UNKNOWN_ATTEMPT_LOST)


@pytest.mark.parametrize(
    ("code", "tasks", "expected"),
    [
        (ResultCode.JOB_FAILED, [FAILED, NOT_RUN], ResultCode.JOB_FAILED),
        (ResultCode.DEADLINE_PASSED, [FAILED, DONE], ResultCode.DEADLINE_PASSED),
        (ResultCode.JOB_CANCELLED, [FAILED, NOT_RUN], ResultCode.DEADLINE_PASSED),
        (ResultCode.DEADLINE_PASSED, [STOPPED, NOT_RUN], ResultCode.DEADLINE_PASSED),
        (ResultCode.DEADLINE_PASSED, [NOT_RUN, NOT_RUN], ResultCode.NOT_RUN_DEADLINE),
        (ResultCode.DEADLINE_PASSED, [NOT_RUN, UNKNOWN], ResultCode.DEADLINE_PASSED),
    ],
)
def test_failed_and_not_run_are_returned_only_if_certain(code, tasks, expected):
    assert job_result_code(an_answer(code, *tasks)) is expected


async def test_a_job_that_has_ended_is_answered_though_its_dispatcher_is_deposed(
    nursery, autojump_clock
):
    bench, job = Bench(), a_submission(tasks=1)
    host, incarnation = HostId("h-1"), Incarnation("i-1")
    hello = HostHello(host, incarnation, DataCentre("valdres"), "127.0.0.1:1")
    group = EndpointGroup(DataCentre("valdres"), 0, 1)
    local = LocalDispatch(
        Ownership(group, Epoch(2), host, incarnation),
        FleetView(hello, []),
        lambda ownership: bench.dispatcher,
    )
    nursery.start_soon(local.run)
    await settle()
    await bench.dispatcher.announce(E1)
    replies = []

    async def run_job():
        replies.append(await local.run_job(1, job))

    wait = bench.dispatcher.wait

    async def wait_and_close(*args):
        answer = await wait(*args)
        local.close()
        return answer

    bench.dispatcher.wait = wait_and_close
    nursery.start_soon(run_job)
    await settle()
    done = ResultLine(1, AttemptRef(a_job_id(job), 0, 1), ResultCode.COMPLETE)
    await bench.link.results(done)
    await settle()
    assert [reply.code for reply in replies] == [ResultCode.COMPLETE]


LEASE_S = 0.4


@asynccontextmanager
async def unresponsive_endpoint():
    """Yield its record in the view, and the times at which a link to it was made."""
    bench, links_s = Bench(), []

    def make_link(*args):
        links_s.append(now_s())
        return FakeLink(*args)

    def make_dispatcher(ownership):
        limits = DispatcherLimits(endpoint_lease_s=LEASE_S, suspect_after_s=LEASE_S)
        return Dispatcher(
            ownership.group.data_centre,
            ownership.epoch,
            VolatileJobLog(),
            bench.scheduler,
            SystemCalendar(),
            limits,
            make_link=make_link,
        )

    host, incarnation = HostId("h-1"), Incarnation("i-1")
    hello = HostHello(host, incarnation, DataCentre("valdres"), "127.0.0.1:1")
    view = FleetView(hello, [])
    report = a_report()
    record = EndpointRecord(report, now_s())
    view.endpoints[report.announcement.endpoint] = record
    group = EndpointGroup(DataCentre("valdres"), 0, 1)
    ownership = Ownership(group, Epoch(2), host, incarnation)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(LocalDispatch(ownership, view, make_dispatcher).run)
        yield record, links_s
        nursery.cancel_scope.cancel()


async def test_an_endpoint_that_ended_is_not_registered_again_each_second(
    autojump_clock,
):
    async with unresponsive_endpoint() as (_, links_s):
        await trio.sleep(2 * FORGET_AFTER_S)
    gaps_s = [later - earlier for earlier, later in pairwise(links_s)]
    assert len(gaps_s) >= 3
    assert all(later > 1.5 * earlier for earlier, later in pairwise(gaps_s[1:]))


async def test_an_endpoint_whose_connection_fell_silent_is_registered_again_at_once(
    autojump_clock,
):
    async with unresponsive_endpoint() as (_, links_s):
        await trio.sleep(2 * LEASE_S)
        assert len(links_s) == 2


async def test_a_lost_endpoint_is_registered_again_at_its_next_heartbeat(
    autojump_clock,
):
    async with unresponsive_endpoint() as (record, links_s):
        await trio.sleep(3.5)
        before = len(links_s)
        record.last_heartbeat_s = now_s()
        await trio.sleep(1.1 * REGISTER_INTERVAL_S)
        assert len(links_s) == before + 1
