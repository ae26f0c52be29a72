"""The service of an entry host to its callers: routes, readiness and jobs.

Invariants: a job that was accepted has an outcome before the host ends; its tasks start
only while its id is claimed.
"""

import math
from collections.abc import Sequence
from typing import Protocol

import trio

from .. import events
from ..clock import now_s
from ..ids import Team
from ..job_history import JobStep, job_history
from ..metrics import Metrics, Timing
from ..submission import TaskSpec
from .claimant import HeldClaim
from .dispatcher_links import DispatcherLinks
from .fleet_view import FleetView
from .job_router import (
    JobDone,
    JobIncomplete,
    JobNotRun,
    JobOrder,
    JobRouter,
    Outcome,
)
from .routes import Route

__all__ = ["EntryService"]

# Share of the time to the deadline. A job that is refused after half of that time has
# kept its caller waiting in vain.
START_BY_SHARE = 0.45
# Hosts that restarted together have a configuration again within this time.
CONFIGURATION_WAIT_S = 0.6
# The load balancer sends new connections to other hosts by then.
CLOSING_RETRY_AFTER_S = 1.0


class JobClaims(Protocol):
    """The part of `Claimant` that is used here."""

    async def acquire(
        self, job: str, team: Team, deadline_s: float, start_by_s: float
    ) -> HeldClaim | Outcome:
        """Claim a job, or return its outcome."""

    def release(self, claim: HeldClaim, done: bool) -> None:
        """Release a claim once no attempt of its job is running."""


