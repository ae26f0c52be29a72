"""Which entry host dispatches to which data centre: the leader's rule.

No I/O and no clock: the caller says who is heard and when, and has what comes back
agreed. A dispatcher is kept while its process is heard. One that is lost is replaced by
a host of the same data centre, or by one of another if something of that data centre is
heard but no host that could serve; a data centre of which nothing is heard is cut off
or dark, and goes on by itself. When it is heard again, its hosts come one by one, and
its owner gets as long as any other to be among them.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from ..ids import DataCentre, Epoch, HostId, Incarnation
from .fleet_state import Ownership
from .groups import EndpointGroup, groups_of
from .messages import HostHello

__all__ = ["HostLiveness", "OwnershipRule"]

# Assumed: longer than a healthy host pauses; its channel is closed by
# then, so that it has had the time to connect anew.
LOST_AFTER_S = 0.6
# All hosts start within 0.3 s of each other and are up 0.5 s later.
SETTLE_S = 1.0
# Long enough for a host that came back to learn the configuration and the endpoints.
FAILBACK_DELAY_S = 3.0


@dataclasses.dataclass(slots=True)
class HostLiveness:
    """When a host was first and last heard, on the leader's clock."""

    hello: HostHello
    first_seen_s: float
    last_seen_s: float


class OwnershipRule:
    """Decides on the next ownerships.

    Parameters
    ----------
    data_centres : iterable of DataCentre
        All data centres.
    """

    def __init__(self, data_centres: Iterable[DataCentre]) -> None:
        self._data_centres = tuple(sorted(data_centres))
        self._began_s: float | None = None
        self._reached_s: dict[DataCentre, float] = {}

    def reset(self) -> None:
        """Begin anew, as a new leader: it has yet to hear the hosts."""
        self._began_s = None
        self._reached_s = {}

    def next_ownerships(
        self,
        now_s: float,
        owners: Mapping[EndpointGroup, Ownership],
        sightings: Mapping[HostId, HostLiveness],
    ) -> list[Ownership]:
        """Return the ownerships to have agreed now.

        Parameters
        ----------
        now_s : float
            The leader's clock.
        owners : mapping
            Who dispatches now.
        sightings : mapping
            Hosts that were heard.
        """
        if self._began_s is None:
            self._began_s = now_s
        settled = now_s - self._began_s >= SETTLE_S
        fresh = {
            host: seen
            for host, seen in sightings.items()
            if now_s - seen.last_seen_s <= LOST_AFTER_S
        }
        load: dict[HostId, int] = {}
        for held in owners.values():
            load[held.host] = load.get(held.host, 0) + 1
        changes = []
        reached = {seen.hello.data_centre for seen in fresh.values()}
        self._reached_s = {
            data_centre: self._reached_s.get(data_centre, now_s)
            for data_centre in reached
        }
        for group in self._groups(owners, fresh):
            if group.data_centre not in reached:
                continue
            owned = owners.get(group)
            joined = now_s - self._reached_s[group.data_centre] >= LOST_AFTER_S
            if not (settled and joined) and not _restarted(owned, fresh):
                continue
            chosen = self._choose(group, owned, fresh, load, now_s)
            if chosen is not None:
                epoch = Epoch((owned.epoch if owned else 0) + 1)
                load[chosen.host] = load.get(chosen.host, 0) + 1
                changes.append(Ownership(group, epoch, chosen.host, chosen.incarnation))
        return changes

    def _groups(
        self,
        owners: Mapping[EndpointGroup, Ownership],
        fresh: Mapping[HostId, HostLiveness],
    ) -> list[EndpointGroup]:
        """Return all groups; how many is settled by the first that is owned."""
        groups: list[EndpointGroup] = []
        for data_centre in self._data_centres:
            owned = [one for one in owners if one.data_centre == data_centre]
            if owned:
                count = owned[0].count
                groups.extend(
                    EndpointGroup(data_centre, index, count) for index in range(count)
                )
                continue
            hosts = sum(
                seen.hello.dispatches and seen.hello.data_centre == data_centre
                for seen in fresh.values()
            )
            groups.extend(groups_of(data_centre, hosts))
        return groups

    def _choose(
        self,
        group: EndpointGroup,
        owned: Ownership | None,
        fresh: Mapping[HostId, HostLiveness],
        load: Mapping[HostId, int],
        now_s: float,
    ) -> HostHello | None:
        """Return the next dispatcher; None if there is to be no change."""
        usable = [
            seen
            for seen in fresh.values()
            if seen.hello.dispatches and not seen.hello.draining
        ]
        current = _process(owned, fresh)
        if current is not None and not current.hello.draining:
            if current.hello.data_centre == group.data_centre:
                return None
            usable = [
                seen
                for seen in usable
                if seen.hello.data_centre == group.data_centre
                and now_s - seen.first_seen_s >= FAILBACK_DELAY_S
            ]
        if not usable:
            return None
        best = min(
            usable,
            key=lambda seen: (
                seen.hello.data_centre != group.data_centre,
                owned is None or seen.hello.host != owned.host,
                load.get(seen.hello.host, 0),
                -seen.hello.cores,
                seen.hello.host,
            ),
        )
        return best.hello


def _restarted(owned: Ownership | None, fresh: Mapping[HostId, HostLiveness]) -> bool:
    """Tell whether the owner's host is heard, but with another process."""
    if owned is None or owned.host not in fresh:
        return False
    return fresh[owned.host].hello.incarnation != owned.incarnation


def _process(
    owned: Ownership | None, fresh: Mapping[HostId, HostLiveness]
) -> HostLiveness | None:
    """Return the sighting of the very process that owns, if it is heard."""
    if owned is None:
        return None
    seen = fresh.get(owned.host)
    incarnation: Incarnation = owned.incarnation
    return seen if seen is not None and seen.hello.incarnation == incarnation else None
