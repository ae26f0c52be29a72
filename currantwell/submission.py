"""The submission of a job of short tasks: its fields, limits, checks and decoding."""

import enum
import hashlib
import re
from typing import Any, TypeVar

import msgspec

from .errors import BodyMalformed, InvalidRequest
from .ids import (
    DataCentre,
    EndpointId,
    JobKey,
    Rack,
    Team,
    check_name,
    owning_data_centre,
)

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_TASKS",
    "RestartRule",
    "SingleRequest",
    "Submission",
    "TaskSpec",
    "check_payload",
    "check_submission",
    "decode_single_request",
    "decode_submission",
    "digest_of",
]

MAX_TASKS = 2_000
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_DEADLINE_S = 3_600.0
MAX_PROCESSORS = 1_024.0
MAX_MEMORY_MB = 4 * 1024 * 1024
MAX_ACCELERATORS = 64
MAX_PAYLOAD_DEPTH = 64
MAX_FAILURES = 100
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
MAX_REASON_CHARS = 200


class RestartRule(enum.Enum):
    """When a task may be started again.

    ``NEVER`` is for work that is not idempotent. ``IF_NOT_RUN`` requires proof that the
    earlier attempt did not run. ``IF_OVER`` is for idempotent work and requires proof
    that the earlier attempt has ended.
    """

    NEVER = "never"
    IF_NOT_RUN = "if_not_run"
    IF_OVER = "if_over"


