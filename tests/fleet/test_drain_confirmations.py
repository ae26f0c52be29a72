"""A drain is confirmed by a report of the same process from another control host."""

import trio

from currantwell.fleet.drain_confirmations import DrainConfirmations
from tests.fleet.builders import a_report


async def test_a_report_that_says_so_confirms_a_drain(nursery, autojump_clock):
    confirmations, report = DrainConfirmations(), a_report(draining=True)
    confirmations.add(a_report(sequence=2))
    assert not await confirmations.wait(report, 0.5)
    answers = []

    async def wait():
        answers.append(await confirmations.wait(report, 0.5))

    nursery.start_soon(wait)
    await trio.sleep(0.1)
    confirmations.add(a_report(sequence=2, draining=True))
    await trio.sleep(0.1)
    assert answers == [True]


def test_a_drain_of_an_earlier_process_confirms_nothing():
    confirmations = DrainConfirmations()
    confirmations.add(a_report(draining=True))
    assert not confirmations.contains(a_report(draining=True, born_unix_ms=2_000))


def test_an_endpoint_that_left_is_forgotten():
    confirmations, report = DrainConfirmations(), a_report(draining=True)
    confirmations.add(report)
    confirmations.discard(report.announcement.endpoint)
    assert not confirmations.contains(report)
