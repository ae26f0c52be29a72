"""Keeps an unexpected error of one connection or job from ending the whole process."""

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from . import events
from .errors import leaf_errors

__all__ = ["isolated"]


@contextmanager
def isolated(what: str) -> Iterator[None]:
    """Log an unexpected error that leaves the block, and go on after it.

    Cancellation passes, as do errors that are no `Exception`.

    Parameters
    ----------
    what : str
        What failed, for the log.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        cancelled, others = group.split(trio.Cancelled)
        if others is not None and not isinstance(others, ExceptionGroup):
            raise
        if others is not None:
            _log(what, others)
        if cancelled is not None:
            raise cancelled from None
    except Exception as error:
        _log(what, error)


def _log(what: str, error: Exception) -> None:
    for leaf in leaf_errors(error):
        frames = traceback.extract_tb(leaf.__traceback__)
        at = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
        events.UNEXPECTED_ERROR.log(what=what, error=repr(leaf)[:200], at=at)
