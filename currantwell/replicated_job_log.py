"""The job log of a primary: records committed on its own copy and the backup's.

The local sync and the backup's run in parallel. Each one writes everything that has
become ready since its previous one, so that batches stay in order and neither disk
waits for the other. A primary whose backup does not reply commits nothing: it waits
until the backup replies again or another view replaces its own.
"""

from collections.abc import Callable, Iterator, Sequence

import trio

from .clock import now_s
from .copy_messages import CopyOutcome, CopyReply, ViewVouched
from .copy_store import CopyStore
from .errors import Deposed, PeerUnreachable
from .ids import HostId, JobId
from .job_primary import JobPrimary
from .peers import PeerNetwork
from .records import JobAccepted, Record, encode_record
from .views import View

__all__ = ["ReplicatedJobLog"]

HEARTBEAT_S = 0.25
REPLY_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.1


class ReplicatedJobLog:
    """The log of the primary of one view.

    Parameters
    ----------
    view : View
        The view; this host is its primary and its copy counts in it.
    store : CopyStore
        This host's copy.
    peers : PeerNetwork
        Sends requests to the hosts of the other copies.
    copies : int
        Number of hosts that have to hold a new job.
    """

    def __init__(
        self, view: View, store: CopyStore, peers: PeerNetwork, copies: int
    ) -> None:
        self.view = view
        self._store = store
        self._peers = peers
        self._copies = copies
        self._primary = JobPrimary(store.copy, view)
        self._unconfirmed: frozenset[JobId] = frozenset()
        if self.second_copy_missing():
            self._unconfirmed = frozenset(
                record.job
                for record in store.copy.unapplied()
                if isinstance(record, JobAccepted)
            )
        self._confirmed_s: dict[HostId, float] = {}
        self._added = trio.Event()
        self._advanced = trio.Event()
        self._send_scopes: dict[HostId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Sync and replicate until cancelled.

        Reports as started once all records of earlier views are committed.

        Raises
        ------
        Deposed
            If a newer view has taken over.
        StorageFailed
            If the disk refuses.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._sync_loop)
            for host in list(self._primary.followers):
                self._send_to(host)
            barrier = self._primary.add_barrier()
            self._notify_added()
            await self._wait_until(lambda: self._primary.committed >= barrier)
            task_status.started()

    def recover(self) -> Iterator[Record]:
        """Return the records that rebuild the job table."""
        self._store.copy.apply_to_table(self._primary.committed)
        return iter(list(self._store.copy.table.snapshot()))

    def keep_from(self) -> int:
        """Return the first sequence number that other copies still need."""
        return self._primary.keep_from()

    def second_copy_missing(self) -> bool:
        """Return whether fewer hosts hold a copy than a new job needs."""
        return 1 + len(self._primary.required) < self._copies

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return recovered jobs that possibly too few hosts hold to acknowledge them.

        They are acknowledged once a view with a backup is in force.
        """
        return self._unconfirmed

    def confirmed_age_s(self) -> float:
        """Return how long ago it was certain that no newer view had taken over.

        A successor starts from a copy that counts, and that copy refuses this primary
        before the successor does anything else. The age is therefore that of the oldest
        among the latest answered requests to each required copy.
        """
        confirmed_s = [
            self._confirmed_s.get(host, float("-inf"))
            for host in self._primary.required
        ]
        return now_s() - min(confirmed_s) if confirmed_s else 0.0

    async def confirm_primary(self) -> None:
        """Return once it is certain that no newer view took over before the call."""
        called_s = now_s()
        self._notify_added()
        await self._wait_until(lambda: now_s() - self.confirmed_age_s() >= called_s)

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are synced on this host and on the backup."""
        last = self._primary.add([encode_record(record) for record in records])
        self._notify_added()
        await self._wait_until(lambda: self._primary.committed >= last)

    # Other copies.

    def since_reply_s(self, host: HostId) -> float:
        """Return for how long a host's copy has not replied, in seconds."""
        return now_s() - self._confirmed_s.get(host, float("-inf"))

    def has_voucher(self, host: HostId) -> bool:
        """Return whether a host's copy reports a voucher for this view."""
        follower = self._primary.followers.get(host)
        return follower is not None and follower.has_voucher

    def follow(self, host: HostId) -> None:
        """Bring a host's copy up to date and keep it so."""
        if host not in self._primary.followers:
            self._primary.follow(host)
            self._send_to(host)

    def unfollow(self, host: HostId) -> None:
        """Stop replicating to a copy that is not required."""
        self._primary.unfollow(host)
        if host not in self._primary.followers and host in self._send_scopes:
            self._send_scopes.pop(host).cancel()

    def up_to_date(self, host: HostId) -> bool:
        """Return whether a host's copy holds all committed records."""
        return self._primary.is_synced_to(host, self._primary.committed)

    async def vouch(self, next_view: View) -> bool:
        """Make the copies of a view that is about to be proposed count in it.

        From then on nothing is committed without them.

        Returns
        -------
        bool
            Whether all of them count; if not, only a view without the missing copy can
            commit again.
        """
        others = {next_view.primary, next_view.backup} - {self.view.primary, None}
        for host in others:
            assert host is not None
            await self._require(host)
            self._check_not_deposed()
            voucher = self._primary.vouch(host, next_view)
            try:
                reply = await self._peers.request(
                    host, voucher, CopyReply, REPLY_TIMEOUT_S
                )
            except PeerUnreachable:
                return False
            if reply.outcome is not CopyOutcome.ACCEPTED:
                return False
        await self._store.write_as(self.view.number, [ViewVouched(next_view)])
        return True

    async def _require(self, host: HostId) -> None:
        last = self._primary.require(host)
        await self._wait_until(lambda: self._primary.is_synced_to(host, last))

    # Loops.

    def _send_to(self, host: HostId) -> None:
        assert self._nursery is not None
        self._send_scopes[host] = trio.CancelScope()
        self._nursery.start_soon(self._send_loop, host, self._send_scopes[host])

    async def _sync_loop(self) -> None:
        while True:
            added = self._added
            runs = self._primary.take_unwritten()
            if not runs:
                await added.wait()
                continue
            await self._store.write_as(self.view.number, runs)
            self._primary.mark_synced(runs)
            self._notify_advanced()

    async def _send_loop(self, host: HostId, scope: trio.CancelScope) -> None:
        with scope:
            # Cancelling takes effect at the next checkpoint only.
            while host in self._primary.followers:
                added = self._added
                if not self._primary.has_pending(host):
                    with trio.move_on_after(HEARTBEAT_S):
                        await added.wait()
                if host in self._primary.followers:
                    await self._send(host)

    async def _send(self, host: HostId) -> None:
        self._check_not_deposed()
        message = self._primary.message_for(host)
        sent_s = now_s()
        try:
            reply = await self._peers.request(host, message, CopyReply, REPLY_TIMEOUT_S)
        except PeerUnreachable:
            await trio.sleep(RETRY_PAUSE_S)
            return
        self._primary.on_reply(host, message, reply)
        if self._primary.deposed:
            raise Deposed(f"{host} has joined view {reply.joined}")
        if self._primary.rules_out_newer_view(host):
            self._confirmed_s[host] = sent_s
        self._notify_advanced()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self._check_not_deposed()
            await self._advanced.wait()

    def _check_not_deposed(self) -> None:
        if self._primary.deposed:
            raise Deposed(f"view {self.view.number} is over")

    def _notify_added(self) -> None:
        self._added.set()
        self._added = trio.Event()

    def _notify_advanced(self) -> None:
        self._advanced.set()
        self._advanced = trio.Event()
