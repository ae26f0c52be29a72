"""The roles of a host as others are lost, over copies in memory and a paused clock."""

import pytest
import trio

from currantwell.backup_manager import RoleLimits
from currantwell.consensus_leader import RaftTiming
from currantwell.copy_messages import ViewVouched
from currantwell.copy_store import CopyStores
from currantwell.errors import PeerUnreachable
from currantwell.ids import DataCentre, Epoch, HostId
from currantwell.job_backup import JobBackup
from currantwell.journal import MemoryJournal
from currantwell.roles import Roles
from currantwell.views import View, ViewTable

HERE, FAR = DataCentre("valdres"), DataCentre("hallingdal")
LOST, OTHER, OWN = HostId("h1"), HostId("h2"), HostId("h3")
FIRST_VIEW = View(HERE, Epoch(1), LOST)
VIEW = View(HERE, Epoch(2), LOST, OWN)
# The stated target: new jobs are taken this long after a host was lost.
SERVICE_AGAIN_S = 5.0
PLACES = pytest.mark.parametrize("other_at", [HERE, FAR])


class Views(ViewTable):
    """Views that no majority agrees on until a leader is elected."""

    def __init__(self, *views, leader_from_s=0.0):
        super().__init__(*views)
        self.leader_from_s = leader_from_s

    async def propose_view(self, view):
        await trio.sleep_until(self.leader_from_s)
        return await super().propose_view(view)


class Peers:
    """Delivers requests to one host; the others never reply."""

    def __init__(self, handler, unanswered=0):
        self.handler = handler
        self.unanswered = unanswered
        self.asked = []

    def handle(self, message, handler):
        pass

    async def request(self, host, message, reply, timeout_s=1.0):
        self.asked.append(host)
        if host == OTHER and self.asked.count(OTHER) > self.unanswered:
            await trio.sleep(0.001)
            return await self.handler(OWN, message)
        await trio.sleep(timeout_s)
        raise PeerUnreachable(host)


class Dispatcher:
    """A dispatcher with a start that no endpoint replies to."""

    async def run(self, task_status):
        task_status.started()
        await trio.sleep_forever()

    async def endpoints(self):
        return []

    async def pause(self, timeout_s):
        await trio.sleep(timeout_s)

    def resume(self):
        pass


class Host:
    """The roles of a host, and the copies of another one that answers it."""

    def __init__(self, *views, lost_at=HERE, other_at=HERE, **peers):
        self.views = Views(*views)
        self.stores = CopyStores(lambda name: MemoryJournal())
        other_stores = CopyStores(lambda name: MemoryJournal())
        answering = JobBackup(other_stores, self.views)
        self.peers = Peers(answering.handle_message, **peers)
        self.roles = Roles(
            OWN,
            {LOST: lost_at, OTHER: other_at, OWN: HERE},
            self.views,
            self.stores,
            JobBackup(self.stores, self.views),
            self.peers,
            lambda *arguments: Dispatcher(),
            RoleLimits(copies=2),
        )

    async def join(self, view):
        """Have this host's copy count in a view."""
        store = await self.stores.get(HERE)
        await store.write([ViewVouched(view)])

    async def seconds_until_two_copies(self):
        started_s = trio.current_time()
        while self.views.view(HERE) != View(HERE, self.number(), OWN, OTHER):
            await trio.sleep(0.01)
        return trio.current_time() - started_s

    def number(self):
        return self.views.view(HERE).number


async def after_a_split_vote(nursery, other_at, unanswered):
    """Lose the primary, which also led the agreement."""
    host = Host(VIEW, other_at=other_at, unanswered=unanswered)
    await host.join(VIEW)
    nursery.start_soon(host.roles.run, trio.TASK_STATUS_IGNORED)
    timing = RaftTiming()
    host.views.leader_from_s = trio.current_time() + sum(
        (
            timing.election_timeout_s,
            timing.election_retry_s,
            2 * timing.election_jitter_s,
        )
    )
    return host


async def test_a_host_that_waits_for_its_turn_takes_over_in_time(
    nursery, autojump_clock
):
    host = Host()
    nursery.start_soon(host.roles.run, trio.TASK_STATUS_IGNORED)
    await trio.sleep(0.5)
    await host.views.propose_view(FIRST_VIEW)
    await host.join(VIEW)
    await host.views.propose_view(VIEW)
    assert await host.seconds_until_two_copies() < SERVICE_AGAIN_S


async def test_a_member_that_another_host_removed_is_not_asked_first(
    nursery, autojump_clock
):
    host = Host(VIEW)
    await host.join(VIEW)
    nursery.start_soon(host.roles.run, trio.TASK_STATUS_IGNORED)
    await trio.sleep(0.5)
    await host.views.propose_view(View(HERE, Epoch(3), OWN))
    await host.seconds_until_two_copies()
    assert LOST not in host.peers.asked


async def test_a_backup_that_responds_is_asked_again_once_its_primary_has_begun_alone(
    nursery, autojump_clock
):
    """Else a host of another data centre would become the backup."""
    host = Host(View(HERE, Epoch(1), OWN, OTHER), lost_at=FAR)
    nursery.start_soon(host.roles.run, trio.TASK_STATUS_IGNORED)
    while host.number() == 1:
        await trio.sleep(0.01)
    await host.seconds_until_two_copies()
    assert LOST not in host.peers.asked


async def test_a_backup_that_was_dropped_is_not_asked_first(nursery, autojump_clock):
    view = View(HERE, Epoch(2), OWN, LOST)
    host = Host(view)
    await host.join(view)
    nursery.start_soon(host.roles.run, trio.TASK_STATUS_IGNORED)
    while host.views.view(HERE).backup is not None:
        await trio.sleep(0.01)
    asked_before = len(host.peers.asked)
    await host.seconds_until_two_copies()
    assert LOST not in host.peers.asked[asked_before:]


@PLACES
async def test_a_lost_first_reply_after_a_split_vote_delays_no_job_too_long(
    other_at, nursery, autojump_clock
):
    host = await after_a_split_vote(nursery, other_at, unanswered=1)
    assert await host.seconds_until_two_copies() < SERVICE_AGAIN_S


@PLACES
async def test_starts_without_reply_after_lost_replies_delay_no_job_too_long(
    other_at, nursery, autojump_clock
):
    host = await after_a_split_vote(nursery, other_at, unanswered=2)
    assert await host.seconds_until_two_copies() < SERVICE_AGAIN_S
