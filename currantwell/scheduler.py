"""The scheduler: which waiting task starts where, and which job is let in.

The scheduler does no I/O and reads no clock: its caller tells it what happened and
when, and carries out the placements that `Scheduler.plan` returns. What varies
stands behind the protocols of `policies`.

Invariants: a task is either waiting, delayed or placed; each placement that `plan`
returns counts as started until `attempt_ended` is told of it, whatever became of its
endpoint.
"""

import dataclasses
import heapq
import math
from collections.abc import Sequence

from .answers import Refusal
from .backlog import Backlog
from .codes import ResultCode
from .decisions import DecisionLog
from .endpoint_load import EndpointLoad
from .endpoint_protocol import Announcement, AttemptRef
from .ids import EndpointId, JobId
from .policies import (
    Admission,
    Ejection,
    Estimator,
    Ordering,
    Placement,
    Reason,
    RetryBudget,
    StragglerRule,
)
from .presets import FixedPreset, Preset, PresetSource
from .progress import AttemptProgress, RestartEstimate
from .scheduler_types import (
    JobRequest,
    PlacedTask,
    QueuedJob,
    Shape,
    WaitingTask,
    shape_of,
)
from .submission import TaskSpec

__all__ = ["FreeCapacity", "Policies", "Scheduler"]

LONG_TASK_S = 2.0
BUDGET_PAUSE_S = 0.1
HEADROOM_SHARE = 0.1
RAN_CODES = frozenset({ResultCode.COMPLETE, ResultCode.TASK_FAILED})
REFUSED_CODES = frozenset({ResultCode.NOT_RUN_OVERLOADED})


