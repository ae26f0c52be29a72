"""Slopes from which docs/CAPACITY.md is worked out: time, memory and bytes.

Times are processor time on this machine and no promise; all else is the same
everywhere.
"""

import dataclasses
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from .codes import ResultCode
from .dispatch_policies import dispatch_scheduler
from .endpoint_protocol import Announcement, AttemptRef, ResultLine, Start, StartBatch
from .ids import DataCentre, EndpointId, Epoch, Incarnation, JobId, JobKey, Team
from .jobs import JobTable
from .presets import FixedPreset
from .quotas import EqualQuotas
from .records import (
    AttemptEnded,
    AttemptStarted,
    JobAccepted,
    JobClosed,
    Record,
    encode_record,
)
from .scheduler import Scheduler
from .scheduler_types import JobRequest, PlacedTask
from .submission import Submission, TaskSpec, digest_of

__all__ = ["SchedulerCost", "byte_counts", "memory_slopes", "scheduler_cost"]

JOB_TASKS = 30
STEP_S = 0.005
ENDS_PER_STEP = 25
RUN_S = 0.3
FAR_DEADLINE_S = 1e9
CAPACITY_DATA_CENTRE = DataCentre("aspen-parkland")
CAPACITY_INCARNATION = Incarnation("0" * 32)
PAYLOAD = {"volunteer": "volunteer-0000", "section": "section-00"}


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerCost:
    """Time that the scheduler takes for one task, in all and by step.

    Parameters
    ----------
    endpoints, teams, waiting : int
        The size at which it was measured.
    plan_us, ended_us, add_us : float
        Time for a placement, an end, and a task's admission and queueing.
    """

    endpoints: int
    teams: int
    waiting: int
    plan_us: float
    ended_us: float
    add_us: float

    @property
    def total_us(self) -> float:
        """Time for the whole way of a task through the scheduler."""
        return self.plan_us + self.ended_us + self.add_us


class _Driver:
    """Keeps a scheduler at a number of waiting tasks and times its steps."""

    def __init__(self, endpoints: int, teams: int, waiting: int) -> None:
        self.scheduler = dispatch_scheduler(
            FixedPreset(), EqualQuotas(), random.Random(0)
        )
        self._random = random.Random(0)
        self._teams = teams
        self._waiting = waiting
        self._jobs = 0
        self._now_s = 0.0
        self._running: list[PlacedTask] = []
        self.spent_s = {"plan": 0.0, "ended": 0.0, "add": 0.0}
        self.counts = {"plan": 0, "ended": 0, "add": 0}
        for index in range(endpoints):
            self.scheduler.update_endpoint(_announcement(index), 0.0)

    def step(self) -> None:
        """Queue jobs, place tasks and end some."""
        self._now_s += STEP_S
        while self.scheduler.waiting_task_count < self._waiting:
            self._timed("add", JOB_TASKS, self.add_job)
        begun_s = time.process_time()
        placed = self.scheduler.plan(self._now_s)
        self.spent_s["plan"] += time.process_time() - begun_s
        self.counts["plan"] += len(placed)
        self._running += placed
        self._random.shuffle(self._running)
        ending = self._running[:ENDS_PER_STEP]
        del self._running[:ENDS_PER_STEP]
        self._timed("ended", len(ending), lambda: self._end(ending))

    def reset(self) -> None:
        """Forget what was timed so far."""
        for name in self.counts:
            self.spent_s[name] = 0.0
            self.counts[name] = 0

    def each_us(self, name: str) -> float:
        """Return the time of one task in a step."""
        return 1e6 * self.spent_s[name] / max(1, self.counts[name])

    def _timed(self, name: str, count: int, call: Callable[[], None]) -> None:
        begun_s = time.process_time()
        call()
        self.spent_s[name] += time.process_time() - begun_s
        self.counts[name] += count

    def add_job(self) -> None:
        """Have a job admitted and queued."""
        self._jobs += 1
        request = JobRequest(
            JobId(f"job-{self._jobs}"),
            Team(f"team-{self._jobs % self._teams}"),
            tuple(_task(self._jobs) for _ in range(JOB_TASKS)),
            FAR_DEADLINE_S,
        )
        self.scheduler.check_admission(request, self._now_s)
        attempts = {index: 1 for index in range(JOB_TASKS)}
        self.scheduler.add(request, attempts, self._now_s)

    def _end(self, ending: list[PlacedTask]) -> None:
        for item in ending:
            self.scheduler.attempt_ended(
                item.ref, ResultCode.COMPLETE, RUN_S, self._now_s
            )


