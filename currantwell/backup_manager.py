"""Management of a primary's backup: adding, informing, dropping, handover."""

import contextlib
import dataclasses

import trio

from . import events
from .answers import Refusal
from .clock import now_s
from .copy_store import CopyStore
from .dispatcher import Dispatcher
from .endpoint_protocol import Announcement
from .errors import PeerUnreachable
from .ids import DataCentre, EndpointId, Epoch, HostId, Incarnation
from .peers import PeerMessage, PeerNetwork
from .replicated_job_log import ReplicatedJobLog
from .view_proposer import ViewProposer
from .views import View

__all__ = [
    "BackupLeaves",
    "BackupManager",
    "EndpointsKnown",
    "EndpointsNoted",
    "LeaveNoted",
    "PrimaryTerm",
    "RoleLimits",
]

TICK_S = 0.2
PAUSE_TIMEOUT_S = 1.0
# New jobs are refused during this pause.
PAUSE_WITHOUT_BACKUP_S = 0.25
PROPOSE_TIMEOUT_S = 3.0
LEAVE_REQUEST_VALID_S = 5.0
REPAIR_PAUSE_S = 2.0
REMOTE_BACKUP_DELAY_S = 0.2
FIRST_REPLY_TIMEOUT_S = 0.5
# The failure detector of a new leader suspects no host in its first 1.5 s. Until then,
# a host found unresponsive here is not chosen as backup.
AVOID_UNRESPONSIVE_S = 2.0
COPIES_FOR_REMOTE_BACKUP = 2


class BackupLeaves(PeerMessage, frozen=True):
    """A backup is about to stop and asks its primary to continue without it."""

    data_centre: DataCentre


class EndpointsKnown(PeerMessage, frozen=True):
    """A primary sends its backup the endpoints that it uses, for a takeover."""

    data_centre: DataCentre
    endpoints: tuple[Announcement, ...]


class EndpointsNoted(PeerMessage, frozen=True):
    """Acknowledges `EndpointsKnown`."""


