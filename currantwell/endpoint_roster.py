"""The endpoints that a primary uses: their links, leases and heartbeats.

Invariants: there is one link to an incarnation in an epoch; an incarnation that was
marked lost is never used again; its attempts count as ended only once the last lease
that it may hold has expired, with an allowance for clock drift.
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
from .endpoint_protocol import Announcement, AnnouncementReply, Heartbeat, LeaseGrant
from .ids import EndpointId, Epoch, Incarnation
from .link import Link, LinkHandler, MakeLink
from .scheduler import Scheduler

__all__ = ["EndpointRoster", "RegisteredEndpoint", "RosterLimits"]

LEASE_REFUSED_S = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RosterLimits:
    """Limits of a roster.

    Parameters
    ----------
    lease_s : float
        How long an endpoint may keep running tasks without a reply.
    suspect_after_s : float
        An endpoint without a heartbeat for this long gets no new starts.
    clock_drift : float
        Largest fraction by which the clock of an endpoint may be slow.
    adopt_before_start : bool
        Whether an endpoint gets starts only once its link reports it reachable.
    """

    lease_s: float
    suspect_after_s: float
    clock_drift: float = 0.01
    adopt_before_start: bool = False

    @property
    def lease_expiry_after_s(self) -> float:
        """Time after a heartbeat at which its lease has certainly expired."""
        return self.lease_s / (1 - self.clock_drift)


@dataclasses.dataclass(slots=True)
class RegisteredEndpoint:
    """An endpoint in use.

    Parameters
    ----------
    announcement : Announcement
        Its latest announcement, updated by its heartbeats.
    link : Link
        The link to its incarnation.
    last_heartbeat_s : float
        When its last announcement or heartbeat arrived, on the runtime's clock.
    """

    announcement: Announcement
    link: Link
    last_heartbeat_s: float


class EndpointRoster:
    """Registers endpoints, renews their leases and drops unresponsive ones.

    Parameters
    ----------
    epoch : Epoch
        The epoch under which starts are sent.
    limits : RosterLimits
        Limits.
    scheduler : Scheduler
        Receives announcements, and which endpoints are reachable or removed.
    drains : DrainSource
        Lists the endpoints that operators have drained.
    make_link : callable
        Makes the link to an incarnation of an endpoint.
    handler : LinkHandler
        Handles the replies, results and heartbeats that the links receive.
    grant_s : callable
        Returns the lease that may be granted now, in seconds, or None if none may be.
    """

    def __init__(
        self,
        epoch: Epoch,
        limits: RosterLimits,
        scheduler: Scheduler,
        drains: DrainSource,
        make_link: MakeLink,
        handler: LinkHandler,
        grant_s: Callable[[], float | None],
    ) -> None:
        self._epoch = epoch
        self._limits = limits
        self._scheduler = scheduler
        self._drains = drains
        self._make_link = make_link
        self._handler = handler
        self._grant_s = grant_s
        self._registered: dict[EndpointId, RegisteredEndpoint] = {}
        self._lost_lease_expiry_s: dict[tuple[EndpointId, Incarnation], float] = {}
        self._unusable: set[tuple[EndpointId, Incarnation]] = set()

    def __iter__(self) -> Iterator[RegisteredEndpoint]:
        return iter(list(self._registered.values()))

    def get(self, endpoint: EndpointId | None) -> RegisteredEndpoint | None:
        """Return a registered endpoint, None if it is not registered."""
        return self._registered.get(endpoint) if endpoint is not None else None

    def is_registered(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of an endpoint is registered."""
        registered = self._registered.get(endpoint)
        return (
            registered is not None
            and registered.announcement.incarnation == incarnation
        )

    def announce(
        self, announcement: Announcement, nursery: trio.Nursery
    ) -> AnnouncementReply | Refusal:
        """Record an announcement and grant a lease.

        Parameters
        ----------
        announcement : Announcement
            The announcement; an endpoint that is not registered yet is registered.
        nursery : trio.Nursery
            Runs the link to a newly registered endpoint.

        Returns
        -------
        AnnouncementReply or Refusal
            The lease, 0 s if the incarnation was marked lost; a refusal if no lease
            may be granted now.
        """
        if (announcement.endpoint, announcement.incarnation) in self._unusable:
            return AnnouncementReply(LEASE_REFUSED_S, self._epoch)
        lease_s = self._grant_s()
        if lease_s is None:
            return Refusal(ResultCode.NOT_RUN_NO_PRIMARY, "a newer view may exist")
        registered = self._registered.get(announcement.endpoint)
        if registered is not None and not _is_same_process(
            registered.announcement, announcement
        ):
            self._mark_lost(registered)
            registered = None
        is_new = registered is None
        if registered is None:
            registered = self._register(announcement, nursery)
        registered.last_heartbeat_s = now_s()
        self._update(registered, announcement)
        if is_new and self._limits.adopt_before_start:
            self._scheduler.set_endpoint_reachable(announcement.endpoint, False)
        return AnnouncementReply(lease_s, self._epoch)

    def record_heartbeat(
        self, endpoint: EndpointId, heartbeat: Heartbeat
    ) -> LeaseGrant | None:
        """Record a heartbeat and return the lease granted, if any.

        The lease is 0 s if the incarnation is not the registered one.
        """
        registered = self._registered.get(endpoint)
        if (
            registered is None
            or registered.announcement.incarnation != heartbeat.incarnation
        ):
            return LeaseGrant(heartbeat.beat, LEASE_REFUSED_S)
        registered.last_heartbeat_s = now_s()
        announcement = msgspec.structs.replace(
            registered.announcement,
            running=heartbeat.running,
            draining=_is_draining(registered.announcement, heartbeat),
            used_processors=heartbeat.used_processors,
        )
        self._update(registered, announcement)
        lease_s = self._grant_s()
        return None if lease_s is None else LeaseGrant(heartbeat.beat, lease_s)

    def expect_incarnation(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> None:
        """Wait one lease for an incarnation that an earlier primary used.

        If it does not announce itself until then, `tick` returns it as expired.
        """
        self._lost_lease_expiry_s[endpoint, incarnation] = (
            now_s() + self._limits.lease_expiry_after_s
        )

    def tick(self) -> list[tuple[EndpointId, Incarnation]]:
        """Suspect or drop unresponsive endpoints.

        Returns
        -------
        list of (EndpointId, Incarnation)
            Lost incarnations whose lease has expired since the last call.
        """
        now = now_s()
        for registered in self:
            announcement = registered.announcement
            if (
                not announcement.draining
                and announcement.endpoint in self._drains.drained()
            ):
                self._update(registered, announcement)
            since_heartbeat_s = now - registered.last_heartbeat_s
            if since_heartbeat_s > self._limits.suspect_after_s:
                self._scheduler.set_endpoint_reachable(announcement.endpoint, False)
            if since_heartbeat_s > self._limits.lease_expiry_after_s:
                self._mark_lost(registered)
        expired = [
            key
            for key, expiry_s in self._lost_lease_expiry_s.items()
            if expiry_s <= now
        ]
        for key in expired:
            del self._lost_lease_expiry_s[key]
            self._unusable.add(key)
        return expired

    def _register(
        self, announcement: Announcement, nursery: trio.Nursery
    ) -> RegisteredEndpoint:
        """Start using an incarnation and run a link to it in the nursery."""
        self._lost_lease_expiry_s.pop(
            (announcement.endpoint, announcement.incarnation), None
        )
        link = self._make_link(
            announcement.endpoint,
            announcement.incarnation,
            announcement.url,
            self._epoch,
            self._handler,
        )
        registered = RegisteredEndpoint(announcement, link, now_s())
        self._registered[announcement.endpoint] = registered
        nursery.start_soon(link.run)
        events.ENDPOINT_REGISTERED.log(
            endpoint=announcement.endpoint, incarnation=announcement.incarnation
        )
        return registered

    def _mark_lost(self, registered: RegisteredEndpoint) -> None:
        """Stop using an incarnation; its attempts end once its lease has expired."""
        announcement = registered.announcement
        registered.link.close()
        del self._registered[announcement.endpoint]
        self._scheduler.remove_endpoint(announcement.endpoint)
        expiry_s = registered.last_heartbeat_s + self._limits.lease_expiry_after_s
        self._lost_lease_expiry_s[announcement.endpoint, announcement.incarnation] = (
            expiry_s
        )
        self._unusable.add((announcement.endpoint, announcement.incarnation))
        events.ENDPOINT_LOST.log(
            endpoint=announcement.endpoint,
            incarnation=announcement.incarnation,
            over_s=expiry_s,
        )

    def _update(
        self, registered: RegisteredEndpoint, announcement: Announcement
    ) -> None:
        """Pass an announcement to the scheduler, draining if an operator drained it."""
        if announcement.endpoint in self._drains.drained():
            announcement = msgspec.structs.replace(announcement, draining=True)
        registered.announcement = announcement
        self._scheduler.update_endpoint(announcement, now_s())


def _is_draining(latest: Announcement, heartbeat: Heartbeat) -> bool:
    return latest.draining if heartbeat.draining is None else heartbeat.draining


def _is_same_process(old: Announcement, new: Announcement) -> bool:
    return old.incarnation == new.incarnation and old.url == new.url
