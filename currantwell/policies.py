"""The protocols between the scheduler and its policies."""

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
    """Why a task was placed where it was, or why it waits."""

    POLICY_CHOICE = "the policy's choice among endpoints with room"
    FASTEST = "the fastest endpoint with room, since the job's end hangs on it"
    SLACK = "a slower endpoint, which still ends before the job's last task"
    NO_CAPACITY = "no endpoint with room fits"
    WAIT_FOR_FASTER = "a faster endpoint will soon be free and end it sooner"
    LONG_SHARE = "long tasks hold the share of slots that the preset gives them"
    OVER_SHARE = "its team is over its share; other teams go first"
    LOWER_PRIORITY = "other tasks go first"
    BACKOFF = "its retry waits for its backoff or for a budget token"


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where a task goes, or that it waits, and why."""

    endpoint: EndpointLoad | None
    reason: Reason


class Estimator(Protocol):
    """Estimates run times and speeds from what ran before."""

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the expected run time of a task at speed 1."""
        ...

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return a run time at speed 1 that few tasks exceed."""
        ...

    def speed(self, endpoint: EndpointId) -> float:
        """Return the speed of an endpoint."""
        ...

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """Learn from a task that ran for so long at an endpoint."""
        ...


class Placement(Protocol):
    """Chooses the endpoint of a task."""

    def prepare(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> None:
        """Prepare for choices at one moment; all endpoints are given, fastest first."""
        ...

    def choose(
        self, task: WaitingTask, room: Sequence[EndpointLoad], now_s: float
    ) -> Choice:
        """Choose one of the endpoints with room, fastest first, or to wait."""
        ...


class Ordering(Protocol):
    """Keeps the waiting tasks in the order in which they are placed."""

    def add(self, group: Sequence[WaitingTask], now_s: float) -> None:
        """Add tasks of one job."""
        ...

    def candidates(self, slots: int, now_s: float) -> Iterable[WaitingTask]:
        """Yield tasks, first to start first.

        A task that is discarded after it was yielded has been placed; one that is
        not may be passed over together with its job's tasks of the same shape.
        """
        ...

    def discard(self, task: WaitingTask) -> None:
        """Take a task out, since it starts or its job is over."""
        ...

    def record_start(self, task: WaitingTask, now_s: float) -> None:
        """Charge a start to its team."""
        ...

    def exceeds_share(self, task: WaitingTask) -> bool:
        """Tell whether a task's team is over its share."""
        ...


class Admission(Protocol):
    """Decides whether a job is let in."""

    def check(
        self,
        request: JobRequest,
        endpoints: Sequence[EndpointLoad],
        backlog: Backlog,
        now_s: float,
    ) -> Refusal | None:
        """Return why the job is refused, or None."""
        ...

    def membership_changed(self, now_s: float) -> None:
        """Note that an endpoint has come or gone."""
        ...


class Ejection(Protocol):
    """Keeps work away from endpoints that fail it."""

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """Learn from a task that ended."""
        ...

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Learn from a start that the endpoint refused."""
        ...

    def limits(
        self, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> dict[EndpointId, int]:
        """Return the most attempts of each endpoint that is not trusted fully."""
        ...

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint."""
        ...


class RetryBudget(Protocol):
    """Says when a retry may start."""

    def credit(self, task: WaitingTask, share: float) -> None:
        """Count a first start, which earns a share of a retry."""
        ...

    def backoff_s(self, task: WaitingTask) -> float:
        """Return how long a retry waits before it asks for a token."""
        ...

    def try_take(self, task: WaitingTask, now_s: float) -> bool:
        """Take a token for a retry; False if there is none now."""
        ...


class StragglerRule(Protocol):
    """Names running attempts that are better stopped and started anew."""

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return attempts to stop."""
        ...
