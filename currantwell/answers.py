"""What a caller is told: answers, refusals and the state of each task."""

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
    """Where a job stands."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class TaskStatus(msgspec.Struct, frozen=True):
    """State of one task of a job."""

    task: int
    state: TaskState
    code: ResultCode
    endpoint: str | None = None
    attempts: int = 0
    detail: str = ""


class Answer(msgspec.Struct, frozen=True):
    """The answer to a job: complete with all results, or failed with none.

    Parameters
    ----------
    key : str
        The submission key.
    state : JobState
        ``running`` until the job has ended.
    code : ResultCode
        Result code of the job.
    results : tuple or None
        The value of each task in order when complete, else None.
    tasks : tuple of TaskStatus
        The state of each task, given when the job failed.
    detail : str
        What a person should know.
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
        Why; codes of the 2000s say that nothing was run.
    detail : str
        What a person should know.
    field : str or None
        The field at fault.
    retry_after_s : float or None
        When it is worth trying again.
    """

    code: ResultCode
    detail: str
    field: str | None = None
    retry_after_s: float | None = None


class SingleRequestAnswer(msgspec.Struct, frozen=True):
    """The answer to a single request.

    Parameters
    ----------
    key : str
        The submission key.
    state : JobState
        ``running`` until the request has ended.
    code : ResultCode
        Result code of its one task.
    value : object
        The value of the task when complete.
    detail : str
        What a person should know.
    """

    key: JobKey
    state: JobState
    code: ResultCode
    value: Any = None
    detail: str = ""


def single_request_answer(answer: Answer) -> SingleRequestAnswer:
    """Return the answer to a single request from that to its job of one task."""
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
