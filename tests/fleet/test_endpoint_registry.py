"""The registry keeps the latest report of each endpoint, also across restarts."""

import errno
from pathlib import Path

import msgspec
import pytest

from currantwell.fleet.endpoint_registry import (
    FORGET_AFTER_S,
    MAX_DEPARTURES,
    MAX_REMOVED_REPORTS,
    Departures,
    EndpointRegistry,
    FileHintStore,
    MemoryHintStore,
    RemovedReports,
)
from currantwell.fleet.messages import Departure
from currantwell.ids import EndpointId
from tests.fleet.builders import a_report

A_DEPARTURE = Departure(EndpointId("e1"), 1_000)


def a_registry(hint=None):
    return EndpointRegistry(hint or MemoryHintStore(), 0.0)


def test_an_older_report_is_ignored():
    registry = a_registry()
    assert registry.record_report(a_report(sequence=2, draining=True), 1.0)
    assert not registry.record_report(a_report(sequence=1), 1.0)
    assert [report.sequence for report in registry.reports] == [2]


def test_a_report_of_a_new_process_counts_though_its_sequence_restarts():
    registry = a_registry()
    registry.record_report(a_report(sequence=9), 1.0)
    assert registry.record_report(a_report(sequence=1, born_unix_ms=2_000), 1.0)


def test_an_unchanged_report_is_no_update():
    registry = a_registry()
    registry.record_report(a_report(sequence=1), 1.0)
    assert not registry.record_report(a_report(sequence=2), 1.0)


def test_reports_of_an_endpoint_that_left_are_ignored_until_it_restarts():
    registry = a_registry()
    registry.record_report(a_report(), 1.0)
    assert registry.remove(A_DEPARTURE)
    assert not registry.record_report(a_report(sequence=7), 1.0)
    assert registry.record_report(a_report(born_unix_ms=2_000), 1.0)


def test_an_unresponsive_endpoint_is_removed():
    registry = a_registry()
    registry.record_report(a_report(), 1.0)
    assert not registry.remove_unresponsive(1.0 + FORGET_AFTER_S / 2)
    assert registry.remove_unresponsive(1.5 + FORGET_AFTER_S) == ("e1",)


def test_an_endpoint_that_was_forgotten_comes_back_as_last_reported():
    registry = a_registry()
    registry.record_report(a_report(sequence=1), 1.0)
    registry.record_report(a_report(sequence=2, draining=True), 1.0)
    registry.remove_unresponsive(1.5 + FORGET_AFTER_S)
    # From a control host that was cut off before the endpoint began to drain.
    registry.record_report(a_report(sequence=1), 9.0)
    assert list(registry.reports) == [a_report(sequence=2, draining=True)]


def test_a_forgotten_endpoint_that_reports_again_counts_as_it_is_now():
    registry = a_registry()
    registry.record_report(a_report(sequence=2, draining=True), 1.0)
    registry.remove_unresponsive(1.5 + FORGET_AFTER_S)
    assert registry.record_report(a_report(born_unix_ms=2_000), 9.0)
    assert list(registry.reports) == [a_report(born_unix_ms=2_000)]


def test_reports_of_removed_endpoints_are_kept_up_to_a_number():
    removed = RemovedReports()
    for number in range(MAX_REMOVED_REPORTS + 1):
        removed.add(a_report(f"e{number}"))
    assert removed.get("e0") is None
    assert removed.get("e1") == a_report("e1")


@pytest.fixture(params=["memory", "file"])
def hint(request, tmp_path):
    return (
        MemoryHintStore()
        if request.param == "memory"
        else FileHintStore(tmp_path / "hint")
    )


async def test_reports_outlast_a_restart(hint):
    registry = a_registry(hint)
    registry.record_report(a_report(), 1.0)
    await registry.save()
    assert list(a_registry(hint).reports) == [a_report()]


async def test_a_damaged_hint_is_ignored(hint):
    await hint.save(b"\xc1 torn")
    assert not list(a_registry(hint).reports)


