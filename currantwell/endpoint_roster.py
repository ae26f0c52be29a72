"""The endpoints that a primary uses: their links, leases and signs of life.

Invariants: there is one link to an incarnation in an epoch; an incarnation that was
once given up is never used again; what ran there is over only when the last lease
that it may hold has run out, clock drift allowed for.
"""

import dataclasses
from collections.abc import Callable, Iterator

import msgspec
import trio

from . import events
from .answers import Refusal
from .clock import now_s
from .codes import ResultCode
from .drains import DrainSource
from .endpoint_link import Link, LinkHandler, MakeLink
from .endpoint_protocol import Announcement, AnnouncementReply, Heartbeat, LeaseGrant
from .ids import EndpointId, Epoch, Incarnation
from .scheduler import Scheduler

__all__ = ["EndpointRoster", "KnownEndpoint", "RosterLimits"]

LEASE_REFUSED_S = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RosterLimits:
    """Limits of a roster.

    Parameters
    ----------
    lease_s : float
        How long an endpoint may run on without a reply.
    suspect_after_s : float
        After so long a silence an endpoint gets no new start.
    clock_drift : float
        By what share the clock of an endpoint may be slow.
    adopt_before_start : bool
        Whether an endpoint gets no start before its link says that it answers.
    """

    lease_s: float
    suspect_after_s: float
    clock_drift: float = 0.01
    adopt_before_start: bool = False

    @property
    def over_after_s(self) -> float:
        """How long after a sign of life the lease has surely run out."""
        return self.lease_s * (1 + self.clock_drift)


@dataclasses.dataclass(slots=True)
class KnownEndpoint:
    """An endpoint that announced itself."""

    announcement: Announcement
    link: Link
    heard_s: float


class EndpointRoster:
    """Meets endpoints, renews their leases and gives up those that fall silent.

    Parameters
    ----------
    epoch : Epoch
        The epoch under which starts are sent.
    limits : RosterLimits
        Limits.
    scheduler : Scheduler
        Told of what endpoints say and whether they can be used.
    drains : DrainSource
        Which endpoints operators have drained.
    make_link : callable
        Makes the link to an incarnation of an endpoint.
    owner : LinkHandler
        Whom the links tell.
    grant_s : callable
        Returns the lease that may be granted now, in seconds, None for none.
    """

    def __init__(
        self,
        epoch: Epoch,
        limits: RosterLimits,
        scheduler: Scheduler,
        drains: DrainSource,
        make_link: MakeLink,
        owner: LinkHandler,
        grant_s: Callable[[], float | None],
    ) -> None:
        self._epoch = epoch
        self._limits = limits
        self._scheduler = scheduler
        self._drains = drains
        self._connect = make_link
        self._owner = owner
        self._grant_s = grant_s
        self._known: dict[EndpointId, KnownEndpoint] = {}
        self._lost: dict[tuple[EndpointId, Incarnation], float] = {}
        self._over: set[tuple[EndpointId, Incarnation]] = set()

    def __iter__(self) -> Iterator[KnownEndpoint]:
        return iter(list(self._known.values()))

    def get(self, endpoint: EndpointId | None) -> KnownEndpoint | None:
        """Return an endpoint, None if it is not known."""
        return self._known.get(endpoint) if endpoint is not None else None

    def is_known(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Tell whether this incarnation of an endpoint is in use."""
        known = self._known.get(endpoint)
        return known is not None and known.announcement.incarnation == incarnation

    def announce(
        self, said: Announcement, nursery: trio.Nursery
    ) -> AnnouncementReply | Refusal:
        """Take in an announcement and grant a lease; a link runs in the nursery."""
        if (said.endpoint, said.incarnation) in self._over:
            return AnnouncementReply(LEASE_REFUSED_S, self._epoch)
        lease_s = self._grant_s()
        if lease_s is None:
            return Refusal(ResultCode.NOT_RUN_NO_PRIMARY, "a newer view may exist")
        known = self._known.get(said.endpoint)
        if known is not None and not _same_process(known.announcement, said):
            self._lose(known)
            known = None
        met = known is None
        if known is None:
            known = self._meet(said, nursery)
        known.heard_s = now_s()
        self._take_in(known, said)
        if met and self._limits.adopt_before_start:
            self._scheduler.set_endpoint_reachable(said.endpoint, False)
        return AnnouncementReply(lease_s, self._epoch)

    def beat(self, endpoint: EndpointId, beat: Heartbeat) -> LeaseGrant | None:
        """Take in a sign of life and return the lease granted, if any."""
        known = self._known.get(endpoint)
        if known is None or known.announcement.incarnation != beat.incarnation:
            return LeaseGrant(beat.beat, LEASE_REFUSED_S)
        known.heard_s = now_s()
        said = msgspec.structs.replace(
            known.announcement,
            running=beat.running,
            draining=_said_draining(known.announcement, beat),
            used_processors=beat.used_processors,
        )
        self._take_in(known, said)
        lease_s = self._grant_s()
        return None if lease_s is None else LeaseGrant(beat.beat, lease_s)

    def expect(self, endpoint: EndpointId, incarnation: Incarnation) -> None:
        """Await an incarnation that an earlier primary used, for one lease."""
        self._lost[endpoint, incarnation] = now_s() + self._limits.over_after_s

    def tick(self) -> list[tuple[EndpointId, Incarnation]]:
        """Suspect and give up the silent; return the incarnations that are over."""
        now = now_s()
        for known in self:
            said = known.announcement
            if not said.draining and said.endpoint in self._drains.drained():
                self._take_in(known, said)
            silent_s = now - known.heard_s
            if silent_s > self._limits.suspect_after_s:
                self._scheduler.set_endpoint_reachable(said.endpoint, False)
            if silent_s > self._limits.over_after_s:
                self._lose(known)
        over = [process for process, over_s in self._lost.items() if over_s <= now]
        for process in over:
            del self._lost[process]
            self._over.add(process)
        return over

    def _meet(self, said: Announcement, nursery: trio.Nursery) -> KnownEndpoint:
        self._lost.pop((said.endpoint, said.incarnation), None)
        link = self._connect(
            said.endpoint, said.incarnation, said.url, self._epoch, self._owner
        )
        known = KnownEndpoint(said, link, now_s())
        self._known[said.endpoint] = known
        nursery.start_soon(link.run)
        events.ENDPOINT_REGISTERED.log(
            endpoint=said.endpoint, incarnation=said.incarnation
        )
        return known

    def _lose(self, known: KnownEndpoint) -> None:
        """Stop using an incarnation; its attempts end when its lease has run out."""
        said = known.announcement
        known.link.close()
        del self._known[said.endpoint]
        self._scheduler.remove_endpoint(said.endpoint)
        over_s = known.heard_s + self._limits.over_after_s
        self._lost[said.endpoint, said.incarnation] = over_s
        self._over.add((said.endpoint, said.incarnation))
        events.ENDPOINT_LOST.log(
            endpoint=said.endpoint, incarnation=said.incarnation, over_s=over_s
        )

    def _take_in(self, known: KnownEndpoint, said: Announcement) -> None:
        """Take in what an endpoint says of itself, and what operators wish."""
        if said.endpoint in self._drains.drained():
            said = msgspec.structs.replace(said, draining=True)
        known.announcement = said
        self._scheduler.update_endpoint(said, now_s())


def _said_draining(known: Announcement, beat: Heartbeat) -> bool:
    return known.draining if beat.draining is None else beat.draining


def _same_process(old: Announcement, new: Announcement) -> bool:
    return old.incarnation == new.incarnation and old.url == new.url
