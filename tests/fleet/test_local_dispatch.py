"""The result code of a job, and replies of a dispatcher that stops."""

import pytest
import trio

from currantwell import events
from currantwell.answers import Answer, JobState, TaskState, TaskStatus
from currantwell.codes import ResultCode
from currantwell.endpoint_protocol import AttemptRef, ResultLine
from currantwell.fleet.fleet_state import Ownership
from currantwell.fleet.fleet_view import FleetView
from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.local_dispatch import (
    REGISTER_INTERVAL_S,
    LocalDispatch,
    job_result_code,
)
from currantwell.fleet.messages import EndpointReports, HostHello
from currantwell.ids import DataCentre, Epoch, HostId, Incarnation, JobKey
from tests.builders import a_job_id, a_submission
from tests.fleet.builders import a_hello, a_report
from tests.test_dispatcher import E1, Bench, settle


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


async def test_the_log_tells_when_a_drain_was_applied(
    nursery, autojump_clock, monkeypatch
):
    logged = []
    monkeypatch.setattr(
        type(events.DRAIN_APPLIED),
        "log",
        lambda event, **fields: logged.append((event, fields)),
    )
    bench = Bench()
    host, incarnation = HostId("h-1"), Incarnation("i-1")
    view = FleetView(a_hello("h-1"), [])
    local = LocalDispatch(
        Ownership(
            EndpointGroup(DataCentre("valdres"), 0, 1), Epoch(2), host, incarnation
        ),
        view,
        lambda ownership: bench.dispatcher,
    )
    nursery.start_soon(local.run)
    view._process(None, EndpointReports((a_report(),)))
    await trio.sleep(0.5)
    view._process(None, EndpointReports((a_report(sequence=2, draining=True),)))
    await trio.sleep(0.5)
    rows = [fields for event, fields in logged if event is events.DRAIN_APPLIED]
    assert [(row["endpoint"], row["sequence"]) for row in rows] == [("e1", 2)]
    assert rows[0]["after_s"] <= REGISTER_INTERVAL_S
    nursery.cancel_scope.cancel()
