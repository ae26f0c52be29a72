"""Placement of tasks by estimated endpoint speed and the expected end of their job.

A job ends with its last task. A task with slack, which a slower endpoint still ends
before the job's last task, leaves the faster endpoints to the tasks on the critical
path. A task without slack waits, rather than start on a slow endpoint, if a faster
one that is busy is likely to end it sooner.

A task whose caller waits for the answer does not start on an endpoint that is unlikely
to end it by the deadline while a faster one is busy: it waits for that one, for a
bounded time, or for as long as only that one is expected to end it in time, given when
the first task there ends.

Fast endpoints that are nearly all busy are left to the tasks that need them: other
tasks go to slower ones that end them by their job's target.
"""

import math
from collections.abc import Sequence

from .deadline_speed import (
    CALLS_S,
    SIMILAR_SPEED_SHARE,
    attainable_speed_for_deadline,
)
from .endpoint_load import EndpointLoad
from .policies import Choice, Reason
from .presets import Preset
from .scheduler_types import WaitingTask

__all__ = ["TailAwarePlacement"]

SLACK_SHARE = 0.7
INITIAL_MEAN_RUN_S = 0.4
MEAN_RUN_WINDOW_TASKS = 200
MIN_GAIN_S = 0.005
WAIT_SAFETY_FACTOR = 4.0
# Share of the time to its deadline for which a task waits for an endpoint that is fast
# enough.
DEADLINE_WAIT_SHARE = 0.15
# Fast endpoints are scarce while less than this share of their capacity is free.
SCARCE_SHARE = 0.5


