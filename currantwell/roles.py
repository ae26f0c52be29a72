"""The roles of a host: primary, backup or neither, for each data centre.

Invariants: a host acts as primary only in a view in which its copy counts and which
it had not joined before, so that no number is used by two processes; when a newer
view is known it stops at once; whoever proposes a view has vouched for its copies.
"""

import contextlib
from collections.abc import Awaitable, Callable, Mapping

import trio

from . import events
from .backup_manager import (
    BackupLeaves,
    BackupManager,
    LeaveNoted,
    PrimaryTerm,
    RoleLimits,
)
from .clock import now_s
from .copy_messages import ViewJoined
from .copy_store import CopyStore, CopyStores
from .dispatcher import Dispatcher
from .errors import Deposed, PeerUnreachable, StorageFailed
from .ids import DataCentre, Epoch, HostId
from .job_backup import JobBackup
from .job_log import JobLog
from .kernel import ServiceName
from .peers import PeerNetwork
from .replicated_job_log import ReplicatedJobLog
from .view_proposer import FIRST, ViewProposer
from .views import View, ViewSource

__all__ = ["BackupExit", "MakeDispatcher", "RoleLimits", "Roles"]

TICK_S = 0.2
TURN_S = 3.0
LEAVE_S = 3.0
NOT_WHOLE_PAUSE_S = 5.0
COMPACT_CHECK_S = 1.0

MakeDispatcher = Callable[[DataCentre, Epoch, JobLog], Dispatcher]


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
        self._acting: dict[DataCentre, PrimaryTerm] = {}
        self._steps = ViewProposer(host, views)
        self._care = BackupManager(host, self._hosts, self._steps, peers, limits)

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
        self._care.draining = True
        for acting in list(self._acting.values()):
            with contextlib.suppress(Deposed):
                if not await self._care.hand_over(acting) and acting.dispatcher:
                    await acting.dispatcher.drain()

    async def leave(self) -> None:
        """Have this host dropped as a backup before it stops."""
        for data_centre in set(self._hosts.values()):
            view = self._views.view(data_centre)
            if view is None or view.backup != self._host:
                continue
            with trio.move_on_after(LEAVE_S):
                await self._ask_to_leave(view)
                await self._steps.wait_after(view)

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
                await self._steps.wait_after(view)

    async def _until_next(
        self, view: View, play: Callable[[View, CopyStore], Awaitable[None]]
    ) -> None:
        """Play a role until a newer view is known."""
        store = await self._stores.get(view.data_centre)
        await self._steps.vouch_by_rule(view, store)
        try:
            async with trio.open_nursery() as nursery:

                async def watch() -> None:
                    await self._steps.wait_after(view)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                await play(view, store)
                nursery.cancel_scope.cancel()
        except* Deposed as group:
            events.DEPOSED.log(view=view.number, ground=str(group.exceptions[0]))
            await trio.sleep(TICK_S)

    async def _begin(self, data_centre: DataCentre) -> None:
        """Propose the first view; hosts take turns in the order of their names."""
        names = [h for h, place in self._hosts.items() if place == data_centre]
        if self._host in names:
            await trio.sleep(sorted(names).index(self._host) * TURN_S)
            if self._views.view(data_centre) is None and not self._care.draining:
                await self._steps.agree(View(data_centre, FIRST, self._host))
        await trio.sleep(TICK_S)

    # Backup.

    async def _be_backup(self, view: View, store: CopyStore) -> None:
        """Take over once the primary has been silent for long enough."""
        if store.copy.joined < view.number:
            await store.write([ViewJoined(view.number)])
        silent_s = 0.0
        while True:
            before_s = now_s()
            await trio.sleep(TICK_S)
            if self._backup.last_message_s(view.data_centre) >= before_s - TICK_S:
                silent_s = 0.0
                continue
            silent_s += TICK_S
            if silent_s < self._limits.takeover_after_s or self._care.draining:
                continue
            await self._steps.vouch_by_rule(view, store)
            if self._steps.may_propose(view, store):
                events.TAKEOVER_PROPOSED.log(view=view.number, primary=view.primary)
                self._care.mark_unresponsive(view.primary)
                await self._steps.propose(store, self._steps.alone_after(view))
            silent_s = 0.0

    async def _ask_to_leave(self, view: View) -> None:
        message = BackupLeaves(view.data_centre)
        try:
            await self._peers.request(view.primary, message, LeaveNoted)
        except PeerUnreachable:
            await trio.sleep(TICK_S)

    # Primary.

    async def _be_primary(self, view: View, store: CopyStore) -> None:
        if store.copy.may_serve_as_primary(view):
            await store.write([ViewJoined(view.number)])
            await self._act(view, store)
        elif self._steps.may_propose(view, store):
            if not self._care.draining:
                await self._steps.propose(store, self._steps.alone_after(view))
            await trio.sleep(TICK_S)
        elif view.number == FIRST:
            await trio.sleep(TICK_S)
        else:
            events.COPY_INCOMPLETE.log(view=view.number, store=store.copy.store)
            await trio.sleep(NOT_WHOLE_PAUSE_S)

    async def _act(self, view: View, store: CopyStore) -> None:
        log = ReplicatedJobLog(view, store, self._peers, self._limits.copies)
        acting = PrimaryTerm(view, store, log, now_s())
        self._acting[view.data_centre] = acting
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._care.look_after, acting)
                nursery.start_soon(self._care.share_endpoints, acting)
                await nursery.start(log.run)
                await store.wait_snapshot_done()
                dispatcher = self._make_dispatcher(view.data_centre, view.number, log)
                await nursery.start(dispatcher.run)
                for said in self._care.endpoints(view.data_centre):
                    await dispatcher.announce(said)
                acting.dispatcher = dispatcher
                events.PRIMARY_STARTED.log(
                    data_centre=view.data_centre, view=view.number, backup=view.backup
                )
        finally:
            del self._acting[view.data_centre]


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
