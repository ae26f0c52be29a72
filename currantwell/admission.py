"""Admission: a job is let in if it can finish in time, and refused at once if not.

A refusal says what is so: that nothing was run, why, and when it is worth trying
again. A job that no endpoint could ever run is refused as such only once the
endpoints are known: not soon after one has come, as happens after a start, and not
while one that could run it is away.
"""

from collections.abc import Sequence

from .answers import Refusal
from .backlog import Backlog
from .codes import ResultCode
from .endpoint_load import EndpointLoad, could_run
from .endpoint_protocol import Announcement
from .ids import EndpointId, Team
from .policies import Estimator
from .presets import PresetSource
from .quotas import QuotaSource
from .scheduler_types import JobRequest, Shape, shape_of

__all__ = ["AdmitAll", "DeadlineAdmission", "ShortQueueAdmission"]

SETTLE_S = 3.0
MAX_RETRY_AFTER_S = 30.0
MIN_RETRY_AFTER_S = 0.1
DEADLINE_SAFETY = 1.25


class AdmitAll:
    """Lets in every job that some endpoint could run."""

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Refuse a job with a task that no known endpoint could ever run."""
        said = [load.announcement for load in endpoints]
        index = _impossible_task(request, said)
        return None if index is None else _impossible(index)

    def membership_changed(self, now_s: float) -> None:
        """Take no notice."""


class DeadlineAdmission:
    """Lets in what the queue bound, the quotas and the deadline allow.

    Parameters
    ----------
    estimates : Estimator
        Run times.
    presets : PresetSource
        The queue bound in force.
    quotas : QuotaSource
        Weights and most waiting tasks of teams.
    """

    def __init__(
        self, estimates: Estimator, presets: PresetSource, quotas: QuotaSource
    ) -> None:
        self._estimates = estimates
        self._presets = presets
        self._quotas = quotas
        self._known: dict[EndpointId, Announcement] = {}
        self._changed_s: float | None = None

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return why the job is refused, or None."""
        return (
            self._check_possible(request, endpoints, now_s)
            or self._check_quota(request, backlog)
            or self._check_time(request, endpoints, backlog, now_s)
        )

    def membership_changed(self, now_s: float) -> None:
        """Note that an endpoint has come."""
        self._changed_s = now_s

    def _check_possible(
        self, request: JobRequest, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> Refusal | None:
        for load in endpoints:
            self._known[load.id] = load.announcement
        index = _impossible_task(request, [load.announcement for load in endpoints])
        if index is None:
            return None
        away = _impossible_task(request, list(self._known.values())) is None
        settled = self._changed_s is not None and now_s - self._changed_s >= SETTLE_S
        if settled and not away:
            return _impossible(index)
        return Refusal(
            ResultCode.NOT_RUN_OVERLOADED,
            "no endpoint that could run this task is here yet",
            f"tasks[{index}]",
            SETTLE_S,
        )

    def _check_quota(self, request: JobRequest, backlog: Backlog) -> Refusal | None:
        most = self._quotas.quota(request.team).max_waiting
        waiting = backlog.team_tasks(request.team)
        if waiting + len(request.tasks) <= most:
            return None
        return Refusal(
            ResultCode.NOT_RUN_QUOTA,
            f"{waiting} tasks of the team wait, {most} may",
            "tasks",
            _retry_after_s(backlog.team_work_s(request.team)),
        )

    def _check_time(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        capacity = sum(
            load.announcement.slots * load.speed
            for load in endpoints
            if load.reachable and not load.announcement.draining and load.limit != 0
        )
        if capacity <= 0:
            return Refusal(
                ResultCode.NOT_RUN_OVERLOADED,
                "no endpoint takes work now",
                retry_after_s=SETTLE_S,
            )
        wait_s = self._wait_s(request.team, backlog, capacity)
        queue_s = self._presets.preset().queue_s
        if wait_s > queue_s:
            return Refusal(
                ResultCode.NOT_RUN_OVERLOADED,
                f"work that waits takes {wait_s:.1f} s, {queue_s:.1f} s are allowed",
                retry_after_s=_retry_after_s(wait_s - queue_s),
            )
        fastest = max(load.speed for load in endpoints)
        alone_s = self._alone_s(request, capacity, fastest)
        end_s = DEADLINE_SAFETY * (wait_s + alone_s)
        left_s = request.deadline_s - now_s
        if end_s > left_s:
            return Refusal(
                ResultCode.NOT_RUN_DEADLINE,
                f"would end in about {end_s:.1f} s, the deadline is in {left_s:.1f} s",
                "deadline_s",
                _retry_after_s(wait_s),
            )
        return None

    def _wait_s(self, team: Team, backlog: Backlog, capacity: float) -> float:
        """Return how long the work ahead of a team's new job takes."""
        own = self._quotas.quota(team).weight
        others = sum(
            self._quotas.quota(other).weight
            for other in backlog.teams()
            if other != team
        )
        share_s = backlog.team_work_s(team) * (own + others) / own
        return min(backlog.work_s, share_s) / capacity

    def _alone_s(self, request: JobRequest, capacity: float, fastest: float) -> float:
        estimates = [
            self._estimates.estimate_s(spec.kind, spec.run_time_s)
            for spec in request.tasks
        ]
        return max(max(estimates) / fastest, sum(estimates) / capacity)


class ShortQueueAdmission:
    """Lets in what can start soon, whatever its declared run time.

    For jobs that are given up early: a job that looks too long is tried where there is
    room, since declared run times are often far off.

    Parameters
    ----------
    max_wait_s : float
        Longest expected wait.
    """

    def __init__(self, max_wait_s: float) -> None:
        self._max_wait_s = max_wait_s
        self._changed_s: float | None = None

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return why the job is refused, or None."""
        usable = [load for load in endpoints if load.usable()]
        index = _impossible_task(request, [load.announcement for load in endpoints])
        if index is not None:
            settled = self._changed_s is not None and (
                now_s - self._changed_s >= SETTLE_S
            )
            if settled:
                return _impossible(index)
            detail = "no endpoint that could run this task is here yet"
            return Refusal(
                ResultCode.NOT_RUN_OVERLOADED, detail, f"tasks[{index}]", SETTLE_S
            )
        spec = request.tasks[0]
        slots = sum(load.slots_for(spec) * load.speed for load in usable)
        wait_s = backlog.work_s / slots if slots > 0 else SETTLE_S
        if wait_s <= self._max_wait_s:
            return None
        return Refusal(
            ResultCode.NOT_RUN_OVERLOADED,
            f"work that waits takes {wait_s:.2f} s",
            retry_after_s=_retry_after_s(wait_s),
        )

    def membership_changed(self, now_s: float) -> None:
        """Note that an endpoint has come."""
        self._changed_s = now_s


def _impossible_task(request: JobRequest, said: Sequence[Announcement]) -> int | None:
    """Return the first task that no endpoint could run."""
    seen: set[Shape] = set()
    for index, spec in enumerate(request.tasks):
        shape = shape_of(spec)
        if shape not in seen and not any(could_run(one, spec) for one in said):
            return index
        seen.add(shape)
    return None


def _impossible(index: int) -> Refusal:
    return Refusal(
        ResultCode.NOT_RUN_IMPOSSIBLE,
        "no known endpoint could run this task",
        field=f"tasks[{index}]",
    )


def _retry_after_s(wait_s: float) -> float:
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)), 1)
