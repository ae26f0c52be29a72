"""Takes a job to the dispatchers with room for it, in parts if need be.

Invariants: a job is said not to have run only if no part of it was started; a part
whose dispatcher was lost goes to another one only once the leases of all that the lost
one started have run out; when no one waits for a job any more, all its parts are
stopped.
"""

import dataclasses
import random
from collections.abc import Container, Sequence

import trio

from .. import events
from ..clock import now_s
from ..codes import ResultCode, is_not_run
from ..ids import KEY_SEPARATOR, DataCentre, JobKey, Team
from ..submission import Submission, TaskSpec
from .dispatcher_links import DispatcherLinks
from .groups import EndpointGroup
from .messages import CapacityReport

__all__ = [
    "JobDone",
    "JobFailed",
    "JobIncomplete",
    "JobNotRun",
    "JobOrder",
    "JobRouter",
]

# The lease of an endpoint, 0.6 s, 2% for a slow clock, and 0.1 s until it is noticed.
LEASE_EXPIRY_WAIT_S = 0.72
# How long a refused client waits at least; the crest of a swing takes seconds.
RETRY_AFTER_S = 1.0
# While there is no dispatcher for a moment a job waits no longer than this.
NO_DISPATCHER_PAUSE_S = 0.02
# Half of the shortest tasks seen: room may have come by then.
REFUSED_PAUSE_S = 0.025


@dataclasses.dataclass(frozen=True, slots=True)
class JobOrder:
    """A job as it came in.

    Parameters
    ----------
    id : str
        The caller's name for it.
    team : Team
        Whose it is.
    tasks : sequence of TaskSpec
        Its tasks.
    deadline_s : float
        When its caller stops waiting, on the runtime's clock.
    start_by_s : float
        When it is to be refused if nothing of it could be started.
    target_completion_s : float
        By when the answer is hoped for.
    """

    id: str
    team: Team
    tasks: Sequence[TaskSpec]
    deadline_s: float
    start_by_s: float
    target_completion_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobDone:
    """All tasks are done."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailed:
    """A task has failed for good."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotRun:
    """Nothing of the job was started, or will be."""

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobIncomplete:
    """Some of the job was or may have been started, and it will not be completed."""

    detail: str


