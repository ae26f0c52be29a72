"""Suspicion of hosts, from the renewals that they send to the leader.

A host answers for both directions: each renewal names the newest reply that reached
it. A connection that went silent is replaced by its sender well before suspicion.
When this process itself was frozen, it charges the others with none of that time.
"""

import dataclasses
from collections.abc import Iterable

from .ids import HostId

__all__ = ["FailureDetector"]

SUSPECT_AFTER_S = 1.5
ONE_WAY_AFTER_S = 3.0
FREEZE_S = 0.5


@dataclasses.dataclass(slots=True)
class _Watched:
    """What is known of a host."""

    heard_s: float
    reached_s: float
    replies: dict[int, float] = dataclasses.field(default_factory=dict)


class FailureDetector:
    """Suspects hosts that are silent, or that replies don't reach.

    Parameters
    ----------
    suspect_after_s : float
        Longest silence of a host that is not suspected.
    one_way_after_s : float
        Longest time without a sign that replies reach it.
    """

    def __init__(
        self,
        suspect_after_s: float = SUSPECT_AFTER_S,
        one_way_after_s: float = ONE_WAY_AFTER_S,
    ) -> None:
        self._suspect_after_s = suspect_after_s
        self._one_way_after_s = one_way_after_s
        self._watched: dict[HostId, _Watched] = {}
        self._ticked_s: float | None = None
        self._reply = 0

    def watch(self, hosts: Iterable[HostId], now_s: float) -> None:
        """Watch these hosts alone; new ones count as heard now."""
        self._watched = {
            host: self._watched.get(host) or _Watched(now_s, now_s) for host in hosts
        }

    def record_renewal(self, host: HostId, echo: int, now_s: float) -> int:
        """Take in a renewal and return the number of the reply to it.

        Parameters
        ----------
        host : HostId
            Its sender.
        echo : int
            Number of the newest reply that the sender has got.
        now_s : float
            When it came.
        """
        self._reply += 1
        watched = self._watched.get(host)
        if watched is not None:
            watched.heard_s = now_s
            watched.reached_s = max(
                watched.reached_s, watched.replies.get(echo, watched.reached_s)
            )
            fresh = watched.replies.items()
            watched.replies = {number: s for number, s in fresh if number > echo}
            watched.replies[self._reply] = now_s
        return self._reply

    def tick(self, now_s: float) -> None:
        """Note that this process runs; call it several times a second."""
        idle_s = 0.0 if self._ticked_s is None else now_s - self._ticked_s
        self._ticked_s = now_s
        if idle_s > FREEZE_S:
            for watched in self._watched.values():
                watched.heard_s = min(now_s, watched.heard_s + idle_s)
                watched.reached_s = min(now_s, watched.reached_s + idle_s)

    def suspects(self, now_s: float) -> frozenset[HostId]:
        """Return the hosts that don't answer, or that can't be reached."""
        return frozenset(
            host
            for host, watched in self._watched.items()
            if now_s - watched.heard_s > self._suspect_after_s
            or now_s - watched.reached_s > self._one_way_after_s
        )
