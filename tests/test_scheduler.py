"""The scheduler with the policies of a host."""

import dataclasses
import random

import pytest

from currantwell.codes import ResultCode
from currantwell.dispatch_policies import dispatch_scheduler
from currantwell.endpoint_protocol import Announcement
from currantwell.presets import FixedPreset
from currantwell.progress import AttemptProgress
from currantwell.quotas import EqualQuotas
from currantwell.scheduler import Scheduler
from currantwell.scheduler_types import JobRequest
from currantwell.submission import RestartRule, TaskSpec
from tests.builders import by_speed


@pytest.fixture
def scheduler():
    made = dispatch_scheduler(FixedPreset(), EqualQuotas(), random.Random(1))
    announce(made, "e")
    return made


def announce(scheduler, endpoint, **fields):
    announcement = Announcement(endpoint, "first", "", "valdres", **fields)
    scheduler.update_endpoint(announcement, 0.0)


def add(scheduler, job="job", tasks=1, attempt=1, now_s=0.0, **spec):
    specs = tuple(TaskSpec("check-in", **spec) for _ in range(tasks))
    request = JobRequest(job, "team", specs, 60.0)
    scheduler.add(request, {index: attempt for index in range(tasks)}, now_s)
    return request


def lift_trial_limit(scheduler):
    """Complete tasks until the endpoint is given all its slots."""
    for turn in range(12):
        add(scheduler, f"trial-{turn}", tasks=8)
        for placed in scheduler.plan(0.0):
            scheduler.attempt_ended(placed.ref, ResultCode.COMPLETE, 0.2, 0.0)
        scheduler.remove(f"trial-{turn}")


def test_a_new_endpoint_gets_few_starts(scheduler):
    add(scheduler, tasks=8)
    assert len(scheduler.plan(0.0)) == 2


def test_the_free_capacity_of_a_new_endpoint_is_what_it_gets(scheduler):
    free = scheduler.free_capacity().free
    add(scheduler, tasks=8)
    assert len(scheduler.plan(0.0)) == free


def test_no_more_starts_than_slots(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, tasks=20)
    placed = scheduler.plan(0.0)
    assert len(placed) == 8
    assert scheduler.plan(0.0) == []
    scheduler.attempt_ended(placed[0].ref, ResultCode.COMPLETE, 0.2, 0.1)
    assert len(scheduler.plan(0.1)) == 1


def test_used_memory_is_not_allocated_twice(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, tasks=3, memory_mb=30_000)
    assert len(scheduler.plan(0.0)) == 2


def test_a_task_that_fits_nowhere_does_not_block_others(scheduler):
    add(scheduler, "stuck", tasks=40, memory_mb=100_000)
    add(scheduler, "small")
    assert [placed.task.job for placed in scheduler.plan(0.0)] == ["small"]


@pytest.mark.parametrize("state", ["draining", "unreachable", "removed"])
def test_an_unusable_endpoint_gets_no_start(scheduler, state):
    if state == "draining":
        announce(scheduler, "e", draining=True)
    elif state == "unreachable":
        scheduler.set_endpoint_reachable("e", False)
    else:
        scheduler.remove_endpoint("e")
    add(scheduler)
    assert scheduler.plan(0.0) == []


def test_a_retry_waits_for_its_backoff(scheduler):
    add(scheduler, attempt=2)
    assert scheduler.plan(0.0) == []
    assert len(scheduler.plan(1.0)) == 1


def test_a_removed_job_starts_nothing(scheduler):
    add(scheduler)
    add(scheduler, "retried", attempt=2)
    scheduler.remove("job")
    scheduler.remove("retried")
    assert scheduler.waiting_task_count == 0
    add(scheduler, "other")
    assert [placed.task.job for placed in scheduler.plan(5.0)] == ["other"]


def test_a_job_past_its_deadline_is_returned_once_and_not_started(scheduler):
    add(scheduler)
    assert scheduler.plan(60.0) == []
    assert scheduler.pop_expired_jobs(60.0) == ["job"]
    assert scheduler.pop_expired_jobs(61.0) == []