def _task(number: int) -> TaskSpec:
    return TaskSpec(f"kind-{number % 7}", dict(PAYLOAD), RUN_S)


def _announcement(index: int) -> Announcement:
    return Announcement(
        EndpointId(f"worker-{index:03}"),
        CAPACITY_INCARNATION,
        "http://127.0.0.1:9000",
        CAPACITY_DATA_CENTRE,
    )


def scheduler_cost(
    endpoints: int, teams: int, waiting: int, starts: int = 5_000
) -> SchedulerCost:
    """Measure the scheduler at one size.

    Parameters
    ----------
    endpoints, teams, waiting : int
        How many endpoints, teams, and waiting tasks there are all the time.
    starts : int
        How many starts to time, after as many that are not timed.
    """
    driver = _Driver(endpoints, teams, waiting)
    for _ in range(2):
        driver.reset()
        while driver.counts["plan"] < starts:
            driver.step()
    return SchedulerCost(
        endpoints,
        teams,
        waiting,
        driver.each_us("plan"),
        driver.each_us("ended"),
        driver.each_us("add"),
    )


def _submission(number: int) -> Submission:
    key = JobKey(f"{CAPACITY_DATA_CENTRE}:{number:032x}")
    tasks = tuple(_task(number) for _ in range(JOB_TASKS))
    return Submission(key, Team(f"team-{number % 300}"), tasks)


def _job_records(number: int) -> list[Record]:
    submission = _submission(number)
    job = JobId(f"{submission.team}/{submission.key}")
    digest = digest_of(submission)
    records: list[Record] = [JobAccepted(job, digest, submission, 1.7e9, 1.7e9)]
    for task in range(JOB_TASKS):
        ref = AttemptRef(job, task, 1)
        endpoint = EndpointId(f"worker-{task:03}")
        records.append(AttemptStarted(ref, Epoch(7), endpoint, CAPACITY_INCARNATION))
        records.append(AttemptEnded(ref, ResultCode.COMPLETE, "volunteer-0000"))
    records.append(JobClosed(job, ResultCode.COMPLETE))
    return records


def byte_counts() -> dict[str, float]:
    """Return the bytes of records and messages, for each task."""
    records = _job_records(1)
    sizes: dict[str, float] = {}
    for record in records:
        name = type(record).__name__
        encoded = len(encode_record(record))
        sizes[name] = sizes.get(name, 0.0) + encoded / JOB_TASKS
    return {**sizes, **_message_bytes()}


def _message_bytes() -> dict[str, float]:
    submission = _submission(1)
    job = JobId(f"{submission.team}/{submission.key}")
    refs = [AttemptRef(job, task, 1) for task in range(JOB_TASKS)]
    starts = tuple(Start(ref, "kind-1", dict(PAYLOAD), 60.0) for ref in refs)
    batch = StartBatch(Epoch(7), 1, starts)
    lines = [
        ResultLine(1, ref, ResultCode.COMPLETE, "volunteer-0000", RUN_S) for ref in refs
    ]
    return {
        "StartBatch": len(msgspec.json.encode(batch)) / JOB_TASKS,
        "ResultLine": len(msgspec.json.encode(lines)) / JOB_TASKS,
        "Announcement": float(len(msgspec.json.encode(_announcement(1)))),
    }


def memory_slopes(jobs: int = 300) -> dict[str, float]:
    """Return the bytes of memory for each task that waits or is kept."""
    return {
        "waiting task": _grown_bytes(lambda: _fill_scheduler(jobs)) / jobs / JOB_TASKS,
        "kept task": _grown_bytes(lambda: _fill_table(jobs)) / jobs / JOB_TASKS,
    }


def _grown_bytes(make: Callable[[], object]) -> int:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def _fill_scheduler(jobs: int) -> Scheduler:
    driver = _Driver(0, 300, jobs * JOB_TASKS)
    while driver.scheduler.waiting_task_count < jobs * JOB_TASKS:
        driver.add_job()
    return driver.scheduler


def _fill_table(jobs: int) -> JobTable:
    table = JobTable()
    for number in range(jobs):
        table.apply_all(_job_records(number))
    return table
