"""Placement of tasks by speed, slack and share of long tasks."""

import msgspec
import pytest

from currantwell.deadline_speed import CALLS_S
from currantwell.endpoint_protocol import AttemptRef
from currantwell.placement import TailAwarePlacement
from currantwell.policies import Reason
from currantwell.presets import ORDINARY
from currantwell.scheduler_types import QueuedJob
from tests.builders import endpoint_load, waiting_task

FAST, USUAL, SLOW = 2.0, 1.0, 0.5


@pytest.fixture
def loads():
    speeds = (FAST, USUAL, SLOW)
    return [endpoint_load(f"e{index}", speed) for index, speed in enumerate(speeds)]


def choose(loads, task, candidates=None, preset=ORDINARY, now_s=0.0, placement=None):
    placement = placement or TailAwarePlacement()
    placement.prepare(loads, preset, now_s)
    return placement.choose(task, candidates or loads, now_s)


def in_job(task, longest_s):
    task.queued_job = QueuedJob("job", "team", 0.0, 1, task.estimate_s, longest_s)
    return task


def test_the_longest_task_goes_to_the_fastest_endpoint(loads):
    task = in_job(waiting_task(estimate_s=2.0), longest_s=2.0)
    choice = choose(loads, task)
    assert (choice.endpoint.speed, choice.reason) == (FAST, Reason.FASTEST)


def test_a_task_with_slack_leaves_fast_endpoints_free(loads):
    task = in_job(waiting_task(estimate_s=0.1), longest_s=4.0)
    choice = choose(loads, task)
    assert (choice.endpoint.speed, choice.reason) == (SLOW, Reason.SLACK)


def test_a_task_without_slack_waits_for_a_faster_endpoint_only_briefly(loads):
    placement = TailAwarePlacement()
    task = in_job(waiting_task(estimate_s=5.0), longest_s=5.0)
    candidates = [loads[2]]
    first = choose(loads, task, candidates, placement=placement)
    assert first.reason is Reason.WAIT_FOR_FASTER
    later_s = ORDINARY.wait_faster_s + 0.001
    second = choose(loads, task, candidates, now_s=later_s, placement=placement)
    assert second.endpoint is loads[2]


def waited_for(task, deadline_s, target_s=1.0):
    """Make the task one of a job whose caller waits for the answer."""
    in_job(task, task.estimate_s).queued_job.target_completion_s = target_s
    task.deadline_s = deadline_s
    return task


@pytest.mark.parametrize(
    ("estimate_s", "reason"),
    [(1.1, Reason.WAIT_FOR_DEADLINE), (0.2, Reason.FASTEST), (3.0, Reason.FASTEST)],
)
def test_a_task_waits_only_for_an_endpoint_that_alone_ends_it_by_the_deadline(
    loads, estimate_s, reason
):
    preset = msgspec.structs.replace(ORDINARY, wait_faster_s=0.0)
    task = waited_for(waiting_task(estimate_s=estimate_s), deadline_s=1.4)
    assert choose(loads, task, loads[1:], preset).reason is reason
    assert choose(loads, task, loads[1:], preset, now_s=0.3).endpoint is (
        None if estimate_s == 1.1 else loads[1]
    )
    assert choose(loads, task, loads[1:], preset, now_s=0.85).endpoint is loads[1]


def test_a_task_does_not_wait_for_an_endpoint_that_will_be_free_too_late(loads):
    """Tasks of wide jobs waited for the fast endpoints that their siblings held."""
    preset = msgspec.structs.replace(ORDINARY, wait_faster_s=0.0)
    task = waited_for(waiting_task(estimate_s=1.1), deadline_s=1.4)
    for estimate_s, endpoint in ((0.9, None), (1.2, loads[1])):
        sibling = waiting_task(task=1, estimate_s=estimate_s)
        sibling.started_s = 0.25
        loads[0].add_running(AttemptRef("job", 1, 1), sibling)
        choose(loads, task, loads[1:], preset)
        late = choose(loads, task, loads[1:], preset, now_s=0.35)
        assert late.endpoint is endpoint
        loads[0].remove_running(AttemptRef("job", 1, 1))


