"""Whom a primary asks to hold the second copy."""

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


class Steps:
    """A failure detector that has just begun to watch, and suspects no one."""

    def suspects(self):
        return frozenset()


class Peers:
    def handle(self, kind, handler):
        pass


def a_care():
    hosts = {OWN: HERE, LOST: HERE, OTHER: FAR}
    return BackupManager(OWN, hosts, Steps(), Peers(), RoleLimits(copies=2))


def alone():
    return PrimaryTerm(View(HERE, Epoch(4), OWN), None, None, trio.current_time())


async def test_a_primary_that_was_taken_over_is_not_asked_for_a_while(autojump_clock):
    care, acting = a_care(), alone()
    care.mark_unresponsive(LOST)
    await trio.sleep(1.0)
    assert care._candidates(acting) == [OTHER]
    await trio.sleep(AVOID_UNRESPONSIVE_S)
    assert care._candidates(acting) == [LOST]


async def test_a_host_of_the_data_centre_goes_first(autojump_clock):
    care, acting = a_care(), alone()
    await trio.sleep(1.0)
    assert care._candidates(acting) == [LOST]
