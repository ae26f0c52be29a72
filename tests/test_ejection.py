"""Ejection of endpoints that fail or refuse tasks."""

from currantwell.ejection import FIRST_BACKOFF_S, OutlierEjection
from tests.builders import endpoint_load


def unlimited(names, now_s=0.0):
    """Return an ejection policy without limits and its endpoints."""
    ejection = OutlierEjection()
    loads = [endpoint_load(name) for name in names]
    for name in names:
        for _ in range(20):
            ejection.record_outcome(name, "check-in", True, now_s)
    assert ejection.limits(loads, now_s) == {}
    return ejection, loads


def test_an_endpoint_that_fails_every_task_is_ejected_after_a_few():
    ejection, loads = unlimited("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    assert ejection.limits(loads, 1.0) == {"a": 0}


def test_an_ejected_endpoint_is_probed_by_one_attempt_and_readmitted():
    ejection, loads = unlimited("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    later_s = 1.0 + FIRST_BACKOFF_S
    assert ejection.limits(loads, later_s) == {"a": 1}
    ejection.record_outcome("a", "check-in", True, later_s)
    assert ejection.limits(loads, later_s) == {"a": 2}


def test_a_failed_probe_ejects_for_longer():
    ejection, loads = unlimited("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    probed_s = 1.0 + FIRST_BACKOFF_S
    ejection.record_outcome("a", "check-in", False, probed_s)
    assert ejection.limits(loads, probed_s + 1.9 * FIRST_BACKOFF_S) == {"a": 0}


def test_a_kind_of_task_that_fails_everywhere_ejects_no_endpoint():
    ejection, loads = unlimited("abcd")
    for turn in range(800):
        ejection.record_outcome("abcd"[turn % 4], "broken", turn % 8 < 4, 1.0)
    for _ in range(20):
        ejection.record_outcome("a", "check-in", True, 1_000.0)
    for _ in range(4):
        ejection.record_outcome("a", "broken", False, 1_000.0)
    assert "a" not in ejection.limits(loads, 1_000.0)


def test_never_more_than_half_are_ejected():
    ejection, loads = unlimited("abcd")
    for name in "abcd":
        for _ in range(10):
            ejection.record_outcome(name, "check-in", False, 1.0)
    limits = ejection.limits(loads, 1.0)
    assert sum(limit == 0 for limit in limits.values()) == 2


def test_an_endpoint_that_refuses_gets_no_starts_during_a_backoff():
    ejection, loads = unlimited("ab")
    ejection.record_refusal("a", 1.0)
    assert ejection.limits(loads, 1.0) == {"a": 0}
    assert ejection.limits(loads, 1.1) == {}
