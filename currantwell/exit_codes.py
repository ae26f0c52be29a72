"""Exit codes of the command line, derived from result codes."""

import enum

from .codes import ResultCode, is_not_run, is_unknown

__all__ = ["ExitCode", "exit_code"]


class ExitCode(enum.IntEnum):
    """Outcome of a command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    REFUSED = 5
    RUNNING = 6


def exit_code(code: ResultCode) -> ExitCode:
    """Return the exit code for a result code."""
    if code is ResultCode.COMPLETE:
        return ExitCode.DONE
    if code in (ResultCode.ACCEPTED, ResultCode.RUNNING):
        return ExitCode.RUNNING
    if is_not_run(code):
        return ExitCode.NOT_RUN
    if is_unknown(code) or code is ResultCode.INTERNAL:
        return ExitCode.UNKNOWN
    return ExitCode.FAILED if code >= ResultCode.TASK_FAILED else ExitCode.REFUSED
