"""The roles of a host in each data centre: primary, backup or neither.

Invariants: a host serves as primary only in a view in which its copy counts and which
it had not joined before, so that no view number is used by two processes; it stops at
once when it learns of a newer view; the proposer of a view has vouched for its copies.
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
from .view_proposer import FIRST_VIEW_NUMBER, ViewProposer
from .views import View, ViewSource

__all__ = ["BackupExit", "MakeDispatcher", "RoleLimits", "Roles"]

TICK_S = 0.2
FIRST_VIEW_TURN_S = 3.0
LEAVE_TIMEOUT_S = 3.0
INCOMPLETE_COPY_PAUSE_S = 5.0
COMPACT_CHECK_S = 1.0

MakeDispatcher = Callable[[DataCentre, Epoch, JobLog], Dispatcher]


class Roles:
    """Starts and stops the roles that the views assign to this host.

    Parameters
    ----------
    host : HostId
        This host.
    hosts : mapping of HostId to DataCentre
        All hosts and their data centres, including this one.
    views : ViewSource
        The agreed views.
    stores : CopyStores
        The copies on this host.
    backup : JobBackup
        Answers primaries for the copies on this host.
    peers : PeerNetwork
        Sends requests to the other hosts.
    make_dispatcher : callable
        Creates the dispatcher of a data centre for an epoch.
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
        self._terms: dict[DataCentre, PrimaryTerm] = {}
        self._proposer = ViewProposer(host, views)
        self._backup_manager = BackupManager(
            host, self._hosts, self._proposer, peers, limits
        )

    def dispatcher(self, data_centre: DataCentre) -> Dispatcher | None:
        """Return the dispatcher that this host runs for a data centre, if any."""
        term = self._terms.get(data_centre)
        return term.dispatcher if term else None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the views until cancelled.

        A host that runs alone reports as started once it serves its data centre.

        Raises
        ------
        StorageFailed
            If the disk refuses; the host has to stop.
        """
        own_data_centre = self._hosts[self._host]
        try:
            async with trio.open_nursery() as nursery:
                for data_centre in sorted(set(self._hosts.values())):
                    nursery.start_soon(self._follow_views, data_centre)
                nursery.start_soon(self._compact_loop)
                while (
                    len(self._hosts) == 1 and self.dispatcher(own_data_centre) is None
                ):
                    await trio.sleep(TICK_S / 10)
                task_status.started()
        except* StorageFailed as group:
            events.STORAGE_FAILED.log(host=self._host, error=repr(group.exceptions))
            raise

    async def drain(self) -> None:
        """Hand the jobs over to the backup, or finish them."""
        self._backup_manager.draining = True
        for term in list(self._terms.values()):
            with contextlib.suppress(Deposed):
                if not await self._backup_manager.hand_over(term) and term.dispatcher:
                    await term.dispatcher.drain()

    async def leave(self) -> None:
        """Ask the primaries to drop this host as a backup before it stops."""
        for data_centre in set(self._hosts.values()):
            view = self._views.view(data_centre)
            if view is None or view.backup != self._host:
                continue
            with trio.move_on_after(LEAVE_TIMEOUT_S):
                await self._request_leave(view)
                await self._proposer.wait_for_newer(view)

    async def _compact_loop(self) -> None:
        """Keep journals and memory bounded, except during a recovery."""
        while True:
            await trio.sleep(COMPACT_CHECK_S)
            for data_centre, store in self._stores.opened().items():
                term = self._terms.get(data_centre)
                if term is not None and term.dispatcher is None:
                    continue
                if await store.compact():
                    term = self._terms.get(data_centre)
                    keep_from = term.log.keep_from() if term else None
                    store.copy.trim(keep_from or store.copy.applied.seq)

    # Following the views.

    async def _follow_views(self, data_centre: DataCentre) -> None:
        earlier: View | None = None
        while True:
            view = self._views.view(data_centre)
            if earlier is not None and earlier.primary not in _members(view):
                # A backup may be missing though it responds: terms begin without one.
                self._backup_manager.mark_unresponsive(earlier.primary)
            earlier = view
            if view is None:
                await self._propose_first_view(data_centre)
            elif view.primary == self._host:
                await self._run_role(view, self._run_primary)
            elif view.backup == self._host:
                await self._run_role(view, self._run_backup)
            else:
                await self._proposer.wait_for_newer(view)

    async def _run_role(
        self, view: View, run_role: Callable[[View, CopyStore], Awaitable[None]]
    ) -> None:
        """Run a role until there is a newer view."""
        store = await self._stores.get(view.data_centre)
        await self._proposer.vouch_for_own_copy(view, store)
        try:
            async with trio.open_nursery() as nursery:

                async def watch() -> None:
                    await self._proposer.wait_for_newer(view)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                await run_role(view, store)
                nursery.cancel_scope.cancel()
        except* Deposed as group:
            events.DEPOSED.log(view=view.number, ground=str(group.exceptions[0]))
            await trio.sleep(TICK_S)

    async def _propose_first_view(self, data_centre: DataCentre) -> None:
        """Propose the first view; the hosts take turns in the order of their ids."""
        local_hosts = sorted(
            host for host, home in self._hosts.items() if home == data_centre
        )
        if self._host not in local_hosts:
            await trio.sleep(TICK_S)
            return
        turn_s = local_hosts.index(self._host) * FIRST_VIEW_TURN_S
        if await self._proposer.wait_for_first(data_centre, turn_s):
            return
        if not self._backup_manager.draining:
            await self._proposer.propose_view(
                View(data_centre, FIRST_VIEW_NUMBER, self._host)
            )
        await trio.sleep(TICK_S)

    # Backup.

    async def _run_backup(self, view: View, store: CopyStore) -> None:
        """Take over once the primary has sent no message for `takeover_after_s`."""
        if store.copy.joined < view.number:
            await store.write([ViewJoined(view.number)])
        unresponsive_s = 0.0
        while True:
            checked_s = now_s()
            await trio.sleep(TICK_S)
            if self._backup.last_message_s(view.data_centre) >= checked_s - TICK_S:
                unresponsive_s = 0.0
                continue
            unresponsive_s += TICK_S
            if (
                unresponsive_s < self._limits.takeover_after_s
                or self._backup_manager.draining
            ):
                continue
            await self._proposer.vouch_for_own_copy(view, store)
            if self._proposer.may_propose(view, store):
                events.TAKEOVER_PROPOSED.log(view=view.number, primary=view.primary)
                self._backup_manager.mark_unresponsive(view.primary)
                await self._proposer.vouch_and_propose(
                    store, self._proposer.next_view_alone(view)
                )
            unresponsive_s = 0.0

    async def _request_leave(self, view: View) -> None:
        message = BackupLeaves(view.data_centre)
        try:
            await self._peers.request(view.primary, message, LeaveNoted)
        except PeerUnreachable:
            await trio.sleep(TICK_S)

    # Primary.

    async def _run_primary(self, view: View, store: CopyStore) -> None:
        if store.copy.may_serve_as_primary(view):
            await store.write([ViewJoined(view.number)])
            await self._serve_as_primary(view, store)
        elif self._proposer.may_propose(view, store):
            if not self._backup_manager.draining:
                await self._proposer.vouch_and_propose(
                    store, self._proposer.next_view_alone(view)
                )
            await trio.sleep(TICK_S)
        elif view.number == FIRST_VIEW_NUMBER:
            await trio.sleep(TICK_S)
        else:
            events.COPY_INCOMPLETE.log(view=view.number, store=store.copy.store)
            await trio.sleep(INCOMPLETE_COPY_PAUSE_S)

    async def _serve_as_primary(self, view: View, store: CopyStore) -> None:
        log = ReplicatedJobLog(view, store, self._peers, self._limits.copies)
        term = PrimaryTerm(view, store, log, now_s())
        self._terms[view.data_centre] = term
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._backup_manager.manage_backup, term)
                nursery.start_soon(self._backup_manager.share_endpoints, term)
                await nursery.start(log.run)
                await store.wait_snapshot_done()
                dispatcher = self._make_dispatcher(view.data_centre, view.number, log)
                await nursery.start(dispatcher.run)
                for announcement in self._backup_manager.endpoints(view.data_centre):
                    await dispatcher.announce(announcement)
                term.dispatcher = dispatcher
                events.PRIMARY_STARTED.log(
                    data_centre=view.data_centre, view=view.number, backup=view.backup
                )
        finally:
            del self._terms[view.data_centre]


def _members(view: View | None) -> set[HostId]:
    return {host for host in (view.primary, view.backup) if host} if view else set()


class BackupExit:
    """The service that gives up the backup role, stopped after all others.

    Parameters
    ----------
    roles : Roles
        The roles.
    """

    name = ServiceName("backup-exit")

    def __init__(self, roles: Roles) -> None:
        self._roles = roles

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Have this host dropped as a backup."""
        await self._roles.leave()