def test_a_task_that_a_slow_endpoint_may_end_in_time_waits_for_a_bounded_time(loads):
    preset = msgspec.structs.replace(ORDINARY, wait_faster_s=0.0)
    task = waited_for(waiting_task(estimate_s=1.0), deadline_s=1.4)
    assert choose(loads, task, loads[1:], preset).reason is Reason.WAIT_FOR_DEADLINE
    assert choose(loads, task, loads[1:], preset, now_s=0.2).endpoint is None
    assert choose(loads, task, loads[1:], preset, now_s=0.22).endpoint is loads[1]


@pytest.mark.parametrize("estimate_s", [2.0, 2.6])
def test_a_task_that_only_the_fastest_may_end_in_time_does_not_start_on_a_slow_one(
    loads, estimate_s
):
    preset = msgspec.structs.replace(ORDINARY, wait_faster_s=0.0)
    task = waited_for(waiting_task(estimate_s=estimate_s), deadline_s=1.4)
    assert choose(loads, task, loads[1:], preset).reason is Reason.WAIT_FOR_DEADLINE
    assert choose(loads, task, loads, preset).endpoint is loads[0]
    latest_start_s = 1.4 - CALLS_S - estimate_s / FAST
    if latest_start_s > 0.21:
        waits = choose(loads, task, loads[1:], preset, now_s=latest_start_s - 0.01)
        assert waits.reason is Reason.WAIT_FOR_DEADLINE
    later_s = max(0.3, latest_start_s + 0.01)
    assert choose(loads, task, loads[1:], preset, now_s=later_s).endpoint is loads[1]


@pytest.mark.parametrize(
    ("busy", "target_s", "speed"),
    [
        (0, 1.0, FAST),
        (3, 1.0, SLOW),
        (3, 0.6, USUAL),
        (3, 0.3, FAST),
        (3, 0.05, SLOW),
    ],
    ids=["idle", "scarce", "nearer target", "only the fastest is in time", "late"],
)
def test_scarce_fast_endpoints_are_left_to_tasks_that_need_them(
    loads, busy, target_s, speed
):
    for index in range(busy):
        running = waiting_task(job=f"other{index}")
        loads[0].add_running(AttemptRef(f"other{index}", 0, 1), running)
    loads[0].announcement = msgspec.structs.replace(loads[0].announcement, slots=4)
    task = waited_for(waiting_task(estimate_s=0.4), 1.4, target_s)
    assert choose(loads, task).endpoint.speed == speed


def test_a_task_with_slack_in_its_job_avoids_endpoints_too_slow_for_the_deadline(loads):
    task = waited_for(waiting_task(estimate_s=0.8), deadline_s=1.4)
    task.queued_job.expected_end_s = 9.0
    assert choose(loads, task).endpoint.speed == USUAL


def test_a_preset_without_waits_uses_the_free_endpoint(loads):
    preset = msgspec.structs.replace(ORDINARY, wait_faster_s=0.0)
    task = in_job(waiting_task(estimate_s=5.0), longest_s=5.0)
    assert choose(loads, task, [loads[2]], preset).endpoint is loads[2]


def test_long_tasks_occupy_no_more_than_their_share(loads):
    preset = msgspec.structs.replace(ORDINARY, long_share=0.25)
    task = in_job(waiting_task(estimate_s=5.0), longest_s=5.0)
    task.long = True
    placement = TailAwarePlacement()
    placement.prepare(loads, preset, 0.0)
    choices = [placement.choose(task, loads, 0.0) for _ in range(8)]
    assert sum(choice.endpoint is not None for choice in choices) == 6
    assert choices[-1].reason is Reason.LONG_SHARE


def test_a_task_goes_to_a_free_endpoint_in_the_rack_of_its_data(loads):
    near = endpoint_load("near", FAST, rack="r1-3")
    task = waiting_task(estimate_s=0.2, rack="r1-3")
    assert choose([*loads, near], task).endpoint is near
    assert choose([*loads, near], task, candidates=loads).endpoint is loads[0]
