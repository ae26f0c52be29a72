"""What becomes of attempts that come too late."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantwell.progress import LAST_ATTEMPT, Outlook, Progress, Verdict, judge

HOPELESS = Outlook(math.inf, math.inf)


def seen(left_s, least_left_s=None):
    return Progress(0.1, left_s, left_s if least_left_s is None else least_left_s)


@pytest.mark.parametrize(
    ("attempt", "progress", "outlook", "verdict"),
    [
        (1, seen(0.9), HOPELESS, Verdict.GO_ON),
        (1, seen(1.1), HOPELESS, Verdict.GIVE_UP),
        (1, seen(1.1, 0.9), HOPELESS, Verdict.GO_ON),
        (1, seen(1.1), Outlook(0.5, 0.4), Verdict.MOVE),
        (1, seen(1.1), Outlook(0.99, 0.4), Verdict.GIVE_UP),
        (1, seen(9.0), Outlook(4.0, 0.4), Verdict.RESTART),
        (1, seen(9.0), Outlook(4.0, 0.9), Verdict.GIVE_UP),
        (LAST_ATTEMPT, seen(1.1), Outlook(0.5, 0.4), Verdict.GIVE_UP),
        (LAST_ATTEMPT, seen(1.1, 0.9), Outlook(0.5, 0.4), Verdict.GO_ON),
    ],
    ids=str,
)
def test_the_verdict_with_a_second_left(attempt, progress, outlook, verdict):
    assert judge(attempt, progress, outlook, 1.0) is verdict


times = st.floats(0.001, 10.0)


@given(st.integers(1, 3), times, times, times, times, times)
def test_nothing_that_may_be_in_time_is_given_up(
    attempt, left_s, least_share, long_s, usual_s, deadline_s
):
    progress = seen(left_s, left_s * min(1.0, least_share))
    verdict = judge(attempt, progress, Outlook(long_s, usual_s), deadline_s)
    if verdict is Verdict.GIVE_UP:
        assert progress.least_left_s > deadline_s
    if left_s <= deadline_s:
        assert verdict is Verdict.GO_ON
    if verdict in (Verdict.MOVE, Verdict.RESTART):
        assert min(long_s, usual_s) < deadline_s
