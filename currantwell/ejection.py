"""Ejection of endpoints that fail or refuse tasks more often than others.

Each outcome adds a log-likelihood ratio to the score of its endpoint: that of an
endpoint that fails half of its tasks against one that fails as often as is usual for
the kind of task. The score never falls below zero. An endpoint whose score exceeds a
threshold is ejected. After a backoff it may run one attempt as a probe, and each
success doubles the limit until it is lifted. A new endpoint starts with a low limit
that grows in the same way.
"""

import dataclasses
import math
from collections.abc import Sequence

from .endpoint_load import EndpointLoad
from .ids import EndpointId

__all__ = ["NoEjection", "OutlierEjection"]

BAD_FAILURE_SHARE = 0.5
USUAL_FAILURE_SHARE = 0.01
KIND_WINDOW_TASKS = 50
EJECT_SCORE = math.log(1_000.0)
FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 300.0
FIRST_REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 1.0
FIRST_LIMIT = 2
MAX_EJECTED_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Record:
    """The score, the limit and the backoffs of one endpoint."""

    score: float = 0.0
    limit: int | None = FIRST_LIMIT
    ejected_until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    refusal_backoff_s: float = FIRST_REFUSAL_BACKOFF_S
    refused_until_s: float = 0.0


class OutlierEjection:
    """Ejects endpoints that fail more than is usual, at most half of all endpoints."""

    def __init__(self) -> None:
        self._records: dict[EndpointId, _Record] = {}
        self._failure_shares: dict[str, float] = {}

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """Record whether a task of a kind succeeded at an endpoint."""
        record = self._records.setdefault(endpoint, _Record())
        usual_share = self._usual_share(kind)
        if succeeded:
            self._record_success(record, usual_share)
        else:
            self._record_failure(record, usual_share, now_s)
        failure_share = self._failure_shares.get(kind, 0.0)
        deviation = (not succeeded) - failure_share
        self._failure_shares[kind] = failure_share + deviation / KIND_WINDOW_TASKS

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """Record that an endpoint refused a start.

        It gets no starts during a backoff, which doubles with each later refusal until
        a task succeeds.
        """
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
        """Return the maximum number of running attempts of each limited endpoint.

        Endpoints that are missing from the result have no limit.
        """
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
        max_ejected = int(MAX_EJECTED_SHARE * len(endpoints))
        for load in ejected[:max_ejected]:
            limits[load.id] = 0
        for load in ejected[max_ejected:]:
            limits[load.id] = FIRST_LIMIT
        return limits

    def forget(self, endpoint: EndpointId) -> None:
        """Delete the record of an endpoint."""
        self._records.pop(endpoint, None)

    def _usual_share(self, kind: str) -> float:
        """Return the share of failures that is usual for a kind of task."""
        observed = self._failure_shares.get(kind, 0.0)
        return min(0.95 * BAD_FAILURE_SHARE, max(USUAL_FAILURE_SHARE, observed))

    def _record_success(self, record: _Record, usual_share: float) -> None:
        log_ratio = math.log((1.0 - BAD_FAILURE_SHARE) / (1.0 - usual_share))
        record.score = max(0.0, record.score + log_ratio)
        record.backoff_s = max(FIRST_BACKOFF_S, record.backoff_s / 2.0)
        record.refusal_backoff_s = FIRST_REFUSAL_BACKOFF_S
        if record.limit is not None:
            record.limit *= 2
            if record.limit > 64:
                record.limit = None

    def _record_failure(
        self, record: _Record, usual_share: float, now_s: float
    ) -> None:
        record.score += math.log(BAD_FAILURE_SHARE / usual_share)
        probing = record.limit is not None and record.limit <= 1
        if now_s < record.ejected_until_s:
            return
        if record.score >= EJECT_SCORE or probing:
            record.ejected_until_s = now_s + record.backoff_s
            record.backoff_s = min(MAX_BACKOFF_S, 2.0 * record.backoff_s)
            record.limit = 1
            record.score = 0.0


class NoEjection:
    """Limits no endpoint."""

    def record_outcome(
        self, endpoint: EndpointId, kind: str, succeeded: bool, now_s: float
    ) -> None:
        """No-op: outcomes are not recorded."""

    def record_refusal(self, endpoint: EndpointId, now_s: float) -> None:
        """No-op: refusals are not recorded."""

    def limits(
        self, endpoints: Sequence[EndpointLoad], now_s: float
    ) -> dict[EndpointId, int]:
        """Return no limits."""
        return {}

    def forget(self, endpoint: EndpointId) -> None:
        """No-op: there are no records."""
