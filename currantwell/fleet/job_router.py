"""Sends jobs to dispatchers with free capacity, in parts if necessary.

Invariants: a job is reported as not run only if no part of it was started; a part whose
dispatcher was lost is sent to another one only after the leases under which the lost
one started tasks have expired; when the caller no longer waits for a job, all its parts
are cancelled.
"""

import dataclasses
import random
from collections.abc import Container, Sequence

import trio

from .. import events
from ..clock import now_s
from ..codes import ResultCode, is_not_run
from ..ids import KEY_SEPARATOR, DataCentre, JobKey, Team
from ..job_history import JobStep, job_history
from ..submission import Submission, TaskSpec
from .dispatcher_links import DispatcherLinks
from .groups import EndpointGroup
from .job_claims import RunningParts
from .lease_times import LEASE_EXPIRY_WAIT_S
from .messages import CapacityReport, JobEnded
from .return_schedule import ReturnSchedule

__all__ = [
    "JobDone",
    "JobFailed",
    "JobIncomplete",
    "JobNotRun",
    "JobOrder",
    "JobRouter",
]

# Shortest delay before a refused client retries; a load peak lasts for seconds.
RETRY_AFTER_S = 1.0
# Interval at which a job checks for a dispatcher while there is none, or while its
# dispatcher is being replaced.
NO_DISPATCHER_PAUSE_S = 0.02
# A job that was refused by so many dispatchers with too long a backlog is refused: each
# was the best of those drawn at random, and asking on would only cost the others time.
MAX_OVERLOADED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class JobOrder:
    """A job, or a wave of its tasks, as passed to the router.

    Times are on the runtime's clock.

    Parameters
    ----------
    id : str
        The caller's id of the job.
    team : Team
        The team that submitted it.
    tasks : sequence of TaskSpec
        Its tasks.
    deadline_s : float
        Time at which the caller stops waiting.
    start_by_s : float
        Time at which the job is refused if none of its tasks could be started.
    target_completion_s : float
        Time by which the answer is hoped for.
    running : RunningParts
        Counts its parts for as long as attempts of theirs may be running.
    """

    id: str
    team: Team
    tasks: Sequence[TaskSpec]
    deadline_s: float
    start_by_s: float
    target_completion_s: float
    running: RunningParts = dataclasses.field(default_factory=RunningParts)


@dataclasses.dataclass(frozen=True, slots=True)
class JobDone:
    """All tasks are done."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailed:
    """A task failed for good."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotRun:
    """No task of the job was started or will be."""

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobIncomplete:
    """Some tasks were or may have been started, and the job will not complete."""

    detail: str


