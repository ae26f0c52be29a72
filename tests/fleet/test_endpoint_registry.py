"""The registry: the latest word on an endpoint counts, over restarts too."""

import pytest

from currantwell.fleet.endpoint_registry import (
    FORGET_AFTER_S,
    EndpointRegistry,
    FileHintStore,
    MemoryHintStore,
)
from tests.fleet.builders import a_report


def registry(hint=None):
    return EndpointRegistry(hint or MemoryHintStore(), 0.0)


def test_a_late_report_is_passed_over():
    known = registry()
    assert known.record_report(a_report(sequence=2, draining=True), 1.0)
    assert not known.record_report(a_report(sequence=1), 1.0)
    assert [report.sequence for report in known.reports] == [2]


def test_a_new_life_counts_though_its_sequence_starts_anew():
    known = registry()
    known.record_report(a_report(sequence=9), 1.0)
    assert known.record_report(a_report(sequence=1, born_unix_ms=2_000), 1.0)


def test_a_repeated_report_says_nothing_new():
    known = registry()
    known.record_report(a_report(sequence=1), 1.0)
    assert not known.record_report(a_report(sequence=2), 1.0)


def test_an_endpoint_that_left_stays_away_until_it_is_born_again():
    known = registry()
    known.record_report(a_report(), 1.0)
    assert known.leave(a_report().announcement.endpoint)
    assert not known.record_report(a_report(sequence=7), 1.0)
    assert known.record_report(a_report(born_unix_ms=2_000), 1.0)


def test_a_silent_endpoint_is_forgotten():
    known = registry()
    known.record_report(a_report(), 1.0)
    assert not known.remove_unresponsive(1.0 + FORGET_AFTER_S / 2)
    assert known.remove_unresponsive(1.5 + FORGET_AFTER_S) == ("e1",)


@pytest.fixture(params=["memory", "file"])
def hint(request, tmp_path):
    return (
        MemoryHintStore()
        if request.param == "memory"
        else FileHintStore(tmp_path / "hint")
    )


async def test_reports_outlast_a_restart(hint):
    known = registry(hint)
    known.record_report(a_report(), 1.0)
    await known.save()
    assert list(registry(hint).reports) == [a_report()]


async def test_a_damaged_hint_is_as_good_as_none(hint):
    await hint.save(b"\xc1 torn")
    assert not list(registry(hint).reports)