class EntryService:
    """Runs the jobs of an entry host's callers.

    Parameters
    ----------
    view : FleetView
        Provides the configuration.
    links : DispatcherLinks
        Connections to the dispatchers.
    router : JobRouter
        Runs jobs on dispatchers.
    metrics : Metrics
        Records the number and the latency of answers.
    claims : JobClaims
        Claims the ids of jobs.

    Attributes
    ----------
    draining : bool
        Whether the host is about to stop and is reported as not ready.
    closing : bool
        Whether new jobs are refused.
    in_flight : int
        Number of jobs that are running.
    jobs_cut_off : int
        Number of jobs that were ended since the host is about to stop.
    """

    def __init__(
        self,
        view: FleetView,
        links: DispatcherLinks,
        router: JobRouter,
        metrics: Metrics,
        claims: JobClaims,
    ) -> None:
        self.draining = False
        self.closing = False
        self.in_flight = 0
        self.jobs_cut_off = 0
        self._stop_s = math.inf
        self._job_scopes: set[trio.CancelScope] = set()
        self._view = view
        self._links = links
        self._router = router
        self._metrics = metrics
        self._claims = claims

    @property
    def configured(self) -> bool:
        """Whether a configuration was received."""
        return self._view.configuration.version > 0

    async def wait_configured(self, timeout_s: float) -> bool:
        """Wait for the first configuration; return whether it has been received.

        For callers whose requests arrive just after a restart a late answer is better
        than a refusal. The others are refused when half of their time has passed.

        Parameters
        ----------
        timeout_s : float
            Time until the caller stops waiting, in seconds.
        """
        with trio.move_on_after(min(CONFIGURATION_WAIT_S, START_BY_SHARE * timeout_s)):
            await self._view.wait_configured()
        return self.configured

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests to this host."""
        return (
            self.configured
            and not self.draining
            and bool(self._links.capacity_reports())
        )

    @property
    def max_body_bytes(self) -> int:
        """Largest request body accepted, in bytes."""
        return self._view.configuration.max_body_bytes

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if no route matches."""
        return self._view.route(host, path)

    def end_jobs_by(self, stop_s: float) -> None:
        """Give each job an outcome by a time.

        Jobs that are running then are cancelled. New ones are refused at once if they
        are not expected to end before.

        Parameters
        ----------
        stop_s : float
            The time, on the runtime's clock.
        """
        self._stop_s = stop_s
        for scope in self._job_scopes:
            scope.deadline = stop_s

    def _may_outlast_host(
        self, route: Route, waves: Sequence[Sequence[TaskSpec]], deadline_s: float
    ) -> bool:
        """Return whether a job that begins now may still run when the host stops.

        A job without estimates counts as a short one.
        """
        run_s = sum(_longest_s(tasks) for tasks in waves)
        return min(deadline_s, now_s() + route.target_s + run_s) > self._stop_s

    async def run(
        self,
        identifier: str,
        route: Route,
        waves: Sequence[Sequence[TaskSpec]],
        deadline_s: float,
    ) -> Outcome:
        """Run a job to its end; a wave of tasks starts when the previous one is done.

        Returns `JobIncomplete` instead of `JobNotRun` if an earlier wave has run.
        """
        job_history.record(identifier, JobStep.ARRIVED)
        if self.closing or self._may_outlast_host(route, waves, deadline_s):
            return JobNotRun("this host is about to stop", CLOSING_RETRY_AFTER_S)
        outcome: Outcome = JobIncomplete("this host is about to stop")
        scope = trio.CancelScope(deadline=self._stop_s)
        self._job_scopes.add(scope)
        self.in_flight += 1
        try:
            with scope:
                outcome = await self._run_claimed(
                    identifier, route, waves, min(deadline_s, self._stop_s)
                )
        except trio.Cancelled:
            job_history.record(identifier, JobStep.CALLER_LEFT)
            raise
        finally:
            self.in_flight -= 1
            self._job_scopes.discard(scope)
        self.jobs_cut_off += scope.cancelled_caught
        return outcome

    async def _run_claimed(
        self,
        identifier: str,
        route: Route,
        waves: Sequence[Sequence[TaskSpec]],
        deadline_s: float,
    ) -> Outcome:
        """Run a job once its id is claimed for it."""
        outcome: Outcome | None = None
        start_by_s = now_s() + START_BY_SHARE * (deadline_s - now_s())
        claim = await self._claims.acquire(
            identifier, route.team, deadline_s, start_by_s
        )
        if not isinstance(claim, HeldClaim):
            return claim
        try:
            outcome = await self._run_waves(claim, route, waves, deadline_s)
        finally:
            self._claims.release(claim, done=isinstance(outcome, JobDone))
        if isinstance(outcome, JobNotRun) and claim.contended:
            # An earlier submission of the id may have run.
            return JobIncomplete(outcome.detail)
        return outcome

    async def _run_waves(
        self,
        claim: HeldClaim,
        route: Route,
        waves: Sequence[Sequence[TaskSpec]],
        deadline_s: float,
    ) -> Outcome:
        outcome: Outcome = JobDone()
        for number, tasks in enumerate(waves):
            order = _make_order(claim, route, tasks, deadline_s)
            outcome = await self._router.run(order)
            if isinstance(outcome, JobNotRun) and number > 0:
                return JobIncomplete(outcome.detail)
            if not isinstance(outcome, JobDone):
                break
        return outcome

    def record_outcome(
        self, identifier: str, team: Team, outcome: Outcome, arrived_s: float
    ) -> None:
        """Log an outcome and record it in the metrics."""
        after_s = round(now_s() - arrived_s, 3)
        job_history.record(identifier, JobStep.ANSWERED, type(outcome).__name__)
        self._metrics.count_answer(type(outcome).__name__)
        self._metrics.observe(Timing.JOB_RESPONSE, now_s() - arrived_s)
        fields = {"job": identifier, "team": team, "after_s": after_s}
        if isinstance(outcome, JobDone):
            events.JOB_ANSWERED.log(**fields)
        elif isinstance(outcome, JobNotRun):
            events.JOB_REFUSED.log(**fields, detail=outcome.detail)
        else:
            kind = type(outcome).__name__
            events.JOB_INCOMPLETE.log(**fields, outcome=kind, detail=outcome.detail)


def _make_order(
    claim: HeldClaim, route: Route, tasks: Sequence[TaskSpec], deadline_s: float
) -> JobOrder:
    """Return the order that makes the router run tasks whose dependencies are done."""
    now = now_s()
    return JobOrder(
        claim.job,
        route.team,
        tasks,
        deadline_s,
        start_by_s=now + START_BY_SHARE * (deadline_s - now),
        target_completion_s=now + route.target_s + route.stretch * _longest_s(tasks),
        running=claim.running,
    )


def _longest_s(tasks: Sequence[TaskSpec]) -> float:
    """Return the longest estimated run time, 0 if there is no estimate."""
    return max((task.run_time_s or 0.0) for task in tasks)
