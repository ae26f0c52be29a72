"""A seeded load of short and long interactive jobs on endpoints of two speeds.

The real scheduler and the real decisions on late attempts run on a clock of events;
endpoints and the calls to them are simulated.
"""

import dataclasses
import heapq
import itertools
import math
import random

from currantwell.codes import ResultCode
from currantwell.dispatch_policies import interactive_scheduler
from currantwell.endpoint_protocol import Announcement, AttemptRef
from currantwell.progress import (
    AttemptDecision,
    AttemptProgress,
    decide_attempt,
)
from currantwell.scheduler_types import JobRequest
from currantwell.submission import RestartRule, TaskSpec

ENDPOINTS = 22
SLOTS = 2
# One endpoint in four takes 0.55 times as long as usual, the others 1.2 times.
RUN_TIME_FACTORS = (0.55, 1.2, 1.2, 1.2)
DEADLINE_S = 1.45
START_WITHIN_S = 0.65
TARGET_STRETCH = 1.6
TARGET_ALLOWANCE_S = 0.06
MAX_WAIT_S = 1.0
SHORT_QUEUE_S = 0.5
CALL_S = 0.004
STOP_S = 0.05
POLL_S = 0.1
TICK_S = 0.02
SWING_PERIOD_S = 15.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job: mean run time, mean number of tasks and jobs a second."""

    name: str
    run_s: float
    width: int
    jobs_per_s: float


KINDS = (
    Kind("receipt", 0.051, 8, 13.0),
    Kind("booking", 0.17, 2, 38.0),
    Kind("notice", 0.76, 4, 2.4),
)


@dataclasses.dataclass
class SimulatedJob:
    """A job with the run times of its tasks at speed 1, which only endpoints know."""

    name: str
    kind: Kind
    run_times_s: list[float]
    specs: tuple[TaskSpec, ...]
    arrives_s: float
    open_tasks: int
    answered_s: float = math.inf
    given_up_s: float = math.inf
    started: bool = False
    ended: bool = False

    @property
    def work_s(self):
        return sum(self.run_times_s)

    @property
    def deadline_s(self):
        return self.arrives_s + DEADLINE_S

    def request(self):
        declared_s = self.specs[0].run_time_s
        target_s = TARGET_STRETCH * declared_s + TARGET_ALLOWANCE_S
        return JobRequest(
            self.name,
            self.kind.name,
            self.specs,
            self.deadline_s,
            self.arrives_s + START_WITHIN_S,
            self.arrives_s + target_s,
        )


@dataclasses.dataclass
class Attempt:
    """An attempt that runs at an endpoint."""

    job: SimulatedJob
    endpoint: str
    started_s: float
    ends_s: float
    stopping: bool = False


class InteractiveLoad:
    """Plays a load and keeps its jobs.

    ``refuses_early`` is whether jobs are refused once it is certain that they will not
    start in time, or only at their start limit, behind a queue of limited length. The
    rate of arrivals swings around its mean by ``swing``, a share of it.
    """

    def __init__(
        self,
        seed,
        length_s,
        load_factor=1.0,
        kinds=KINDS,
        refuses_early=True,
        swing=0.0,
    ):
        self._swing = swing
        self._random = random.Random(seed)
        self._refuses_early = refuses_early
        self._scheduler = interactive_scheduler(
            MAX_WAIT_S if refuses_early else SHORT_QUEUE_S, random.Random(seed)
        )
        self._events = []
        self._sequence = itertools.count()
        self._attempts: dict[AttemptRef, Attempt] = {}
        self._factors = {}
        self._now_s = 0.0
        self._length_s = length_s
        self.jobs: dict[str, SimulatedJob] = {}
        # Run time factors of the endpoints at which moved tasks were started again.
        self.moved_to_factors: list[float] = []
        for index in range(ENDPOINTS):
            name = f"e{index}"
            self._factors[name] = RUN_TIME_FACTORS[index % len(RUN_TIME_FACTORS)]
            announcement = Announcement(
                name, "first", "", "valdres", slots=SLOTS, processors=16.0
            )
            self._scheduler.update_endpoint(announcement, 0.0)
        for kind in kinds:
            self._schedule_arrivals(kind, length_s, load_factor)
        self._at(0.0, self._tick)

    def play(self):
        """Run until all events are handled."""
        while self._events:
            self._now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
            if action != self._poll:
                self._plan()

    def _at(self, time_s, action, *arguments):
        heapq.heappush(self._events, (time_s, next(self._sequence), action, arguments))

    def _log_normal(self, mean, spread):
        return self._random.lognormvariate(math.log(mean) - spread**2 / 2, spread)

    def _schedule_arrivals(self, kind, length_s, load_factor):
        time_s = 0.0
        for number in itertools.count():
            wave = math.sin(2 * math.pi * time_s / SWING_PERIOD_S)
            rate_per_s = kind.jobs_per_s * load_factor * (1 + self._swing * wave)
            time_s += self._random.expovariate(rate_per_s)
            if time_s > length_s:
                return
            self._at(time_s, self._arrive, self._make_job(kind, number, time_s))

    def _make_job(self, kind, number, arrives_s):
        run_s = self._log_normal(kind.run_s, 0.4)
        if self._random.random() < 0.03:
            run_s *= 7.0
        width = max(1, round(self._log_normal(kind.width, 0.4)))
        run_times_s = [run_s * self._log_normal(1.0, 0.15) for _ in range(width)]
        declared_s = run_s * self._log_normal(1.0, 0.4)
        spec = TaskSpec(
            kind.name,
            run_time_s=declared_s,
            processors=8.0,
            restart=RestartRule.IF_OVER,
        )
        name = f"{kind.name}-{number}"
        return SimulatedJob(name, kind, run_times_s, (spec,) * width, arrives_s, width)

    def _arrive(self, job):
        self.jobs[job.name] = job
        if self._scheduler.check_admission(job.request(), self._now_s) is not None:
            job.ended = True
            job.given_up_s = self._now_s
            return
        attempts = {index: 1 for index in range(len(job.specs))}
        self._scheduler.add(job.request(), attempts, self._now_s)

    def _plan(self):
        for placed in self._scheduler.plan(self._now_s):
            job = self.jobs[placed.ref.job]
            job.started = True
            factor = self._factors[placed.endpoint]
            if placed.task.moved:
                self.moved_to_factors.append(factor)
            run_s = job.run_times_s[placed.ref.task] * factor
            begins_s = self._now_s + CALL_S
            attempt = Attempt(job, placed.endpoint, self._now_s, begins_s + run_s)
            self._attempts[placed.ref] = attempt
            self._at(attempt.ends_s + CALL_S, self._end, placed.ref, attempt)
            self._at(self._now_s + POLL_S, self._poll, placed.ref, attempt)

    def _end(self, ref, attempt, code=ResultCode.COMPLETE):
        if self._attempts.get(ref) is not attempt:
            return
        if attempt.stopping and code is ResultCode.COMPLETE:
            return
        del self._attempts[ref]
        job = attempt.job
        run_s = self._now_s - attempt.started_s
        self._scheduler.attempt_ended(ref, code, run_s, self._now_s)
        if code is ResultCode.COMPLETE:
            job.open_tasks -= 1
            if not job.open_tasks and not job.ended:
                job.ended = True
                job.answered_s = self._now_s
        elif not job.ended:
            self._scheduler.add(job.request(), {ref.task: ref.attempt + 1}, self._now_s)

    def _poll(self, ref, attempt):
        if self._attempts.get(ref) is not attempt or attempt.stopping:
            return
        run_s = self._now_s - attempt.started_s
        done_s = run_s - CALL_S
        percent = int(100 * done_s / (attempt.ends_s - attempt.started_s - CALL_S))
        if percent >= 3:
            self._decide(ref, attempt, run_s, percent)
        self._at(self._now_s + POLL_S, self._poll, ref, attempt)

    def _decide(self, ref, attempt, run_s, percent):
        progress = AttemptProgress(
            run_s, run_s * (99.5 - percent) / (percent + 0.5), 0.0
        )
        progress = dataclasses.replace(
            progress, min_left_s=run_s * (99 - percent) / (percent + 1)
        )
        self._scheduler.record_progress({ref: progress})
        estimate = self._scheduler.estimate_restart(ref, progress)
        left_s = attempt.job.deadline_s - self._now_s
        decision = decide_attempt(ref.attempt, progress, estimate, left_s)
        if decision is AttemptDecision.CONTINUE:
            return
        if decision is AttemptDecision.ABANDON_JOB:
            self._abandon(attempt.job)
            return
        if decision is AttemptDecision.MOVE:
            self._scheduler.record_observed_run_time(ref, progress)
        self._stop(ref, attempt)

    def _stop(self, ref, attempt):
        attempt.stopping = True
        code = ResultCode.TASK_STOPPED
        self._at(self._now_s + STOP_S, self._end, ref, attempt, code)

    def _abandon(self, job):
        job.ended = True
        job.given_up_s = self._now_s
        self._scheduler.remove(job.name)
        for ref, attempt in list(self._attempts.items()):
            if attempt.job is job and not attempt.stopping:
                self._stop(ref, attempt)

    def _tick(self):
        for name in self._scheduler.pop_expired_jobs(self._now_s):
            self._abandon(self.jobs[name])
        if self._refuses_early:
            for name in self._scheduler.jobs_without_prospect(self._now_s):
                self._abandon(self.jobs[name])
        if self._now_s < self._length_s + 2 * DEADLINE_S:
            self._at(self._now_s + TICK_S, self._tick)


def served_share(jobs):
    """Return the share of the jobs that were answered by their deadline."""
    return sum(job.answered_s <= job.deadline_s for job in jobs) / len(jobs)


def is_servable(job):
    """Return whether a free fast endpoint would end the job by its deadline."""
    run_s = max(job.run_times_s) * min(RUN_TIME_FACTORS)
    return run_s + 2 * CALL_S <= DEADLINE_S


def jobs_by_work(jobs):
    """Return jobs with the most work first."""
    return sorted(jobs, key=lambda job: -job.work_s)
