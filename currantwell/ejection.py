"""Ejection by evidence of endpoints that fail or refuse what they are given.

Each outcome moves a score by its log-likelihood ratio between an endpoint that
fails half of its tasks and one that fails as others do with the same kind of task,
never below zero. Past a threshold the endpoint is ejected; after a backoff it is
given one attempt, and with each success twice as many. An endpoint that has never
succeeded starts on the same ladder.
"""

import dataclasses
import math
from collections.abc import Sequence

from .endpoint_load import EndpointLoad
from .ids import EndpointId

__all__ = ["NoEjection", "OutlierEjection"]

BAD_FAILURE_SHARE = 0.5
USUAL_FAILURE_SHARE = 0.01
KIND_MEMORY_TASKS = 50
EJECT_SCORE = math.log(1_000.0)
FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
FIRST_REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 1.0
FIRST_LIMIT = 2
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Record:
    """The evidence about one endpoint."""

    score: float = 0.0
    limit: int | None = FIRST_LIMIT
    ejected_until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    refusal_backoff_s: float = FIRST_REFUSAL_BACKOFF_S
    refused_until_s: float = 0.0


class OutlierEjection:
    """Ejects endpoints that fail more than others do, never more than half."""

    def __init__(self) -> None:
        self._records: dict[EndpointId, _Record] = {}
        self._failures: dict[str, float] = {}

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """Learn from a task that ended."""
        record = self._records.setdefault(endpoint, _Record())
        usual = self._usual(kind)
        if succeeded:
            self._succeeded(record, usual)
        else:
            self._failed(record, usual, now_s)
        usual_now = self._failures.get(kind, 0.0)
        step = (not succeeded) - usual_now
        self._failures[kind] = usual_now + step / KIND_MEMORY_TASKS

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Learn from a start that the endpoint refused."""
        record = self._records.setdefault(endpoint, _Record())
        if now_s < record.refused_until_s:
            return
        record.refused_until_s = now_s + record.refusal_backoff_s
        record.refusal_backoff_s = min(
            MAX_REFUSAL_BACKOFF_S, 2.0 * record.refusal_backoff_s
        )

    def limits(
        self, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> dict[EndpointId, int]:
        """Return the most attempts of each endpoint that is not trusted fully."""
        limits: dict[EndpointId, int] = {}
        ejected: list[EndpointLoad] = []
        for load in endpoints:
            record = self._records.setdefault(load.id, _Record())
            if now_s < record.ejected_until_s:
                ejected.append(load)
            elif now_s < record.refused_until_s:
                limits[load.id] = 0
            elif record.limit is not None:
                limits[load.id] = record.limit
        ejected.sort(key=lambda load: -self._records[load.id].score)
        most = int(MAX_EJECTED_SHARE * len(endpoints))
        for load in ejected[:most]:
            limits[load.id] = 0
        for load in ejected[most:]:
            limits[load.id] = FIRST_LIMIT
        return limits

    def forget(self, endpoint: EndpointId) -> None:
        """Forget an endpoint."""
        self._records.pop(endpoint, None)

    def _usual(self, kind: str) -> float:
        seen = self._failures.get(kind, 0.0)
        return min(0.95 * BAD_FAILURE_SHARE, max(USUAL_FAILURE_SHARE, seen))

    def _succeeded(self, record: _Record, usual: float) -> None:
        ratio = math.log((1.0 - BAD_FAILURE_SHARE) / (1.0 - usual))
        record.score = max(0.0, record.score + ratio)
        record.backoff_s = max(FIRST_BACKOFF_S, record.backoff_s / 2.0)
        record.refusal_backoff_s = FIRST_REFUSAL_BACKOFF_S
        if record.limit is not None:
            record.limit *= 2
            if record.limit > 64:
                record.limit = None

    def _failed(self, record: _Record, usual: float, now_s: float) -> None:
        record.score += math.log(BAD_FAILURE_SHARE / usual)
        on_trial = record.limit is not None and record.limit <= 1
        if now_s < record.ejected_until_s:
            return
        if record.score >= EJECT_SCORE or on_trial:
            record.ejected_until_s = now_s + record.backoff_s
            record.backoff_s = min(MAX_BACKOFF_S, 2.0 * record.backoff_s)
            record.limit = 1
            record.score = 0.0


class NoEjection:
    """Trusts every endpoint."""

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """Learn nothing."""

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Learn nothing."""

    def limits(
        self, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> dict[EndpointId, int]:
        """Limit nothing."""
        return {}

    def forget(self, endpoint: EndpointId) -> None:
        """Forget nothing."""
