"""Stragglers: when a running attempt is better stopped and started anew.

A second copy beside the first is never made. An attempt is picked only if its
submitter marked it idempotent, it has run far longer than tasks of its kind do, and
the budget of restarts allows it; it is started anew once its end is proven.
"""

from collections.abc import Sequence

from .endpoint_load import EndpointLoad
from .endpoint_protocol import AttemptRef
from .policies import Estimator
from .presets import Preset
from .submission import RestartRule

__all__ = ["NoRestarts", "RestartStragglers"]

STRAGGLE_FACTOR = 3.0
MIN_OVER_S = 0.25
MAX_TOKENS = 20.0
MAX_ATTEMPT = 2


class RestartStragglers:
    """Picks attempts that run much longer than expected.

    Parameters
    ----------
    estimates : Estimator
        Says what is expected.
    """

    def __init__(self, estimates: Estimator) -> None:
        self._estimates = estimates
        self._picked: set[AttemptRef] = set()
        self._tokens = 0.0
        self._running: set[AttemptRef] = set()

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return attempts to stop."""
        running = {ref for load in endpoints for ref in load.running}
        useful = len(running - self._running)
        self._tokens = min(MAX_TOKENS, self._tokens + useful * preset.restarts_share)
        self._running = running
        self._picked &= running
        picks = [
            ref
            for load in endpoints
            for ref, task in load.running.items()
            if task.spec.restart is RestartRule.IF_OVER
            and task.attempt < MAX_ATTEMPT
            and ref not in self._picked
            and self._straggles(load, now_s - task.started_s, task.estimate_s, ref)
        ]
        picks = picks[: int(self._tokens)]
        self._tokens -= len(picks)
        self._picked.update(picks)
        return picks

    def _straggles(
        self, load: EndpointLoad, run_s: float, estimate_s: float, ref: AttemptRef
    ) -> bool:
        spec = load.running[ref].spec
        if run_s < MIN_OVER_S + STRAGGLE_FACTOR * estimate_s / load.speed:
            return False
        upper_s = self._estimates.upper_s(spec.kind, spec.run_time_s)
        return run_s > MIN_OVER_S + STRAGGLE_FACTOR * upper_s / load.speed


class NoRestarts:
    """Lets every attempt run to its end."""

    def pick(
        self, endpoints: Sequence[EndpointLoad], preset: Preset, now_s: float
    ) -> list[AttemptRef]:
        """Return nothing to stop."""
        return []