def test_attempts_that_run_at_an_endpoint_occupy_its_slots(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, tasks=8)
    for placed in scheduler.plan(0.0):
        scheduler.add_running(placed.ref, "e", placed.task)
    scheduler.remove_endpoint("e")
    announce(scheduler, "e")
    add(scheduler, "more")
    assert scheduler.plan(0.0) == []


def test_only_idempotent_stragglers_are_selected_and_only_once(scheduler):
    lift_trial_limit(scheduler)
    for turn in range(30):
        add(scheduler, f"usual-{turn}", tasks=8)
        for placed in scheduler.plan(0.0):
            scheduler.pick_stragglers(0.0)
            scheduler.attempt_ended(placed.ref, ResultCode.COMPLETE, 0.2, 0.0)
    add(scheduler, "never", restart=RestartRule.NEVER)
    add(scheduler, "again", restart=RestartRule.IF_OVER)
    assert len(scheduler.plan(0.0)) == 2
    assert scheduler.pick_stragglers(0.3) == []
    assert [ref.job for ref in scheduler.pick_stragglers(30.0)] == ["again"]
    assert scheduler.pick_stragglers(30.1) == []


def test_decisions_are_explained(scheduler):
    add(scheduler, "placed")
    add(scheduler, "waits", memory_mb=100_000)
    scheduler.plan(0.0)
    assert "placed at e" in scheduler.explain("placed")[0]
    assert "no endpoint with room fits" in scheduler.explain("waits")[0]
    refused = JobRequest("refused", "team", (TaskSpec("x"),), 0.1)
    assert scheduler.check_admission(refused, 0.0) is not None
    assert "NOT_RUN_DEADLINE" in scheduler.explain("refused")[0]


def test_a_placement_is_recorded_with_the_inputs_that_decided_it(scheduler):
    add(scheduler, run_time_s=0.5, processors=1.5)
    scheduler.plan(0.25)
    (placed,) = scheduler.placements("job")
    assert (placed.task, placed.attempt, placed.endpoint) == (0, 1, "e")
    assert (placed.waited_s, placed.speed) == (0.25, scheduler.endpoint_speed("e"))
    assert placed.estimate_s == pytest.approx(0.5, rel=0.5)
    assert placed.processors == 1.5
    assert scheduler.placements("unknown") == []


def test_an_attempt_that_already_runs_counts_as_started_when_queued(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, restart=RestartRule.IF_OVER, now_s=10.0)
    placed = scheduler.plan(10.0)[0]
    found = dataclasses.replace(placed.task, started_s=0.0)
    scheduler.add_running(placed.ref, "e", found)
    assert found.started_s == 10.0


def test_a_task_goes_only_to_endpoints_with_its_label(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, tasks=2, label="b")
    assert scheduler.plan(0.0) == []
    announce(scheduler, "labelled", labels=("b", "r1-3"))
    assert {item.endpoint for item in scheduler.plan(0.0)} == {"labelled"}


def test_an_endpoint_runs_no_more_tasks_of_a_spread_than_allowed(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, "first", tasks=4, spread="5c0e.0", max_per_endpoint=2)
    (one, two) = scheduler.plan(0.0)
    add(scheduler, "second part", tasks=1, spread="5c0e.0", max_per_endpoint=2)
    assert scheduler.plan(0.0) == []
    scheduler.attempt_ended(one.ref, ResultCode.COMPLETE, 0.2, 0.1)
    assert len(scheduler.plan(0.1)) == 1
    scheduler.attempt_ended(two.ref, ResultCode.COMPLETE, 0.2, 0.2)
    assert len(scheduler.plan(0.2)) == 1


