"""What an entry host does for its callers: routes, readiness and jobs."""

from collections.abc import Sequence

from .. import events
from ..clock import now_s
from ..ids import Team
from ..metrics import Metrics, Timing
from ..submission import TaskSpec
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

# A job that is given up later than at half of its time left its caller waiting in vain.
START_BY_SHARE = 0.45
# The balancer sends new connections to other hosts by then.
CLOSING_RETRY_AFTER_S = 1.0


class EntryService:
    """The face of an entry host.

    Parameters
    ----------
    view : FleetView
        Knows the configuration.
    links : DispatcherLinks
        Reaches the dispatchers.
    router : JobRouter
        Runs jobs.
    metrics : Metrics
        Counts answers and times them.
    """

    def __init__(
        self,
        view: FleetView,
        links: DispatcherLinks,
        router: JobRouter,
        metrics: Metrics,
    ) -> None:
        self.draining = False
        self.closing = False
        self.in_flight = 0
        self._view = view
        self._links = links
        self._router = router
        self._metrics = metrics

    @property
    def configured(self) -> bool:
        """Whether any configuration is known."""
        return self._view.configuration.version > 0

    @property
    def ready(self) -> bool:
        """Whether new callers are welcome."""
        return (
            self.configured
            and not self.draining
            and bool(self._links.capacity_reports())
        )

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a request."""
        return self._view.configuration.max_body_bytes

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        return self._view.route(host, path)

    async def run(
        self,
        identifier: str,
        route: Route,
        waves: Sequence[Sequence[TaskSpec]],
        deadline_s: float,
    ) -> Outcome:
        """Run a job to its end, each wave of tasks after the one before.

        A job of which a wave has run is not said to have not run.
        """
        if self.closing:
            return JobNotRun("this host is about to stop", CLOSING_RETRY_AFTER_S)
        self.in_flight += 1
        try:
            outcome: Outcome = JobDone()
            for number, tasks in enumerate(waves):
                order = _order_of(identifier, route, tasks, deadline_s)
                outcome = await self._router.run(order)
                if isinstance(outcome, JobNotRun) and number > 0:
                    return JobIncomplete(outcome.detail)
                if not isinstance(outcome, JobDone):
                    break
            return outcome
        finally:
            self.in_flight -= 1

    def note_outcome(
        self, identifier: str, team: Team, outcome: Outcome, arrived_s: float
    ) -> None:
        """Log what a caller is told."""
        after_s = round(now_s() - arrived_s, 3)
        self._metrics.answered(type(outcome).__name__)
        self._metrics.observe(Timing.JOB_RESPONSE, now_s() - arrived_s)
        fields = {"job": identifier, "team": team, "after_s": after_s}
        if isinstance(outcome, JobDone):
            events.JOB_ANSWERED.log(**fields)
        elif isinstance(outcome, JobNotRun):
            events.JOB_REFUSED.log(**fields, detail=outcome.detail)
        else:
            kind = type(outcome).__name__
            events.JOB_INCOMPLETE.log(**fields, outcome=kind, detail=outcome.detail)


def _order_of(
    identifier: str, route: Route, tasks: Sequence[TaskSpec], deadline_s: float
) -> JobOrder:
    """Return tasks that may start now as an order to the router."""
    now = now_s()
    longest_s = max((task.run_time_s or 0.0) for task in tasks)
    return JobOrder(
        identifier,
        route.team,
        tasks,
        deadline_s,
        start_by_s=now + START_BY_SHARE * (deadline_s - now),
        target_completion_s=now + route.target_s + route.stretch * longest_s,
    )
