"""The scheduler: decides which waiting task starts where and which job is admitted.

The scheduler does no I/O and reads no clock: its caller reports each event with its
time and carries out the placements that `Scheduler.plan` returns. Exchangeable rules
are behind the protocols of `policies`.

Invariants: a task is either waiting, in backoff or placed; each placement that `plan`
returns counts as started until `attempt_ended` is called for it, even if its endpoint
is removed meanwhile.
"""

import dataclasses
import heapq
import math
import statistics
from collections.abc import Mapping, Sequence

from .answers import Refusal
from .backlog import Backlog
from .codes import ResultCode
from .deadline_speed import SIMILAR_SPEED_SHARE
from .decisions import DecisionLog, PlacementDecision
from .endpoint_load import EndpointLoad
from .endpoint_protocol import Announcement, AttemptRef
from .ids import EndpointId, JobId
from .job_progress import JobProgress, RunTimeClass, run_time_class
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
from .turning_away import jobs_without_prospect

__all__ = ["FreeCapacity", "Policies", "Scheduler"]

LONG_TASK_S = 2.0
BUDGET_RECHECK_S = 0.1
# Share of all slots that teams over their share leave free for the others.
HEADROOM_SHARE = 0.1
EXECUTED_CODES = frozenset({ResultCode.COMPLETE, ResultCode.TASK_FAILED})
REFUSED_CODES = frozenset({ResultCode.NOT_RUN_OVERLOADED})