async def test_a_hint_that_finds_no_room_leaves_the_one_before(tmp_path, monkeypatch):
    store = FileHintStore(tmp_path / "hint")
    assert await store.save(b"before")

    def write_part(path, data):
        path.open("wb").write(data[:3])
        raise OSError(errno.ENOSPC, "injected failure")

    with monkeypatch.context() as patch:
        patch.setattr(Path, "write_bytes", write_part)
        for _ in range(2):
            assert not await store.save(b"refused")
    assert store.load() == b"before"
    assert [file.name for file in tmp_path.iterdir()] == ["hint"]
    assert await store.save(b"after")
    assert store.load() == b"after"


ODD_REPORTS = [
    a_report("odd", url="http://127.0.0.1:99999"),
    a_report("odd", url="http://127.0.0.1:0"),
    a_report("odd", url="http://127.0.0.1:90\n00"),
    a_report("odd", url="somewhere"),
    a_report("odd", sequence=2**64),
    a_report("odd", born_unix_ms=2**70),
    a_report("odd", slots=2**64),
    a_report("odd", processors=float("nan")),
    a_report("odd", processors=float("inf")),
    a_report("odd\n"),
]


@pytest.mark.parametrize("odd", ODD_REPORTS)
async def test_an_odd_report_is_not_recorded(hint, odd):
    """Passed on, it ended the processes that read it; saved, each start did."""
    registry = a_registry(hint)
    assert registry.record_report(a_report(), 1.0)
    assert not registry.record_report(odd, 1.0)
    assert await registry.save()
    assert list(a_registry(hint).reports) == [a_report()]


ODD_ENTRIES = [
    msgspec.msgpack.encode(a_report("odd", url="http://127.0.0.1:99999")),
    msgspec.msgpack.encode(a_report("odd", processors=float("nan"))),
    msgspec.msgpack.encode({"announcement": 7}),
    msgspec.msgpack.encode({"odd": [[[[]]]]}),
    b"\x91" * 200 + b"\xc0",
    b"\xa1\xff",
    b"\xc0",
]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
async def test_one_odd_entry_of_a_hint_leaves_the_others(hint, odd):
    good = msgspec.msgpack.encode(a_report())
    await hint.save(b"\x93" + good + odd + msgspec.msgpack.encode(a_report("e2")))
    assert list(a_registry(hint).reports) == [a_report(), a_report("e2")]


async def test_a_hint_that_is_nested_too_deep_is_ignored(hint):
    """It ended the process at each of its starts."""
    await hint.save(b"\x91" * 100_000 + b"\xc0")
    assert not list(a_registry(hint).reports)


def test_a_process_that_started_by_an_earlier_clock_is_not_hidden():
    registry = EndpointRegistry(MemoryHintStore(), 0.0)
    registry.record_report(a_report(born_unix_ms=2_000, draining=True), 0.0)
    registry.remove_unresponsive(2 * FORGET_AFTER_S)
    later = a_report(born_unix_ms=1_900)
    assert registry.record_report(later, 2 * FORGET_AFTER_S)
    assert registry.report("e1") == later


async def test_an_endpoint_that_left_is_not_used_again_after_a_restart(hint):
    registry = a_registry(hint)
    registry.record_report(a_report(), 1.0)
    registry.remove(A_DEPARTURE)
    await registry.save()
    restarted = a_registry(hint)
    assert list(restarted.reports) == []
    # From a control host that was cut off when the endpoint left.
    assert not restarted.record_report(a_report(sequence=7), 1.0)
    assert list(restarted.reports) == []
    assert restarted.record_report(a_report(born_unix_ms=2_000), 1.0)


def test_a_late_departure_leaves_a_process_that_has_started_since():
    registry = a_registry()
    registry.record_report(a_report(born_unix_ms=2_000), 1.0)
    assert not registry.remove(A_DEPARTURE)
    assert [report.born_unix_ms for report in registry.reports] == [2_000]


def test_departures_are_kept_up_to_a_number():
    departures = Departures()
    for number in range(MAX_DEPARTURES + 1):
        departures.add(Departure(EndpointId(f"e{number}"), 1_000))
    assert not departures.includes(a_report("e0"))
    assert departures.includes(a_report("e1"))
    assert len(list(departures)) == MAX_DEPARTURES
