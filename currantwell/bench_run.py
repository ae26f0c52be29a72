"""Discrete-event simulation of one benchmark run with the real scheduler.

Workers and the dispatcher are simulated. Workers run tasks for the times that the load
gives; the dispatcher commits start intents in groups. Commits and messages take a fixed
time each. No network and no cluster is involved.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Callable

from .bench_loads import FakeJob, FakeWorker, Load
from .codes import ResultCode, is_not_run
from .endpoint_protocol import Announcement, AttemptRef
from .ids import DataCentre, EndpointId, Incarnation, JobId
from .scheduler import Scheduler
from .scheduler_types import JobRequest, PlacedTask
from .submission import RestartRule

__all__ = ["JobOutcome", "RunFigures", "run_load"]

COMMIT_S = 0.005
ONE_WAY_S = 0.0005
TICK_S = 0.1
FAIL_AFTER_S = 0.001
SUSPECT_AFTER_S = 1.5
LEASE_EXPIRED_AFTER_S = 8.08
DRAIN_TIMEOUT_S = 120.0
BENCH_DATA_CENTRE = DataCentre("bench")
BENCH_INCARNATION = Incarnation("first")


@dataclasses.dataclass(slots=True)
class JobOutcome:
    """Outcome of a job."""

    job: FakeJob
    refused: ResultCode | None = None
    code: ResultCode | None = None
    response_s: float = math.inf

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        complete = self.code is ResultCode.COMPLETE
        return complete and self.response_s <= self.job.deadline_s


@dataclasses.dataclass(slots=True)
class RunFigures:
    """Counts of a run."""

    outcomes: list[JobOutcome] = dataclasses.field(default_factory=list)
    starts: int = 0
    useful: int = 0
    refused_starts: int = 0
    late_starts: int = 0
    failed_starts: int = 0
    stops: int = 0
    restarts: int = 0
    busy_s: float = 0.0
    waits_s: list[tuple[float, float, float]] = dataclasses.field(default_factory=list)
    starts_by_worker: collections.Counter[EndpointId] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def wasted(self) -> int:
        """Number of messages that did not contribute to an answer."""
        return (
            self.refused_starts
            + self.late_starts
            + self.failed_starts
            + self.stops
            + self.restarts
        )


class _Clock:
    """Simulated clock that runs scheduled calls in order of time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, wait_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + wait_s, self._count, call))

    def run(self, until_s: float) -> None:
        """Run scheduled calls until none is left or the next one is after `until_s`."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt that a worker has received."""

    ref: AttemptRef
    run_s: float
    started_s: float = 0.0
    ended: bool = False


class _Worker:
    """A simulated endpoint."""

    def __init__(
        self,
        spec: FakeWorker,
        clock: _Clock,
        report_result: Callable[[AttemptRef, ResultCode, float], None],
        attempt_started: Callable[[AttemptRef], None],
        count_until_s: float,
    ) -> None:
        self.spec = spec
        self._count_until_s = count_until_s
        self._clock = clock
        self._report_result = report_result
        self._attempt_started = attempt_started
        self._running: dict[AttemptRef, _Attempt] = {}
        self._queue: collections.deque[_Attempt] = collections.deque()
        self.busy_s = 0.0

    @property
    def lost(self) -> bool:
        return self._clock.now_s >= self.spec.lost_at_s

    def start(self, attempt: _Attempt) -> None:
        """Queue an attempt, or refuse it when slots and queue are full."""
        if self.lost:
            return
        active = len(self._running) + len(self._queue)
        if active >= self.spec.slots + self.spec.queue:
            self._reply(attempt.ref, ResultCode.NOT_RUN_OVERLOADED, 0.0)
            return
        self._queue.append(attempt)
        self._fill_slots()

    def stop(self, ref: AttemptRef) -> None:
        """Stop a running attempt or cancel a queued one."""
        attempt = self._running.get(ref)
        if attempt is not None:
            self._end(attempt, ResultCode.TASK_STOPPED)
            return
        for queued in list(self._queue):
            if queued.ref == ref:
                self._queue.remove(queued)
                self._reply(ref, ResultCode.NOT_RUN_CANCELLED, 0.0)

    def _fill_slots(self) -> None:
        while self._queue and len(self._running) < self.spec.slots:
            attempt = self._queue.popleft()
            attempt.started_s = self._clock.now_s
            self._running[attempt.ref] = attempt
            self._attempt_started(attempt.ref)
            if self._clock.now_s >= self.spec.fails_from_s:
                code, run_s = ResultCode.TASK_FAILED, FAIL_AFTER_S
            else:
                code, run_s = ResultCode.COMPLETE, attempt.run_s / self.spec.speed
            self._clock.after(run_s, lambda a=attempt, c=code: self._end(a, c))  # type: ignore[misc]

    def _end(self, attempt: _Attempt, code: ResultCode) -> None:
        if attempt.ended or self.lost:
            return
        attempt.ended = True
        del self._running[attempt.ref]
        run_s = self._clock.now_s - attempt.started_s
        counted_s = min(self._clock.now_s, self._count_until_s) - attempt.started_s
        self.busy_s += max(0.0, counted_s)
        self._reply(attempt.ref, code, run_s)
        self._fill_slots()

    def _reply(self, ref: AttemptRef, code: ResultCode, run_s: float) -> None:
        self._clock.after(ONE_WAY_S, lambda: self._report_result(ref, code, run_s))


