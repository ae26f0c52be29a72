"""Admission: a job is admitted if it can end in time, and refused at once if not.

A refusal says that nothing was run, why, and when to retry. A job is refused as
impossible to run only when the set of endpoints has settled, that is, not shortly
after an endpoint has registered, as all do after a start of the host, and not while
an endpoint that could run it is absent.
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
DEADLINE_SAFETY_FACTOR = 1.25


class AdmitAll:
    """Admits every job that the registered endpoints could run."""

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Refuse a job with a task that no registered endpoint could ever run."""
        announcements = [load.announcement for load in endpoints]
        index = _impossible_task(request, announcements)
        return None if index is None else _impossible_refusal(index)

    def membership_changed(self, now_s: float) -> None:
        """No-op: the decision does not depend on when endpoints changed."""


class DeadlineAdmission:
    """Admits jobs within the queue bound, their team's quota and their deadline.

    Parameters
    ----------
    estimates : Estimator
        Estimates the run times of tasks.
    presets : PresetSource
        Source of the preset in force, which sets the queue bound.
    quotas : QuotaSource
        Source of the weight and the maximum number of waiting tasks of each team.
    """

    def __init__(
        self, estimates: Estimator, presets: PresetSource, quotas: QuotaSource
    ) -> None:
        self._estimates = estimates
        self._presets = presets
        self._quotas = quotas
        self._last_announcements: dict[EndpointId, Announcement] = {}
        self._last_change_s: float | None = None

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return the refusal of a job, or None to admit it."""
        return (
            self._check_possible(request, endpoints, now_s)
            or self._check_quota(request, backlog)
            or self._check_time(request, endpoints, backlog, now_s)
        )

    def membership_changed(self, now_s: float) -> None:
        """Record when an endpoint last registered."""
        self._last_change_s = now_s

    def _check_possible(
        self, request: JobRequest, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> Refusal | None:
        for load in endpoints:
            self._last_announcements[load.id] = load.announcement
        index = _impossible_task(request, [load.announcement for load in endpoints])
        if index is None:
            return None
        absent = (
            _impossible_task(request, list(self._last_announcements.values())) is None
        )
        settled = (
            self._last_change_s is not None and now_s - self._last_change_s >= SETTLE_S
        )
        if settled and not absent:
            return _impossible_refusal(index)
        return Refusal(
            ResultCode.NOT_RUN_OVERLOADED,
            "no endpoint that could run this task is here yet",
            f"tasks[{index}]",
            SETTLE_S,
        )

    def _check_quota(self, request: JobRequest, backlog: Backlog) -> Refusal | None:
        max_waiting = self._quotas.quota(request.team).max_waiting
        waiting = backlog.team_tasks(request.team)
        if waiting + len(request.tasks) <= max_waiting:
            return None
        return Refusal(
            ResultCode.NOT_RUN_QUOTA,
            f"{waiting} tasks of the team wait, {max_waiting} may",
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
        run_alone_s = self._run_alone_s(request, capacity, fastest)
        end_s = DEADLINE_SAFETY_FACTOR * (wait_s + run_alone_s)
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
        """Return the estimated time until a team's new job starts, in seconds.

        The work ahead of the job is no more than the whole backlog, and no more than
        the team's own backlog scaled up by the shares of other waiting teams.
        """
        own_weight = self._quotas.quota(team).weight
        other_weights = sum(
            self._quotas.quota(other).weight
            for other in backlog.teams()
            if other != team
        )
        fair_backlog_s = (
            backlog.team_work_s(team) * (own_weight + other_weights) / own_weight
        )
        return min(backlog.work_s, fair_backlog_s) / capacity

    def _run_alone_s(
        self, request: JobRequest, capacity: float, fastest: float
    ) -> float:
        """Return the estimated run time of a job alone on all endpoints, in seconds."""
        estimates = [
            self._estimates.estimate_s(spec.kind, spec.run_time_s)
            for spec in request.tasks
        ]
        return max(max(estimates) / fastest, sum(estimates) / capacity)


class ShortQueueAdmission:
    """Admits jobs that can start soon, whatever their declared run times.

    Meant for jobs that are abandoned early: one that seems too long is still tried if
    there is free capacity, since declared run times are often far off.

    Parameters
    ----------
    max_wait_s : float
        Longest estimated wait of an admitted job, in seconds.
    """

    def __init__(self, max_wait_s: float) -> None:
        self._max_wait_s = max_wait_s
        self._last_change_s: float | None = None

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return the refusal of a job, or None to admit it."""
        usable = [load for load in endpoints if load.usable()]
        index = _impossible_task(request, [load.announcement for load in endpoints])
        if index is not None:
            settled = self._last_change_s is not None and (
                now_s - self._last_change_s >= SETTLE_S
            )
            if settled:
                return _impossible_refusal(index)
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
        """Record when an endpoint last registered."""
        self._last_change_s = now_s


def _impossible_task(
    request: JobRequest, announcements: Sequence[Announcement]
) -> int | None:
    """Return the index of the first task that no announced endpoint could run."""
    checked: set[Shape] = set()
    for index, spec in enumerate(request.tasks):
        shape = shape_of(spec)
        if shape not in checked and not any(
            could_run(announcement, spec) for announcement in announcements
        ):
            return index
        checked.add(shape)
    return None


def _impossible_refusal(index: int) -> Refusal:
    return Refusal(
        ResultCode.NOT_RUN_IMPOSSIBLE,
        "no known endpoint could run this task",
        field=f"tasks[{index}]",
    )


def _retry_after_s(wait_s: float) -> float:
    return round(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)), 1)
