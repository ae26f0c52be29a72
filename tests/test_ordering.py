"""The order in which waiting tasks start."""

from currantwell.ordering import FairOrdering, FifoOrdering
from currantwell.quotas import EqualQuotas, Quota
from tests.builders import waiting_task

SLOTS = 10


def add(ordering, job, team="a", run_s=0.1, tasks=1, now_s=0.0):
    added = [
        waiting_task(job=job, team=team, task=index, estimate_s=run_s)
        for index in range(tasks)
    ]
    ordering.add(added, now_s)
    return added


def start(ordering, count, now_s=0.0):
    """Start tasks in order and return their jobs."""
    jobs = []
    for task in ordering.candidates(SLOTS, now_s):
        ordering.discard(task)
        ordering.record_start(task, now_s)
        jobs.append(task.job)
        if len(jobs) == count:
            break
    return jobs


def test_short_jobs_overtake_long_ones_that_arrived_first():
    ordering = FairOrdering(EqualQuotas())
    add(ordering, "long", run_s=5.0)
    add(ordering, "short", run_s=0.1, now_s=1.0)
    assert start(ordering, 2) == ["short", "long"]


def test_a_long_job_is_not_overtaken_by_a_job_that_arrived_much_later():
    ordering = FairOrdering(EqualQuotas())
    add(ordering, "long", run_s=5.0)
    add(ordering, "short", run_s=0.1, now_s=30.0)
    assert start(ordering, 2, 30.0) == ["long", "short"]


def test_the_longest_task_of_a_job_starts_first():
    ordering = FairOrdering(EqualQuotas())
    tasks = [waiting_task(task=i, estimate_s=s) for i, s in enumerate((0.1, 0.9, 0.5))]
    ordering.add(tasks, 0.0)
    first = next(iter(ordering.candidates(SLOTS, 0.0)))
    assert first.estimate_s == 0.9


def test_a_flooding_team_comes_after_the_others():
    ordering = FairOrdering(EqualQuotas())
    add(ordering, "flood", "flooder", run_s=1.0, tasks=200)
    add(ordering, "calm", "calm", run_s=1.0, tasks=1)
    assert start(ordering, 150)[0] == "calm"
    add(ordering, "more", "calm", run_s=2.0, tasks=3, now_s=1.0)
    assert start(ordering, 5, 1.0) == ["more"] * 3 + ["flood"] * 2


def test_shares_follow_the_weights_of_quotas():
    class Weights:
        def quota(self, team):
            return Quota(weight=3.0 if team == "heavy" else 1.0)

    ordering = FairOrdering(Weights())
    add(ordering, "h", "heavy", run_s=1.0, tasks=2_000)
    add(ordering, "l", "light", run_s=1.0, tasks=2_000)
    started = start(ordering, 600)
    assert 1.8 < started.count("h") / started.count("l") < 4.5


def test_a_skipped_task_does_not_block_the_next_job():
    ordering = FairOrdering(EqualQuotas())
    add(ordering, "first", run_s=0.1, tasks=40)
    add(ordering, "second", run_s=0.5, now_s=100.0)
    yielded = [task.job for task in ordering.candidates(SLOTS, 0.0)]
    assert yielded[-1] == "second"
    assert yielded.count("first") < 40


def test_first_come_first_served():
    ordering = FifoOrdering()
    add(ordering, "long", run_s=5.0, tasks=2)
    add(ordering, "short", run_s=0.1, now_s=1.0)
    assert start(ordering, 3) == ["long", "long", "short"]
