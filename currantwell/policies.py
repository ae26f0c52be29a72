"""Protocols of the policies that the scheduler uses."""

import dataclasses
import enum
from collections.abc import Iterable, Sequence
from typing import Protocol

from .answers import Refusal
from .backlog import Backlog
from .endpoint_load import EndpointLoad
from .endpoint_protocol import AttemptRef
from .ids import EndpointId
from .presets import Preset
from .scheduler_types import JobRequest, WaitingTask

__all__ = [
    "Admission",
    "Choice",
    "Ejection",
    "Estimator",
    "Ordering",
    "Placement",
    "Reason",
    "RetryBudget",
    "StragglerRule",
]


class Reason(enum.Enum):
    """Why a task was placed at an endpoint, or why it waits."""

    POLICY_CHOICE = "the policy's choice among endpoints with room"
    FASTEST = "the fastest endpoint with room, since the job's end hangs on it"
    SLACK = "a slower endpoint, which still ends before the job's last task"
    NO_CAPACITY = "no endpoint with room fits"
    WAIT_FOR_FASTER = "a faster endpoint will soon be free and end it sooner"
    WAIT_FOR_DEADLINE = "only a faster endpoint, which is busy, ends it by the deadline"
    LONG_SHARE = "long tasks hold the share of slots that the preset gives them"
    OVER_SHARE = "its team is over its share; other teams go first"
    LOWER_PRIORITY = "other tasks go first"
    BACKOFF = "its retry waits for its backoff or for a budget token"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a task, or None to let it wait, and the reason."""

    endpoint: EndpointLoad | None
    reason: Reason


class Estimator(Protocol):
    """Estimates run times of tasks and speeds of endpoints."""

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the expected run time of a task in seconds at speed 1."""
        ...

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return a run time in seconds at speed 1 that few tasks exceed."""
        ...

    def speed(self, endpoint: EndpointId) -> float:
        """Return the speed of an endpoint; 1 is the usual speed."""
        ...

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """Update the estimates with the run time of a task at an endpoint."""
        ...


class Placement(Protocol):
    """Chooses the endpoint of a task."""

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """Prepare for one round of choices, given all endpoints, fastest first."""
        ...

    def choose(
        self, task: WaitingTask, candidates: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose one of the endpoints with free capacity, or let the task wait.

        The candidates are sorted, fastest first.
        """
        ...


class Ordering(Protocol):
    """Orders the waiting tasks for placement."""

    def prepare(self, endpoints: Sequence[EndpointLoad]) -> None:
        """Note the endpoints that the next candidates may be placed at."""
        ...

    def add(self, tasks: Sequence[WaitingTask], now_s: float) -> None:
        """Add tasks of one job."""
        ...

    def candidates(self, slots: int, now_s: float) -> Iterable[WaitingTask]:
        """Yield tasks in the order in which they are to start.

        A task that is discarded after it was yielded has been placed. One that is
        not has been skipped, and further tasks of its job and shape may be skipped
        too.
        """
        ...

    def discard(self, task: WaitingTask) -> None:
        """Remove a task, since it starts or its job has ended."""
        ...

    def record_start(self, task: WaitingTask, now_s: float) -> None:
        """Charge the estimated run time of a started task to its team."""
        ...

    def exceeds_share(self, task: WaitingTask) -> bool:
        """Return whether a task's team has used more than its share."""
        ...


class Admission(Protocol):
    """Decides whether a job is admitted."""

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return the refusal of a job, or None to admit it."""
        ...

    def membership_changed(self, now_s: float) -> None:
        """Record when the set of endpoints last changed."""
        ...


class Ejection(Protocol):
    """Limits the work of endpoints that fail or refuse it (outlier ejection)."""

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """Record whether a task of a kind succeeded at an endpoint."""
        ...

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that an endpoint refused a start."""
        ...

    def limits(
        self, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> dict[EndpointId, int]:
        """Return the maximum number of running attempts of each limited endpoint.

        Endpoints that are missing from the result have no limit.
        """
        ...

    def forget(self, endpoint: EndpointId) -> None:
        """Delete the record of an endpoint."""
        ...


class RetryBudget(Protocol):
    """Decides when a retry may start."""

    def credit(self, task: WaitingTask, share: float) -> None:
        """Credit a first start with a share of a retry token."""
        ...

    def backoff_s(self, task: WaitingTask) -> float:
        """Return the delay in seconds before a retry requests a token."""
        ...

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Take a token for a retry; return False if none is available."""
        ...


class StragglerRule(Protocol):
    """Selects running attempts to stop and restart."""

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return the attempts to stop."""
        ...