class TaskSpec(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """One task of a job.

    Parameters
    ----------
    kind : str
        Name of the kind of work; run times are estimated per kind.
    payload : object
        JSON value passed to the endpoint unchanged.
    run_time_s : float or None
        Run time declared by the caller.
    processors : float
        Processor cores that the task needs.
    memory_mb : int
        Memory that the task needs.
    accelerators : int
        Accelerators that the task needs.
    restart : RestartRule
        When the task may be started again.
    data_centre : str or None
        Data centre in which the task has to run.
    endpoint : str or None
        Endpoint on which the task has to run.
    pool : str or None
        Pool of endpoints on which the task has to run.
    max_failures : int
        Number of failed attempts after which the task has failed.
    label : str or None
        Label that the endpoint must have.
    rack : str or None
        Rack of the task's data; preferred, not required.
    spread : str or None
        Name of a group of tasks, over all jobs that use the name, of which one
        endpoint runs at most `max_per_endpoint`.
    max_per_endpoint : int
        How many tasks of the group `spread` may run on one endpoint at the same time;
        0 for no limit.
    """

    kind: str
    payload: Any = None
    run_time_s: float | None = None
    processors: float = 1.0
    memory_mb: int = 0
    accelerators: int = 0
    restart: RestartRule = RestartRule.IF_NOT_RUN
    data_centre: DataCentre | None = None
    endpoint: EndpointId | None = None
    pool: str | None = None
    max_failures: int = 3
    label: str | None = None
    rack: Rack | None = None
    spread: str | None = None
    max_per_endpoint: int = 0


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its caller sends it.

    Parameters
    ----------
    key : str
        ``<home data centre>:<unique part>``; identifies the job within its team.
    team : str
        The team that submits the job.
    tasks : tuple of TaskSpec
        One to `MAX_TASKS` tasks.
    deadline_s : float
        Seconds from acceptance after which no more tasks are started.
    start_within_s : float or None
        Seconds from acceptance after which the job is cancelled if none of its tasks
        has started; None for the deadline.
    aim_s : float or None
        Target completion time in seconds from acceptance; not a limit.
    give_up_early : bool
        Whether the job is abandoned as soon as its progress shows that it will miss
        the deadline, since nobody waits for its answer after that.
    """

    key: JobKey
    team: Team
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 60.0
    start_within_s: float | None = None
    aim_s: float | None = None
    give_up_early: bool = False


class SingleRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job of one task, as its caller sends it.

    Parameters
    ----------
    key, team, deadline_s
        As in `Submission`.
    task : TaskSpec
        The task.
    """

    key: JobKey
    team: Team
    task: TaskSpec
    deadline_s: float = 60.0


_Body = TypeVar("_Body")
_submission_decoder = msgspec.json.Decoder(Submission)
_single_request_decoder = msgspec.json.Decoder(SingleRequest)
_QUOTED_FIELD = re.compile(r"field `([^`]*)`")
_digest_encoder = msgspec.msgpack.Encoder(order="sorted")


def _check_range(field: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise InvalidRequest(field, f"{value} is not between {low} and {high}")


def check_payload(field: str, payload: Any) -> None:
    """Check that a payload can be stored: its depth and the size of its integers.

    Raises
    ------
    InvalidRequest
        If it can't be.
    """
    level, depth = [payload], 0
    while level:
        depth += 1
        if depth > MAX_PAYLOAD_DEPTH:
            raise InvalidRequest(field, f"is nested deeper than {MAX_PAYLOAD_DEPTH}")
        next_level: list[Any] = []
        for value in level:
            if isinstance(value, dict):
                next_level.extend(value.values())
            elif isinstance(value, list):
                next_level.extend(value)
            elif isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
                raise InvalidRequest(field, "holds an integer of over 64 bits")
        level = next_level


def _check_task(index: int, task: TaskSpec) -> None:
    prefix = f"tasks[{index}]"
    check_name(f"{prefix}.kind", task.kind)
    if task.data_centre is not None:
        check_name(f"{prefix}.data_centre", task.data_centre)
    if task.endpoint is not None:
        check_name(f"{prefix}.endpoint", task.endpoint)
    for field in ("label", "rack", "spread"):
        if getattr(task, field) is not None:
            check_name(f"{prefix}.{field}", getattr(task, field))
    _check_range(f"{prefix}.max_per_endpoint", task.max_per_endpoint, 0, MAX_TASKS)
    check_payload(f"{prefix}.payload", task.payload)
    if task.run_time_s is not None:
        _check_range(f"{prefix}.run_time_s", task.run_time_s, 0.0, MAX_DEADLINE_S)
    _check_range(f"{prefix}.max_failures", task.max_failures, 1, MAX_FAILURES)
    _check_range(f"{prefix}.processors", task.processors, 0.0, MAX_PROCESSORS)
    _check_range(f"{prefix}.memory_mb", task.memory_mb, 0, MAX_MEMORY_MB)
    _check_range(f"{prefix}.accelerators", task.accelerators, 0, MAX_ACCELERATORS)


def check_submission(submission: Submission) -> Submission:
    """Check the values of a submission.

    Raises
    ------
    InvalidRequest
        If a value is invalid; it names the first invalid field.
    """
    owning_data_centre(submission.key)
    check_name("team", submission.team)
    if not 1 <= len(submission.tasks) <= MAX_TASKS:
        raise InvalidRequest(
            "tasks", f"{len(submission.tasks)} is not between 1 and {MAX_TASKS}"
        )
    if not 0 < submission.deadline_s <= MAX_DEADLINE_S:
        raise InvalidRequest(
            "deadline_s", f"{submission.deadline_s} is not in (0, {MAX_DEADLINE_S}]"
        )
    if submission.start_within_s is not None:
        _check_range("start_within_s", submission.start_within_s, 0.0, MAX_DEADLINE_S)
    for index, task in enumerate(submission.tasks):
        _check_task(index, task)
    return submission


def decode_submission(body: bytes) -> Submission:
    """Decode and check a JSON submission.

    Parameters
    ----------
    body : bytes
        A JSON object with the fields of `Submission`.

    Returns
    -------
    Submission
        The checked submission.

    Raises
    ------
    InvalidRequest
        If the body is malformed, has unknown fields or values out of range.
    """
    return check_submission(_decode(_submission_decoder, body))


def decode_single_request(body: bytes) -> Submission:
    """Decode and check a JSON request for a job of one task.

    Parameters
    ----------
    body : bytes
        A JSON object with the fields of `SingleRequest`.

    Returns
    -------
    Submission
        The checked job of one task.

    Raises
    ------
    InvalidRequest
        If the body is malformed, has unknown fields or values out of range.
    """
    request = _decode(_single_request_decoder, body)
    return check_submission(
        Submission(request.key, request.team, (request.task,), request.deadline_s)
    )


def _decode(decoder: "msgspec.json.Decoder[_Body]", body: bytes) -> _Body:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as error:
        raise _field_error(str(error)) from None
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise BodyMalformed("body", str(error)[:MAX_REASON_CHARS]) from None


def _field_error(text: str) -> InvalidRequest:
    """Convert the text of a `msgspec.ValidationError` to an error with its field."""
    reason, _, path = text.partition(" - at `$")
    quoted = _QUOTED_FIELD.search(reason)
    parts = [path.rstrip("`").lstrip("."), quoted.group(1) if quoted else ""]
    field = ".".join(part for part in parts if part) or "body"
    return InvalidRequest(field[:MAX_REASON_CHARS], reason[:MAX_REASON_CHARS])


def digest_of(submission: Submission) -> str:
    """Return a digest of a submission, to tell a repeated body from another one."""
    return hashlib.sha256(_digest_encoder.encode(submission)).hexdigest()