class TailAwarePlacement:
    """Reserves fast endpoints for the tasks that determine when a job ends.

    Parameters
    ----------
    use_slack : bool
        Whether tasks with slack go to slower endpoints.
    wait_faster : bool
        Whether tasks wait for a faster endpoint.
    cap_long : bool
        Whether to enforce the preset's maximum share of slots held by long tasks.
    """

    def __init__(
        self, use_slack: bool = True, wait_faster: bool = True, cap_long: bool = True
    ) -> None:
        self._use_slack = use_slack
        self._wait_faster = wait_faster
        self._cap_long = cap_long
        self._mean_run_s = INITIAL_MEAN_RUN_S
        self._long_left = 0
        self._capacity = 1.0
        self._waiting_for_faster = 0
        self._max_wait_s = 0.0
        self._endpoints: Sequence[EndpointLoad] = ()
        self._fastest_speed = 0.0
        self._fastest: Sequence[EndpointLoad] = ()

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """Prepare for one round of choices, given all endpoints, fastest first."""
        usable = [load for load in endpoints if load.reachable]
        slots = sum(load.announcement.slots for load in usable)
        running_long = sum(load.long_tasks for load in usable)
        self._long_left = int(preset.long_share * slots) - running_long
        self._capacity = max(
            1.0, sum(load.announcement.slots * load.speed for load in usable)
        )
        self._waiting_for_faster = 0
        self._max_wait_s = preset.wait_faster_s
        self._endpoints = usable
        self._fastest_speed = max(
            (load.speed for load in usable if load.usable()), default=0.0
        )
        least_speed = SIMILAR_SPEED_SHARE * self._fastest_speed
        self._fastest = [
            load for load in usable if load.usable() and load.speed >= least_speed
        ]

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose one of the endpoints with free capacity, or let the task wait.

        The candidates are sorted, fastest first.
        """
        if self._cap_long and task.long and self._long_left <= 0:
            return Choice(None, Reason.LONG_SHARE)
        choice = self._choose(task, _nearest(task, candidates), now_s)
        if choice.endpoint is not None:
            self._long_left -= task.long
            self._update_mean_run(task)
        return choice

    def _choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        deadline_speed = _deadline_speed(task, self._fastest_speed, now_s)
        if self._use_slack:
            speed = self._speed_by_job_end(task, now_s)
            speed_by_target = self._speed_by_target(task, now_s)
            if speed_by_target < speed and self._fastest_are_scarce(task):
                speed = speed_by_target
            slowest = _slowest(candidates, max(speed, deadline_speed))
            if slowest is not None:
                return Choice(slowest, Reason.SLACK)
        fastest = candidates[0]
        if fastest.speed < deadline_speed and self._waits_for_deadline(
            task, fastest, deadline_speed, now_s
        ):
            return Choice(None, Reason.WAIT_FOR_DEADLINE)
        if self._may_wait(task, now_s) and self._ends_sooner_if_waits(task, fastest):
            self._waiting_for_faster += 1
            if task.waits_for_faster_since_s is None:
                task.waits_for_faster_since_s = now_s
            return Choice(None, Reason.WAIT_FOR_FASTER)
        return Choice(fastest, Reason.FASTEST)

    def _speed_by_job_end(self, task: WaitingTask, now_s: float) -> float:
        """Return the lowest speed that ends a task before its job's last task."""
        queued_job = task.queued_job
        if queued_job is None:
            return math.inf
        slack_s = max(
            queued_job.expected_end_s - now_s, queued_job.work_s / self._capacity
        )
        slack_s = SLACK_SHARE * max(
            slack_s, queued_job.longest_s / self._endpoints[0].speed
        )
        return task.estimate_s / max(1e-9, slack_s)

    def _fastest_are_scarce(self, task: WaitingTask) -> bool:
        """Return whether the fastest endpoints have little room for tasks like one."""
        free = sum(load.free_for(task.spec) for load in self._fastest)
        slots = sum(load.slots_for(task.spec) for load in self._fastest)
        return free < SCARCE_SHARE * slots

    def _speed_by_target(self, task: WaitingTask, now_s: float) -> float:
        """Return the lowest speed that ends a task by its job's target.

        It is 0 if no endpoint does, and infinite if there is no target.
        """
        queued_job = task.queued_job
        if queued_job is None or math.isinf(queued_job.target_completion_s):
            return math.inf
        left_s = queued_job.target_completion_s - now_s - CALLS_S
        if task.estimate_s > self._fastest_speed * left_s:
            return 0.0
        return task.estimate_s / left_s

    def _waits_for_deadline(
        self, task: WaitingTask, fastest_free: EndpointLoad, speed: float, now_s: float
    ) -> bool:
        """Return whether a task waits for a busy endpoint that has a given speed."""
        if not self._wait_faster:
            return False
        left_s = task.deadline_s - now_s - CALLS_S
        if fastest_free.speed * left_s < task.estimate_s:
            free_at_s = min(map(_free_at_s, self._fastest), default=math.inf)
            wait_s = max(0.0, free_at_s - now_s)
            if task.estimate_s <= self._fastest_speed * (left_s - wait_s):
                return True
        if self._fastest_speed < speed:
            return False
        if task.waits_for_faster_since_s is None:
            task.waits_for_faster_since_s = now_s
        since_s = task.waits_for_faster_since_s
        return now_s - since_s < DEADLINE_WAIT_SHARE * (task.deadline_s - since_s)

    def _may_wait(self, task: WaitingTask, now_s: float) -> bool:
        """Return whether a task may still wait for a faster endpoint."""
        if not self._wait_faster:
            return False
        waited_s = (
            0.0
            if task.waits_for_faster_since_s is None
            else now_s - task.waits_for_faster_since_s
        )
        return waited_s < self._max_wait_s

    def _ends_sooner_if_waits(
        self, task: WaitingTask, fastest_free: EndpointLoad
    ) -> bool:
        """Return whether waiting for a busy faster endpoint ends the task sooner."""
        run_here_s = task.estimate_s / fastest_free.speed
        slots = 0
        for load in self._endpoints:
            if load.speed <= fastest_free.speed:
                break
            slots += load.announcement.slots
            wait_s = (
                WAIT_SAFETY_FACTOR
                * self._mean_run_s
                * (1 + self._waiting_for_faster)
                / slots
            )
            if wait_s + task.estimate_s / load.speed + MIN_GAIN_S < run_here_s:
                return True
        return False

    def _update_mean_run(self, task: WaitingTask) -> None:
        deviation_s = task.estimate_s - self._mean_run_s
        self._mean_run_s += deviation_s / MEAN_RUN_WINDOW_TASKS


def _free_at_s(load: EndpointLoad) -> float:
    """Return when the first of an endpoint's running tasks is expected to end."""
    return min(
        (
            running.started_s + running.estimate_s / load.speed
            for running in load.running.values()
        ),
        default=0.0,
    )


def _deadline_speed(task: WaitingTask, fastest: float, now_s: float) -> float:
    """Return the speed that makes a task as safe from its deadline as it can be.

    It is 0 for a task whose caller does not wait for the answer.
    """
    queued_job = task.queued_job
    if queued_job is None or math.isinf(queued_job.target_completion_s):
        return 0.0
    return attainable_speed_for_deadline(
        task.estimate_s, task.deadline_s, now_s, fastest
    )


def _slowest(candidates: Sequence[EndpointLoad], speed: float) -> EndpointLoad | None:
    """Return the slowest of the candidates that has at least a given speed."""
    for load in reversed(candidates):
        if load.speed >= speed:
            return load
    return None


def _nearest(
    task: WaitingTask, candidates: Sequence[EndpointLoad]
) -> Sequence[EndpointLoad]:
    """Return the endpoints in the rack of the task's data, or all if there is none."""
    rack = task.spec.rack
    if rack is None:
        return candidates
    return [load for load in candidates if load.announcement.rack == rack] or candidates
