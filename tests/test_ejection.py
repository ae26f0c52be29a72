"""Ejection of endpoints by evidence."""

from currantwell.ejection import FIRST_BACKOFF_S, OutlierEjection
from tests.builders import endpoint_load


def trusted(names, now_s=0.0):
    """Return a rule that trusts all endpoints fully, and the endpoints."""
    ejection = OutlierEjection()
    loads = [endpoint_load(name) for name in names]
    for name in names:
        for _ in range(20):
            ejection.record_outcome(name, "check-in", True, now_s)
    assert ejection.limits(loads, now_s) == {}
    return ejection, loads


def test_an_endpoint_that_fails_all_is_ejected_after_a_few():
    ejection, loads = trusted("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    assert ejection.limits(loads, 1.0) == {"a": 0}


def test_an_ejected_endpoint_is_probed_by_one_attempt_and_comes_back():
    ejection, loads = trusted("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    later_s = 1.0 + FIRST_BACKOFF_S
    assert ejection.limits(loads, later_s) == {"a": 1}
    ejection.record_outcome("a", "check-in", True, later_s)
    assert ejection.limits(loads, later_s) == {"a": 2}


def test_a_failed_probe_ejects_for_longer():
    ejection, loads = trusted("abcd")
    for _ in range(3):
        ejection.record_outcome("a", "check-in", False, 1.0)
    probed_s = 1.0 + FIRST_BACKOFF_S
    ejection.record_outcome("a", "check-in", False, probed_s)
    assert ejection.limits(loads, probed_s + 1.9 * FIRST_BACKOFF_S) == {"a": 0}


def test_a_kind_that_fails_everywhere_ejects_no_one():
    ejection, loads = trusted("abcd")
    for turn in range(800):
        ejection.record_outcome("abcd"[turn % 4], "broken", turn % 8 < 4, 1.0)
    for _ in range(20):
        ejection.record_outcome("a", "check-in", True, 1_000.0)
    for _ in range(4):
        ejection.record_outcome("a", "broken", False, 1_000.0)
    assert "a" not in ejection.limits(loads, 1_000.0)


def test_never_more_than_half_are_ejected():
    ejection, loads = trusted("abcd")
    for name in "abcd":
        for _ in range(10):
            ejection.record_outcome(name, "check-in", False, 1.0)
    limits = ejection.limits(loads, 1.0)
    assert sum(limit == 0 for limit in limits.values()) == 2


def test_an_endpoint_that_refuses_is_left_alone_for_a_moment():
    ejection, loads = trusted("ab")
    ejection.record_refusal("a", 1.0)
    assert ejection.limits(loads, 1.0) == {"a": 0}
    assert ejection.limits(loads, 1.1) == {}
