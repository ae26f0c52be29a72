"""Learnt run times and speeds."""

import random

from currantwell.estimates import LearntEstimates
from tests.builders import waiting_task


def learn(estimates, wrong, count=400):
    """Teach run times of 0.2 s at speed 1, with one slow and one fast endpoint."""
    chance = random.Random(1)
    for _ in range(count):
        run_s = 0.2 * chance.lognormvariate(0.0, 0.5)
        declared_s = run_s * wrong ** chance.uniform(-1.0, 1.0)
        endpoint, speed = chance.choice([("slow", 0.5), ("fast", 2.0)])
        task = waiting_task(run_time_s=declared_s)
        estimates.learn(endpoint, task, run_s / speed)


def test_declarations_that_are_far_off_are_not_believed():
    estimates = LearntEstimates()
    learn(estimates, wrong=10.0)
    assert estimates.estimate_s("check-in", 0.02) > 0.5 * estimates.estimate_s(
        "check-in", 2.0
    )


def test_declarations_that_hold_are_believed():
    estimates = LearntEstimates()
    learn(estimates, wrong=1.0)
    ratio = estimates.estimate_s("check-in", 2.0) / estimates.estimate_s(
        "check-in", 0.2
    )
    assert ratio > 5.0


def test_speeds_are_learnt_apart_from_run_times():
    estimates = LearntEstimates()
    learn(estimates, wrong=10.0)
    assert 3.0 < estimates.speed("fast") / estimates.speed("slow") < 5.0


def test_one_straggler_hardly_moves_an_estimate():
    estimates = LearntEstimates()
    learn(estimates, wrong=10.0)
    before_s = estimates.estimate_s("check-in", 0.2)
    estimates.learn("fast", waiting_task(run_time_s=0.2), 60.0)
    assert estimates.estimate_s("check-in", 0.2) < 1.1 * before_s


def test_a_short_memory_notices_an_endpoint_that_turns_slow():
    def slowdown_seen(memory_tasks):
        estimates = LearntEstimates(memory_tasks)
        learn(estimates, wrong=1.0)
        before = estimates.speed("fast")
        for _ in range(30):
            task = waiting_task(run_time_s=0.2)
            estimates.learn("fast", task, 0.2 / 2.0 * 6.0)
        return before / estimates.speed("fast")

    assert slowdown_seen(12) > 3.0
    assert slowdown_seen(100) < 2.0
