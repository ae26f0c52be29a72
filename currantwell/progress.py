"""Decides what to do with a running attempt that will end after its job's deadline.

No I/O and no clock: the dispatcher passes the progress of the attempt and the
estimated run time of a new one, and carries out the decision.
"""

import dataclasses
import enum

__all__ = ["AttemptDecision", "AttemptProgress", "RestartEstimate", "decide_attempt"]

# A stop takes at most 50 ms; under load, the calls around it take as long again.
MOVE_OVERHEAD_S = 0.06
# Declared run times are usually off by a factor of 1.5; a run time that exceeds the
# estimate by far more points to a slow endpoint.
STALL_FACTOR = 4.0
# Allows for the stop of the first attempt and for an estimate that is too low.
RESTART_MARGIN_FACTOR = 1.3
# A task is restarted at most once.
LAST_ATTEMPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Progress of a running attempt.

    Parameters
    ----------
    run_s : float
        Time for which it has run, in seconds.
    left_s : float
        Estimated time for which it will still run at its endpoint, in seconds.
    min_left_s : float
        Lower bound of `left_s`, with all rounding in favour of the attempt.
    since_sent_s : float
        Time since its start was sent, in seconds; for logs only.
    """

    run_s: float
    left_s: float
    min_left_s: float
    since_sent_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RestartEstimate:
    """Estimated run time of a new attempt at the fastest endpoint.

    Parameters
    ----------
    if_long_s : float
        Run time in seconds if the task itself is as long as the progress of the
        running attempt implies.
    if_usual_s : float
        Run time in seconds if the task is as long as others of its kind, so that the
        endpoint of the running attempt is the cause of its delay.
    """

    if_long_s: float
    if_usual_s: float


class AttemptDecision(enum.Enum):
    """What to do with a running attempt."""

    CONTINUE = "goes on"
    MOVE = "faster elsewhere"
    RESTART = "stalls"
    ABANDON_JOB = "too late anywhere"


def decide_attempt(
    attempt: int, progress: AttemptProgress, estimate: RestartEstimate, left_s: float
) -> AttemptDecision:
    """Decide whether an attempt continues, is restarted, or its job is abandoned.

    Parameters
    ----------
    attempt : int
        Number of the attempt, from 1.
    progress : AttemptProgress
        Progress of the attempt.
    estimate : RestartEstimate
        Estimated run time of a new attempt.
    left_s : float
        Time until the job's deadline, in seconds.
    """
    if progress.left_s <= left_s:
        return AttemptDecision.CONTINUE
    if attempt < LAST_ATTEMPT:
        if estimate.if_long_s + MOVE_OVERHEAD_S <= left_s:
            return AttemptDecision.MOVE
        stalled = progress.left_s > STALL_FACTOR * estimate.if_usual_s
        if stalled and RESTART_MARGIN_FACTOR * estimate.if_usual_s <= left_s:
            return AttemptDecision.RESTART
    return (
        AttemptDecision.CONTINUE
        if progress.min_left_s <= left_s
        else AttemptDecision.ABANDON_JOB
    )
