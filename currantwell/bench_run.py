"""One run of the bench: the real scheduler, fed from fakes by a clock of events.

The fakes are workers that take as long as the load says and a dispatcher that
commits start intents in groups; a commit and a message each take their time. There
is no network and no cluster here.
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
LEASE_OVER_S = 8.08
SETTLE_S = 120.0
BENCH_DATA_CENTRE = DataCentre("bench")
BENCH_INCARNATION = Incarnation("first")


@dataclasses.dataclass(slots=True)
class JobOutcome:
    """What became of a job."""

    job: FakeJob
    refused: ResultCode | None = None
    code: ResultCode | None = None
    response_s: float = math.inf

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came before the deadline."""
        whole = self.code is ResultCode.COMPLETE
        return whole and self.response_s <= self.job.deadline_s


@dataclasses.dataclass(slots=True)
class RunFigures:
    """What a run counted."""

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
        """Messages that did no good."""
        return (
            self.refused_starts
            + self.late_starts
            + self.failed_starts
            + self.stops
            + self.restarts
        )


class _Clock:
    """Events in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, wait_s: float, call: Callable[[], None]) -> None:
        """Call later."""
        self._count += 1
        heapq.heappush(self._events, (self.now_s + wait_s, self._count, call))

    def run(self, until_s: float) -> None:
        """Carry out events until none is left or it is late."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._events)
            call()


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt at a worker."""

    ref: AttemptRef
    run_s: float
    begun_s: float = 0.0
    ended: bool = False


class _Worker:
    """A fake endpoint."""

    def __init__(
        self,
        spec: FakeWorker,
        clock: _Clock,
        tell: Callable[[AttemptRef, ResultCode, float], None],
        began: Callable[[AttemptRef], None],
        counted_until_s: float,
    ) -> None:
        self.spec = spec
        self._counted_until_s = counted_until_s
        self._clock = clock
        self._tell = tell
        self._began = began
        self._running: dict[AttemptRef, _Attempt] = {}
        self._queue: collections.deque[_Attempt] = collections.deque()
        self.busy_s = 0.0

    @property
    def lost(self) -> bool:
        return self._clock.now_s >= self.spec.lost_at_s

    def start(self, attempt: _Attempt) -> None:
        """Take a start, or refuse it."""
        if self.lost:
            return
        held = len(self._running) + len(self._queue)
        if held >= self.spec.slots + self.spec.queue:
            self._reply(attempt.ref, ResultCode.NOT_RUN_OVERLOADED, 0.0)
            return
        self._queue.append(attempt)
        self._fill()

    def stop(self, ref: AttemptRef) -> None:
        """Stop an attempt."""
        attempt = self._running.get(ref)
        if attempt is not None:
            self._end(attempt, ResultCode.TASK_STOPPED)
            return
        for queued in list(self._queue):
            if queued.ref == ref:
                self._queue.remove(queued)
                self._reply(ref, ResultCode.NOT_RUN_CANCELLED, 0.0)

    def _fill(self) -> None:
        while self._queue and len(self._running) < self.spec.slots:
            attempt = self._queue.popleft()
            attempt.begun_s = self._clock.now_s
            self._running[attempt.ref] = attempt
            self._began(attempt.ref)
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
        run_s = self._clock.now_s - attempt.begun_s
        counted_s = min(self._clock.now_s, self._counted_until_s) - attempt.begun_s
        self.busy_s += max(0.0, counted_s)
        self._reply(attempt.ref, code, run_s)
        self._fill()

    def _reply(self, ref: AttemptRef, code: ResultCode, run_s: float) -> None:
        self._clock.after(ONE_WAY_S, lambda: self._tell(ref, code, run_s))


@dataclasses.dataclass(slots=True)
class _OpenJob:
    """A job that was let in."""

    outcome: JobOutcome
    request: JobRequest
    left: set[int]
    started: dict[int, tuple[EndpointId, int]]


class _FakeDispatcher:
    """Does what the dispatcher does with the scheduler, on the clock of events."""

    def __init__(self, load: Load, scheduler: Scheduler) -> None:
        self.figures = RunFigures()
        self.clock = _Clock()
        self._load = load
        self._scheduler = scheduler
        self._open: dict[JobId, _OpenJob] = {}
        self._workers = {
            spec.id: _Worker(spec, self.clock, self._result, self._began, load.end_s)
            for spec in load.workers
        }
        self._committing = False
        self._records = 0
        self._woken = False

    def run(self) -> RunFigures:
        """Run the whole load."""
        for worker in self._workers.values():
            self._scheduler.update_endpoint(_announcement(worker.spec), 0.0)
            self._plan_loss(worker.spec)
        for job in self._load.jobs:
            self.clock.after(job.at_s, lambda j=job: self._arrive(j))  # type: ignore[misc]
        self.clock.after(TICK_S, self._tick)
        self.clock.run(self._load.end_s + SETTLE_S)
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
        self._open[job.id] = _OpenJob(outcome, request, set(attempts), {})
        self._scheduler.add(request, attempts, now_s)
        if job.cancel_after_s < math.inf:
            code = ResultCode.JOB_CANCELLED
            self.clock.after(job.cancel_after_s, lambda: self._give_up(job.id, code))
        self._record()

    def _give_up(self, job_id: JobId, code: ResultCode) -> None:
        job = self._open.pop(job_id, None)
        if job is None:
            return
        job.outcome.code = code
        self._scheduler.remove(job_id)
        stops: dict[EndpointId, list[AttemptRef]] = {}
        for task, (endpoint, attempt) in job.started.items():
            stops.setdefault(endpoint, []).append(AttemptRef(job_id, task, attempt))
        for endpoint, refs in stops.items():
            self._stop(endpoint, refs)
        self._record()

    # Records and starts.

    def _record(self) -> None:
        self._records += 1
        self._wake()

    def _wake(self) -> None:
        self._woken = True
        if not self._committing:
            self._pump()

    def _pump(self) -> None:
        self._woken = False
        placed = self._scheduler.plan(self.clock.now_s)
        for item in placed:
            job = self._open[item.task.job]
            job.started[item.task.task] = (item.endpoint, item.task.attempt)
        if placed or self._records:
            self._records = 0
            self._committing = True
            self.clock.after(COMMIT_S, lambda: self._committed(placed))

    def _committed(self, placed: list[PlacedTask]) -> None:
        self._committing = False
        for item in placed:
            self._send(item)
        if self._woken:
            self._pump()

    def _send(self, item: PlacedTask) -> None:
        self.figures.starts += 1
        self.figures.starts_by_worker[item.endpoint] += 1
        open_job = self._open.get(item.task.job)
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

    def _began(self, ref: AttemptRef) -> None:
        job = self._open.get(ref.job)
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

    def _result(self, ref: AttemptRef, code: ResultCode, run_s: float) -> None:
        self._scheduler.attempt_ended(ref, code, run_s, self.clock.now_s)
        self.figures.refused_starts += code is ResultCode.NOT_RUN_OVERLOADED
        self.figures.failed_starts += code is ResultCode.TASK_FAILED
        job = self._open.get(ref.job)
        if job is None:
            self._wake()
            return
        job.started.pop(ref.task, None)
        if code is ResultCode.COMPLETE:
            self._done(job, ref)
        elif code is ResultCode.TASK_FAILED or not self._may_restart(job, ref, code):
            self._give_up(ref.job, ResultCode.JOB_FAILED)
        else:
            self.figures.restarts += 1
            attempts = {ref.task: ref.attempt + 1}
            self._scheduler.add(job.request, attempts, self.clock.now_s)
        self._record()

    def _may_restart(self, job: _OpenJob, ref: AttemptRef, code: ResultCode) -> bool:
        rule = job.request.tasks[ref.task].restart
        if is_not_run(code):
            return rule is not RestartRule.NEVER
        return rule is RestartRule.IF_OVER

    def _done(self, job: _OpenJob, ref: AttemptRef) -> None:
        self.figures.useful += 1
        job.left.discard(ref.task)
        if job.left:
            return
        del self._open[ref.job]
        outcome = job.outcome
        outcome.code = ResultCode.COMPLETE
        outcome.response_s = self.clock.now_s + COMMIT_S - outcome.job.at_s

    # Ticks and losses.

    def _tick(self) -> None:
        now_s = self.clock.now_s
        for job_id in self._scheduler.pop_expired_jobs(now_s):
            self._give_up(job_id, ResultCode.DEADLINE_PASSED)
        for ref in self._scheduler.pick_stragglers(now_s):
            job = self._open.get(ref.job)
            if job is not None and ref.task in job.started:
                self._stop(job.started[ref.task][0], [ref])
        if self._open or now_s < self._load.end_s:
            self._wake()
            self.clock.after(TICK_S, self._tick)

    def _plan_loss(self, spec: FakeWorker) -> None:
        if spec.lost_at_s == math.inf:
            return
        suspect_s = spec.lost_at_s + SUSPECT_AFTER_S
        self.clock.after(
            suspect_s, lambda: self._scheduler.set_endpoint_reachable(spec.id, False)
        )
        self.clock.after(spec.lost_at_s + LEASE_OVER_S, lambda: self._lose(spec.id))

    def _lose(self, endpoint: EndpointId) -> None:
        self._scheduler.remove_endpoint(endpoint)
        lost = [
            AttemptRef(job_id, task, attempt)
            for job_id, job in self._open.items()
            for task, (where, attempt) in job.started.items()
            if where == endpoint
        ]
        for ref in lost:
            self._result(ref, ResultCode.UNKNOWN_ATTEMPT_LOST, 0.0)


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
    """Run a load through a scheduler and return what was counted."""
    return _FakeDispatcher(load, scheduler).run()
