"""Estimates of run times and speeds."""

import random

from currantwell.estimates import LearntEstimates
from tests.builders import waiting_task


def add_run_times(estimates, wrong, count=400):
    """Add run times around 0.2 s at speed 1, at one slow and one fast endpoint.

    The declared run times are off by up to the factor ``wrong``.
    """
    rng = random.Random(1)
    for _ in range(count):
        run_s = 0.2 * rng.lognormvariate(0.0, 0.5)
        declared_s = run_s * wrong ** rng.uniform(-1.0, 1.0)
        endpoint, speed = rng.choice([("slow", 0.5), ("fast", 2.0)])
        task = waiting_task(run_time_s=declared_s)
        estimates.learn(endpoint, task, run_s / speed)


def test_declared_run_times_that_are_far_off_have_little_weight():
    estimates = LearntEstimates()
    add_run_times(estimates, wrong=10.0)
    assert estimates.estimate_s("check-in", 0.02) > 0.5 * estimates.estimate_s(
        "check-in", 2.0
    )


def test_declared_run_times_that_are_right_are_used():
    estimates = LearntEstimates()
    add_run_times(estimates, wrong=1.0)
    ratio = estimates.estimate_s("check-in", 2.0) / estimates.estimate_s(
        "check-in", 0.2
    )
    assert ratio > 5.0


def test_speeds_are_estimated_independently_of_run_times():
    estimates = LearntEstimates()
    add_run_times(estimates, wrong=10.0)
    assert 3.0 < estimates.speed("fast") / estimates.speed("slow") < 5.0


def test_one_straggler_hardly_changes_an_estimate():
    estimates = LearntEstimates()
    add_run_times(estimates, wrong=10.0)
    before_s = estimates.estimate_s("check-in", 0.2)
    estimates.learn("fast", waiting_task(run_time_s=0.2), 60.0)
    assert estimates.estimate_s("check-in", 0.2) < 1.1 * before_s


def test_a_short_window_detects_an_endpoint_that_becomes_slow():
    def estimated_slowdown(window_tasks):
        estimates = LearntEstimates(window_tasks)
        add_run_times(estimates, wrong=1.0)
        before = estimates.speed("fast")
        for _ in range(30):
            task = waiting_task(run_time_s=0.2)
            estimates.learn("fast", task, 0.2 / 2.0 * 6.0)
        return before / estimates.speed("fast")

    assert estimated_slowdown(12) > 3.0
    assert estimated_slowdown(100) < 2.0
