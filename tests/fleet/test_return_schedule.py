"""The return of callers that a burst on a full service has refused."""

from collections import Counter

import pytest

from currantwell.fleet.return_schedule import MAX_RETRY_AFTER_S, ReturnSchedule

RATE_PER_S = 20


def busy_schedule(now_s=10.0):
    """Return a schedule of a host that completes 20 jobs a second."""
    schedule = ReturnSchedule()
    for number in range(3 * RATE_PER_S):
        schedule.record_completion(now_s - 3.0 + number / RATE_PER_S)
    return schedule


def test_a_burst_returns_no_faster_than_jobs_complete():
    schedule = busy_schedule()
    returns_s = [10.0 + schedule.retry_after_s(0.5, 10.0) for _ in range(200)]
    assert returns_s == sorted(returns_s)
    by_second = Counter(int(return_s) for return_s in returns_s)
    assert max(by_second.values()) <= RATE_PER_S + 1


def test_nobody_returns_before_the_backlog_has_gone():
    schedule = busy_schedule()
    assert all(schedule.retry_after_s(2.5, 10.0) >= 2.5 for _ in range(50))


def test_a_caller_refused_later_returns_later_than_one_that_still_waits():
    schedule = busy_schedule()
    first_s = [10.0 + schedule.retry_after_s(0.5, 10.0) for _ in range(100)]
    later_s = 11.0 + schedule.retry_after_s(0.5, 11.0)
    assert later_s > max(first_s)


def test_once_the_burst_is_over_the_delay_is_short_again():
    schedule = busy_schedule()
    for _ in range(100):
        schedule.retry_after_s(0.5, 10.0)
    assert schedule.retry_after_s(0.5, 30.0) == 0.5


@pytest.mark.parametrize("completed", [0, 3 * RATE_PER_S])
def test_no_delay_exceeds_the_limit(completed):
    schedule = busy_schedule() if completed else ReturnSchedule()
    delays_s = [schedule.retry_after_s(0.5, 10.0) for _ in range(2000)]
    assert max(delays_s) <= MAX_RETRY_AFTER_S
    assert schedule.retry_after_s(0.5, 10.0 + 2 * MAX_RETRY_AFTER_S) == 0.5
