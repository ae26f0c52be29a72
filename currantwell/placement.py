"""Where a task goes: by learnt speed, with the end of its whole job in mind.

A job ends with its last task. A task that a slower endpoint still ends before that
leaves the faster ones to tasks on which the end of a job hangs; and such a task
waits, rather than start on a slow endpoint, where a faster one is likely to end it
sooner.
"""

from collections.abc import Sequence

from .endpoint_load import EndpointLoad
from .policies import Choice, Reason
from .presets import Preset
from .scheduler_types import WaitingTask

__all__ = ["TailAwarePlacement"]

SLACK_SHARE = 0.7
USUAL_RUN_S = 0.4
RUN_MEMORY_TASKS = 200
MIN_GAIN_S = 0.005
WAIT_SAFETY = 4.0


class TailAwarePlacement:
    """Spends fast endpoints on the tasks on which a job's end hangs.

    Parameters
    ----------
    use_slack : bool
        Whether tasks with slack go to slower endpoints.
    wait_faster : bool
        Whether tasks wait for a faster endpoint.
    cap_long : bool
        Whether the preset's share of long tasks is kept.
    """

    def __init__(
        self, use_slack: bool = True, wait_faster: bool = True, cap_long: bool = True
    ) -> None:
        self._use_slack = use_slack
        self._wait_faster = wait_faster
        self._cap_long = cap_long
        self._usual_run_s = USUAL_RUN_S
        self._long_left = 0
        self._capacity = 1.0
        self._waiters = 0
        self._most_wait_s = 0.0
        self._endpoints: Sequence[EndpointLoad] = ()

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """Prepare for choices at one moment; all endpoints are given, fastest first."""
        usable = [load for load in endpoints if load.reachable]
        slots = sum(load.announcement.slots for load in usable)
        held = sum(load.long_tasks for load in usable)
        self._long_left = int(preset.long_share * slots) - held
        self._capacity = max(
            1.0, sum(load.announcement.slots * load.speed for load in usable)
        )
        self._waiters = 0
        self._most_wait_s = preset.wait_faster_s
        self._endpoints = usable

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose one of the endpoints with room, fastest first, or to wait."""
        if self._cap_long and task.long and self._long_left <= 0:
            return Choice(None, Reason.LONG_SHARE)
        choice = self._choose(task, _nearest(task, room), now_s)
        if choice.endpoint is not None:
            self._long_left -= task.long
            self._note_run(task)
        return choice

    def _choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        if self._use_slack:
            slow = self._slowest_in_time(task, room, now_s)
            if slow is not None:
                return Choice(slow, Reason.SLACK)
        fastest = room[0]
        if self._may_wait(task, now_s) and self._sooner_elsewhere(task, fastest):
            self._waiters += 1
            if task.waits_for_faster_since_s is None:
                task.waits_for_faster_since_s = now_s
            return Choice(None, Reason.WAIT_FOR_FASTER)
        return Choice(fastest, Reason.FASTEST)

    def _slowest_in_time(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> EndpointLoad | None:
        group = task.queued_job
        if group is None:
            return None
        left_s = max(group.expected_end_s - now_s, group.work_s / self._capacity)
        left_s = SLACK_SHARE * max(left_s, group.longest_s / self._endpoints[0].speed)
        needed = task.estimate_s / max(1e-9, left_s)
        for load in reversed(room):
            if load.speed >= needed:
                return load
        return None

    def _may_wait(self, task: WaitingTask, now_s: float) -> bool:
        if not self._wait_faster:
            return False
        waited_s = (
            0.0
            if task.waits_for_faster_since_s is None
            else now_s - task.waits_for_faster_since_s
        )
        return waited_s < self._most_wait_s

    def _sooner_elsewhere(self, task: WaitingTask, best: EndpointLoad) -> bool:
        """Tell whether waiting for a busy faster endpoint ends the task sooner."""
        here_s = task.estimate_s / best.speed
        slots = 0
        for load in self._endpoints:
            if load.speed <= best.speed:
                break
            slots += load.announcement.slots
            wait_s = WAIT_SAFETY * self._usual_run_s * (1 + self._waiters) / slots
            if wait_s + task.estimate_s / load.speed + MIN_GAIN_S < here_s:
                return True
        return False

    def _note_run(self, task: WaitingTask) -> None:
        step = task.estimate_s - self._usual_run_s
        self._usual_run_s += step / RUN_MEMORY_TASKS


def _nearest(task: WaitingTask, room: Sequence[EndpointLoad]) -> Sequence[EndpointLoad]:
    """Return the endpoints beside the task's data, all of them if there is none."""
    rack = task.spec.rack
    if rack is None:
        return room
    return [load for load in room if load.announcement.rack == rack] or room
