"""Benchmark loads: seeded job arrivals and the workers that serve them.

Run times are drawn per kind of task from a heavy-tailed distribution, and declared run
times are wrong by a factor of up to ten in either direction. A load is given as a
fraction of the capacity of all slots of all workers. It is the same for every policy
of a run.
"""

import dataclasses
import math
import random
from collections.abc import Callable

from .ids import EndpointId, JobId, Rack, Team
from .submission import RestartRule, TaskSpec

__all__ = ["LOADS", "FakeJob", "FakeWorker", "Load", "make_load"]

WORKERS = 24
SLOTS = 8
WORKERS_PER_RACK = 8
GENERATION_SPEEDS = (0.75, 1.0, 1.35)
SPEED_JITTER = 0.05
MAX_MISDECLARED = 10.0
MEDIAN_TASKS = 12.0
TASKS_SPREAD = 1.0
MAX_JOB_TASKS = 200
MIN_TASK_S = 0.05
MAX_TASK_S = 1.0
MIN_LONG_S = 2.0
MAX_LONG_S = 6.0
LONG_TASK_SHARE = 0.01
KIND_SPREAD = 0.25
KINDS = tuple(0.06 * 1.5**step for step in range(7))
OTHER_KIND_SHARE = 0.1
TEAMS = 12
STEP_S = 0.1
WARM_UP_S = 10.0
DEFAULT_DEADLINE_S = 30.0
CREST_DEADLINE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class FakeWorker:
    """A simulated worker.

    Parameters
    ----------
    id, rack, speed, slots
        Identity, location, relative speed and number of slots.
    queue : int
        Number of starts that the worker queues beyond its slots.
    fails_from_s : float
        Time in seconds from which the worker fails every task immediately.
    lost_at_s : float
        Time in seconds at which the worker is lost.
    """

    id: EndpointId
    rack: Rack
    speed: float
    slots: int = SLOTS
    queue: int = SLOTS
    fails_from_s: float = math.inf
    lost_at_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class FakeJob:
    """A simulated job.

    Parameters
    ----------
    id, team, at_s, deadline_s
        Identity, team, arrival time and deadline; the deadline is in seconds after
        the arrival.
    tasks : tuple of TaskSpec
        Tasks as the caller submits them.
    run_s : tuple of float
        Actual run time of each task at speed 1, in seconds.
    first_factors : tuple of float
        Factor on the run time of the first attempt of each task.
    cancel_after_s : float
        Seconds after the arrival at which the caller cancels the job.
    """

    id: JobId
    team: Team
    at_s: float
    deadline_s: float
    tasks: tuple[TaskSpec, ...]
    run_s: tuple[float, ...]
    first_factors: tuple[float, ...]
    cancel_after_s: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Workers, and jobs sorted by arrival time."""

    name: str
    workers: tuple[FakeWorker, ...]
    jobs: tuple[FakeJob, ...]
    end_s: float

    @property
    def capacity(self) -> float:
        """Work of all workers per second, in seconds at speed 1."""
        return sum(worker.speed * worker.slots for worker in self.workers)


class _LoadBuilder:
    """Draws workers and jobs from a seeded random source."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.workers = [self._worker(index) for index in range(WORKERS)]
        self.jobs: list[FakeJob] = []
        self.long_share = LONG_TASK_SHARE
        self.straggle_share = 0.0
        self.straggle_factor = 10.0
        self.restart = RestartRule.IF_NOT_RUN
        self.deadline_s = DEFAULT_DEADLINE_S

    @property
    def capacity(self) -> float:
        return sum(worker.speed * worker.slots for worker in self.workers)

    def _worker(self, index: int) -> FakeWorker:
        generation = GENERATION_SPEEDS[index % len(GENERATION_SPEEDS)]
        speed = generation * self.random.uniform(1 - SPEED_JITTER, 1 + SPEED_JITTER)
        rack = Rack(f"rack-{index // WORKERS_PER_RACK}")
        return FakeWorker(EndpointId(f"worker-{index:02}"), rack, speed)

    def _task(self, kind: int) -> tuple[TaskSpec, float]:
        if self.random.random() < self.long_share:
            name = "long"
            run_s = self.random.uniform(MIN_LONG_S, MAX_LONG_S)
        else:
            name = f"kind-{kind}"
            run_s = KINDS[kind] * self.random.lognormvariate(0.0, KIND_SPREAD)
            run_s = min(MAX_TASK_S, max(MIN_TASK_S, run_s))
        error_factor = MAX_MISDECLARED ** self.random.uniform(-1.0, 1.0)
        spec = TaskSpec(name, run_time_s=run_s * error_factor, restart=self.restart)
        return spec, run_s

    def job(self, at_s: float, team: str | None = None, tasks: int = 0) -> FakeJob:
        """Draw a job."""
        source = self.random
        if not tasks:
            drawn = MEDIAN_TASKS * source.lognormvariate(0.0, TASKS_SPREAD)
            tasks = min(MAX_JOB_TASKS, max(1, round(drawn)))
        main_kind = source.randrange(len(KINDS))
        drawn_tasks = []
        for _ in range(tasks):
            is_other_kind = source.random() < OTHER_KIND_SHARE
            drawn_tasks.append(
                self._task(source.randrange(len(KINDS)) if is_other_kind else main_kind)
            )
        factors = tuple(
            self.straggle_factor if source.random() < self.straggle_share else 1.0
            for _ in range(tasks)
        )
        return FakeJob(
            JobId(f"job-{len(self.jobs)}-{at_s:.3f}"),
            Team(team or f"team-{source.randrange(TEAMS)}"),
            at_s,
            self.deadline_s,
            tuple(spec for spec, _ in drawn_tasks),
            tuple(run_s for _, run_s in drawn_tasks),
            factors,
        )

    def arrive(
        self,
        share: Callable[[float], float],
        end_s: float,
        team: str | None = None,
        tasks: int = 0,
    ) -> None:
        """Add jobs whose total work is a given share of the capacity over time.

        The work within the warm-up and the work after it match the share for every
        seed, except for the excess of the last job. Arrival times are drawn in
        proportion to the share.
        """
        self._arrive(share, 0.0, WARM_UP_S, team, tasks)
        self._arrive(share, WARM_UP_S, end_s, team, tasks)

    def _arrive(
        self,
        share: Callable[[float], float],
        start_s: float,
        end_s: float,
        team: str | None,
        tasks: int,
    ) -> None:
        times_s = [start_s + STEP_S * i for i in range(int((end_s - start_s) / STEP_S))]
        shares = [share(time_s) for time_s in times_s]
        remaining_s = sum(shares) * STEP_S * self.capacity
        while remaining_s > 0:
            at_s = self.random.choices(times_s, shares)[0]
            job = self.job(at_s + self.random.uniform(0.0, STEP_S), team, tasks)
            self.jobs.append(job)
            remaining_s -= sum(job.run_s)

    def load(self, name: str, end_s: float) -> Load:
        """Return the drawn workers and jobs as a load."""
        jobs = sorted(self.jobs, key=lambda job: job.at_s)
        return Load(name, tuple(self.workers), tuple(jobs), end_s)


