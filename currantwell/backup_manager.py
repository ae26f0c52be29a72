"""What a primary does for its backup: finds, informs and drops it, hands over to it."""

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
PAUSE_S = 1.0
PROPOSE_S = 3.0
LEFT_FOR_S = 5.0
REPAIR_PAUSE_S = 2.0
AWAY_AFTER_S = 0.2
FIRST_ANSWER_S = 0.5
# The failure detector of a new leader suspects no one for its first 1.5 s; a host that
# was found silent here is passed over until then.
AVOID_UNRESPONSIVE_S = 2.0
COPIES = 2


class BackupLeaves(PeerMessage, frozen=True):
    """A backup is about to stop and asks its primary to go on without it."""

    data_centre: DataCentre


class EndpointsKnown(PeerMessage, frozen=True):
    """A primary tells its backup which endpoints it uses, for a takeover."""

    data_centre: DataCentre
    endpoints: tuple[Announcement, ...]


class EndpointsNoted(PeerMessage, frozen=True):
    """The backup knows the endpoints."""


class LeaveNoted(PeerMessage, frozen=True):
    """The primary will go on without the backup."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoleLimits:
    """Limits of the roles.

    Parameters
    ----------
    copies : int
        Hosts that have to hold a new job.
    takeover_after_s : float
        A primary silent for so long is taken over by its backup.
    drop_after_s : float
        A backup silent for so long is dropped.
    """

    copies: int = 1
    takeover_after_s: float = 1.5
    drop_after_s: float = 2.0


@dataclasses.dataclass(slots=True)
class PrimaryTerm:
    """A view in which this host is primary."""

    view: View
    store: CopyStore
    log: ReplicatedJobLog
    begun_s: float
    dispatcher: Dispatcher | None = None


class BackupManager:
    """Looks after the backups of the data centres whose primary is this host.

    Parameters
    ----------
    host : HostId
        This host.
    hosts : dict of HostId to DataCentre
        All hosts.
    steps : ViewProposer
        Proposes views.
    peers : PeerNetwork
        Reaches the other hosts.
    limits : RoleLimits
        Limits.
    """

    def __init__(
        self,
        host: HostId,
        hosts: dict[HostId, DataCentre],
        steps: ViewProposer,
        peers: PeerNetwork,
        limits: RoleLimits,
    ) -> None:
        self.draining = False
        self._host = host
        self._hosts = hosts
        self._steps = steps
        self._peers = peers
        self._limits = limits
        self._leaving: dict[tuple[DataCentre, HostId], float] = {}
        self._endpoints: dict[DataCentre, tuple[Announcement, ...]] = {}
        self._silent: dict[HostId, float] = {}
        peers.handle(BackupLeaves, self._note_leave)
        peers.handle(EndpointsKnown, self._note_endpoints)

    def endpoints(self, data_centre: DataCentre) -> tuple[Announcement, ...]:
        """Return the endpoints that the last primary used, as far as it told."""
        return self._endpoints.get(data_centre, ())

    def mark_unresponsive(self, host: HostId) -> None:
        """Ask a host that does not answer for nothing for a while."""
        self._silent[host] = now_s()

    async def look_after(self, acting: PrimaryTerm) -> None:
        """Drop a backup that is gone; find one where there is none."""
        while True:
            await trio.sleep(TICK_S)
            if self.draining:
                continue
            backup = acting.view.backup
            if backup is not None and self._is_gone(acting, backup):
                events.BACKUP_DROPPED.log(backup=backup)
                alone = self._steps.alone_after(acting.view)
                await self._steps.propose(acting.store, alone)
                continue
            if acting.dispatcher is None:
                continue
            if self._is_away(acting.view) and await self.hand_over(acting):
                return
            for host in self._candidates(acting):
                await self._try_backup(acting, acting.dispatcher, host)

    async def share_endpoints(self, acting: PrimaryTerm) -> None:
        """Keep the backup informed of the endpoints; they announce themselves rarely.

        Who takes over meets them at once instead of after their next announcement.
        """
        shared: set[tuple[EndpointId, Incarnation, str]] = set()
        data_centre = acting.view.data_centre
        while True:
            await trio.sleep(TICK_S)
            told = await acting.dispatcher.endpoints() if acting.dispatcher else []
            if isinstance(told, Refusal):
                continue
            names = {(said.endpoint, said.incarnation, said.url) for said in told}
            if not names or names == shared:
                continue
            self._endpoints[data_centre] = tuple(told)
            if acting.view.backup is None:
                continue
            message = EndpointsKnown(data_centre, tuple(told))
            with contextlib.suppress(PeerUnreachable):
                await self._peers.request(acting.view.backup, message, EndpointsNoted)
                shared = names

    async def hand_over(self, acting: PrimaryTerm) -> bool:
        """Make the backup the primary; tell whether it is."""
        backup, dispatcher = acting.view.backup, acting.dispatcher
        if backup is None or dispatcher is None or not acting.log.up_to_date(backup):
            return False
        number = Epoch(acting.view.number + 1)
        following = View(acting.view.data_centre, number, backup, self._host)
        if await self._change_view(acting, dispatcher, following):
            events.PRIMARY_HANDED_OVER.log(data_centre=following.data_centre, to=backup)
            await self._steps.wait_after(acting.view)
            return True
        dispatcher.resume()
        return False

    async def _note_leave(self, sender: HostId, message: BackupLeaves) -> LeaveNoted:
        self._leaving[message.data_centre, sender] = now_s()
        return LeaveNoted()

    def _leaves(self, data_centre: DataCentre, host: HostId) -> bool:
        left_s = self._leaving.get((data_centre, host), float("-inf"))
        return now_s() - left_s < LEFT_FOR_S

    async def _note_endpoints(
        self, sender: HostId, message: EndpointsKnown
    ) -> EndpointsNoted:
        self._endpoints[message.data_centre] = message.endpoints
        return EndpointsNoted()

    def _is_gone(self, acting: PrimaryTerm, backup: HostId) -> bool:
        if self._leaves(acting.view.data_centre, backup):
            return True
        silent_s = min(acting.log.since_reply_s(backup), now_s() - acting.begun_s)
        return silent_s > self._limits.drop_after_s or not acting.log.has_voucher(
            backup
        )

    def _candidates(self, acting: PrimaryTerm) -> list[HostId]:
        """Return the hosts that would be a better backup than the present one.

        A host of another data centre serves while no other of this one can, if two
        copies are asked for; one of this data centre takes its place later.
        """
        data_centre, backup = acting.view.data_centre, acting.view.backup
        silent = {
            host
            for host, noted_s in self._silent.items()
            if now_s() - noted_s < AVOID_UNRESPONSIVE_S
        }
        able = set(self._hosts) - {self._host, backup} - self._steps.suspects() - silent
        near = sorted(host for host in able if self._hosts[host] == data_centre)
        if backup is not None:
            return [] if self._hosts[backup] == data_centre else near
        waited = now_s() - acting.begun_s > AWAY_AFTER_S
        if near or not waited or self._limits.copies < COPIES:
            return near
        return sorted(able)

    def _is_away(self, view: View) -> bool:
        """Tell whether a backup in the data centre could run its jobs from nearer."""
        return (
            view.backup is not None
            and self._hosts[self._host] != view.data_centre
            and self._hosts[view.backup] == view.data_centre
        )

    async def _try_backup(
        self, acting: PrimaryTerm, dispatcher: Dispatcher, host: HostId
    ) -> None:
        """Bring a host's copy up to date and propose it as the backup."""
        if self._leaves(acting.view.data_centre, host):
            return
        begun_s = now_s()
        acting.log.follow(host)
        while not acting.log.up_to_date(host):
            await trio.sleep(TICK_S / 4)
            tried_s = now_s() - begun_s
            silent_s = min(acting.log.since_reply_s(host), tried_s)
            patience_s = self._limits.drop_after_s
            if silent_s == tried_s:
                patience_s = FIRST_ANSWER_S
            if silent_s > patience_s or self.draining:
                if silent_s == tried_s:
                    self.mark_unresponsive(host)
                acting.log.unfollow(host)
                return
        number = Epoch(acting.view.number + 1)
        following = View(acting.view.data_centre, number, self._host, host)
        if await self._change_view(acting, dispatcher, following):
            events.BACKUP_ADDED.log(data_centre=following.data_centre, backup=host)
            await self._steps.wait_after(acting.view)
        else:
            await self._steps.propose(
                acting.store, self._steps.alone_after(acting.view)
            )
            dispatcher.resume()
            await trio.sleep(REPAIR_PAUSE_S)

    async def _change_view(
        self, acting: PrimaryTerm, dispatcher: Dispatcher, following: View
    ) -> bool:
        """Let starts under way be answered, vouch for copies and propose a view."""
        await dispatcher.pause(PAUSE_S)
        with trio.move_on_after(PROPOSE_S):
            vouched = await acting.log.vouch(following)
            return vouched and await self._steps.agree(following)
        return False
