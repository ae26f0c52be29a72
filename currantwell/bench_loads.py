"""Loads of the bench: seeded arrivals of jobs, and the workers that serve them.

Run times are drawn per kind of task with a heavy tail, and declared run times are
wrong by up to ten times either way. A load is a fraction of what all slots of all
workers could do; it is the same for every policy of a run.
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
USUAL_DEADLINE_S = 30.0
CREST_DEADLINE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class FakeWorker:
    """A worker of the bench.

    Parameters
    ----------
    id, rack, speed, slots
        What it is.
    queue : int
        Starts it takes beyond its slots.
    fails_from_s : float
        From when on it fails every task at once.
    lost_at_s : float
        When it is lost.
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
    """A job of the bench.

    Parameters
    ----------
    id, team, at_s, deadline_s
        What it is, when it arrives, and in how many seconds it is too late.
    tasks : tuple of TaskSpec
        What its caller says.
    run_s : tuple of float
        How long each task really runs at speed 1.
    first_factors : tuple of float
        How many times longer the first attempt of each task runs.
    cancel_after_s : float
        When its caller cancels it.
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
    """Workers and the jobs that arrive."""

    name: str
    workers: tuple[FakeWorker, ...]
    jobs: tuple[FakeJob, ...]
    end_s: float

    @property
    def capacity(self) -> float:
        """Seconds of work at speed 1 that all workers do in a second."""
        return sum(worker.speed * worker.slots for worker in self.workers)


class _Maker:
    """Draws workers and jobs from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.workers = [self._worker(index) for index in range(WORKERS)]
        self.jobs: list[FakeJob] = []
        self.long_share = LONG_TASK_SHARE
        self.straggle_share = 0.0
        self.straggle_factor = 10.0
        self.restart = RestartRule.IF_NOT_RUN
        self.deadline_s = USUAL_DEADLINE_S

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
        wrong = MAX_MISDECLARED ** self.random.uniform(-1.0, 1.0)
        spec = TaskSpec(name, run_time_s=run_s * wrong, restart=self.restart)
        return spec, run_s

    def job(self, at_s: float, team: str | None = None, tasks: int = 0) -> FakeJob:
        """Draw a job."""
        chance = self.random
        if not tasks:
            drawn = MEDIAN_TASKS * chance.lognormvariate(0.0, TASKS_SPREAD)
            tasks = min(MAX_JOB_TASKS, max(1, round(drawn)))
        main = chance.randrange(len(KINDS))
        drawn_tasks = []
        for _ in range(tasks):
            other = chance.random() < OTHER_KIND_SHARE
            drawn_tasks.append(
                self._task(chance.randrange(len(KINDS)) if other else main)
            )
        factors = tuple(
            self.straggle_factor if chance.random() < self.straggle_share else 1.0
            for _ in range(tasks)
        )
        return FakeJob(
            JobId(f"job-{len(self.jobs)}-{at_s:.3f}"),
            Team(team or f"team-{chance.randrange(TEAMS)}"),
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
        """Add jobs whose work together is a share of the capacity over time.

        The work within the warm-up and that after it are what the share says,
        whatever the seed, give or take the last job; when jobs arrive is drawn in
        proportion to the share.
        """
        self._arrive(share, 0.0, WARM_UP_S, team, tasks)
        self._arrive(share, WARM_UP_S, end_s, team, tasks)

    def _arrive(
        self,
        share: Callable[[float], float],
        begin_s: float,
        end_s: float,
        team: str | None,
        tasks: int,
    ) -> None:
        times_s = [begin_s + STEP_S * i for i in range(int((end_s - begin_s) / STEP_S))]
        shares = [share(time_s) for time_s in times_s]
        left_s = sum(shares) * STEP_S * self.capacity
        while left_s > 0:
            at_s = self.random.choices(times_s, shares)[0]
            job = self.job(at_s + self.random.uniform(0.0, STEP_S), team, tasks)
            self.jobs.append(job)
            left_s -= sum(job.run_s)

    def load(self, name: str, end_s: float) -> Load:
        """Return what was drawn."""
        jobs = sorted(self.jobs, key=lambda job: job.at_s)
        return Load(name, tuple(self.workers), tuple(jobs), end_s)


def _steady(maker: _Maker, share: float, seconds: float) -> None:
    maker.arrive(lambda at_s: share, seconds)


def _crest_share(at_s: float, crest_s: float) -> float:
    """Return 0.4 of the capacity, four times as much at the crest."""
    rise_s, hold_s = 2.0, 4.0
    after_s = at_s - crest_s
    if after_s < 0 or after_s > 2 * rise_s + hold_s:
        return 0.4
    edge_s = min(after_s, 2 * rise_s + hold_s - after_s)
    return 0.4 * (1.0 + 3.0 * min(1.0, edge_s / rise_s))


def _crest(maker: _Maker, seconds: float) -> None:
    maker.deadline_s = CREST_DEADLINE_S
    maker.arrive(lambda at_s: _crest_share(at_s, WARM_UP_S + 2.0), seconds)


def _overload(maker: _Maker, share: float, seconds: float) -> None:
    maker.deadline_s = CREST_DEADLINE_S
    _steady(maker, share, seconds)


def _short(maker: _Maker, long_share: float, seconds: float) -> None:
    """Single short tasks at a bit over a third of the capacity, long ones beside."""
    maker.long_share = 0.0
    maker.arrive(lambda at_s: 0.35, seconds, tasks=1)
    shorts = len(maker.jobs)
    maker.long_share = 1.0
    for _ in range(round(long_share / (1.0 - long_share) * shorts)):
        at_s = maker.random.uniform(0.0, seconds)
        maker.jobs.append(maker.job(at_s, tasks=1))


def _long_wave(maker: _Maker, seconds: float) -> None:
    """Single short tasks, and at one moment more long ones than there are slots."""
    _short(maker, 0.02, seconds)
    maker.long_share = 1.0
    slots = sum(worker.slots for worker in maker.workers)
    for _ in range(2 * slots):
        maker.jobs.append(maker.job(WARM_UP_S + 3.0, tasks=1))


def _flood(maker: _Maker, flood_share: float, seconds: float) -> None:
    maker.arrive(lambda at_s: 0.6, seconds)
    if flood_share:
        maker.arrive(lambda at_s: flood_share, seconds, "flooder")


def _failing(maker: _Maker, seconds: float) -> None:
    for index in (2, 13):
        maker.workers[index] = dataclasses.replace(
            maker.workers[index], fails_from_s=WARM_UP_S + 5.0 * (index == 13)
        )
    _steady(maker, 0.7, seconds)


def _straggling(maker: _Maker, seconds: float) -> None:
    maker.straggle_share = 0.005
    maker.restart = RestartRule.IF_OVER
    _steady(maker, 0.7, seconds)


def _rack_loss(maker: _Maker, seconds: float) -> None:
    maker.restart = RestartRule.IF_OVER
    maker.workers = [
        dataclasses.replace(worker, lost_at_s=WARM_UP_S + 5.0)
        if worker.rack == "rack-1"
        else worker
        for worker in maker.workers
    ]
    _steady(maker, 0.5, seconds)


def _cancelling(maker: _Maker, seconds: float) -> None:
    _steady(maker, 0.8, seconds)
    waves_s = (WARM_UP_S + 3.0, WARM_UP_S + 8.0)
    for index, job in enumerate(maker.jobs):
        for wave_s in waves_s:
            if job.at_s < wave_s < job.at_s + 2.0 and maker.random.random() < 0.5:
                maker.jobs[index] = dataclasses.replace(
                    job, cancel_after_s=wave_s - job.at_s
                )


LOADS: dict[str, Callable[[_Maker, float], None]] = {
    "steady": lambda maker, seconds: _steady(maker, 0.8, seconds),
    "crest": _crest,
    "capacity": lambda maker, seconds: _overload(maker, 1.0, seconds),
    "twice": lambda maker, seconds: _overload(maker, 2.0, seconds),
    "short": lambda maker, seconds: _short(maker, 0.0, seconds),
    "mixed": lambda maker, seconds: _short(maker, 0.05, seconds),
    "long-wave": _long_wave,
    "calm": lambda maker, seconds: _flood(maker, 0.0, seconds),
    "flood": lambda maker, seconds: _flood(maker, 3.0, seconds),
    "failing": _failing,
    "straggling": _straggling,
    "rack-loss": _rack_loss,
    "cancelling": _cancelling,
}


def make_load(name: str, seed: int, seconds: float) -> Load:
    """Draw a load.

    Parameters
    ----------
    name : str
        One of `LOADS`.
    seed : int
        The seed.
    seconds : float
        For how long jobs arrive, the warm-up included.
    """
    maker = _Maker(seed)
    LOADS[name](maker, seconds)
    return maker.load(name, seconds)
