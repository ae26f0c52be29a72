"""What a caller submits: a job of short tasks."""

import enum
import hashlib
from typing import Any

import msgspec

from .errors import InvalidRequest
from .ids import DataCentre, EndpointId, JobKey, Team, check_name, home_of

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_TASKS",
    "RestartRule",
    "Submission",
    "TaskSpec",
    "check_submission",
    "decode_submission",
    "digest_of",
]

MAX_TASKS = 2_000
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_DEADLINE_S = 3_600.0
MAX_PROCESSORS = 1_024.0
MAX_MEMORY_MB = 4 * 1024 * 1024
MAX_ACCELERATORS = 64


class RestartRule(enum.Enum):
    """When a task may be started a second time.

    ``NEVER`` is for work that is not idempotent; ``IF_NOT_RUN`` asks for proof
    that the first start did not happen; ``IF_OVER`` is for idempotent work and
    asks for proof that the first attempt is over.
    """

    NEVER = "never"
    IF_NOT_RUN = "if_not_run"
    IF_OVER = "if_over"


class TaskSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a job.

    Parameters
    ----------
    kind : str
        Name of the work; run times are learnt per kind.
    payload : object
        JSON value handed to the endpoint unchanged.
    run_time_s : float or None
        Declared run time.
    processors : float
        Processor cores the task needs.
    memory_mb : int
        Memory the task needs.
    accelerators : int
        Accelerators the task needs.
    restart : RestartRule
        When a second start is allowed.
    data_centre : str or None
        Data centre asked for.
    endpoint : str or None
        Endpoint asked for.
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


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its caller sends it.

    Parameters
    ----------
    key : str
        ``<home data centre>:<unique part>``; names the job within its team.
    team : str
        The team that submits.
    tasks : tuple of TaskSpec
        One to `MAX_TASKS` tasks.
    deadline_s : float
        Seconds from acceptance after which no task is started any more.
    """

    key: JobKey
    team: Team
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 60.0


_decoder = msgspec.json.Decoder(Submission)
_digest_encoder = msgspec.msgpack.Encoder(order="sorted")


def _check_range(field: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise InvalidRequest(field, f"{value} is not between {low} and {high}")


def _check_task(index: int, task: TaskSpec) -> None:
    prefix = f"tasks[{index}]"
    check_name(f"{prefix}.kind", task.kind)
    if task.run_time_s is not None:
        _check_range(f"{prefix}.run_time_s", task.run_time_s, 0.0, MAX_DEADLINE_S)
    _check_range(f"{prefix}.processors", task.processors, 0.0, MAX_PROCESSORS)
    _check_range(f"{prefix}.memory_mb", task.memory_mb, 0, MAX_MEMORY_MB)
    _check_range(f"{prefix}.accelerators", task.accelerators, 0, MAX_ACCELERATORS)


def check_submission(submission: Submission) -> Submission:
    """Check the values of a submission.

    Raises
    ------
    InvalidRequest
        Naming the first field at fault.
    """
    home_of(submission.key)
    check_name("team", submission.team)
    if not 1 <= len(submission.tasks) <= MAX_TASKS:
        raise InvalidRequest(
            "tasks", f"{len(submission.tasks)} is not between 1 and {MAX_TASKS}"
        )
    if not 0 < submission.deadline_s <= MAX_DEADLINE_S:
        raise InvalidRequest(
            "deadline_s", f"{submission.deadline_s} is not in (0, {MAX_DEADLINE_S}]"
        )
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
    try:
        submission = _decoder.decode(body)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$.")
        raise InvalidRequest(path.rstrip("`") or "body", reason) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequest("body", str(error)) from error
    return check_submission(submission)


def digest_of(submission: Submission) -> str:
    """Return a digest that differs between submissions with different bodies."""
    return hashlib.sha256(_digest_encoder.encode(submission)).hexdigest()
