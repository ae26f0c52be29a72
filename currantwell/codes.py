"""Numbered result codes, with their HTTP status and their meaning."""

import enum

__all__ = [
    "HTTP_STATUS",
    "MEANINGS",
    "ResultCode",
    "http_status",
    "is_not_run",
    "is_unknown",
]


class ResultCode(enum.IntEnum):
    """Outcome of a request, a job or a task."""

    COMPLETE = 0
    ACCEPTED = 1000
    RUNNING = 1001
    NOT_RUN_OVERLOADED = 2000
    NOT_RUN_QUOTA = 2001
    NOT_RUN_DEADLINE = 2002
    NOT_RUN_IMPOSSIBLE = 2003
    NOT_RUN_SHUTTING_DOWN = 2004
    NOT_RUN_SECOND_COPY_MISSING = 2005
    NOT_RUN_CANCELLED = 2006
    NOT_RUN_NO_PRIMARY = 2007
    NOT_RUN_JOB_FAILED = 2008
    NOT_RUN_STORAGE_FAILED = 2009
    UNKNOWN_OWNER_UNREACHABLE = 3000
    UNKNOWN_ATTEMPT_LOST = 3001
    UNKNOWN_NOT_CONFIRMED = 3002
    UNKNOWN_NOT_READ = 3003
    BAD_BODY = 4000
    BAD_KEY = 4001
    BAD_FIELD = 4002
    TOO_LARGE = 4003
    KEY_REUSED = 4004
    JOB_NOT_FOUND = 4005
    NOT_AUTHORIZED = 4006
    VERSION_CONFLICT = 4007
    UNKNOWN_DATA_CENTRE = 4008
    NOT_FOUND = 4009
    ANSWER_NOT_KEPT = 4010
    TASK_FAILED = 5000
    JOB_FAILED = 5001
    JOB_CANCELLED = 5002
    DEADLINE_PASSED = 5003
    TASK_STOPPED = 5004
    INTERNAL = 5999


HTTP_STATUS: dict[ResultCode, int] = {
    ResultCode.COMPLETE: 200,
    ResultCode.ACCEPTED: 202,
    ResultCode.RUNNING: 202,
    ResultCode.NOT_RUN_QUOTA: 429,
    ResultCode.NOT_RUN_IMPOSSIBLE: 422,
    ResultCode.UNKNOWN_OWNER_UNREACHABLE: 504,
    ResultCode.UNKNOWN_ATTEMPT_LOST: 200,
    ResultCode.UNKNOWN_NOT_CONFIRMED: 504,
    ResultCode.UNKNOWN_NOT_READ: 503,
    ResultCode.BAD_BODY: 400,
    ResultCode.BAD_KEY: 400,
    ResultCode.BAD_FIELD: 400,
    ResultCode.TOO_LARGE: 413,
    ResultCode.KEY_REUSED: 409,
    ResultCode.JOB_NOT_FOUND: 404,
    ResultCode.NOT_AUTHORIZED: 403,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.UNKNOWN_DATA_CENTRE: 400,
    ResultCode.NOT_FOUND: 404,
    ResultCode.ANSWER_NOT_KEPT: 410,
    ResultCode.INTERNAL: 500,
}
_NOT_RUN_HTTP_STATUS = 503
_DEFAULT_HTTP_STATUS = 200


MEANINGS: dict[ResultCode, str] = {
    ResultCode.COMPLETE: "Every task is done; the answer holds all results.",
    ResultCode.ACCEPTED: "The task waits for its start.",
    ResultCode.RUNNING: "The job is accepted and has not ended; ask again.",
    ResultCode.NOT_RUN_OVERLOADED: "Too much work waits; try later.",
    ResultCode.NOT_RUN_QUOTA: "The team has as much work waiting as its quota allows.",
    ResultCode.NOT_RUN_DEADLINE: "The deadline passed, or would have, before a start.",
    ResultCode.NOT_RUN_IMPOSSIBLE: "No endpoint could ever run one of the tasks.",
    ResultCode.NOT_RUN_SHUTTING_DOWN: "The host is shutting down; ask another one.",
    ResultCode.NOT_RUN_SECOND_COPY_MISSING: "No second host could store the job.",
    ResultCode.NOT_RUN_CANCELLED: "The task was cancelled before its start.",
    ResultCode.NOT_RUN_NO_PRIMARY: "The attempt never reached its endpoint.",
    ResultCode.NOT_RUN_JOB_FAILED: "The job had failed before the task's start.",
    ResultCode.NOT_RUN_STORAGE_FAILED: "The disk refused before anything was stored.",
    ResultCode.UNKNOWN_OWNER_UNREACHABLE: "No host that knows the job can be reached; "
    "ask again with the same key.",
    ResultCode.UNKNOWN_ATTEMPT_LOST: "The attempt was started and is over; no one "
    "knows how it ended.",
    ResultCode.UNKNOWN_NOT_CONFIRMED: "No majority, copy or disk confirmed it in time; "
    "it may still take effect. Ask again with the same key or change id.",
    ResultCode.UNKNOWN_NOT_READ: "The host had no memory to read the request. This "
    "request changed nothing, but an earlier one with its key may have; ask again with "
    "the same key.",
    ResultCode.BAD_BODY: "The body is no JSON, or did not arrive whole in time.",
    ResultCode.BAD_KEY: "The submission key is malformed.",
    ResultCode.BAD_FIELD: "The named field is missing, unknown or out of range.",
    ResultCode.TOO_LARGE: "The body is larger than 8 MiB.",
    ResultCode.KEY_REUSED: "The key names a job with another body.",
    ResultCode.JOB_NOT_FOUND: "The team has no job with this key, or its answer is no "
    "longer kept.",
    ResultCode.NOT_AUTHORIZED: "The token does not allow this.",
    ResultCode.VERSION_CONFLICT: "Another change came first; plan anew.",
    ResultCode.UNKNOWN_DATA_CENTRE: "The key's home is no data centre of the system.",
    ResultCode.NOT_FOUND: "There is no such thing or route.",
    ResultCode.ANSWER_NOT_KEPT: "The job ended so long ago that its answer is gone.",
    ResultCode.ANSWER_NOT_KEPT: (
        "The job ended too long ago for its answer to be kept; it is not run again."
    ),
    ResultCode.TASK_FAILED: "The endpoint ran the task and it failed.",
    ResultCode.JOB_FAILED: "At least one task did not succeed; see the tasks.",
    ResultCode.JOB_CANCELLED: "The job was cancelled; see the tasks.",
    ResultCode.DEADLINE_PASSED: "The deadline passed before the job was complete; see "
    "the tasks.",
    ResultCode.TASK_STOPPED: "The task was started and then stopped.",
    ResultCode.INTERNAL: "An unforeseen error; what came of the request is unknown. "
    "Ask again with the same key; see the host's log.",
}


def is_not_run(code: ResultCode) -> bool:
    """Return whether a code means that nothing was started."""
    return 2000 <= code < 3000


def is_unknown(code: ResultCode) -> bool:
    """Return whether a code means that the outcome is unknown."""
    return 3000 <= code < 4000


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for a result code."""
    default = _NOT_RUN_HTTP_STATUS if is_not_run(code) else _DEFAULT_HTTP_STATUS
    return HTTP_STATUS.get(code, default)
