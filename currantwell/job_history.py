"""The latest steps of the jobs that this process took in or ran, kept in memory.

Invariant: the history has a bounded number of steps, the oldest of which are dropped
first; a reply tells how far back it reaches.
"""

import collections
import dataclasses
import enum
from collections.abc import Awaitable
from typing import Protocol

import msgspec

from .clock import CalendarClock, SystemCalendar, now_s
from .errors import EndpointUnreachable
from .http_reply import HttpReply

__all__ = [
    "JobHistory",
    "JobHistoryReply",
    "JobStep",
    "JobStepReply",
    "RunOrder",
    "job_history",
]

# About a minute of a busy host, in 3 MB.
MAX_STEPS = 8_192


class JobStep(enum.Enum):
    """What happened to a job or to one of its runs."""

    ARRIVED = "arrived"
    CLAIM_HELD = "claim_held"
    CLAIMED = "claimed"
    RELEASED = "released"
    ROUTED = "routed"
    RESENT = "resent"
    ANSWERED = "answered"
    CALLER_LEFT = "caller_left"
    ORDER_SENT = "order_sent"
    ORDER_ANSWERED = "order_answered"
    ORDER_UNANSWERED = "order_unanswered"
    RUN_ENDED = "run_ended"


class RunOrder(Protocol):
    """An order to an endpoint that concerns one run."""

    task: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A run of a task, whose name begins with the id of its job and a dot."""

    task: str
    number: int
    endpoint: str
    epoch: int


class JobStepReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job.

    Parameters
    ----------
    unix_s : float
        When it happened, by the clock of the host.
    step : JobStep
        What happened.
    detail : object
        Where a job was routed, its outcome, an order and its status, or how a run
        ended.
    task, run, endpoint, epoch : str, int, str and int
        The run and the dispatcher's epoch, if it is a step of a run.
    """

    unix_s: float
    step: JobStep
    detail: object = None
    task: str = ""
    run: int = 0
    endpoint: str = ""
    epoch: int = 0


class JobHistoryReply(msgspec.Struct, frozen=True):
    """The steps of a job at one host.

    Parameters
    ----------
    job : str
        The caller's id of the job.
    complete_since_unix_s : float or None
        Time since when no step is left out; None if none was dropped.
    steps : tuple of JobStepReply
        Its steps, in order.
    """

    job: str
    complete_since_unix_s: float | None
    steps: tuple[JobStepReply, ...]


class JobHistory:
    """The latest steps of jobs, to be asked by the id of a job.

    Parameters
    ----------
    max_steps : int
        Number of steps that are kept.
    calendar : CalendarClock or None
        Gives the times in replies.
    """

    def __init__(
        self, max_steps: int = MAX_STEPS, calendar: CalendarClock | None = None
    ) -> None:
        self._calendar = calendar or SystemCalendar()
        self._steps: collections.deque[tuple[float, str | _Run, JobStep, object]] = (
            collections.deque(maxlen=max_steps)
        )

    def record(self, job: str, step: JobStep, detail: object = None) -> None:
        """Record a step of a job.

        Parameters
        ----------
        job : str
            The caller's id of the job.
        step : JobStep
            What happened.
        detail : object
            Anything that can be encoded as JSON and is small.
        """
        self._steps.append((now_s(), job, step, detail))

    def record_end(
        self, key: tuple[str, int], endpoint: str, epoch: int, how: str
    ) -> None:
        """Record the end of a run.

        Parameters
        ----------
        key : tuple of str and int
            Name of the task and number of the run.
        endpoint : str
            Where it ran.
        epoch : int
            Epoch of its dispatcher.
        how : str
            How it ended.
        """
        self._record_run(_Run(*key, endpoint, epoch), JobStep.RUN_ENDED, how)

    async def follow(
        self,
        endpoint: str,
        epoch: int,
        path: str,
        order: RunOrder,
        call: Awaitable[HttpReply],
    ) -> HttpReply:
        """Record an order and its reply.

        Parameters
        ----------
        endpoint : str
            Where it is sent.
        epoch : int
            Epoch of its dispatcher.
        path : str
            Path of the request.
        order : RunOrder
            Its body.
        call : awaitable of HttpReply
            Sends it.

        Returns
        -------
        HttpReply
            The reply.

        Raises
        ------
        EndpointUnreachable
            If the call raises it.
        """
        run = _Run(order.task, order.run, endpoint, epoch)
        self._record_run(run, JobStep.ORDER_SENT, path)
        try:
            reply = await call
        except EndpointUnreachable:
            self._record_run(run, JobStep.ORDER_UNANSWERED, path)
            raise
        self._record_run(run, JobStep.ORDER_ANSWERED, (path, reply.status))
        return reply

    def of(self, job: str) -> JobHistoryReply:
        """Return the steps of a job that are still kept."""
        ahead_s = self._calendar.unix_s() - now_s()
        steps = tuple(
            _to_reply(round(at_s + ahead_s, 6), subject, step, detail)
            for at_s, subject, step, detail in self._steps
            if _job_of(subject) == job
        )
        full = len(self._steps) == self._steps.maxlen
        since_s = round(self._steps[0][0] + ahead_s, 6) if full else None
        return JobHistoryReply(job, since_s, steps)

    def _record_run(self, run: _Run, step: JobStep, detail: object) -> None:
        self._steps.append((now_s(), run, step, detail))


def _job_of(subject: str | _Run) -> str:
    return subject.task.partition(".")[0] if isinstance(subject, _Run) else subject


def _to_reply(
    unix_s: float, subject: str | _Run, step: JobStep, detail: object
) -> JobStepReply:
    if isinstance(subject, _Run):
        run = dataclasses.astuple(subject)
        return JobStepReply(unix_s, step, detail, *run)
    return JobStepReply(unix_s, step, detail)


# One process is one host.
job_history = JobHistory()
