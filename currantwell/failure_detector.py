"""Failure detector of the leader, based on the hosts' lease renewals.

A host is checked in both directions: each renewal names the newest reply that the host
received. A connection that has stopped delivering is replaced by its sender well before
the host is suspected. Time during which this process itself was frozen is not counted
against the other hosts.
"""

import dataclasses
from collections.abc import Iterable

from .ids import HostId

__all__ = ["FailureDetector"]

SUSPECT_AFTER_S = 1.5
ONE_WAY_AFTER_S = 3.0
FREEZE_THRESHOLD_S = 0.5


@dataclasses.dataclass(slots=True)
class _Watched:
    """State of one monitored host."""

    last_renewal_s: float
    last_reached_s: float
    sent_replies: dict[int, float] = dataclasses.field(default_factory=dict)


class FailureDetector:
    """Suspects hosts that stop sending renewals or that no reply reaches.

    Parameters
    ----------
    suspect_after_s : float
        Time without a renewal after which a host is suspected, in seconds.
    one_way_after_s : float
        Time without evidence that replies reach a host after which it is suspected,
        in seconds.
    """

    def __init__(
        self,
        suspect_after_s: float = SUSPECT_AFTER_S,
        one_way_after_s: float = ONE_WAY_AFTER_S,
    ) -> None:
        self._suspect_after_s = suspect_after_s
        self._one_way_after_s = one_way_after_s
        self._watched: dict[HostId, _Watched] = {}
        self._last_tick_s: float | None = None
        self._reply_number = 0

    def watch(self, hosts: Iterable[HostId], now_s: float) -> None:
        """Set the monitored hosts; a new one counts as having just sent a renewal."""
        self._watched = {
            host: self._watched.get(host) or _Watched(now_s, now_s) for host in hosts
        }

    def record_renewal(self, host: HostId, echo: int, now_s: float) -> int:
        """Record a renewal and return the number of the reply to it.

        Parameters
        ----------
        host : HostId
            The sender.
        echo : int
            Number of the newest reply that the sender has received.
        now_s : float
            When the renewal arrived, in seconds.
        """
        self._reply_number += 1
        watched = self._watched.get(host)
        if watched is not None:
            watched.last_renewal_s = now_s
            watched.last_reached_s = max(
                watched.last_reached_s,
                watched.sent_replies.get(echo, watched.last_reached_s),
            )
            pending = watched.sent_replies.items()
            watched.sent_replies = {
                number: sent_s for number, sent_s in pending if number > echo
            }
            watched.sent_replies[self._reply_number] = now_s
        return self._reply_number

    def tick(self, now_s: float) -> None:
        """Record that this process is running; call it several times a second."""
        since_tick_s = 0.0 if self._last_tick_s is None else now_s - self._last_tick_s
        self._last_tick_s = now_s
        if since_tick_s > FREEZE_THRESHOLD_S:
            for watched in self._watched.values():
                watched.last_renewal_s = min(
                    now_s, watched.last_renewal_s + since_tick_s
                )
                watched.last_reached_s = min(
                    now_s, watched.last_reached_s + since_tick_s
                )

    def suspects(self, now_s: float) -> frozenset[HostId]:
        """Return the hosts that do not send renewals, or that no reply reaches."""
        return frozenset(
            host
            for host, watched in self._watched.items()
            if now_s - watched.last_renewal_s > self._suspect_after_s
            or now_s - watched.last_reached_s > self._one_way_after_s
        )
