"""The result code of a job as a whole."""

import pytest

from currantwell.answers import Answer, JobState, TaskState, TaskStatus
from currantwell.codes import ResultCode
from currantwell.fleet.local_dispatch import job_result_code
from currantwell.ids import JobKey


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