Outcome = JobDone | JobFailed | JobNotRun | JobIncomplete


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Tasks of a job that are sent to one dispatcher."""

    group: EndpointGroup
    tasks: tuple[TaskSpec, ...]


class JobRouter:
    """Sends jobs to dispatchers.

    Parameters
    ----------
    home : DataCentre
        Data centre of this host; its dispatchers are preferred.
    links : DispatcherLinks
        Connections to the dispatchers.
    """

    def __init__(self, home: DataCentre, links: DispatcherLinks) -> None:
        self._home = home
        self._links = links
        self._random = random.Random()
        self._nonce = f"{self._random.getrandbits(24):06x}."
        self._keys = 0
        self._returns = ReturnSchedule()

    async def run(self, order: JobOrder) -> Outcome:
        """Run a job to its end; cancelling the call cancels the job."""
        outcome: Outcome = JobIncomplete("the deadline passed")
        with trio.move_on_at(order.deadline_s):
            outcome = await _RunningJob(order, self, self._links).run()
        if isinstance(outcome, JobDone):
            self._returns.record_completion(now_s())
        elif isinstance(outcome, JobNotRun):
            after_s = self._returns.retry_after_s(outcome.retry_after_s, now_s())
            outcome = dataclasses.replace(outcome, retry_after_s=after_s)
        return outcome

    def split(
        self, tasks: Sequence[TaskSpec], unable: Container[EndpointGroup] = ()
    ) -> list[_Part]:
        """Divide tasks among the dispatchers by free capacity.

        All tasks go to one dispatcher if any has free capacity for them. Tasks beyond
        all free capacity go to the dispatcher with the shortest backlog.

        Parameters
        ----------
        tasks : sequence of TaskSpec
            The tasks.
        unable : container of EndpointGroup
            Groups that can't run the tasks and are left out.

        Returns
        -------
        list of _Part
            The parts; empty if no dispatcher can be used.
        """
        reports = {
            group: report
            for group, report in self._links.capacity_reports().items()
            if report.slots and group not in unable
        }
        if not reports:
            return []
        single = self._choose_single(len(tasks), reports)
        if single is not None:
            return [self._make_part(single, tasks)]
        parts: dict[EndpointGroup, list[TaskSpec]] = {}
        remaining = list(tasks)
        for report in sorted(reports.values(), key=lambda report: -report.free):
            if report.free > 0 and remaining:
                parts[report.group] = remaining[: report.free]
                del remaining[: report.free]
        if remaining:
            shortest = min(reports.values(), key=self._backlog).group
            parts.setdefault(shortest, []).extend(remaining)
        return [
            self._make_part(group, group_tasks) for group, group_tasks in parts.items()
        ]

    def log_routing(self, order: JobOrder, parts: Sequence[_Part]) -> None:
        """Log the parts of a job and the reported capacity of their dispatchers."""
        reports = self._links.capacity_reports()
        longest_s = max((task.run_time_s or 0.0) for task in order.tasks)
        routes = [(str(part.group), len(part.tasks)) for part in parts]
        job_history.record(order.id, JobStep.ROUTED, routes)
        events.JOB_ROUTED.log(
            job=order.id,
            parts=[
                (
                    str(part.group),
                    len(part.tasks),
                    reports[part.group].epoch if part.group in reports else None,
                    reports[part.group].free if part.group in reports else None,
                )
                for part in parts
            ],
            start_by_s=round(order.start_by_s - now_s(), 3),
            left_s=round(order.deadline_s - now_s(), 3),
            longest_s=round(longest_s, 3),
        )

    def submission(self, order: JobOrder, part: _Part) -> Submission:
        """Return a part as a job of its own, under a key that is never used again."""
        self._keys += 1
        unique = f"{order.id}.{self._nonce}{self._keys}"
        key = JobKey(f"{part.group.data_centre}{KEY_SEPARATOR}{unique}")
        now = now_s()
        delay_s = self._links.delay_s(part.group)
        return Submission(
            key,
            order.team,
            part.tasks,
            max(0.001, order.deadline_s - now - delay_s),
            max(0.0, order.start_by_s - now - delay_s),
            order.target_completion_s - now,
            give_up_early=True,
        )

    def _choose_single(
        self, count: int, reports: dict[EndpointGroup, CapacityReport]
    ) -> EndpointGroup | None:
        """Return a dispatcher with free capacity for all tasks, None if none has it.

        Dispatchers of this data centre are preferred. Of two of them drawn at random
        the one with more free capacity is chosen, so that the entry hosts don't all
        choose the same one.
        """
        sufficient = [report for report in reports.values() if report.free >= count]
        near = [
            report for report in sufficient if report.group.data_centre == self._home
        ]
        if near:
            drawn = self._random.sample(near, min(2, len(near)))
            return max(drawn, key=lambda report: report.free).group
        return (
            max(sufficient, key=lambda report: report.free).group
            if sufficient
            else None
        )

    def _make_part(self, group: EndpointGroup, tasks: Sequence[TaskSpec]) -> _Part:
        self._links.reserve_capacity(group, len(tasks))
        return _Part(group, tuple(tasks))

    def _backlog(self, report: CapacityReport) -> tuple[float, bool]:
        """Return a key by which dispatchers with a shorter wait come first.

        With equal waits, dispatchers of this data centre come first.
        """
        far = report.group.data_centre != self._home
        return (report.waiting_s + 0.001) / max(1, report.slots), far


class _RunningJob:
    """A job that is being run, in one or more parts."""

    def __init__(
        self, order: JobOrder, router: JobRouter, links: DispatcherLinks
    ) -> None:
        self._order = order
        self._router = router
        self._links = links
        self._parts = 0
        self._not_run = 0
        self._outcome: Outcome | None = None

    async def run(self) -> Outcome:
        """Run all parts; the first one that fails cancels the others."""
        parts, late = await self._first_parts()
        if not parts:
            detail = "replies take too long" if late else "no dispatcher is reached"
            return JobNotRun(detail, RETRY_AFTER_S)
        self._parts = len(parts)
        self._router.log_routing(self._order, parts)
        if len(parts) == 1:
            # Most jobs have one part; a task of its own would only cost time.
            with trio.CancelScope() as scope:
                await self._run_part(parts[0], scope)
            return self._outcome or JobDone()
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(self._run_part, part, nursery.cancel_scope)
        return self._outcome or JobDone()

    async def _first_parts(self) -> tuple[list[_Part], set[EndpointGroup]]:
        """Split the job, waiting until its start time limit for a dispatcher.

        Returns
        -------
        tuple of list and set
            The parts; and the groups that are not used, since their replies would come
            too late. While there are any, nothing is waited for.
        """
        while True:
            late = self._links.late_groups(self._order.deadline_s - now_s())
            await self._links.learn_capacity(len(self._order.tasks), late)
            parts = self._router.split(self._order.tasks, late)
            if parts or late or now_s() >= self._order.start_by_s:
                return parts, late
            await trio.sleep(NO_DISPATCHER_PAUSE_S)

    async def _run_part(self, part: _Part, scope: trio.CancelScope) -> None:
        """Run a part, sending it again after a refusal or a lost dispatcher."""
        outcome: Outcome = JobNotRun("no dispatcher took it", RETRY_AFTER_S)
        refused = _Refusals()
        while now_s() < self._order.deadline_s:
            reply = await self._links.run_job(
                part.group,
                self._router.submission(self._order, part),
                self._order.running,
            )
            if reply.code is ResultCode.COMPLETE:
                return
            events.JOB_RESENT.log(
                job=self._order.id,
                group=str(part.group),
                tasks=len(part.tasks),
                code=reply.code.name,
                detail=reply.detail,
            )
            detail = (str(part.group), len(part.tasks), reply.code.name)
            job_history.record(self._order.id, JobStep.RESENT, detail)
            if reply.code is ResultCode.UNKNOWN_OWNER_UNREACHABLE:
                outcome = JobIncomplete(reply.detail)
                await trio.sleep(max(reply.retry_after_s, LEASE_EXPIRY_WAIT_S))
            elif not is_not_run(reply.code):
                failed = reply.code is ResultCode.JOB_FAILED
                kind = JobFailed if failed else JobIncomplete
                outcome = kind(f"{reply.code.name}: {reply.detail}")
                break
            else:
                wait_s = max(reply.retry_after_s, RETRY_AFTER_S)
                if not isinstance(outcome, JobIncomplete):
                    outcome = JobNotRun(f"{reply.code.name}: {reply.detail}", wait_s)
                pause_s = refused.add(part.group, reply)
                if now_s() + pause_s >= self._order.start_by_s or refused.is_final(
                    self._links.dispatcher_groups()
                ):
                    break
                await trio.sleep(pause_s)
            rerouted = await self._reroute(part, refused)
            if rerouted is None:
                break
            part = rerouted
        self._end(outcome, scope)

    async def _reroute(self, part: _Part, refused: "_Refusals") -> _Part | None:
        """Return the part with the dispatcher to send it to next, None if none is left.

        A part is not split again: if its tasks would need several dispatchers, it stays
        with its dispatcher unless that one has refused it.
        """
        late = self._links.late_groups(self._order.deadline_s - now_s())
        without = late | refused.unable | refused.overloaded
        await self._links.learn_capacity(len(part.tasks), without)
        parts = self._router.split(part.tasks, without)
        if len(parts) == 1:
            return parts[0]
        if part.group not in without:
            return part
        return _Part(parts[0].group, part.tasks) if parts else None

    def _end(self, outcome: Outcome, scope: trio.CancelScope) -> None:
        """Record the outcome of a part that did not complete, and cancel the others.

        The job counts as not run only if that is the outcome of each of its parts.
        """
        if isinstance(outcome, JobNotRun):
            self._not_run += 1
            if self._not_run < self._parts:
                outcome = JobIncomplete(outcome.detail)
        if self._outcome is None:
            self._outcome = outcome
        scope.cancel()


class _Refusals:
    """The dispatchers that have refused a part, and what they refused it for.

    Attributes
    ----------
    unable : set of EndpointGroup
        Groups none of whose endpoints could ever run the part.
    overloaded : set of EndpointGroup
        Groups whose backlog is too long, or was too long to start the part in time.
    """

    def __init__(self) -> None:
        self.unable: set[EndpointGroup] = set()
        self.overloaded: set[EndpointGroup] = set()

    def add(self, group: EndpointGroup, reply: JobEnded) -> float:
        """Record a refusal; return the pause before the next attempt, in seconds."""
        if reply.code is ResultCode.NOT_RUN_IMPOSSIBLE:
            self.unable.add(group)
            return 0.0
        if reply.code in (ResultCode.NOT_RUN_OVERLOADED, ResultCode.NOT_RUN_DEADLINE):
            self.overloaded.add(group)
            return 0.0
        return NO_DISPATCHER_PAUSE_S

    def is_final(self, groups: set[EndpointGroup]) -> bool:
        """Return whether no other one of the groups is worth another attempt."""
        if len(self.overloaded) >= MAX_OVERLOADED:
            return True
        return groups <= self.unable | self.overloaded
