"""Run times learnt per kind of task, and speeds learnt per endpoint.

Everything is learnt on a logarithmic scale, where a heavy tail or a declaration
that is wrong by a factor weighs no more than its logarithm. How far a declared run
time is believed follows from how well earlier ones of its kind went with what ran.
"""

import math

from .ids import EndpointId
from .scheduler_types import WaitingTask

__all__ = ["DeclaredEstimates", "LearntEstimates"]

DEFAULT_RUN_S = 0.3
MIN_RUN_S = 0.001
MAX_RUN_S = 600.0
PRIOR_TASKS = 3.0
PRIOR_SPREAD = 0.5
KIND_MEMORY_TASKS = 500
SPEED_MEMORY_TASKS = 100
SPEED_PRIOR_TASKS = 4
MAX_SPEED_STEP = 1.0
UPPER_DEVIATIONS = 1.3
MAX_KINDS = 10_000


def _log(run_s: float) -> float:
    return math.log(min(MAX_RUN_S, max(MIN_RUN_S, run_s)))


class _Kind:
    """A regression of the logarithm of the run time on that of the declared one."""

    __slots__ = ("count", "covariance", "x_mean", "x_variance", "y_mean", "y_variance")

    def __init__(self) -> None:
        self.count = 0
        self.x_mean = 0.0
        self.x_variance = 0.0
        self.y_mean = 0.0
        self.y_variance = 0.0
        self.covariance = 0.0

    @property
    def slope(self) -> float:
        """How far a declared run time is believed, from 0 to 1."""
        if self.x_variance < 1e-6:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.x_variance))

    def learn(self, x: float, y: float) -> None:
        """Take in one task."""
        self.count += 1
        weight = 1.0 / min(self.count, KIND_MEMORY_TASKS)
        x_step, y_step = x - self.x_mean, y - self.y_mean
        self.x_mean += weight * x_step
        self.y_mean += weight * y_step
        keep = 1.0 - weight
        self.x_variance = keep * (self.x_variance + weight * x_step * x_step)
        self.y_variance = keep * (self.y_variance + weight * y_step * y_step)
        self.covariance = keep * (self.covariance + weight * x_step * y_step)

    def guess(self, x: float | None) -> tuple[float, float]:
        """Return the mean and the variance of the logarithm of a run time."""
        prior = x if x is not None else math.log(DEFAULT_RUN_S)
        if not self.count:
            return prior, PRIOR_SPREAD
        mean, variance = self.y_mean, self.y_variance
        if x is not None:
            slope = self.slope
            mean += slope * (x - self.x_mean)
            variance = max(0.0, variance - slope * self.covariance)
        trust = self.count / (self.count + PRIOR_TASKS)
        variance = trust * variance + (1.0 - trust) * PRIOR_SPREAD
        return trust * mean + (1.0 - trust) * prior, variance


class LearntEstimates:
    """Estimates learnt from the tasks that ended.

    Parameters
    ----------
    speed_memory_tasks : int
        Over how many tasks the speed of an endpoint is learnt: many are exact, few
        notice soon that an endpoint has turned slow.
    """

    def __init__(self, speed_memory_tasks: int = SPEED_MEMORY_TASKS) -> None:
        self._speed_memory_tasks = speed_memory_tasks
        self._kinds: dict[str, _Kind] = {}
        self._log_speeds: dict[EndpointId, float] = {}
        self._counts: dict[EndpointId, int] = {}

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the expected run time of a task at speed 1."""
        mean, variance = self._guess(kind, declared_s)
        return math.exp(mean + min(1.0, variance) / 2.0)

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return a run time at speed 1 that few tasks exceed."""
        mean, variance = self._guess(kind, declared_s)
        return math.exp(mean + UPPER_DEVIATIONS * math.sqrt(variance))

    def speed(self, endpoint: EndpointId) -> float:
        """Return the speed of an endpoint."""
        return math.exp(self._log_speeds.get(endpoint, 0.0))

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """Learn from a task that ran for so long at an endpoint."""
        x = self._log_declared(task.spec.run_time_s)
        y = _log(run_s)
        log_speed = self._log_speeds.get(endpoint, 0.0)
        if len(self._kinds) >= MAX_KINDS and task.spec.kind not in self._kinds:
            self._kinds.pop(next(iter(self._kinds)))
        kind = self._kinds.setdefault(task.spec.kind, _Kind())
        if kind.count:
            mean, _ = kind.guess(x)
            self._learn_speed(endpoint, log_speed, mean - y)
        kind.learn(x if x is not None else kind.x_mean, y + log_speed)

    def _learn_speed(self, endpoint: EndpointId, log_speed: float, seen: float) -> None:
        count = min(self._counts.get(endpoint, 0) + 1, self._speed_memory_tasks)
        self._counts[endpoint] = count
        step = min(MAX_SPEED_STEP, max(-MAX_SPEED_STEP, seen - log_speed))
        self._log_speeds[endpoint] = log_speed + step / (count + SPEED_PRIOR_TASKS)

    def _guess(self, kind: str, declared_s: float | None) -> tuple[float, float]:
        known = self._kinds.get(kind) or _Kind()
        return known.guess(self._log_declared(declared_s))

    def _log_declared(self, declared_s: float | None) -> float | None:
        return _log(declared_s) if declared_s else None


class DeclaredEstimates:
    """Believes what is declared and learns nothing."""

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the declared run time."""
        return declared_s or DEFAULT_RUN_S

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return the declared run time."""
        return declared_s or DEFAULT_RUN_S

    def speed(self, endpoint: EndpointId) -> float:
        """Return the usual speed."""
        return 1.0

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """Learn nothing."""