def test_each_spread_is_counted_separately(scheduler):
    lift_trial_limit(scheduler)
    add(scheduler, "first", tasks=2, spread="5c0e.0", max_per_endpoint=1)
    add(scheduler, "second", tasks=2, spread="5c0e.1", max_per_endpoint=1)
    assert len(scheduler.plan(0.0)) == 2


def test_a_moved_task_waits_for_an_endpoint_that_is_fast_enough():
    speeds = {"slow": 0.5, "fast": 2.0}
    scheduler = Scheduler(by_speed(**speeds))
    announce(scheduler, "slow", slots=1)
    add(scheduler, run_time_s=0.4)
    (first,) = scheduler.plan(0.0)
    announce(scheduler, "fast", slots=1)
    add(scheduler, "other", run_time_s=0.4)
    (other,) = scheduler.plan(0.0)
    assert other.endpoint == "fast"
    scheduler.record_observed_run_time(first.ref, AttemptProgress(10.0, 110.0, 110.0))
    scheduler.attempt_ended(first.ref, ResultCode.TASK_STOPPED, 10.0, 10.0)
    add(scheduler, attempt=2, now_s=10.0, run_time_s=0.4)
    assert scheduler.plan(11.0) == []
    scheduler.attempt_ended(other.ref, ResultCode.COMPLETE, 0.2, 11.0)
    assert [item.endpoint for item in scheduler.plan(11.0)] == ["fast"]


def test_a_moved_task_that_waited_too_long_is_not_started_on_a_slow_endpoint():
    scheduler = Scheduler(by_speed(slow=0.5, fast=2.0))
    announce(scheduler, "slow", slots=1)
    add(scheduler, run_time_s=0.4)
    (first,) = scheduler.plan(0.0)
    announce(scheduler, "fast", slots=1)
    add(scheduler, "other", run_time_s=0.4)
    (other,) = scheduler.plan(0.0)
    scheduler.record_observed_run_time(first.ref, AttemptProgress(10.0, 1e3, 1e3))
    scheduler.attempt_ended(first.ref, ResultCode.TASK_STOPPED, 10.0, 10.0)
    add(scheduler, attempt=2, now_s=10.0, run_time_s=0.4)
    assert scheduler.plan(11.0) == []
    scheduler.attempt_ended(other.ref, ResultCode.COMPLETE, 0.2, 11.0)
    assert [item.endpoint for item in scheduler.plan(11.0)] == ["fast"]


def test_a_moved_task_does_not_wait_if_no_endpoint_ends_it_in_time():
    scheduler = Scheduler(by_speed(slow=0.5))
    announce(scheduler, "slow", slots=1)
    add(scheduler, run_time_s=0.4)
    (first,) = scheduler.plan(0.0)
    scheduler.record_observed_run_time(first.ref, AttemptProgress(10.0, 110.0, 110.0))
    scheduler.attempt_ended(first.ref, ResultCode.TASK_STOPPED, 10.0, 10.0)
    add(scheduler, attempt=2, now_s=10.0, run_time_s=0.4)
    assert [item.endpoint for item in scheduler.plan(11.0)] == ["slow"]


def scheduler_with_a_waiting_moved_task():
    """A task at 10 s that takes 80 to 100 s at speed 1, with a deadline at 60 s."""
    scheduler = Scheduler(by_speed(slow=0.5, fast=2.0))
    announce(scheduler, "slow", slots=1)
    add(scheduler, run_time_s=0.4)
    (first,) = scheduler.plan(0.0)
    announce(scheduler, "fast", slots=1)
    add(scheduler, "other", run_time_s=0.4)
    scheduler.plan(0.0)
    progress = AttemptProgress(10.0, 190.0, 150.0)
    scheduler.record_observed_run_time(first.ref, progress)
    scheduler.attempt_ended(first.ref, ResultCode.TASK_STOPPED, 10.0, 10.0)
    add(scheduler, attempt=2, now_s=10.0, run_time_s=0.4)
    return scheduler


