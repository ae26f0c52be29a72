"""Measures time, memory and bytes per task, the inputs of docs/CAPACITY.md.

Times are processor time, so they depend on the machine and guarantee nothing; the
other figures are the same on every machine.
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
TASK_RUN_S = 0.3
DISTANT_DEADLINE_S = 1e9
CAPACITY_DATA_CENTRE = DataCentre("aspen-parkland")
CAPACITY_INCARNATION = Incarnation("0" * 32)
PAYLOAD = {"volunteer": "volunteer-0000", "section": "section-00"}


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerCost:
    """Processor time that the scheduler takes for one task, in total and by step.

    Parameters
    ----------
    endpoints, teams, waiting : int
        Size of the system at which the time was measured.
    plan_us, ended_us, add_us : float
        Microseconds to place a task, to process its end, and to admit and queue it.
    """

    endpoints: int
    teams: int
    waiting: int
    plan_us: float
    ended_us: float
    add_us: float

    @property
    def total_us(self) -> float:
        """Microseconds that the scheduler takes for one task in total."""
        return self.plan_us + self.ended_us + self.add_us


class _Driver:
    """Keeps a number of tasks waiting in a scheduler and times its steps."""

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
        self.elapsed_s = {"plan": 0.0, "ended": 0.0, "add": 0.0}
        self.counts = {"plan": 0, "ended": 0, "add": 0}
        for index in range(endpoints):
            self.scheduler.update_endpoint(_announcement(index), 0.0)

    def step(self) -> None:
        """Queue jobs, place tasks and end some of the running ones."""
        self._now_s += STEP_S
        while self.scheduler.waiting_task_count < self._waiting:
            self._time_step("add", JOB_TASKS, self.add_job)
        started_s = time.process_time()
        placed = self.scheduler.plan(self._now_s)
        self.elapsed_s["plan"] += time.process_time() - started_s
        self.counts["plan"] += len(placed)
        self._running += placed
        self._random.shuffle(self._running)
        ending = self._running[:ENDS_PER_STEP]
        del self._running[:ENDS_PER_STEP]
        self._time_step("ended", len(ending), lambda: self._end(ending))

    def reset(self) -> None:
        """Reset the measured times and counts."""
        for name in self.counts:
            self.elapsed_s[name] = 0.0
            self.counts[name] = 0

    def time_per_task_us(self, name: str) -> float:
        """Return the microseconds per task of a step."""
        return 1e6 * self.elapsed_s[name] / max(1, self.counts[name])

    def _time_step(self, name: str, count: int, call: Callable[[], None]) -> None:
        started_s = time.process_time()
        call()
        self.elapsed_s[name] += time.process_time() - started_s
        self.counts[name] += count

    def add_job(self) -> None:
        """Check the admission of a job and queue it."""
        self._jobs += 1
        request = JobRequest(
            JobId(f"job-{self._jobs}"),
            Team(f"team-{self._jobs % self._teams}"),
            tuple(_task(self._jobs) for _ in range(JOB_TASKS)),
            DISTANT_DEADLINE_S,
        )
        self.scheduler.check_admission(request, self._now_s)
        attempts = {index: 1 for index in range(JOB_TASKS)}
        self.scheduler.add(request, attempts, self._now_s)

    def _end(self, ending: list[PlacedTask]) -> None:
        for item in ending:
            self.scheduler.attempt_ended(
                item.ref, ResultCode.COMPLETE, TASK_RUN_S, self._now_s
            )


def _task(number: int) -> TaskSpec:
    return TaskSpec(f"kind-{number % 7}", dict(PAYLOAD), TASK_RUN_S)


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
    """Measure the scheduler at one size of the system.

    Parameters
    ----------
    endpoints, teams, waiting : int
        Number of endpoints, teams and waiting tasks, constant during the run.
    starts : int
        Number of starts to time, after as many untimed ones as a warm-up.
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
        driver.time_per_task_us("plan"),
        driver.time_per_task_us("ended"),
        driver.time_per_task_us("add"),
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
    """Return the bytes of records and messages per task."""
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
        ResultLine(1, ref, ResultCode.COMPLETE, "volunteer-0000", TASK_RUN_S)
        for ref in refs
    ]
    return {
        "StartBatch": len(msgspec.json.encode(batch)) / JOB_TASKS,
        "ResultLine": len(msgspec.json.encode(lines)) / JOB_TASKS,
        "Announcement": float(len(msgspec.json.encode(_announcement(1)))),
    }


def memory_slopes(jobs: int = 300) -> dict[str, float]:
    """Return the bytes of memory per waiting task and per kept task."""
    return {
        "waiting task": _allocated_bytes(lambda: _fill_scheduler(jobs))
        / jobs
        / JOB_TASKS,
        "kept task": _allocated_bytes(lambda: _fill_table(jobs)) / jobs / JOB_TASKS,
    }


def _allocated_bytes(build: Callable[[], object]) -> int:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
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