class LeaveNoted(PeerMessage, frozen=True):
    """Acknowledges `BackupLeaves`; the primary will continue without the backup."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoleLimits:
    """Limits of the roles.

    Parameters
    ----------
    copies : int
        Number of hosts that have to hold a new job.
    takeover_after_s : float
        Time without a message of the primary after which its backup takes over.
    drop_after_s : float
        Time without a reply of the backup after which its primary drops it.
    """

    copies: int = 1
    takeover_after_s: float = 1.5
    drop_after_s: float = 2.0


@dataclasses.dataclass(slots=True)
class PrimaryTerm:
    """The state of one view in which this host is primary."""

    view: View
    store: CopyStore
    log: ReplicatedJobLog
    started_s: float
    dispatcher: Dispatcher | None = None


class BackupManager:
    """Manages the backups of the data centres whose primary is this host.

    Parameters
    ----------
    host : HostId
        This host.
    hosts : dict of HostId to DataCentre
        All hosts and their data centres.
    steps : ViewProposer
        Proposes views.
    peers : PeerNetwork
        Sends requests to the other hosts.
    limits : RoleLimits
        Limits.
    """

    def __init__(
        self,
        host: HostId,
        hosts: dict[HostId, DataCentre],
        proposer: ViewProposer,
        peers: PeerNetwork,
        limits: RoleLimits,
    ) -> None:
        self.draining = False
        self._host = host
        self._hosts = hosts
        self._proposer = proposer
        self._peers = peers
        self._limits = limits
        self._leaving: dict[tuple[DataCentre, HostId], float] = {}
        self._endpoints: dict[DataCentre, tuple[Announcement, ...]] = {}
        self._unresponsive_since_s: dict[HostId, float] = {}
        peers.handle(BackupLeaves, self._handle_backup_leaves)
        peers.handle(EndpointsKnown, self._handle_endpoints_known)

    def endpoints(self, data_centre: DataCentre) -> tuple[Announcement, ...]:
        """Return the endpoints of the latest primary, as received by this host."""
        return self._endpoints.get(data_centre, ())

    def mark_unresponsive(self, host: HostId) -> None:
        """Exclude a host that does not reply from the candidates for a while."""
        self._unresponsive_since_s[host] = now_s()

    async def manage_backup(self, term: PrimaryTerm) -> None:
        """Drop a backup that is lost; find one while there is none."""
        while True:
            await trio.sleep(TICK_S)
            if self.draining:
                continue
            backup = term.view.backup
            if backup is not None and self._is_lost(term, backup):
                events.BACKUP_DROPPED.log(backup=backup)
                self.mark_unresponsive(backup)
                alone = self._proposer.next_view_alone(term.view)
                await self._proposer.vouch_and_propose(term.store, alone)
                continue
            if term.dispatcher is None:
                continue
            if self._backup_is_local(term.view) and await self.hand_over(term):
                return
            for host in self._candidates(term):
                await self._try_backup(term, term.dispatcher, host)

    async def share_endpoints(self, term: PrimaryTerm) -> None:
        """Keep the backup informed of the endpoints, which announce themselves rarely.

        A successor registers them at once instead of after their next announcement.
        """
        shared_keys: set[tuple[EndpointId, Incarnation, str]] = set()
        data_centre = term.view.data_centre
        while True:
            await trio.sleep(TICK_S)
            announcements = await term.dispatcher.endpoints() if term.dispatcher else []
            if isinstance(announcements, Refusal):
                continue
            endpoint_keys = {
                (announcement.endpoint, announcement.incarnation, announcement.url)
                for announcement in announcements
            }
            if not endpoint_keys or endpoint_keys == shared_keys:
                continue
            self._endpoints[data_centre] = tuple(announcements)
            if term.view.backup is None:
                continue
            message = EndpointsKnown(data_centre, tuple(announcements))
            with contextlib.suppress(PeerUnreachable):
                await self._peers.request(term.view.backup, message, EndpointsNoted)
                shared_keys = endpoint_keys

    async def hand_over(self, term: PrimaryTerm) -> bool:
        """Make the backup the primary; return whether it is."""
        backup, dispatcher = term.view.backup, term.dispatcher
        if backup is None or dispatcher is None or not term.log.up_to_date(backup):
            return False
        number = Epoch(term.view.number + 1)
        next_view = View(term.view.data_centre, number, backup, self._host)
        if await self._change_view(term, dispatcher, next_view):
            events.PRIMARY_HANDED_OVER.log(data_centre=next_view.data_centre, to=backup)
            await self._proposer.wait_for_newer(term.view)
            return True
        dispatcher.resume()
        return False

    async def _handle_backup_leaves(
        self, sender: HostId, message: BackupLeaves
    ) -> LeaveNoted:
        self._leaving[message.data_centre, sender] = now_s()
        return LeaveNoted()

    def _is_leaving(self, data_centre: DataCentre, host: HostId) -> bool:
        requested_s = self._leaving.get((data_centre, host), float("-inf"))
        return now_s() - requested_s < LEAVE_REQUEST_VALID_S

    async def _handle_endpoints_known(
        self, sender: HostId, message: EndpointsKnown
    ) -> EndpointsNoted:
        self._endpoints[message.data_centre] = message.endpoints
        return EndpointsNoted()

    def _is_lost(self, term: PrimaryTerm, backup: HostId) -> bool:
        if self._is_leaving(term.view.data_centre, backup):
            return True
        since_reply_s = min(term.log.since_reply_s(backup), now_s() - term.started_s)
        return since_reply_s > self._limits.drop_after_s or not term.log.has_voucher(
            backup
        )

    def _candidates(self, term: PrimaryTerm) -> list[HostId]:
        """Return the hosts that would be a better backup than the present one.

        If two copies are required, a host of another data centre serves while none of
        this one can; one of this data centre replaces it later. Unresponsive hosts are
        then returned only if there is no other host.
        """
        data_centre, backup = term.view.data_centre, term.view.backup
        unresponsive = {
            host
            for host, since_s in self._unresponsive_since_s.items()
            if now_s() - since_s < AVOID_UNRESPONSIVE_S
        }
        eligible = set(self._hosts) - {self._host, backup} - self._proposer.suspects()
        responsive = eligible - unresponsive
        local = {host for host in eligible if self._hosts[host] == data_centre}
        if backup is not None and self._hosts[backup] == data_centre:
            return []
        waited = now_s() - term.started_s > REMOTE_BACKUP_DELAY_S
        two_needed = self._limits.copies >= COPIES_FOR_REMOTE_BACKUP
        if local & responsive or backup is not None or not (waited and two_needed):
            return sorted(local & responsive)
        if responsive:
            return sorted(responsive)
        # The others become candidates again sooner.
        return sorted(eligible, key=self._unresponsive_since_s.__getitem__)[-1:]

    def _backup_is_local(self, view: View) -> bool:
        """Return whether the backup, but not this host, is in the data centre."""
        return (
            view.backup is not None
            and self._hosts[self._host] != view.data_centre
            and self._hosts[view.backup] == view.data_centre
        )

    async def _try_backup(
        self, term: PrimaryTerm, dispatcher: Dispatcher, host: HostId
    ) -> None:
        """Bring a host's copy up to date and propose it as the backup."""
        if self._is_leaving(term.view.data_centre, host):
            return
        started_s = now_s()
        term.log.follow(host)
        while not term.log.up_to_date(host):
            await trio.sleep(TICK_S / 4)
            elapsed_s = now_s() - started_s
            since_reply_s = min(term.log.since_reply_s(host), elapsed_s)
            timeout_s = self._limits.drop_after_s
            if since_reply_s == elapsed_s:
                timeout_s = FIRST_REPLY_TIMEOUT_S
            if since_reply_s > timeout_s or self.draining:
                if since_reply_s == elapsed_s:
                    self.mark_unresponsive(host)
                term.log.unfollow(host)
                return
        number = Epoch(term.view.number + 1)
        next_view = View(term.view.data_centre, number, self._host, host)
        if await self._change_view(term, dispatcher, next_view):
            events.BACKUP_ADDED.log(data_centre=next_view.data_centre, backup=host)
            await self._proposer.wait_for_newer(term.view)
        else:
            await self._proposer.vouch_and_propose(
                term.store, self._proposer.next_view_alone(term.view)
            )
            dispatcher.resume()
            await trio.sleep(REPAIR_PAUSE_S)

    async def _change_view(
        self, term: PrimaryTerm, dispatcher: Dispatcher, next_view: View
    ) -> bool:
        """Wait for replies to pending starts, vouch for copies, propose a view."""
        refusing = term.log.second_copy_missing()
        await dispatcher.pause(PAUSE_WITHOUT_BACKUP_S if refusing else PAUSE_TIMEOUT_S)
        with trio.move_on_after(PROPOSE_TIMEOUT_S):
            vouched = await term.log.vouch(next_view)
            return vouched and await self._proposer.propose_view(next_view)
        return False