def test_a_job_expires_once_no_endpoint_ends_its_waiting_moved_task_in_time():
    scheduler = scheduler_with_a_waiting_moved_task()
    assert scheduler.plan(19.0) == []
    assert scheduler.next_expiry_s() == 20.0
    assert scheduler.pop_expired_jobs(19.9) == []
    assert scheduler.pop_expired_jobs(20.0) == ["job"]
    assert scheduler.pop_expired_jobs(20.0) == []
    scheduler.remove("job")
    assert scheduler.next_expiry_s() > 20.0


def test_a_moved_task_that_has_started_again_does_not_expire():
    scheduler = scheduler_with_a_waiting_moved_task()
    (other,) = [ref for load in scheduler.endpoints for ref in load.running]
    scheduler.attempt_ended(other, ResultCode.COMPLETE, 0.2, 11.0)
    assert [item.endpoint for item in scheduler.plan(11.0)] == ["fast"]
    assert scheduler.next_expiry_s() > 20.0
    assert scheduler.pop_expired_jobs(20.0) == []


def test_a_moved_task_does_not_expire_early_while_no_endpoint_is_usable():
    scheduler = scheduler_with_a_waiting_moved_task()
    for endpoint in ("slow", "fast"):
        scheduler.set_endpoint_reachable(endpoint, False)
    assert scheduler.pop_expired_jobs(20.0) == []
    scheduler.set_endpoint_reachable("fast", True)
    assert scheduler.pop_expired_jobs(20.0) == ["job"]


def test_tasks_that_wait_are_estimated_by_the_progress_of_alike_tasks_of_their_job():
    scheduler = Scheduler(by_speed(slow=0.5, usual=1.0))
    announce(scheduler, "slow", slots=2)
    alike, other = TaskSpec("x", run_time_s=0.4), TaskSpec("x", run_time_s=0.1)
    for job, specs in {"job": [alike] * 3 + [other], "later": [alike]}.items():
        request = JobRequest(job, "team", specs, 60.0)
        scheduler.add(request, {index: 1 for index in range(len(specs))}, 0.0)
    placed = scheduler.plan(0.0)
    assert [item.ref.task for item in placed] == [0, 1]
    scheduler.record_progress({placed[0].ref: AttemptProgress(1.0, 3.0, 3.0)})
    assert scheduler.free_capacity().waiting_s == pytest.approx(2.0 + 0.1 + 0.4)
    scheduler.record_progress({placed[1].ref: AttemptProgress(1.0, 1.0, 1.0)})
    assert scheduler.free_capacity().waiting_s == pytest.approx(1.5 + 0.1 + 0.4)
    announce(scheduler, "usual", slots=8)
    scheduler.plan(1.0)
    estimates_s = [item.estimate_s for item in scheduler.placements("job")]
    assert sorted(estimates_s) == pytest.approx([0.1, 0.4, 0.4, 1.5])
    assert scheduler.free_capacity().waiting_s == 0.0


@pytest.mark.parametrize(
    ("endpoint", "usual_s"), [("other", 1.5), ("slow", 0.1)], ids=["other", "same"]
)
def test_a_restart_is_estimated_by_alike_tasks_of_the_job_at_other_endpoints(
    endpoint, usual_s
):
    scheduler = Scheduler(by_speed(slow=0.5, other=1.0, fast=2.0))
    announce(scheduler, "slow", slots=1)
    add(scheduler, tasks=2, run_time_s=0.2)
    (first,) = scheduler.plan(0.0)
    announce(scheduler, endpoint, slots=2)
    (second,) = scheduler.plan(0.0)
    announce(scheduler, "fast", slots=1)
    second_run_s = 3.0 / scheduler.endpoint_speed(endpoint)
    progress = AttemptProgress(0.0, second_run_s, second_run_s)
    scheduler.record_progress({second.ref: progress})
    estimate = scheduler.estimate_restart(first.ref, AttemptProgress(1.0, 9.0, 9.0))
    assert estimate.if_usual_s == pytest.approx(usual_s)
