"""What to do about an attempt that is seen to come too late for its job.

No I/O and no clock: the dispatcher says how far the attempt has come and how long a
new one would take, and carries out the verdict.
"""

import dataclasses
import enum

__all__ = ["AttemptDecision", "AttemptProgress", "RestartEstimate", "decide_attempt"]

# A stop takes 50 ms at most, and the calls around it as much again at a busy moment.
MOVE_S = 0.06
# Declared run times are off by 1.5 as a rule; so much more is the endpoint's doing.
STALL_FACTOR = 4.0
# Room for the stop of the first attempt and an estimate that is too low.
RESTART_MARGIN = 1.3
# What was started anew once is not started anew again.
LAST_ATTEMPT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptProgress:
    """How far an attempt has come.

    Parameters
    ----------
    run_s : float
        How long it has run.
    left_s : float
        How long it will still run where it is, by the best guess.
    min_left_s : float
        The same if all that was rounded is in its favour.
    """

    run_s: float
    left_s: float
    min_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartEstimate:
    """How long a new attempt would run at the fastest endpoint.

    Parameters
    ----------
    if_long_s : float
        If the task is as long as this attempt makes it look.
    if_usual_s : float
        If it is as long as others of its kind, so that the endpoint is to blame.
    """

    if_long_s: float
    if_usual_s: float


class AttemptDecision(enum.Enum):
    """What becomes of an attempt."""

    CONTINUE = "goes on"
    MOVE = "faster elsewhere"
    RESTART = "stalls"
    ABANDON_JOB = "too late anywhere"


def decide_attempt(
    attempt: int, seen: AttemptProgress, outlook: RestartEstimate, left_s: float
) -> AttemptDecision:
    """Decide on an attempt whose job has `left_s` left.

    Parameters
    ----------
    attempt : int
        Its number, from 1.
    seen : AttemptProgress
        How far it has come.
    outlook : RestartEstimate
        How long a new one would run.
    left_s : float
        Time until the job's deadline.
    """
    if seen.left_s <= left_s:
        return AttemptDecision.CONTINUE
    if attempt < LAST_ATTEMPT:
        if outlook.if_long_s + MOVE_S <= left_s:
            return AttemptDecision.MOVE
        stalls = seen.left_s > STALL_FACTOR * outlook.if_usual_s
        if stalls and RESTART_MARGIN * outlook.if_usual_s <= left_s:
            return AttemptDecision.RESTART
    return (
        AttemptDecision.CONTINUE
        if seen.min_left_s <= left_s
        else AttemptDecision.ABANDON_JOB
    )
