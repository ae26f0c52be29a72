"""Numbered result codes, each with the answer it stands for."""

import enum

__all__ = ["HTTP_STATUS", "ResultCode", "http_status", "is_not_run", "is_unknown"]


class ResultCode(enum.IntEnum):
    """What became of a request, a job or a task."""

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
_NOT_RUN_STATUS = 503
_ANSWERED_STATUS = 200


def is_not_run(code: ResultCode) -> bool:
    """Tell whether a code says that nothing was started."""
    return 2000 <= code < 3000


def is_unknown(code: ResultCode) -> bool:
    """Tell whether a code says that the outcome can't be known."""
    return 3000 <= code < 4000


def http_status(code: ResultCode) -> int:
    """Return the HTTP status that carries a result code."""
    default = _NOT_RUN_STATUS if is_not_run(code) else _ANSWERED_STATUS
    return HTTP_STATUS.get(code, default)
