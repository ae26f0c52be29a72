"""Straggler mitigation: selects slow running attempts to stop and restart.

A second attempt never runs beside the first (no speculative execution). An attempt is
selected only if its submitter marked the task as idempotent, it has run far longer
than tasks of its kind usually do, and the restart budget allows it. It is restarted
once the end of the first attempt is confirmed.
"""

from collections.abc import Sequence

from .endpoint_load import EndpointLoad
from .endpoint_protocol import AttemptRef
from .policies import Estimator
from .presets import Preset
from .submission import RestartRule

__all__ = ["NoRestarts", "RestartStragglers"]

STRAGGLE_FACTOR = 3.0
STRAGGLE_MARGIN_S = 0.25
MAX_TOKENS = 20.0
LAST_ATTEMPT = 2


class RestartStragglers:
    """Selects attempts that run much longer than estimated.

    Each attempt that starts adds the preset's share of a token to the restart budget;
    each selected attempt costs one token.

    Parameters
    ----------
    estimates : Estimator
        Estimates the run times of tasks.
    """

    def __init__(self, estimates: Estimator) -> None:
        self._estimates = estimates
        self._selected: set[AttemptRef] = set()
        self._tokens = 0.0
        self._running: set[AttemptRef] = set()

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return the attempts to stop."""
        running = {ref for load in endpoints for ref in load.running}
        started = len(running - self._running)
        self._tokens = min(MAX_TOKENS, self._tokens + started * preset.restarts_share)
        self._running = running
        self._selected &= running
        selected = [
            ref
            for load in endpoints
            for ref, task in load.running.items()
            if task.spec.restart is RestartRule.IF_OVER
            and task.attempt < LAST_ATTEMPT
            and ref not in self._selected
            and self._is_straggler(load, now_s - task.started_s, task.estimate_s, ref)
        ]
        selected = selected[: int(self._tokens)]
        self._tokens -= len(selected)
        self._selected.update(selected)
        return selected

    def _is_straggler(
        self, load: EndpointLoad, run_s: float, estimate_s: float, ref: AttemptRef
    ) -> bool:
        spec = load.running[ref].spec
        if run_s < STRAGGLE_MARGIN_S + STRAGGLE_FACTOR * estimate_s / load.speed:
            return False
        upper_s = self._estimates.upper_s(spec.kind, spec.run_time_s)
        return run_s > STRAGGLE_MARGIN_S + STRAGGLE_FACTOR * upper_s / load.speed


class NoRestarts:
    """Never stops an attempt."""

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return an empty list."""
        return []
