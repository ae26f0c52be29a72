"""The policy by which the leader of the control hosts assigns dispatchers.

No I/O and no clock: the caller passes in which hosts are connected and the current
time, and proposes the returned ownerships to the agreement. A dispatcher is kept while
its process is connected. A lost one is replaced by a host of the same data centre. If
none of its hosts can dispatch but any of them is connected, a host of another data
centre takes over. A data centre none of whose hosts is connected is either partitioned
or down, and keeps its dispatchers: it continues on its own. When it reconnects, its
hosts appear one after the other, so its owners get the usual timeout to reconnect.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from ..ids import DataCentre, Epoch, HostId, Incarnation
from .fleet_state import Ownership
from .groups import EndpointGroup, groups_of
from .messages import HostHello

__all__ = ["HostLiveness", "OwnershipRule"]

# Longer than a healthy host pauses. The channel of a host that stalls is closed by
# then, so that the host has had the time to reconnect.
HOST_TIMEOUT_S = 0.6
# All hosts start within 0.3 s of each other and serve 0.5 s later.
SETTLE_S = 1.0
# Leaves a returning host time to receive the configuration and the endpoints.
FAILBACK_DELAY_S = 3.0


@dataclasses.dataclass(slots=True)
class HostLiveness:
    """When the current process of a host was first and last seen.

    Times are on the leader's clock; a host is seen when it sends a hello and for as
    long as its channel stays open.
    """

    hello: HostHello
    first_seen_s: float
    last_seen_s: float


class OwnershipRule:
    """Decides which ownerships to propose.

    Parameters
    ----------
    data_centres : iterable of DataCentre
        All data centres.
    """

    def __init__(self, data_centres: Iterable[DataCentre]) -> None:
        self._data_centres = tuple(sorted(data_centres))
        self._leading_since_s: float | None = None
        self._connected_since_s: dict[DataCentre, float] = {}

    def reset(self) -> None:
        """Forget what was seen, since a new leader has yet to connect to the hosts."""
        self._leading_since_s = None
        self._connected_since_s = {}

    def next_ownerships(
        self,
        now_s: float,
        owners: Mapping[EndpointGroup, Ownership],
        liveness: Mapping[HostId, HostLiveness],
    ) -> list[Ownership]:
        """Return the ownerships to propose now.

        Parameters
        ----------
        now_s : float
            Current time on the leader's clock.
        owners : mapping
            The current ownerships.
        liveness : mapping
            The hosts that were connected at any time.
        """
        if self._leading_since_s is None:
            self._leading_since_s = now_s
        settled = now_s - self._leading_since_s >= SETTLE_S
        alive = {
            host: seen
            for host, seen in liveness.items()
            if now_s - seen.last_seen_s <= HOST_TIMEOUT_S
        }
        load: dict[HostId, int] = {}
        for ownership in owners.values():
            load[ownership.host] = load.get(ownership.host, 0) + 1
        changes = []
        connected = {seen.hello.data_centre for seen in alive.values()}
        self._connected_since_s = {
            data_centre: self._connected_since_s.get(data_centre, now_s)
            for data_centre in connected
        }
        for group in self._groups(owners, alive):
            if group.data_centre not in connected:
                continue
            current = owners.get(group)
            rejoined = (
                now_s - self._connected_since_s[group.data_centre] >= HOST_TIMEOUT_S
            )
            if not (settled and rejoined) and not _restarted(current, alive):
                continue
            chosen = self._choose(group, current, alive, load, now_s)
            if chosen is not None:
                epoch = Epoch((current.epoch if current else 0) + 1)
                load[chosen.host] = load.get(chosen.host, 0) + 1
                changes.append(Ownership(group, epoch, chosen.host, chosen.incarnation))
        return changes

    def _groups(
        self,
        owners: Mapping[EndpointGroup, Ownership],
        alive: Mapping[HostId, HostLiveness],
    ) -> list[EndpointGroup]:
        """Return all groups; the first owned group of a data centre fixes their number.

        Before that it depends on how many entry hosts are connected.
        """
        groups: list[EndpointGroup] = []
        for data_centre in self._data_centres:
            owned = [group for group in owners if group.data_centre == data_centre]
            if owned:
                count = owned[0].count
                groups.extend(
                    EndpointGroup(data_centre, index, count) for index in range(count)
                )
                continue
            hosts = sum(
                seen.hello.dispatches and seen.hello.data_centre == data_centre
                for seen in alive.values()
            )
            groups.extend(groups_of(data_centre, hosts))
        return groups

    def _choose(
        self,
        group: EndpointGroup,
        ownership: Ownership | None,
        alive: Mapping[HostId, HostLiveness],
        load: Mapping[HostId, int],
        now_s: float,
    ) -> HostHello | None:
        """Return the next dispatcher; None if the current one is to be kept.

        Prefers a host of the group's data centre, then the same host, then the host
        with the fewest ownerships, then the one with the most cores.
        """
        candidates = [
            seen
            for seen in alive.values()
            if seen.hello.dispatches and not seen.hello.draining
        ]
        current = _owner_liveness(ownership, alive)
        if current is not None and not current.hello.draining:
            if current.hello.data_centre == group.data_centre:
                return None
            candidates = [
                seen
                for seen in candidates
                if seen.hello.data_centre == group.data_centre
                and now_s - seen.first_seen_s >= FAILBACK_DELAY_S
            ]
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda seen: (
                seen.hello.data_centre != group.data_centre,
                ownership is None or seen.hello.host != ownership.host,
                load.get(seen.hello.host, 0),
                -seen.hello.cores,
                seen.hello.host,
            ),
        )
        return best.hello


def _restarted(
    ownership: Ownership | None, alive: Mapping[HostId, HostLiveness]
) -> bool:
    """Return whether the owner's host is connected, but with another process."""
    if ownership is None or ownership.host not in alive:
        return False
    return alive[ownership.host].hello.incarnation != ownership.incarnation


def _owner_liveness(
    ownership: Ownership | None, alive: Mapping[HostId, HostLiveness]
) -> HostLiveness | None:
    """Return the liveness of the process that owns, None if it is not connected."""
    if ownership is None:
        return None
    seen = alive.get(ownership.host)
    incarnation: Incarnation = ownership.incarnation
    return seen if seen is not None and seen.hello.incarnation == incarnation else None
