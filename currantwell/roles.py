"""The roles of a host: primary, backup or neither, for each data centre.

Invariants: a host acts as primary only in a view in which its copy counts and which
it had not joined before, so that no number is used by two processes; when a newer
view is known it stops at once; whoever proposes a view has vouched for its copies.
View 1 only names who begins: nothing is ever told in it, so that an empty copy may
vouch for view 2 if it is named in view 1, and for no other.
"""

import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Mapping

import trio

from . import events
from .answers import Refusal
from .clock import now_s
from .copy_messages import ViewJoined, ViewVouched
from .copy_store import CopyStore, CopyStores
from .dispatcher import Dispatcher
from .endpoint_protocol import Announcement
from .errors import AgreementLost, Deposed, PeerUnreachable, StorageFailed
from .ids import DataCentre, EndpointId, Epoch, HostId, Incarnation
from .job_backup import JobBackup
from .job_log import JobLog
from .kernel import ServiceName
from .peers import PeerMessage, PeerNetwork
from .replicated_job_log import ReplicatedJobLog
from .views import View, ViewSource

__all__ = [
    "BackupExit",
    "BackupLeaves",
    "EndpointsKnown",
    "EndpointsNoted",
    "LeaveNoted",
    "MakeDispatcher",
    "RoleLimits",
    "Roles",
]

TICK_S = 0.2
POLL_S = 0.5
PAUSE_S = 1.0
PROPOSE_S = 3.0
LEAVE_S = 3.0
LEFT_FOR_S = 5.0
REPAIR_PAUSE_S = 2.0
NOT_WHOLE_PAUSE_S = 5.0
COMPACT_CHECK_S = 1.0
AWAY_AFTER_S = 0.2
COPIES = 2
FIRST = Epoch(1)

MakeDispatcher = Callable[[DataCentre, Epoch, JobLog], Dispatcher]


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
class _Acting:
    """A view in which this host is primary."""

    view: View
    store: CopyStore
    log: ReplicatedJobLog
    begun_s: float
    dispatcher: Dispatcher | None = None