def _steady(builder: _LoadBuilder, share: float, seconds: float) -> None:
    builder.arrive(lambda at_s: share, seconds)


def _crest_share(at_s: float, crest_s: float) -> float:
    """Return the share of the capacity: 0.4, four times as much at the crest."""
    rise_s, hold_s = 2.0, 4.0
    after_s = at_s - crest_s
    if after_s < 0 or after_s > 2 * rise_s + hold_s:
        return 0.4
    edge_s = min(after_s, 2 * rise_s + hold_s - after_s)
    return 0.4 * (1.0 + 3.0 * min(1.0, edge_s / rise_s))


def _crest(builder: _LoadBuilder, seconds: float) -> None:
    builder.deadline_s = CREST_DEADLINE_S
    builder.arrive(lambda at_s: _crest_share(at_s, WARM_UP_S + 2.0), seconds)


def _overload(builder: _LoadBuilder, share: float, seconds: float) -> None:
    builder.deadline_s = CREST_DEADLINE_S
    _steady(builder, share, seconds)


def _short(builder: _LoadBuilder, long_share: float, seconds: float) -> None:
    """Add single-task jobs: short ones at 0.35 of the capacity, and some long ones."""
    builder.long_share = 0.0
    builder.arrive(lambda at_s: 0.35, seconds, tasks=1)
    short_jobs = len(builder.jobs)
    builder.long_share = 1.0
    for _ in range(round(long_share / (1.0 - long_share) * short_jobs)):
        at_s = builder.random.uniform(0.0, seconds)
        builder.jobs.append(builder.job(at_s, tasks=1))


