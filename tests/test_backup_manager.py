"""Which hosts a primary considers as its backup."""

import trio

from currantwell.backup_manager import (
    AVOID_UNRESPONSIVE_S,
    BackupManager,
    PrimaryTerm,
    RoleLimits,
)
from currantwell.ids import DataCentre, Epoch, HostId
from currantwell.views import View

HERE, FAR = DataCentre("aspen-parkland"), DataCentre("mixed-grass")
OWN, LOST, OTHER = HostId("a2"), HostId("a1"), HostId("m1")


class Proposer:
    """A view proposer whose failure detector has just started and suspects no host."""

    def suspects(self):
        return frozenset()


class Peers:
    def handle(self, kind, handler):
        pass


def make_manager():
    hosts = {OWN: HERE, LOST: HERE, OTHER: FAR}
    return BackupManager(OWN, hosts, Proposer(), Peers(), RoleLimits(copies=2))


def term_without_backup():
    return PrimaryTerm(View(HERE, Epoch(4), OWN), None, None, trio.current_time())


async def test_a_failed_primary_is_no_backup_candidate_for_a_while(autojump_clock):
    manager, term = make_manager(), term_without_backup()
    manager.mark_unresponsive(LOST)
    await trio.sleep(1.0)
    assert manager._candidates(term) == [OTHER]
    await trio.sleep(AVOID_UNRESPONSIVE_S)
    assert manager._candidates(term) == [LOST]


async def test_a_host_of_the_data_centre_is_preferred(autojump_clock):
    manager, term = make_manager(), term_without_backup()
    await trio.sleep(1.0)
    assert manager._candidates(term) == [LOST]
