"""Estimates of run times per kind of task and of speeds per endpoint.

All statistics are kept on a logarithmic scale, so that a heavy tail, or a declared
run time that is wrong by a factor, contributes no more than its logarithm. The weight
of a declared run time follows from how well earlier declarations of its kind
correlated with the observed run times.
"""

import math

from .ids import EndpointId
from .scheduler_types import WaitingTask

__all__ = ["DeclaredEstimates", "LearntEstimates"]

DEFAULT_RUN_S = 0.3
MIN_RUN_S = 0.001
MAX_RUN_S = 600.0
PRIOR_WEIGHT_TASKS = 3.0
PRIOR_VARIANCE = 0.5
KIND_WINDOW_TASKS = 500
SPEED_WINDOW_TASKS = 100
SPEED_PRIOR_WEIGHT_TASKS = 4
MAX_LOG_SPEED_STEP = 1.0
UPPER_STANDARD_DEVIATIONS = 1.3
MAX_KINDS = 10_000


def _clamped_log(run_s: float) -> float:
    return math.log(min(MAX_RUN_S, max(MIN_RUN_S, run_s)))


class _KindRegression:
    """Linear regression of log run time on log declared run time, for one kind."""

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
        """Weight of a declared run time, from 0 to 1."""
        if self.x_variance < 1e-6:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.x_variance))

    def update(self, x: float, y: float) -> None:
        """Add one observation: log declared run time and log run time at speed 1."""
        self.count += 1
        weight = 1.0 / min(self.count, KIND_WINDOW_TASKS)
        x_step, y_step = x - self.x_mean, y - self.y_mean
        self.x_mean += weight * x_step
        self.y_mean += weight * y_step
        keep = 1.0 - weight
        self.x_variance = keep * (self.x_variance + weight * x_step * x_step)
        self.y_variance = keep * (self.y_variance + weight * y_step * y_step)
        self.covariance = keep * (self.covariance + weight * x_step * y_step)

    def predict(self, x: float | None) -> tuple[float, float]:
        """Return the mean and the variance of the predicted log run time."""
        prior = x if x is not None else math.log(DEFAULT_RUN_S)
        if not self.count:
            return prior, PRIOR_VARIANCE
        mean, variance = self.y_mean, self.y_variance
        if x is not None:
            slope = self.slope
            mean += slope * (x - self.x_mean)
            variance = max(0.0, variance - slope * self.covariance)
        trust = self.count / (self.count + PRIOR_WEIGHT_TASKS)
        variance = trust * variance + (1.0 - trust) * PRIOR_VARIANCE
        return trust * mean + (1.0 - trust) * prior, variance


class LearntEstimates:
    """Estimates updated with the run times of ended tasks.

    Parameters
    ----------
    speed_window_tasks : int
        Number of tasks over which the speed of an endpoint is averaged. Many give an
        exact speed; few detect sooner that an endpoint has become slow.
    """

    def __init__(self, speed_window_tasks: int = SPEED_WINDOW_TASKS) -> None:
        self._speed_window_tasks = speed_window_tasks
        self._kinds: dict[str, _KindRegression] = {}
        self._log_speeds: dict[EndpointId, float] = {}
        self._speed_counts: dict[EndpointId, int] = {}

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the expected run time of a task in seconds at speed 1."""
        mean, variance = self._predict(kind, declared_s)
        return math.exp(mean + min(1.0, variance) / 2.0)

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return a run time in seconds at speed 1 that few tasks exceed."""
        mean, variance = self._predict(kind, declared_s)
        return math.exp(mean + UPPER_STANDARD_DEVIATIONS * math.sqrt(variance))

    def speed(self, endpoint: EndpointId) -> float:
        """Return the speed of an endpoint; 1 is the usual speed."""
        return math.exp(self._log_speeds.get(endpoint, 0.0))

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """Update the estimates with the run time of a task at an endpoint."""
        x = self._log_declared(task.spec.run_time_s)
        y = _clamped_log(run_s)
        log_speed = self._log_speeds.get(endpoint, 0.0)
        if len(self._kinds) >= MAX_KINDS and task.spec.kind not in self._kinds:
            self._kinds.pop(next(iter(self._kinds)))
        kind = self._kinds.setdefault(task.spec.kind, _KindRegression())
        if kind.count:
            mean, _ = kind.predict(x)
            self._update_speed(endpoint, log_speed, mean - y)
        kind.update(x if x is not None else kind.x_mean, y + log_speed)

    def _update_speed(
        self, endpoint: EndpointId, log_speed: float, observed_log_speed: float
    ) -> None:
        count = min(self._speed_counts.get(endpoint, 0) + 1, self._speed_window_tasks)
        self._speed_counts[endpoint] = count
        step = min(
            MAX_LOG_SPEED_STEP, max(-MAX_LOG_SPEED_STEP, observed_log_speed - log_speed)
        )
        self._log_speeds[endpoint] = log_speed + step / (
            count + SPEED_PRIOR_WEIGHT_TASKS
        )

    def _predict(self, kind: str, declared_s: float | None) -> tuple[float, float]:
        regression = self._kinds.get(kind) or _KindRegression()
        return regression.predict(self._log_declared(declared_s))

    def _log_declared(self, declared_s: float | None) -> float | None:
        return _clamped_log(declared_s) if declared_s else None


class DeclaredEstimates:
    """Uses declared run times as they are, and the usual speed for every endpoint."""

    def estimate_s(self, kind: str, declared_s: float | None) -> float:
        """Return the declared run time in seconds, or the default if there is none."""
        return declared_s or DEFAULT_RUN_S

    def upper_s(self, kind: str, declared_s: float | None) -> float:
        """Return the declared run time in seconds, or the default if there is none."""
        return declared_s or DEFAULT_RUN_S

    def speed(self, endpoint: EndpointId) -> float:
        """Return the usual speed, 1."""
        return 1.0

    def learn(self, endpoint: EndpointId, task: WaitingTask, run_s: float) -> None:
        """No-op: the estimates do not depend on observed run times."""
