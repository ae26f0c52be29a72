"""The job log of a primary: records committed on its own copy and the backup's.

The local sync and the backup's go on side by side, each with all that has become
ready since its last one, so that groups follow one another in order and neither disk
waits for the other. A primary that the backup does not answer commits nothing: it
waits until the backup is back or another view takes its place.
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
ANSWER_TIMEOUT_S = 1.0
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
        Reaches the other copies.
    copies : int
        Hosts that have to hold a new job.
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
        self._contact_s: dict[HostId, float] = {}
        self._added = trio.Event()
        self._advanced = trio.Event()
        self._scopes: dict[HostId, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Sync and send until cancelled.

        Returns once everything that an earlier view left is committed.

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
            first = self._primary.add_barrier()
            self._wake()
            await self._until(lambda: self._primary.committed >= first)
            task_status.started()

    def recover(self) -> Iterator[Record]:
        """Iterate over records that rebuild the job table."""
        self._store.copy.apply_to_table(self._primary.committed)
        return iter(list(self._store.copy.table.snapshot()))

    def keep_from(self) -> int:
        """Return the first sequence number that other copies still need."""
        return self._primary.keep_from()

    def second_copy_missing(self) -> bool:
        """Tell whether fewer hosts hold a copy than a new job needs."""
        return 1 + len(self._primary.required) < self._copies

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return recovered jobs that too few hosts may hold to tell of them.

        They are told of once a view with a backup has begun.
        """
        return self._unconfirmed

    def confirmed_age_s(self) -> float:
        """Return how long ago it was certain that no newer view had taken over.

        A successor stands on a copy that counts, and refuses this primary before it
        does anything else; the age is that of the oldest request answered by each.
        """
        contacts = [
            self._contact_s.get(host, float("-inf")) for host in self._primary.required
        ]
        return now_s() - min(contacts) if contacts else 0.0

    async def confirm_primary(self) -> None:
        """Return once it is certain that no newer view took over before the call."""
        asked_s = now_s()
        self._wake()
        await self._until(lambda: now_s() - self.confirmed_age_s() >= asked_s)

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are synced here and at the backup."""
        last = self._primary.add([encode_record(record) for record in records])
        self._wake()
        await self._until(lambda: self._primary.committed >= last)

    # Other copies.

    def silent_s(self, host: HostId) -> float:
        """Return for how long a host's copy has not answered."""
        return now_s() - self._contact_s.get(host, float("-inf"))

    def counts(self, host: HostId) -> bool:
        """Tell whether a host's copy says that it counts in this view."""
        follower = self._primary.followers.get(host)
        return follower is not None and follower.counts

    def follow(self, host: HostId) -> None:
        """Bring a host's copy up to date and keep it so."""
        if host not in self._primary.followers:
            self._primary.follow(host)
            self._send_to(host)

    def unfollow(self, host: HostId) -> None:
        """Give up a copy that does not count."""
        self._primary.unfollow(host)
        if host not in self._primary.followers and host in self._scopes:
            self._scopes.pop(host).cancel()

    def up_to_date(self, host: HostId) -> bool:
        """Tell whether a host's copy holds all that is committed."""
        return self._primary.is_synced_to(host, self._primary.committed)

    async def vouch(self, following: View) -> bool:
        """Make the copies of a view about to be proposed count in it.

        From then on nothing is committed without them.

        Returns
        -------
        bool
            Whether they do; if not, only a view without the missing copy helps.
        """
        others = {following.primary, following.backup} - {self.view.primary, None}
        for host in others:
            assert host is not None
            await self._require(host)
            self._check()
            voucher = self._primary.vouch(host, following)
            try:
                reply = await self._peers.request(
                    host, voucher, CopyReply, ANSWER_TIMEOUT_S
                )
            except PeerUnreachable:
                return False
            if reply.outcome is not CopyOutcome.ACCEPTED:
                return False
        await self._store.write_as(self.view.number, [ViewVouched(following)])
        return True

    async def _require(self, host: HostId) -> None:
        last = self._primary.require(host)
        await self._until(lambda: self._primary.is_synced_to(host, last))

    # Loops.

    def _send_to(self, host: HostId) -> None:
        assert self._nursery is not None
        self._scopes[host] = trio.CancelScope()
        self._nursery.start_soon(self._send_loop, host, self._scopes[host])

    async def _sync_loop(self) -> None:
        while True:
            added = self._added
            runs = self._primary.take_unwritten()
            if not runs:
                await added.wait()
                continue
            await self._store.write_as(self.view.number, runs)
            self._primary.mark_synced(runs)
            self._tell_advanced()

    async def _send_loop(self, host: HostId, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                added = self._added
                if not self._primary.has_pending(host):
                    with trio.move_on_after(HEARTBEAT_S):
                        await added.wait()
                await self._send(host)

    async def _send(self, host: HostId) -> None:
        self._check()
        message = self._primary.message_for(host)
        sent_s = now_s()
        try:
            reply = await self._peers.request(
                host, message, CopyReply, ANSWER_TIMEOUT_S
            )
        except PeerUnreachable:
            await trio.sleep(RETRY_PAUSE_S)
            return
        self._primary.on_reply(host, message, reply)
        if self._primary.deposed:
            raise Deposed(f"{host} has joined view {reply.joined}")
        if self._primary.rules_out_newer_view(host):
            self._contact_s[host] = sent_s
        self._tell_advanced()

    async def _until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            self._check()
            await self._advanced.wait()

    def _check(self) -> None:
        if self._primary.deposed:
            raise Deposed(f"view {self.view.number} is over")

    def _wake(self) -> None:
        self._added.set()
        self._added = trio.Event()

    def _tell_advanced(self) -> None:
        self._advanced.set()
        self._advanced = trio.Event()