@dataclasses.dataclass(slots=True)
class _OpenJob:
    """An admitted job that is not answered yet."""

    outcome: JobOutcome
    request: JobRequest
    incomplete: set[int]
    started: dict[int, tuple[EndpointId, int]]


class _FakeDispatcher:
    """Simulated dispatcher that drives the scheduler on the simulated clock."""

    def __init__(self, load: Load, scheduler: Scheduler) -> None:
        self.figures = RunFigures()
        self.clock = _Clock()
        self._load = load
        self._scheduler = scheduler
        self._open_jobs: dict[JobId, _OpenJob] = {}
        self._workers = {
            spec.id: _Worker(
                spec, self.clock, self._attempt_ended, self._attempt_started, load.end_s
            )
            for spec in load.workers
        }
        self._committing = False
        self._uncommitted_records = 0
        self._plan_requested = False

    def run(self) -> RunFigures:
        """Run the load to its end and return the counts."""
        for worker in self._workers.values():
            self._scheduler.update_endpoint(_announcement(worker.spec), 0.0)
            self._schedule_loss(worker.spec)
        for job in self._load.jobs:
            self.clock.after(job.at_s, lambda j=job: self._arrive(j))  # type: ignore[misc]
        self.clock.after(TICK_S, self._tick)
        self.clock.run(self._load.end_s + DRAIN_TIMEOUT_S)
        self.figures.busy_s = sum(w.busy_s for w in self._workers.values())
        return self.figures

    # Callers.

    def _arrive(self, job: FakeJob) -> None:
        now_s = self.clock.now_s
        outcome = JobOutcome(job)
        self.figures.outcomes.append(outcome)
        request = JobRequest(job.id, job.team, job.tasks, now_s + job.deadline_s)
        refusal = self._scheduler.check_admission(request, now_s)
        if refusal is not None:
            outcome.refused = refusal.code
            return
        attempts = {index: 1 for index in range(len(job.tasks))}
        self._open_jobs[job.id] = _OpenJob(outcome, request, set(attempts), {})
        self._scheduler.add(request, attempts, now_s)
        if job.cancel_after_s < math.inf:
            code = ResultCode.JOB_CANCELLED
            self.clock.after(job.cancel_after_s, lambda: self._abandon(job.id, code))
        self._add_record()

    def _abandon(self, job_id: JobId, code: ResultCode) -> None:
        job = self._open_jobs.pop(job_id, None)
        if job is None:
            return
        job.outcome.code = code
        self._scheduler.remove(job_id)
        stops: dict[EndpointId, list[AttemptRef]] = {}
        for task, (endpoint, attempt) in job.started.items():
            stops.setdefault(endpoint, []).append(AttemptRef(job_id, task, attempt))
        for endpoint, refs in stops.items():
            self._stop(endpoint, refs)
        self._add_record()

    # Commits and starts.

    def _add_record(self) -> None:
        self._uncommitted_records += 1
        self._request_plan()

    def _request_plan(self) -> None:
        self._plan_requested = True
        if not self._committing:
            self._plan_and_commit()

    def _plan_and_commit(self) -> None:
        self._plan_requested = False
        placed = self._scheduler.plan(self.clock.now_s)
        for item in placed:
            job = self._open_jobs[item.task.job]
            job.started[item.task.task] = (item.endpoint, item.task.attempt)
        if placed or self._uncommitted_records:
            self._uncommitted_records = 0
            self._committing = True
            self.clock.after(COMMIT_S, lambda: self._committed(placed))

    def _committed(self, placed: list[PlacedTask]) -> None:
        self._committing = False
        for item in placed:
            self._send(item)
        if self._plan_requested:
            self._plan_and_commit()

    def _send(self, item: PlacedTask) -> None:
        self.figures.starts += 1
        self.figures.starts_by_worker[item.endpoint] += 1
        open_job = self._open_jobs.get(item.task.job)
        if open_job is None:
            self.figures.late_starts += 1
            code = ResultCode.NOT_RUN_CANCELLED
            self._scheduler.attempt_ended(item.ref, code, 0.0, self.clock.now_s)
            return
        job = open_job.outcome.job
        run_s = job.run_s[item.task.task]
        if item.task.attempt == 1:
            run_s *= job.first_factors[item.task.task]
        worker = self._workers[item.endpoint]
        attempt = _Attempt(item.ref, run_s)
        self.clock.after(ONE_WAY_S, lambda: worker.start(attempt))

    def _attempt_started(self, ref: AttemptRef) -> None:
        job = self._open_jobs.get(ref.job)
        if job is None:
            self.figures.late_starts += 1
            return
        fake = job.outcome.job
        wait_s = self.clock.now_s - fake.at_s
        self.figures.waits_s.append((fake.at_s, fake.run_s[ref.task], wait_s))

    def _stop(self, endpoint: EndpointId, refs: list[AttemptRef]) -> None:
        self.figures.stops += 1
        worker = self._workers[endpoint]
        for ref in refs:
            self.clock.after(ONE_WAY_S, lambda r=ref: worker.stop(r))  # type: ignore[misc]

    # Results.

    def _attempt_ended(self, ref: AttemptRef, code: ResultCode, run_s: float) -> None:
        self._scheduler.attempt_ended(ref, code, run_s, self.clock.now_s)
        self.figures.refused_starts += code is ResultCode.NOT_RUN_OVERLOADED
        self.figures.failed_starts += code is ResultCode.TASK_FAILED
        job = self._open_jobs.get(ref.job)
        if job is None:
            self._request_plan()
            return
        job.started.pop(ref.task, None)
        if code is ResultCode.COMPLETE:
            self._task_complete(job, ref)
        elif code is ResultCode.TASK_FAILED or not self._may_restart(job, ref, code):
            self._abandon(ref.job, ResultCode.JOB_FAILED)
        else:
            self.figures.restarts += 1
            attempts = {ref.task: ref.attempt + 1}
            self._scheduler.add(job.request, attempts, self.clock.now_s)
        self._add_record()

    def _may_restart(self, job: _OpenJob, ref: AttemptRef, code: ResultCode) -> bool:
        rule = job.request.tasks[ref.task].restart
        if is_not_run(code):
            return rule is not RestartRule.NEVER
        return rule is RestartRule.IF_OVER

    def _task_complete(self, job: _OpenJob, ref: AttemptRef) -> None:
        self.figures.useful += 1
        job.incomplete.discard(ref.task)
        if job.incomplete:
            return
        del self._open_jobs[ref.job]
        outcome = job.outcome
        outcome.code = ResultCode.COMPLETE
        outcome.response_s = self.clock.now_s + COMMIT_S - outcome.job.at_s

    # Periodic checks and lost workers.

    def _tick(self) -> None:
        now_s = self.clock.now_s
        for job_id in self._scheduler.pop_expired_jobs(now_s):
            self._abandon(job_id, ResultCode.DEADLINE_PASSED)
        for ref in self._scheduler.pick_stragglers(now_s):
            job = self._open_jobs.get(ref.job)
            if job is not None and ref.task in job.started:
                self._stop(job.started[ref.task][0], [ref])
        if self._open_jobs or now_s < self._load.end_s:
            self._request_plan()
            self.clock.after(TICK_S, self._tick)

    def _schedule_loss(self, spec: FakeWorker) -> None:
        if spec.lost_at_s == math.inf:
            return
        suspected_at_s = spec.lost_at_s + SUSPECT_AFTER_S
        self.clock.after(
            suspected_at_s,
            lambda: self._scheduler.set_endpoint_reachable(spec.id, False),
        )
        self.clock.after(
            spec.lost_at_s + LEASE_EXPIRED_AFTER_S, lambda: self._mark_lost(spec.id)
        )

    def _mark_lost(self, endpoint: EndpointId) -> None:
        self._scheduler.remove_endpoint(endpoint)
        lost = [
            AttemptRef(job_id, task, attempt)
            for job_id, job in self._open_jobs.items()
            for task, (started_at, attempt) in job.started.items()
            if started_at == endpoint
        ]
        for ref in lost:
            self._attempt_ended(ref, ResultCode.UNKNOWN_ATTEMPT_LOST, 0.0)


def _announcement(spec: FakeWorker) -> Announcement:
    return Announcement(
        spec.id,
        BENCH_INCARNATION,
        "",
        BENCH_DATA_CENTRE,
        spec.rack,
        spec.slots,
        spec.queue,
    )


def run_load(load: Load, scheduler: Scheduler) -> RunFigures:
    """Run a load through a scheduler and return the counts."""
    return _FakeDispatcher(load, scheduler).run()
