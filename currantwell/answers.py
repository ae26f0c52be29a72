"""Replies to callers: answers, refusals and the state of each task."""

import enum
from typing import Any

import msgspec

from .codes import ResultCode
from .ids import JobKey

__all__ = [
    "Answer",
    "JobState",
    "Refusal",
    "SingleRequestAnswer",
    "TaskState",
    "TaskStatus",
    "single_request_answer",
]


class JobState(enum.Enum):
    """State of a job."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskStatus(msgspec.Struct, frozen=True):
    """State of one task of a job.

    Parameters
    ----------
    task : int
        Index of the task in its job.
    state : TaskState
        Its state.
    code : ResultCode
        Its result code so far.
    endpoint : str or None
        Endpoint of its latest attempt.
    attempts : int
        Number of its latest attempt, 0 before the first.
    detail : str
        Explanation of a failure.
    """

    task: int
    state: TaskState
    code: ResultCode
    endpoint: str | None = None
    attempts: int = 0
    detail: str = ""


class Answer(msgspec.Struct, frozen=True):
    """The answer for a job: complete with all results, or failed with none.

    Parameters
    ----------
    key : str
        The submission key.
    state : JobState
        ``running`` until the job has ended.
    code : ResultCode
        Result code of the job.
    results : tuple or None
        The value of each task in order if the job is complete, else None.
    tasks : tuple of TaskStatus
        The state of each task if the job failed, else empty.
    detail : str
        Explanation for a person.
    """

    key: JobKey
    state: JobState
    code: ResultCode
    results: tuple[Any, ...] | None = None
    tasks: tuple[TaskStatus, ...] = ()
    detail: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """A request that was not carried out.

    Parameters
    ----------
    code : ResultCode
        The reason; codes from 2000 to 2999 mean that nothing was run.
    detail : str
        Explanation for a person.
    field : str or None
        The invalid field of the request, if the reason is one.
    retry_after_s : float or None
        After how long a retry may succeed.
    """

    code: ResultCode
    detail: str
    field: str | None = None
    retry_after_s: float | None = None


class SingleRequestAnswer(msgspec.Struct, frozen=True):
    """The answer for a job of one task.

    Parameters
    ----------
    key : str
        The submission key.
    state : JobState
        ``running`` until the job has ended.
    code : ResultCode
        Result code of its task.
    value : object
        The value of the task if it is complete.
    detail : str
        Explanation for a person.
    """

    key: JobKey
    state: JobState
    code: ResultCode
    value: Any = None
    detail: str = ""


def single_request_answer(answer: Answer) -> SingleRequestAnswer:
    """Convert the answer for a job of one task to that for a single request."""
    if answer.results is not None:
        value = answer.results[0]
        return SingleRequestAnswer(answer.key, answer.state, answer.code, value)
    for status in answer.tasks:
        return SingleRequestAnswer(
            answer.key, answer.state, status.code, detail=status.detail
        )
    return SingleRequestAnswer(
        answer.key, answer.state, answer.code, detail=answer.detail
    )