@dataclasses.dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free capacity of all usable endpoints, counted in tasks like the newest one.

    Parameters
    ----------
    free : int
        Number of such tasks that could start now.
    slots : int
        Number of such tasks that the endpoints could run when empty.
    waiting_s : float
        Total estimated run time of the waiting tasks, in seconds at speed 1.
    """

    free: int
    slots: int
    waiting_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """The set of policies that a scheduler uses."""

    placement: Placement
    ordering: Ordering
    admission: Admission
    estimates: Estimator
    ejection: Ejection
    retries: RetryBudget
    stragglers: StragglerRule


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedRunTime:
    """The run time at speed 1 that an attempt showed, and its lower bound."""

    run_s: float
    min_run_s: float


class Scheduler:
    """Keeps the waiting tasks and the endpoints, and matches them.

    Parameters
    ----------
    policies : Policies
        The policies that decide.
    presets : PresetSource or None
        Source of the preset in force; None for `presets.ORDINARY`.
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
        self._start_limits: list[tuple[float, JobId]] = []
        self._in_backoff: list[tuple[float, int, WaitingTask]] = []
        self._backoff_sequence = 0
        self._newest_spec: TaskSpec | None = None
        self._observed_run_times: dict[JobId, dict[int, _ObservedRunTime]] = {}
        self._waiting_moved: dict[JobId, dict[int, WaitingTask]] = {}
        self._progress = JobProgress()
        self._free_capacity: FreeCapacity | None = None

    @property
    def endpoints(self) -> Sequence[EndpointLoad]:
        """All registered endpoints."""
        return list(self._endpoints.values())

    @property
    def waiting_task_count(self) -> int:
        """Number of waiting tasks, those in backoff included."""
        return self._backlog.tasks

    def free_capacity(self) -> FreeCapacity:
        """Return the free capacity, in tasks like the newest one."""
        if self._free_capacity is None:
            self._free_capacity = self._count_free_capacity()
        return self._free_capacity

    def _capacity_changed(self) -> None:
        self._free_capacity = None

    def _count_free_capacity(self) -> FreeCapacity:
        loads = [load for load in self._endpoints.values() if load.usable()]
        spec = self._newest_spec
        if spec is None:
            free = sum(load.free_slots() for load in loads)
            return FreeCapacity(
                free, sum(load.announcement.slots for load in loads), 0.0
            )
        free = sum(load.free_for(spec) for load in loads)
        slots = sum(load.slots_for(spec) for load in loads)
        return FreeCapacity(free, slots, self._backlog.work_s)

    def check_admission(self, request: JobRequest, now_s: float) -> Refusal | None:
        """Return the refusal of a new job, or None if it may be added."""
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
            Number of the next attempt of each task to queue, by index of the task.
        now_s : float
            Current time on the runtime's clock.
        """
        if not attempts:
            return
        self._capacity_changed()
        self._newest_spec = request.tasks[0]
        queued_job = QueuedJob(
            request.job,
            request.team,
            now_s,
            target_completion_s=request.target_completion_s,
            start_by_s=request.start_by_s,
        )
        tasks = [
            self._new_task(request, queued_job, index, attempt, now_s)
            for index, attempt in attempts.items()
        ]
        waiting = self._waiting.setdefault(request.job, {})
        for task in tasks:
            waiting[task.task] = task
            if task.moved:
                self._waiting_moved.setdefault(request.job, {})[task.task] = task
            self._backlog.add(task)
        heapq.heappush(self._deadlines, (request.deadline_s, request.job))
        if request.start_by_s < request.deadline_s:
            heapq.heappush(self._start_limits, (request.start_by_s, request.job))
        first_attempts = [task for task in tasks if task.attempt <= 1]
        if first_attempts:
            self._policies.ordering.add(first_attempts, now_s)
        for task in tasks:
            if task.attempt > 1:
                self._start_backoff(task, self._policies.retries.backoff_s(task), now_s)

    def add_running(
        self, ref: AttemptRef, endpoint: EndpointId, task: WaitingTask
    ) -> None:
        """Count an attempt that already runs at an endpoint."""
        self._capacity_changed()
        task.started_s = max(task.started_s, task.queued_at_s)
        self._placed[ref] = (endpoint, task)
        if endpoint in self._endpoints:
            self._endpoints[endpoint].add_running(ref, task)

    def update_endpoint(self, announcement: Announcement, now_s: float) -> None:
        """Register an endpoint or replace its announcement."""
        load = self._endpoints.get(announcement.endpoint)
        if load is not None:
            if _capacity_of(load.announcement) != _capacity_of(announcement):
                self._capacity_changed()
            load.announcement = announcement
            return
        self._capacity_changed()
        load = self._endpoints[announcement.endpoint] = EndpointLoad(announcement)
        load.speed = self._policies.estimates.speed(load.id)
        load.limit = self._policies.ejection.limits([load], now_s).get(load.id)
        for ref, (endpoint, task) in self._placed.items():
            if endpoint == announcement.endpoint:
                load.add_running(ref, task)
        self._policies.admission.membership_changed(now_s)

    def set_endpoint_reachable(self, endpoint: EndpointId, reachable: bool) -> None:
        """Record whether an endpoint answers; an unreachable one gets no starts."""
        load = self._endpoints.get(endpoint)
        if load is not None and load.reachable != reachable:
            load.reachable = reachable
            self._capacity_changed()

    def remove_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint; its attempts stay placed until they end."""
        self._capacity_changed()
        self._endpoints.pop(endpoint, None)
        self._policies.ejection.forget(endpoint)

    def plan(self, now_s: float) -> list[PlacedTask]:
        """Place waiting tasks; each returned placement counts as started."""
        self._release_after_backoff(now_s)
        if not self._backlog.tasks:
            return []
        self._capacity_changed()
        preset = self._presets.preset()
        ordered = sorted(self._endpoints.values(), key=_negative_speed)
        self._update_limits(ordered, now_s)
        self._policies.ordering.prepare(ordered)
        return self._match(ordered, preset, now_s)

    def attempt_ended(
        self, ref: AttemptRef, code: ResultCode, run_s: float, now_s: float
    ) -> None:
        """Free the resources of an ended attempt and update the statistics.

        Parameters
        ----------
        ref : AttemptRef
            The attempt.
        code : ResultCode
            Its result.
        run_s : float
            Its run time in seconds.
        now_s : float
            Current time on the runtime's clock.
        """
        endpoint, task = self._placed.pop(ref, (None, None))
        if endpoint is None or task is None:
            return
        self._capacity_changed()
        self._progress.forget(ref)
        load = self._endpoints.get(endpoint)
        if code is ResultCode.COMPLETE:
            self._pop_observed_run_time(ref.job, ref.task)
            if load is not None:
                self._progress.record_complete(ref, run_s * load.speed)
        if load is not None:
            load.remove_running(ref)
        stopped_late = code is ResultCode.TASK_STOPPED and run_s > task.estimate_s
        if code is ResultCode.COMPLETE or stopped_late:
            self._policies.estimates.learn(endpoint, task, run_s)
            if load is not None:
                load.speed = self._policies.estimates.speed(endpoint)
        if load is not None and code in EXECUTED_CODES:
            succeeded = code is ResultCode.COMPLETE
            self._policies.ejection.record_outcome(
                endpoint, task.spec.kind, succeeded, now_s
            )
        elif load is not None and code in REFUSED_CODES:
            self._policies.ejection.record_refusal(endpoint, now_s)

    def pop_expired_jobs(self, now_s: float) -> list[JobId]:
        """Return the jobs that have expired while tasks of them wait.

        A job expires at its deadline, or at the time by which its first task had to
        start if none of its tasks was placed by then, or once a moved task waits that
        no usable endpoint ends in time. A limit that has passed is removed, so that it
        is reported once; the tasks wait until `remove` is called.
        """
        jobs = []
        while self._start_limits and self._start_limits[0][0] <= now_s:
            _, job = heapq.heappop(self._start_limits)
            if self._was_never_placed(job):
                jobs.append(job)
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, job = heapq.heappop(self._deadlines)
            if job in self._waiting:
                jobs.append(job)
        for job, limit_s in self._latest_starts_of_moved_tasks().items():
            if limit_s <= now_s:
                del self._waiting_moved[job]
                jobs.append(job)
        return jobs

    def jobs_without_prospect(self, now_s: float) -> list[JobId]:
        """Return the waiting jobs that will not start by their start limit."""
        spec = self._newest_spec
        if spec is None or not self._start_limits:
            return []
        usable = [load for load in self._endpoints.values() if load.usable()]
        capacity = sum(load.slots_for(spec) * load.speed for load in usable)
        slots = sum(load.announcement.slots for load in self._endpoints.values())
        waiting = self._policies.ordering.candidates(slots, now_s)
        return jobs_without_prospect(waiting, capacity, now_s)

    def next_expiry_s(self) -> float:
        """Return when the next job expires if it still waits then, infinite if none.

        The limits of jobs that no longer wait are removed; a job that waits again later
        is added with its limits.
        """
        while self._start_limits and not self._was_never_placed(
            self._start_limits[0][1]
        ):
            heapq.heappop(self._start_limits)
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            heapq.heappop(self._deadlines)
        limits = [
            queue[0][0] for queue in (self._start_limits, self._deadlines) if queue
        ]
        limits += self._latest_starts_of_moved_tasks().values()
        return min(limits, default=math.inf)

    def _latest_starts_of_moved_tasks(self) -> dict[JobId, float]:
        """Return when it becomes too late for a waiting moved task, for each job.

        That is when the fastest endpoint would no longer end it by the deadline, even
        if it were free. Empty while no endpoint is usable.
        """
        if not self._waiting_moved:
            return {}
        fastest = self._fastest_usable_speed()
        if fastest <= 0:
            return {}
        return {
            job: min(
                task.deadline_s - task.min_run_s / fastest for task in tasks.values()
            )
            for job, tasks in self._waiting_moved.items()
        }

    def _fastest_usable_speed(self) -> float:
        """Return the highest speed of a usable endpoint, 0 if there is none."""
        return max(
            (load.speed for load in self._endpoints.values() if load.usable()),
            default=0.0,
        )

    def _was_never_placed(self, job: JobId) -> bool:
        """Return whether a job waits and none of its tasks was ever placed."""
        waiting = self._waiting.get(job, {}).values()
        return bool(waiting) and all(
            task.attempt <= 1
            and (task.queued_job is None or not task.queued_job.expected_end_s)
            for task in waiting
        )

    def pick_stragglers(self, now_s: float) -> list[AttemptRef]:
        """Return attempts to stop and, once they have ended, to restart."""
        return self._policies.stragglers.pick(
            self.endpoints, self._presets.preset(), now_s
        )

    def endpoint_speed(self, endpoint: EndpointId) -> float:
        """Return the estimated speed of an endpoint, 1 if it is not registered."""
        load = self._endpoints.get(endpoint)
        return 1.0 if load is None else load.speed

    def record_stall(self, ref: AttemptRef, now_s: float) -> None:
        """Count an attempt that progresses far too slowly as its endpoint's failure."""
        endpoint, task = self._placed.get(ref, (None, None))
        if endpoint in self._endpoints and endpoint is not None and task is not None:
            self._policies.ejection.record_outcome(
                endpoint, task.spec.kind, False, now_s
            )

    def estimate_restart(
        self, ref: AttemptRef, progress: AttemptProgress
    ) -> RestartEstimate:
        """Return the estimated run time of a new attempt at the fastest endpoint."""
        endpoint, task = self._placed.get(ref, (None, None))
        fastest = self._fastest_usable_speed()
        if task is None or endpoint not in self._endpoints or fastest <= 0:
            return RestartEstimate(math.inf, math.inf)
        run_s = self._observed_run_time(endpoint, progress).run_s
        usual_s = self._progress.run_time_s(ref.job, task.spec, other_than=endpoint)
        if usual_s is None:
            usual_s = task.estimate_s
        return RestartEstimate(run_s / fastest, usual_s / fastest)

    def record_progress(self, reports: Mapping[AttemptRef, AttemptProgress]) -> None:
        """Estimate the waiting tasks of jobs by the progress of their running ones.

        Of the tasks that a job declares to be alike, those that wait are expected to
        run as long as those that run.
        """
        jobs = set()
        for ref, progress in reports.items():
            endpoint, task = self._placed.get(ref, (None, None))
            if task is None or endpoint is None or endpoint not in self._endpoints:
                continue
            run_s = self._observed_run_time(endpoint, progress).run_s
            self._progress.record(ref, endpoint, task.spec, run_s)
            if ref.job in self._waiting:
                jobs.add(ref.job)
        for job in jobs:
            self._estimate_waiting(job)

    def _estimate_waiting(self, job: JobId) -> None:
        """Estimate the waiting tasks of a job by its running ones, the moved excepted.

        The run time that is estimated for a moved task is its own.
        """
        run_times_s: dict[RunTimeClass, float | None] = {}
        for task in self._waiting[job].values():
            if task.moved:
                continue
            alike = run_time_class(task.spec)
            if alike not in run_times_s:
                run_times_s[alike] = self._progress.run_time_s(job, task.spec)
            estimate_s = run_times_s[alike]
            if estimate_s is not None:
                self._capacity_changed()
                self._change_estimate(task, estimate_s)

    def _change_estimate(self, task: WaitingTask, estimate_s: float) -> None:
        """Replace the estimated run time of a waiting task."""
        self._backlog.remove(task)
        queued_job = task.queued_job
        if queued_job is not None:
            queued_job.work_s += estimate_s - task.estimate_s
            queued_job.total_s += estimate_s - task.estimate_s
            queued_job.longest_s = max(queued_job.longest_s, estimate_s)
        task.estimate_s = estimate_s
        self._backlog.add(task)

    def record_observed_run_time(
        self, ref: AttemptRef, progress: AttemptProgress
    ) -> None:
        """Use the run time observed in an attempt as the estimate for the next one."""
        endpoint, _ = self._placed.get(ref, (None, None))
        if endpoint is not None and endpoint in self._endpoints:
            observed = self._observed_run_time(endpoint, progress)
            self._observed_run_times.setdefault(ref.job, {})[ref.task] = observed

    def _observed_run_time(
        self, endpoint: EndpointId, progress: AttemptProgress
    ) -> _ObservedRunTime:
        """Return the run time that the progress of an attempt implies."""
        speed = self._endpoints[endpoint].speed
        return _ObservedRunTime(
            (progress.run_s + progress.left_s) * speed,
            (progress.run_s + progress.min_left_s) * speed,
        )

    def remove(self, job: JobId) -> None:
        """Remove all waiting tasks of a job from the queue."""
        self._capacity_changed()
        self._observed_run_times.pop(job, None)
        self._waiting_moved.pop(job, None)
        for task in self._waiting.pop(job, {}).values():
            self._policies.ordering.discard(task)
            self._backlog.remove(task)

    def work_core_s(self, job: JobId, tasks: Sequence[TaskSpec]) -> float:
        """Return the work of a job in core-seconds at speed 1.

        It is the work that its tasks showed, and by that of tasks like them, or by
        their estimates, the work of the others.
        """
        shown_s = self._progress.run_times_s(job)
        alike_s: dict[RunTimeClass, list[float]] = {}
        for index, run_s in shown_s.items():
            alike_s.setdefault(run_time_class(tasks[index]), []).append(run_s)
        usual_s = {alike: statistics.median(times) for alike, times in alike_s.items()}
        total_core_s = 0.0
        for index, spec in enumerate(tasks):
            task_s = shown_s.get(index, usual_s.get(run_time_class(spec)))
            if task_s is None:
                task_s = self._policies.estimates.estimate_s(spec.kind, spec.run_time_s)
            total_core_s += task_s * spec.processors
        return total_core_s

    def forget_progress(self, job: JobId) -> None:
        """Forget what the tasks of a job that has ended showed."""
        self._progress.forget_job(job)

    def explain(self, job: JobId) -> list[str]:
        """Return lines that explain where the tasks of a job were placed or why not."""
        reason = self._decisions.wait_reason(job).value
        lines = [
            f"task {task.task}: waits since {task.queued_at_s:.3f} s: {reason}"
            for task in self._waiting.get(job, {}).values()
        ]
        return self._decisions.lines(job) + lines

    def placements(self, job: JobId) -> list[PlacementDecision]:
        """Return the placements of a job's attempts, in their order."""
        return self._decisions.placements(job)

    # Matching.

    def _match(
        self,
        ordered: Sequence[EndpointLoad],
        preset: Preset,
        now_s: float,
    ) -> list[PlacedTask]:
        """Place waiting tasks, in their order, at endpoints with free capacity."""
        available = [load for load in ordered if load.free_slots() > 0]
        if not available:
            return []
        policies = self._policies
        policies.placement.prepare(ordered, preset, now_s)
        slots = sum(load.announcement.slots for load in ordered)
        placed: list[PlacedTask] = []
        unplaceable: set[Shape] = set()
        unreserved = sum(load.free_slots() for load in available) - int(
            HEADROOM_SHARE * slots
        )
        for task in policies.ordering.candidates(slots, now_s):
            if task.deadline_s <= now_s or task.shape in unplaceable:
                continue
            fitting = [load for load in available if load.fits(task.spec)]
            if not fitting:
                unplaceable.add(task.shape)
            fitting = _fast_enough(task, fitting, ordered, now_s)
            if not fitting:
                self._decisions.record_wait(task, Reason.NO_CAPACITY)
                continue
            if len(placed) >= unreserved and policies.ordering.exceeds_share(task):
                self._decisions.record_wait(task, Reason.OVER_SHARE)
                continue
            choice = policies.placement.choose(task, fitting, now_s)
            if choice.endpoint is None:
                self._decisions.record_wait(task, choice.reason)
                continue
            placed.append(self._place(task, choice.endpoint, choice.reason, now_s))
            if choice.endpoint.free_slots() <= 0:
                available.remove(choice.endpoint)
                if not available:
                    break
        return placed

    def _place(
        self, task: WaitingTask, load: EndpointLoad, reason: Reason, now_s: float
    ) -> PlacedTask:
        """Move a task from the queue to an endpoint and charge its team."""
        placed = PlacedTask(task, load.id, load.announcement.incarnation)
        task.started_s = now_s
        _remove_task(self._waiting, task)
        _remove_task(self._waiting_moved, task)
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
        self._decisions.record_placement(task, load.id, load.speed, reason, now_s)
        return placed

    def _update_limits(self, ordered: Sequence[EndpointLoad], now_s: float) -> None:
        limits = self._policies.ejection.limits(ordered, now_s)
        for load in ordered:
            load.limit = limits.get(load.id)

    def _new_task(
        self,
        request: JobRequest,
        queued_job: QueuedJob,
        index: int,
        attempt: int,
        now_s: float,
    ) -> WaitingTask:
        spec = request.tasks[index]
        observed = self._pop_observed_run_time(request.job, index)
        estimate_s = (
            self._policies.estimates.estimate_s(spec.kind, spec.run_time_s)
            if observed is None
            else observed.run_s
        )
        queued_job.tasks += 1
        queued_job.work_s += estimate_s
        queued_job.total_s += estimate_s
        queued_job.longest_s = max(queued_job.longest_s, estimate_s)
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
            queued_job,
            shape_of(spec),
            moved=observed is not None,
            min_run_s=0.0 if observed is None else observed.min_run_s,
        )

    def _pop_observed_run_time(self, job: JobId, task: int) -> _ObservedRunTime | None:
        """Remove and return the run time that an earlier attempt of a task showed."""
        run_times = self._observed_run_times.get(job)
        if run_times is None:
            return None
        observed = run_times.pop(task, None)
        if not run_times:
            del self._observed_run_times[job]
        return observed

    def _start_backoff(self, task: WaitingTask, delay_s: float, now_s: float) -> None:
        self._backoff_sequence += 1
        heapq.heappush(
            self._in_backoff, (now_s + delay_s, self._backoff_sequence, task)
        )
        self._decisions.record_wait(task, Reason.BACKOFF)

    def _release_after_backoff(self, now_s: float) -> None:
        while self._in_backoff and self._in_backoff[0][0] <= now_s:
            _, _, task = heapq.heappop(self._in_backoff)
            if self._waiting.get(task.job, {}).get(task.task) is not task:
                continue
            if self._policies.retries.try_take(task, now_s):
                self._policies.ordering.add([task], now_s)
            else:
                self._start_backoff(task, BUDGET_RECHECK_S, now_s)