@dataclasses.dataclass(frozen=True, slots=True)
class FreeCapacity:
    """How much more could start.

    Parameters
    ----------
    free : int
        How many tasks like the newest one could start now.
    slots : int
        How many such tasks all endpoints hold together.
    waiting_s : float
        Estimated run time of the waiting tasks together.
    """

    free: int
    slots: int
    waiting_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Everything that decides."""

    placement: Placement
    ordering: Ordering
    admission: Admission
    estimates: Estimator
    ejection: Ejection
    retries: RetryBudget
    stragglers: StragglerRule


class Scheduler:
    """Holds waiting tasks and endpoints, and matches them.

    Parameters
    ----------
    policies : Policies
        What decides.
    presets : PresetSource or None
        Knows the preset in force.
    """

    def __init__(self, policies: Policies, presets: PresetSource | None = None) -> None:
        self._policies = policies
        self._presets = presets or FixedPreset()
        self._decisions = DecisionLog()
        self._backlog = Backlog()
        self._endpoints: dict[EndpointId, EndpointLoad] = {}
        self._waiting: dict[JobId, dict[int, WaitingTask]] = {}
        self._placed: dict[AttemptRef, tuple[EndpointId, WaitingTask]] = {}
        self._deadlines: list[tuple[float, JobId]] = []
        self._start_by: list[tuple[float, JobId]] = []
        self._delayed: list[tuple[float, int, WaitingTask]] = []
        self._delays = 0
        self._newest: TaskSpec | None = None
        self._found_s: dict[JobId, dict[int, float]] = {}
        self._room: FreeCapacity | None = None

    @property
    def endpoints(self) -> Sequence[EndpointLoad]:
        """All known endpoints."""
        return list(self._endpoints.values())

    @property
    def waiting_task_count(self) -> int:
        """How many tasks wait."""
        return self._backlog.tasks

    def free_capacity(self) -> FreeCapacity:
        """Return how much more could start, in tasks like the newest one."""
        if self._room is None:
            self._room = self._count_room()
        return self._room

    def _count_room(self) -> FreeCapacity:
        loads = [load for load in self._endpoints.values() if load.usable()]
        spec = self._newest
        if spec is None:
            free = sum(load.free_slots() for load in loads)
            return FreeCapacity(
                free, sum(load.announcement.slots for load in loads), 0.0
            )
        free = sum(load.free_for(spec) for load in loads)
        slots = sum(load.slots_for(spec) for load in loads)
        return FreeCapacity(free, slots, self._backlog.work_s)

    def check_admission(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Return why a new job is refused, or None if it may be added."""
        refusal = self._policies.admission.check(
            request, self.endpoints, self._backlog, now_s
        )
        if refusal is not None:
            self._decisions.record_refusal(request.job, refusal)
        return refusal

    def add(self, request: JobRequest, attempts: dict[int, int], now_s: float) -> None:
        """Queue tasks of a job.

        Parameters
        ----------
        request : JobRequest
            The job.
        attempts : dict
            For each task to queue, the number of its next attempt.
        now_s : float
            The runtime's clock.
        """
        if not attempts:
            return
        self._room = None
        self._newest = request.tasks[0]
        group = QueuedJob(
            request.job,
            request.team,
            now_s,
            target_completion_s=request.target_completion_s,
        )
        tasks = [
            self._new_task(request, group, index, attempt, now_s)
            for index, attempt in attempts.items()
        ]
        waiting = self._waiting.setdefault(request.job, {})
        for task in tasks:
            waiting[task.task] = task
            self._backlog.add(task)
        heapq.heappush(self._deadlines, (request.deadline_s, request.job))
        if request.start_by_s < request.deadline_s:
            heapq.heappush(self._start_by, (request.start_by_s, request.job))
        first = [task for task in tasks if task.attempt <= 1]
        if first:
            self._policies.ordering.add(first, now_s)
        for task in tasks:
            if task.attempt > 1:
                self._delay(task, self._policies.retries.backoff_s(task), now_s)

    def add_running(
        self, ref: AttemptRef, endpoint: EndpointId, task: WaitingTask
    ) -> None:
        """Count an attempt that an endpoint was found to hold."""
        self._room = None
        task.started_s = max(task.started_s, task.queued_at_s)
        self._placed[ref] = (endpoint, task)
        if endpoint in self._endpoints:
            self._endpoints[endpoint].add_running(ref, task)

    def update_endpoint(self, announcement: Announcement, now_s: float) -> None:
        """Take in what an endpoint says of itself."""
        load = self._endpoints.get(announcement.endpoint)
        if load is not None:
            if _offers(load.announcement) != _offers(announcement):
                self._room = None
            load.announcement = announcement
            return
        self._room = None
        load = self._endpoints[announcement.endpoint] = EndpointLoad(announcement)
        load.speed = self._policies.estimates.speed(load.id)
        for ref, (endpoint, task) in self._placed.items():
            if endpoint == announcement.endpoint:
                load.add_running(ref, task)
        self._policies.admission.membership_changed(now_s)

    def set_endpoint_reachable(self, endpoint: EndpointId, reachable: bool) -> None:
        """Note whether an endpoint answers; one that does not gets no start."""
        load = self._endpoints.get(endpoint)
        if load is not None and load.reachable != reachable:
            load.reachable = reachable
            self._room = None

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Forget an endpoint; its attempts stay placed until they end."""
        self._room = None
        self._endpoints.pop(endpoint, None)
        self._policies.ejection.forget(endpoint)

    def plan(self, now_s: float) -> list[PlacedTask]:
        """Place waiting tasks; each returned placement counts as started."""
        self._release_delayed(now_s)
        if not self._backlog.tasks:
            return []
        self._room = None
        preset = self._presets.preset()
        ordered = sorted(self._endpoints.values(), key=_slowness)
        self._limit(ordered, now_s)
        return self._match(ordered, preset, now_s)

    def attempt_ended(
        self, ref: AttemptRef, code: ResultCode, run_s: float, now_s: float
    ) -> None:
        """Free what an attempt took, and learn from it.

        Parameters
        ----------
        ref : AttemptRef
            The attempt.
        code : ResultCode
            How it ended.
        run_s : float
            How long it ran.
        now_s : float
            The runtime's clock.
        """
        endpoint, task = self._placed.pop(ref, (None, None))
        if endpoint is None or task is None:
            return
        self._room = None
        if code is ResultCode.COMPLETE:
            self._take_found_s(ref.job, ref.task)
        load = self._endpoints.get(endpoint)
        if load is not None:
            load.remove_running(ref)
        slow = code is ResultCode.TASK_STOPPED and run_s > task.estimate_s
        if code is ResultCode.COMPLETE or slow:
            self._policies.estimates.learn(endpoint, task, run_s)
            if load is not None:
                load.speed = self._policies.estimates.speed(endpoint)
        if load is not None and code in RAN_CODES:
            ok = code is ResultCode.COMPLETE
            self._policies.ejection.record_outcome(endpoint, task.spec.kind, ok, now_s)
        elif load is not None and code in REFUSED_CODES:
            self._policies.ejection.record_refusal(endpoint, now_s)

    def pop_expired_jobs(self, now_s: float) -> list[JobId]:
        """Return the jobs with waiting tasks that are out of time, once each.

        Their deadline has passed, or the time by which the first task had to start.
        """
        jobs = []
        while self._start_by and self._start_by[0][0] <= now_s:
            _, job = heapq.heappop(self._start_by)
            if self._untouched(job):
                jobs.append(job)
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, job = heapq.heappop(self._deadlines)
            if job in self._waiting:
                jobs.append(job)
        return jobs

    def _untouched(self, job: JobId) -> bool:
        """Tell whether a job waits and nothing of it was ever placed."""
        waiting = self._waiting.get(job, {}).values()
        return bool(waiting) and all(
            task.attempt <= 1
            and (task.queued_job is None or not task.queued_job.expected_end_s)
            for task in waiting
        )

    def stragglers(self, now_s: float) -> list[AttemptRef]:
        """Return attempts that are better stopped and, once over, started anew."""
        return self._policies.stragglers.pick(
            self.endpoints, self._presets.preset(), now_s
        )

    def record_stall(self, ref: AttemptRef, now_s: float) -> None:
        """Learn that an attempt makes far less progress than its task should."""
        endpoint, task = self._placed.get(ref, (None, None))
        if endpoint in self._endpoints and endpoint is not None and task is not None:
            self._policies.ejection.record_outcome(
                endpoint, task.spec.kind, False, now_s
            )

    def estimate_restart(
        self, ref: AttemptRef, seen: AttemptProgress
    ) -> RestartEstimate:
        """Return how long a new attempt would run at the fastest endpoint."""
        endpoint, task = self._placed.get(ref, (None, None))
        speeds = [load.speed for load in self._endpoints.values() if load.usable()]
        if task is None or endpoint not in self._endpoints or not speeds:
            return RestartEstimate(math.inf, math.inf)
        work_s = self._work_s(endpoint, seen)
        return RestartEstimate(work_s / max(speeds), task.estimate_s / max(speeds))

    def record_observed_run_time(self, ref: AttemptRef, seen: AttemptProgress) -> None:
        """Expect of a task's next attempt what is seen of this one."""
        endpoint, _ = self._placed.get(ref, (None, None))
        if endpoint is not None and endpoint in self._endpoints:
            work_s = self._work_s(endpoint, seen)
            self._found_s.setdefault(ref.job, {})[ref.task] = work_s

    def _work_s(self, endpoint: EndpointId, seen: AttemptProgress) -> float:
        """Return how long all of an attempt's task takes at speed 1."""
        return (seen.run_s + seen.left_s) * self._endpoints[endpoint].speed

    def remove(self, job: JobId) -> None:
        """Take all waiting tasks of a job out of the queue."""
        self._room = None
        self._found_s.pop(job, None)
        for task in self._waiting.pop(job, {}).values():
            self._policies.ordering.discard(task)
            self._backlog.remove(task)

    def explain(self, job: JobId) -> list[str]:
        """Say for each task of a job why it waits, went where it went, or ended."""
        reason = self._decisions.wait_reason(job).value
        lines = [
            f"task {task.task}: waits since {task.queued_at_s:.3f} s: {reason}"
            for task in self._waiting.get(job, {}).values()
        ]
        return self._decisions.lines(job) + lines

    # How it matches.

    def _match(
        self,
        ordered: Sequence[EndpointLoad],
        preset: Preset,
        now_s: float,
    ) -> list[PlacedTask]:
        room = [load for load in ordered if load.free_slots() > 0]
        if not room:
            return []
        policies = self._policies
        policies.placement.prepare(ordered, preset, now_s)
        slots = sum(load.announcement.slots for load in ordered)
        placed: list[PlacedTask] = []
        blocked: set[Shape] = set()
        left = sum(load.free_slots() for load in room) - int(HEADROOM_SHARE * slots)
        for task in policies.ordering.candidates(slots, now_s):
            if task.deadline_s <= now_s or task.shape in blocked:
                continue
            fitting = [load for load in room if load.fits(task.spec)]
            if not fitting:
                blocked.add(task.shape)
            fitting = _fast_enough(task, fitting, ordered, now_s)
            if not fitting:
                self._decisions.record_wait(task, Reason.NO_CAPACITY)
                continue
            if len(placed) >= left and policies.ordering.exceeds_share(task):
                self._decisions.record_wait(task, Reason.OVER_SHARE)
                continue
            choice = policies.placement.choose(task, fitting, now_s)
            if choice.endpoint is None:
                self._decisions.record_wait(task, choice.reason)
                continue
            placed.append(self._place(task, choice.endpoint, choice.reason, now_s))
            if choice.endpoint.free_slots() <= 0:
                room.remove(choice.endpoint)
                if not room:
                    break
        return placed

    def _place(
        self, task: WaitingTask, load: EndpointLoad, reason: Reason, now_s: float
    ) -> PlacedTask:
        placed = PlacedTask(task, load.id, load.announcement.incarnation)
        task.started_s = now_s
        waiting = self._waiting[task.job]
        del waiting[task.task]
        if not waiting:
            del self._waiting[task.job]
        self._backlog.remove(task)
        self._policies.ordering.discard(task)
        self._policies.ordering.record_start(task, now_s)
        if task.attempt <= 1:
            self._policies.retries.credit(task, self._presets.preset().restarts_share)
        if task.queued_job is not None:
            task.queued_job.tasks -= 1
            task.queued_job.work_s -= task.estimate_s
            expected_end_s = now_s + task.estimate_s / load.speed
            task.queued_job.expected_end_s = max(
                task.queued_job.expected_end_s, expected_end_s
            )
        ref = placed.ref
        load.add_running(ref, task)
        self._placed[ref] = (load.id, task)
        self._decisions.record_placement(task, load.id, reason, now_s)
        return placed

    def _limit(self, ordered: Sequence[EndpointLoad], now_s: float) -> None:
        limits = self._policies.ejection.limits(ordered, now_s)
        for load in ordered:
            load.limit = limits.get(load.id)

    def _new_task(
        self,
        request: JobRequest,
        group: QueuedJob,
        index: int,
        attempt: int,
        now_s: float,
    ) -> WaitingTask:
        spec = request.tasks[index]
        estimate_s = self._take_found_s(request.job, index)
        moved = estimate_s is not None
        if estimate_s is None:
            estimate_s = self._policies.estimates.estimate_s(spec.kind, spec.run_time_s)
        group.tasks += 1
        group.work_s += estimate_s
        group.longest_s = max(group.longest_s, estimate_s)
        return WaitingTask(
            request.job,
            request.team,
            index,
            attempt,
            spec,
            request.deadline_s,
            now_s,
            estimate_s,
            estimate_s >= LONG_TASK_S,
            group,
            shape_of(spec),
            moved=moved,
        )

    def _take_found_s(self, job: JobId, task: int) -> float | None:
        """Return what an earlier attempt showed of a task's run time, once."""
        found = self._found_s.get(job)
        if found is None:
            return None
        work_s = found.pop(task, None)
        if not found:
            del self._found_s[job]
        return work_s

    def _delay(self, task: WaitingTask, wait_s: float, now_s: float) -> None:
        self._delays += 1
        heapq.heappush(self._delayed, (now_s + wait_s, self._delays, task))
        self._decisions.record_wait(task, Reason.BACKOFF)

    def _release_delayed(self, now_s: float) -> None:
        while self._delayed and self._delayed[0][0] <= now_s:
            _, _, task = heapq.heappop(self._delayed)
            if self._waiting.get(task.job, {}).get(task.task) is not task:
                continue
            if self._policies.retries.try_take(task, now_s):
                self._policies.ordering.add([task], now_s)
            else:
                self._delay(task, BUDGET_PAUSE_S, now_s)


def _slowness(load: EndpointLoad) -> float:
    return -load.speed


def _fast_enough(
    task: WaitingTask,
    fitting: list[EndpointLoad],
    known: Sequence[EndpointLoad],
    now_s: float,
) -> list[EndpointLoad]:
    """Return the endpoints with room that end a moved task before its deadline.

    None, to wait, while one without room would; all of them once none would, and for
    any other task.
    """
    if not task.moved:
        return fitting
    needed = task.estimate_s / max(1e-9, task.deadline_s - now_s)
    fast = [load for load in fitting if load.speed >= needed]
    if fast or any(load.usable() and load.speed >= needed for load in known):
        return fast
    return fitting


def _offers(said: Announcement) -> tuple[float, ...]:
    """Return what of an announcement decides how much an endpoint holds."""
    return (
        said.slots,
        said.processors,
        said.memory_mb,
        said.accelerators,
        said.draining,
    )
