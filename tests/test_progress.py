"""What becomes of attempts that come too late."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantwell.progress import (
    LAST_ATTEMPT,
    AttemptDecision,
    AttemptProgress,
    RestartEstimate,
    decide_attempt,
)

HOPELESS = RestartEstimate(math.inf, math.inf)


def seen(left_s, min_left_s=None):
    return AttemptProgress(0.1, left_s, left_s if min_left_s is None else min_left_s)


@pytest.mark.parametrize(
    ("attempt", "progress", "outlook", "verdict"),
    [
        (1, seen(0.9), HOPELESS, AttemptDecision.CONTINUE),
        (1, seen(1.1), HOPELESS, AttemptDecision.ABANDON_JOB),
        (1, seen(1.1, 0.9), HOPELESS, AttemptDecision.CONTINUE),
        (1, seen(1.1), RestartEstimate(0.5, 0.4), AttemptDecision.MOVE),
        (1, seen(1.1), RestartEstimate(0.99, 0.4), AttemptDecision.ABANDON_JOB),
        (1, seen(9.0), RestartEstimate(4.0, 0.4), AttemptDecision.RESTART),
        (1, seen(9.0), RestartEstimate(4.0, 0.9), AttemptDecision.ABANDON_JOB),
        (
            LAST_ATTEMPT,
            seen(1.1),
            RestartEstimate(0.5, 0.4),
            AttemptDecision.ABANDON_JOB,
        ),
        (
            LAST_ATTEMPT,
            seen(1.1, 0.9),
            RestartEstimate(0.5, 0.4),
            AttemptDecision.CONTINUE,
        ),
    ],
    ids=str,
)
def test_the_verdict_with_a_second_left(attempt, progress, outlook, verdict):
    assert decide_attempt(attempt, progress, outlook, 1.0) is verdict


times = st.floats(0.001, 10.0)


@given(st.integers(1, 3), times, times, times, times, times)
def test_nothing_that_may_be_in_time_is_given_up(
    attempt, left_s, least_share, long_s, usual_s, deadline_s
):
    progress = seen(left_s, left_s * min(1.0, least_share))
    verdict = decide_attempt(
        attempt, progress, RestartEstimate(long_s, usual_s), deadline_s
    )
    if verdict is AttemptDecision.ABANDON_JOB:
        assert progress.min_left_s > deadline_s
    if left_s <= deadline_s:
        assert verdict is AttemptDecision.CONTINUE
    if verdict in (AttemptDecision.MOVE, AttemptDecision.RESTART):
        assert min(long_s, usual_s) < deadline_s