def _long_wave(builder: _LoadBuilder, seconds: float) -> None:
    """Add short single-task jobs and a burst of twice as many long ones as slots."""
    _short(builder, 0.02, seconds)
    builder.long_share = 1.0
    slots = sum(worker.slots for worker in builder.workers)
    for _ in range(2 * slots):
        builder.jobs.append(builder.job(WARM_UP_S + 3.0, tasks=1))


def _flood(builder: _LoadBuilder, flood_share: float, seconds: float) -> None:
    builder.arrive(lambda at_s: 0.6, seconds)
    if flood_share:
        builder.arrive(lambda at_s: flood_share, seconds, "flooder")


def _failing(builder: _LoadBuilder, seconds: float) -> None:
    for index in (2, 13):
        builder.workers[index] = dataclasses.replace(
            builder.workers[index], fails_from_s=WARM_UP_S + 5.0 * (index == 13)
        )
    _steady(builder, 0.7, seconds)


def _straggling(builder: _LoadBuilder, seconds: float) -> None:
    builder.straggle_share = 0.005
    builder.restart = RestartRule.IF_OVER
    _steady(builder, 0.7, seconds)


def _rack_loss(builder: _LoadBuilder, seconds: float) -> None:
    builder.restart = RestartRule.IF_OVER
    builder.workers = [
        dataclasses.replace(worker, lost_at_s=WARM_UP_S + 5.0)
        if worker.rack == "rack-1"
        else worker
        for worker in builder.workers
    ]
    _steady(builder, 0.5, seconds)


def _cancelling(builder: _LoadBuilder, seconds: float) -> None:
    _steady(builder, 0.8, seconds)
    waves_s = (WARM_UP_S + 3.0, WARM_UP_S + 8.0)
    for index, job in enumerate(builder.jobs):
        for wave_s in waves_s:
            if job.at_s < wave_s < job.at_s + 2.0 and builder.random.random() < 0.5:
                builder.jobs[index] = dataclasses.replace(
                    job, cancel_after_s=wave_s - job.at_s
                )


LOADS: dict[str, Callable[[_LoadBuilder, float], None]] = {
    "steady": lambda builder, seconds: _steady(builder, 0.8, seconds),
    "crest": _crest,
    "capacity": lambda builder, seconds: _overload(builder, 1.0, seconds),
    "twice": lambda builder, seconds: _overload(builder, 2.0, seconds),
    "short": lambda builder, seconds: _short(builder, 0.0, seconds),
    "mixed": lambda builder, seconds: _short(builder, 0.05, seconds),
    "long-wave": _long_wave,
    "calm": lambda builder, seconds: _flood(builder, 0.0, seconds),
    "flood": lambda builder, seconds: _flood(builder, 3.0, seconds),
    "failing": _failing,
    "straggling": _straggling,
    "rack-loss": _rack_loss,
    "cancelling": _cancelling,
}


def make_load(name: str, seed: int, seconds: float) -> Load:
    """Draw a load from a seed.

    Parameters
    ----------
    name : str
        One of `LOADS`.
    seed : int
        Seed of the random source.
    seconds : float
        Time in seconds during which jobs arrive, including the warm-up.
    """
    builder = _LoadBuilder(seed)
    LOADS[name](builder, seconds)
    return builder.load(name, seconds)