def _remove_task(
    waiting: dict[JobId, dict[int, WaitingTask]], task: WaitingTask
) -> None:
    """Remove a task, and its job if no other task of it is left."""
    tasks = waiting.get(task.job, {})
    tasks.pop(task.task, None)
    if not tasks:
        waiting.pop(task.job, None)


def _negative_speed(load: EndpointLoad) -> float:
    return -load.speed


def _fast_enough(
    task: WaitingTask,
    fitting: list[EndpointLoad],
    endpoints: Sequence[EndpointLoad],
    now_s: float,
) -> list[EndpointLoad]:
    """Return the free endpoints that may end a moved task before its deadline.

    The list is empty, so that the task waits, while only a busy endpoint is fast
    enough. If none is, the fastest ones are: a task was moved since slower ones would
    not end it in time. All free endpoints are returned for a task that was not moved.
    """
    if not task.moved:
        return fitting
    fastest = max((load.speed for load in endpoints if load.usable()), default=0.0)
    needed = min(
        task.estimate_s / max(1e-9, task.deadline_s - now_s),
        SIMILAR_SPEED_SHARE * fastest,
    )
    return [load for load in fitting if load.speed >= needed]


def _capacity_of(announcement: Announcement) -> tuple[float, ...]:
    """Return the parts of an announcement that determine the free capacity."""
    return (
        announcement.slots,
        announcement.processors,
        announcement.memory_mb,
        announcement.accelerators,
        announcement.draining,
    )