class Roles:
    """Takes up and lays down the roles that the views give to this host.

    Parameters
    ----------
    host : HostId
        This host.
    hosts : mapping of HostId to DataCentre
        All hosts, this one too.
    views : ViewSource
        The agreed views.
    stores : CopyStores
        The copies of this host.
    backup : JobBackup
        The backup's side.
    peers : PeerNetwork
        Reaches the other hosts.
    make_dispatcher : callable
        Makes the dispatcher of a data centre under an epoch.
    limits : RoleLimits
        Limits.
    """

    name = ServiceName("roles")

    def __init__(
        self,
        host: HostId,
        hosts: Mapping[HostId, DataCentre],
        views: ViewSource,
        stores: CopyStores,
        backup: JobBackup,
        peers: PeerNetwork,
        make_dispatcher: MakeDispatcher,
        limits: RoleLimits,
    ) -> None:
        self._host = host
        self._hosts = dict(hosts)
        self._views = views
        self._stores = stores
        self._backup = backup
        self._peers = peers
        self._make_dispatcher = make_dispatcher
        self._limits = limits
        self._acting: dict[DataCentre, _Acting] = {}
        self._leaving: dict[tuple[DataCentre, HostId], float] = {}
        self._draining = False
        self._endpoints: dict[DataCentre, tuple[Announcement, ...]] = {}
        peers.handle(BackupLeaves, self._note_leave)
        peers.handle(EndpointsKnown, self._note_endpoints)

    def dispatcher(self, data_centre: DataCentre) -> Dispatcher | None:
        """Return the dispatcher that this host runs for a data centre, if any."""
        acting = self._acting.get(data_centre)
        return acting.dispatcher if acting else None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the views until cancelled; a host that is alone starts at once.

        Raises
        ------
        StorageFailed
            If the disk refuses; the host has to stop.
        """
        own = self._hosts[self._host]
        try:
            async with trio.open_nursery() as nursery:
                for data_centre in sorted(set(self._hosts.values())):
                    nursery.start_soon(self._follow, data_centre)
                nursery.start_soon(self._compact_loop)
                while len(self._hosts) == 1 and self.dispatcher(own) is None:
                    await trio.sleep(TICK_S / 10)
                task_status.started()
        except* StorageFailed as group:
            events.STORAGE_FAILED.log(host=self._host, error=repr(group.exceptions))
            raise

    async def drain(self) -> None:
        """Hand the jobs over to the backup, or finish them."""
        self._draining = True
        for acting in list(self._acting.values()):
            with contextlib.suppress(Deposed):
                if not await self._hand_over(acting) and acting.dispatcher:
                    await acting.dispatcher.drain()

    async def leave(self) -> None:
        """Have this host dropped as a backup before it stops."""
        for data_centre in set(self._hosts.values()):
            view = self._views.view(data_centre)
            if view is None or view.backup != self._host:
                continue
            with trio.move_on_after(LEAVE_S):
                await self._ask_to_leave(view)
                await self._view_after(view)

    async def _compact_loop(self) -> None:
        """Keep journals and memory bounded, but in no one's recovery."""
        while True:
            await trio.sleep(COMPACT_CHECK_S)
            for data_centre, store in self._stores.opened().items():
                acting = self._acting.get(data_centre)
                if acting is not None and acting.dispatcher is None:
                    continue
                if await store.compact():
                    acting = self._acting.get(data_centre)
                    keep_from = acting.log.keep_from() if acting else None
                    store.copy.trim(keep_from or store.copy.applied.seq)

    # Following the views.

    async def _follow(self, data_centre: DataCentre) -> None:
        while True:
            view = self._views.view(data_centre)
            if view is None:
                await self._begin(data_centre)
            elif view.primary == self._host:
                await self._until_next(view, self._be_primary)
            elif view.backup == self._host:
                await self._until_next(view, self._be_backup)
            else:
                await self._view_after(view)

    async def _until_next(
        self, view: View, play: Callable[[View, CopyStore], Awaitable[None]]
    ) -> None:
        """Play a role until a newer view is known."""
        store = await self._stores.get(view.data_centre)
        await self._vouch_by_rule(view, store)
        try:
            async with trio.open_nursery() as nursery:

                async def watch() -> None:
                    await self._view_after(view)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                await play(view, store)
                nursery.cancel_scope.cancel()
        except* Deposed as group:
            events.DEPOSED.log(view=view.number, ground=str(group.exceptions[0]))
            await trio.sleep(TICK_S)

    async def _vouch_by_rule(self, view: View, store: CopyStore) -> None:
        """Vouch for this host's copy where no one else had to."""
        copy = store.copy
        if view.number == FIRST and not copy.counts_in(self._alone_after(view)):
            await self._vouch_first(view, store)
        if copy.may_follow_alone(view, self._host):
            await store.write([ViewVouched(view)])

    async def _vouch_first(self, view: View, store: CopyStore) -> None:
        """Vouch for view 2 if it is sure that view 1 is still the newest.

        A host that lost its disk may pass by view 1 while it catches up.
        """
        try:
            await self._views.confirm()
        except AgreementLost:
            await trio.sleep(TICK_S)
            return
        if self._views.view(view.data_centre) == view:
            await store.write([ViewVouched(self._alone_after(view))])

    async def _view_after(self, view: View) -> None:
        while self._views.view(view.data_centre) == view:
            with trio.move_on_after(POLL_S):
                await self._views.wait_change()

    async def _begin(self, data_centre: DataCentre) -> None:
        """Propose the first view; hosts take turns in the order of their names."""
        names = [h for h, place in self._hosts.items() if place == data_centre]
        if self._host in names:
            await trio.sleep(sorted(names).index(self._host) * PROPOSE_S)
            if self._views.view(data_centre) is None and not self._draining:
                await self._agree(View(data_centre, FIRST, self._host))
        await trio.sleep(TICK_S)

    async def _propose(self, store: CopyStore, following: View) -> bool:
        """Propose a view in which this host's copy alone counts."""
        await store.write([ViewVouched(following)])
        return await self._agree(following)

    async def _agree(self, following: View) -> bool:
        try:
            return await self._views.propose_view(following)
        except AgreementLost:
            return False

    def _may_propose(self, view: View, store: CopyStore) -> bool:
        """Tell whether this host's copy may count alone in the next view."""
        if view.number == FIRST:
            return store.copy.counts_in(self._alone_after(view))
        return store.copy.counts_in(view)

    def _alone_after(self, view: View) -> View:
        return View(view.data_centre, Epoch(view.number + 1), self._host)

    # Backup.

    async def _be_backup(self, view: View, store: CopyStore) -> None:
        """Take over once the primary has been silent for long enough."""
        if store.copy.joined < view.number:
            await store.write([ViewJoined(view.number)])
        silent_s = 0.0
        while True:
            before_s = now_s()
            await trio.sleep(TICK_S)
            if self._backup.heard_s(view.data_centre) >= before_s - TICK_S:
                silent_s = 0.0
                continue
            silent_s += TICK_S
            if silent_s < self._limits.takeover_after_s or self._draining:
                continue
            await self._vouch_by_rule(view, store)
            if self._may_propose(view, store):
                events.TAKEOVER_PROPOSED.log(view=view.number, primary=view.primary)
                await self._propose(store, self._alone_after(view))
            silent_s = 0.0

    async def _ask_to_leave(self, view: View) -> None:
        message = BackupLeaves(view.data_centre)
        try:
            await self._peers.ask(view.primary, message, LeaveNoted)
        except PeerUnreachable:
            await trio.sleep(TICK_S)

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

    # Primary.

    async def _be_primary(self, view: View, store: CopyStore) -> None:
        if store.copy.may_act(view):
            await store.write([ViewJoined(view.number)])
            await self._act(view, store)
        elif self._may_propose(view, store):
            if not self._draining:
                await self._propose(store, self._alone_after(view))
            await trio.sleep(TICK_S)
        elif view.number == FIRST:
            await trio.sleep(TICK_S)
        else:
            events.COPY_NOT_WHOLE.log(view=view.number, store=store.copy.store)
            await trio.sleep(NOT_WHOLE_PAUSE_S)

    async def _act(self, view: View, store: CopyStore) -> None:
        log = ReplicatedJobLog(view, store, self._peers, self._limits.copies)
        acting = _Acting(view, store, log, now_s())
        self._acting[view.data_centre] = acting
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._look_after_backup, acting)
                nursery.start_soon(self._share_endpoints, acting)
                await nursery.start(log.run)
                await store.wait_settled()
                dispatcher = self._make_dispatcher(view.data_centre, view.number, log)
                await nursery.start(dispatcher.run)
                for said in self._endpoints.get(view.data_centre, ()):
                    await dispatcher.announce(said)
                acting.dispatcher = dispatcher
                events.PRIMARY_STARTED.log(
                    data_centre=view.data_centre, view=view.number, backup=view.backup
                )
        finally:
            del self._acting[view.data_centre]

    async def _look_after_backup(self, acting: _Acting) -> None:
        """Drop a backup that is gone; find one where there is none."""
        while True:
            await trio.sleep(TICK_S)
            if self._draining:
                continue
            backup = acting.view.backup
            if backup is not None and self._is_gone(acting, backup):
                events.BACKUP_DROPPED.log(backup=backup)
                await self._propose(acting.store, self._alone_after(acting.view))
                continue
            if acting.dispatcher is None:
                continue
            if self._is_away(acting.view) and await self._hand_over(acting):
                return
            for host in self._candidates(acting):
                await self._try_backup(acting, acting.dispatcher, host)

    async def _share_endpoints(self, acting: _Acting) -> None:
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
                await self._peers.ask(acting.view.backup, message, EndpointsNoted)
                shared = names

    def _is_gone(self, acting: _Acting, backup: HostId) -> bool:
        if self._leaves(acting.view.data_centre, backup):
            return True
        silent_s = min(acting.log.silent_s(backup), now_s() - acting.begun_s)
        return silent_s > self._limits.drop_after_s or not acting.log.counts(backup)

    def _candidates(self, acting: _Acting) -> list[HostId]:
        """Return the hosts that would be a better backup than the present one.

        A host of another data centre serves while no other of this one can, if two
        copies are asked for; one of this data centre takes its place later.
        """
        data_centre, backup = acting.view.data_centre, acting.view.backup
        able = set(self._hosts) - {self._host, backup} - self._views.suspects()
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
        self, acting: _Acting, dispatcher: Dispatcher, host: HostId
    ) -> None:
        """Bring a host's copy up to date and propose it as the backup."""
        if self._leaves(acting.view.data_centre, host):
            return
        begun_s = now_s()
        acting.log.follow(host)
        while not acting.log.up_to_date(host):
            await trio.sleep(TICK_S / 4)
            silent_s = min(acting.log.silent_s(host), now_s() - begun_s)
            if silent_s > self._limits.drop_after_s or self._draining:
                acting.log.unfollow(host)
                return
        number = Epoch(acting.view.number + 1)
        following = View(acting.view.data_centre, number, self._host, host)
        if await self._change_view(acting, dispatcher, following):
            events.BACKUP_ADDED.log(data_centre=following.data_centre, backup=host)
            await self._view_after(acting.view)
        else:
            await self._propose(acting.store, self._alone_after(acting.view))
            dispatcher.resume()
            await trio.sleep(REPAIR_PAUSE_S)

    async def _change_view(
        self, acting: _Acting, dispatcher: Dispatcher, following: View
    ) -> bool:
        """Let starts under way be answered, vouch for copies and propose a view."""
        await dispatcher.pause(PAUSE_S)
        with trio.move_on_after(PROPOSE_S):
            vouched = await acting.log.vouch(following)
            return vouched and await self._agree(following)
        return False

    async def _hand_over(self, acting: _Acting) -> bool:
        """Make the backup the primary; tell whether it is."""
        backup, dispatcher = acting.view.backup, acting.dispatcher
        if backup is None or dispatcher is None or not acting.log.up_to_date(backup):
            return False
        number = Epoch(acting.view.number + 1)
        following = View(acting.view.data_centre, number, backup, self._host)
        if await self._change_view(acting, dispatcher, following):
            events.HANDED_OVER.log(data_centre=following.data_centre, to=backup)
            await self._view_after(acting.view)
            return True
        dispatcher.resume()
        return self._views.view(acting.view.data_centre) != acting.view


class BackupExit:
    """The service that lets go of the role of backup last of all.

    Parameters
    ----------
    roles : Roles
        The roles.
    """

    name = ServiceName("backup-exit")

    def __init__(self, roles: Roles) -> None:
        self._roles = roles

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Be there until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Have this host dropped as a backup."""
        await self._roles.leave()