Outcome = JobDone | JobFailed | JobNotRun | JobIncomplete


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Tasks of a job for one dispatcher."""

    group: EndpointGroup
    tasks: tuple[TaskSpec, ...]


class JobRouter:
    """Sends jobs to dispatchers.

    Parameters
    ----------
    home : DataCentre
        Where this host stands; its dispatcher is asked first.
    links : DispatcherLinks
        Reaches the dispatchers.
    """

    def __init__(self, home: DataCentre, links: DispatcherLinks) -> None:
        self._home = home
        self._links = links
        self._random = random.Random()
        self._nonce = f"{self._random.getrandbits(24):06x}."
        self._keys = 0

    async def run(self, order: JobOrder) -> Outcome:
        """Run a job to its end; cancelling the call stops it."""
        with trio.move_on_at(order.deadline_s):
            return await _Running(order, self, self._links).run()
        return JobIncomplete("the deadline passed")

    def split(
        self, tasks: Sequence[TaskSpec], unable: Container[EndpointGroup] = ()
    ) -> list[_Part]:
        """Divide tasks among the dispatchers with room; empty if there is none.

        Those that are unable to run them are left out.
        """
        room = {
            group: told
            for group, told in self._links.capacity_reports().items()
            if told.slots and group not in unable
        }
        if not room:
            return []
        whole = self._place_for(len(tasks), room)
        if whole is not None:
            return [self._take(whole, tasks)]
        parts: dict[EndpointGroup, list[TaskSpec]] = {}
        left = list(tasks)
        for told in sorted(room.values(), key=lambda told: -told.free):
            if told.free > 0 and left:
                parts[told.group] = left[: told.free]
                del left[: told.free]
        if left:
            shortest = min(room.values(), key=self._wait_s).group
            parts.setdefault(shortest, []).extend(left)
        return [self._take(place, some) for place, some in parts.items()]

    def note_routed(self, order: JobOrder, parts: Sequence[_Part]) -> None:
        """Log where a job goes, and what was known of the room there."""
        room = self._links.capacity_reports()
        events.JOB_ROUTED.log(
            job=order.id,
            parts=[
                (
                    str(part.group),
                    len(part.tasks),
                    room[part.group].epoch if part.group in room else None,
                    room[part.group].free if part.group in room else None,
                )
                for part in parts
            ],
            start_by_s=round(order.start_by_s - now_s(), 3),
        )

    def submission(self, order: JobOrder, part: _Part) -> Submission:
        """Return a part as a job of its own, under a key that was never used."""
        self._keys += 1
        unique = f"{order.id}.{self._nonce}{self._keys}"
        key = JobKey(f"{part.group.data_centre}{KEY_SEPARATOR}{unique}")
        now = now_s()
        return Submission(
            key,
            order.team,
            part.tasks,
            max(0.001, order.deadline_s - now),
            max(0.0, order.start_by_s - now),
            order.target_completion_s - now,
            give_up_early=True,
        )

    def _place_for(
        self, count: int, room: dict[EndpointGroup, CapacityReport]
    ) -> EndpointGroup | None:
        """Return a dispatcher with room for all, one of this data centre if any has.

        Of two drawn by lot the one with more room is taken, lest all entry hosts choose
        the same one.
        """
        wide = [told for told in room.values() if told.free >= count]
        near = [told for told in wide if told.group.data_centre == self._home]
        if near:
            drawn = self._random.sample(near, min(2, len(near)))
            return max(drawn, key=lambda told: told.free).group
        return max(wide, key=lambda told: told.free).group if wide else None

    def _take(self, group: EndpointGroup, tasks: Sequence[TaskSpec]) -> _Part:
        self._links.reserve_capacity(group, len(tasks))
        return _Part(group, tuple(tasks))

    def _wait_s(self, told: CapacityReport) -> tuple[float, bool]:
        away = told.group.data_centre != self._home
        return (told.waiting_s + 0.001) / max(1, told.slots), away


class _Running:
    """One job under way."""

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
        """Run all parts; the first that fails ends the others."""
        parts = await self._first_parts()
        if not parts:
            return JobNotRun("no dispatcher is reached", RETRY_AFTER_S)
        self._parts = len(parts)
        self._router.note_routed(self._order, parts)
        async with trio.open_nursery() as nursery:
            for part in parts:
                nursery.start_soon(self._run_part, part, nursery.cancel_scope)
        return self._outcome or JobDone()

    async def _first_parts(self) -> list[_Part]:
        parts = self._router.split(self._order.tasks)
        while not parts and now_s() < self._order.start_by_s:
            await trio.sleep(NO_DISPATCHER_PAUSE_S)
            parts = self._router.split(self._order.tasks)
        return parts

    async def _run_part(self, part: _Part, scope: trio.CancelScope) -> None:
        outcome: Outcome = JobNotRun("no dispatcher took it", RETRY_AFTER_S)
        unable: set[EndpointGroup] = set()
        while True:
            told = await self._links.run_job(
                part.group, self._router.submission(self._order, part)
            )
            if told.code is ResultCode.COMPLETE:
                return
            events.JOB_RESENT.log(
                job=self._order.id,
                group=str(part.group),
                tasks=len(part.tasks),
                code=told.code.name,
                detail=told.detail,
            )
            if told.code is ResultCode.UNKNOWN_OWNER_UNREACHABLE:
                outcome = JobIncomplete(told.detail)
                await trio.sleep(LEASE_EXPIRY_WAIT_S)
            elif not is_not_run(told.code):
                failed = told.code is ResultCode.JOB_FAILED
                kind = JobFailed if failed else JobIncomplete
                outcome = kind(f"{told.code.name}: {told.detail}")
                break
            else:
                wait_s = max(told.retry_after_s, RETRY_AFTER_S)
                if not isinstance(outcome, JobIncomplete):
                    outcome = JobNotRun(f"{told.code.name}: {told.detail}", wait_s)
                if told.code is ResultCode.NOT_RUN_IMPOSSIBLE:
                    unable.add(part.group)
                    if unable.issuperset(self._links.capacity_reports()):
                        break
                else:
                    await trio.sleep(REFUSED_PAUSE_S)
                if now_s() >= self._order.start_by_s:
                    break
            part = self._elsewhere(part, unable)
        self._end(outcome, scope)

    def _elsewhere(self, part: _Part, unable: Container[EndpointGroup]) -> _Part:
        again = self._router.split(part.tasks, unable)
        if len(again) == 1:
            return again[0]
        if again and part.group in unable:
            return _Part(again[0].group, part.tasks)
        return part

    def _end(self, outcome: Outcome, scope: trio.CancelScope) -> None:
        if isinstance(outcome, JobNotRun):
            self._not_run += 1
            if self._not_run < self._parts:
                outcome = JobIncomplete(outcome.detail)
        if self._outcome is None:
            self._outcome = outcome
        scope.cancel()
