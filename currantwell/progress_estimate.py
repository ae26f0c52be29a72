"""Estimates the remaining time of a run from the share of its work that is done.

No I/O and no clock. Shares are rounded down to whole percents.
"""

import dataclasses

from .progress import AttemptProgress

__all__ = ["HALF_PERCENT", "ProgressMark", "estimate_progress"]

# Progress is rounded down to whole percents; below 3 an estimate is too inaccurate.
MIN_PERCENT = 3
HALF_PERCENT = 0.5
# A run below `MIN_PERCENT` after this time takes at least 6 s in all, longer than any
# client waits.
STALL_TIME_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressMark:
    """A point of a run: the time on the endpoint's clock and the share then done.

    Parameters
    ----------
    clock_ms : int
        Time on the endpoint's clock, in milliseconds.
    percent : float
        Share of the work that was done, in percent.
    """

    clock_ms: int
    percent: float


def estimate_progress(
    mark: ProgressMark,
    since_mark_s: float,
    percent: float,
    age_s: float,
    since_sent_s: float,
) -> AttemptProgress | None:
    """Return the progress of a run, or None if it is too early to estimate it.

    Parameters
    ----------
    mark : ProgressMark
        An earlier point of the run.
    since_mark_s : float
        Time since then by the endpoint's clock, in seconds.
    percent : float
        Share of the work that is done, rounded down.
    age_s : float
        Time since the endpoint gave this share, in seconds.
    since_sent_s : float
        Time since the start was sent, in seconds.
    """
    if percent - mark.percent < MIN_PERCENT:
        if since_mark_s < STALL_TIME_S:
            return None
        percent = int(mark.percent) + MIN_PERCENT
    if since_mark_s <= 0:
        return None
    done = percent + HALF_PERCENT
    s_per_percent = since_mark_s / (done - mark.percent)
    min_s_per_percent = since_mark_s / (percent + 1.0 - int(mark.percent))
    return AttemptProgress(
        s_per_percent * done + age_s,
        _remaining_s(s_per_percent, done, age_s),
        _remaining_s(min_s_per_percent, percent + 1.0, age_s),
        since_sent_s,
    )


def _remaining_s(s_per_percent: float, done_percent: float, age_s: float) -> float:
    """Return the remaining run time of a run that had a share done some time ago."""
    return max(0.0, s_per_percent * (100.0 - done_percent) - age_s)
