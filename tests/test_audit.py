import msgspec
import pytest
import trio

from currantwell import audit
from currantwell.audit import (
    AuditArchive,
    AuditEntry,
    AuditQuery,
    AuditTrail,
    verify_chain,
)
from currantwell.codes import ResultCode
from currantwell.errors import StorageFailed
from currantwell.journal import DiskJournal, MemoryJournal
from tests.builders import FillableDisk


def entry(author="ada", kind="set_preset", unix_s=1.0):
    accepted = ResultCode.ACCEPTED
    return AuditEntry(0, unix_s, author, kind, "peak", "a", "b", "dawn", accepted)


def trail(count=5):
    audit_trail = AuditTrail()
    for number in range(count):
        audit_trail.add(
            entry(author="ada" if number % 2 else "bo", unix_s=float(number))
        )
    return audit_trail


def test_an_unbroken_chain_is_verified():
    audit_trail = trail()
    report = verify_chain(audit_trail.entries, audit_trail.head.hash)
    assert (report.whole, report.first, report.last) == (True, 1, 5)


@pytest.mark.parametrize("field", ["author", "reason", "before", "unix_s", "hash"])
def test_an_altered_entry_breaks_the_chain(field):
    entries = trail().entries
    value = 7.0 if field == "unix_s" else "x"
    entries[2] = msgspec.structs.replace(entries[2], **{field: value})
    report = verify_chain(entries)
    assert (report.whole, report.last) == (False, 2)


def test_a_removed_or_truncated_entry_breaks_the_chain():
    audit_trail = trail()
    with_gap = audit_trail.entries[:2] + audit_trail.entries[3:]
    assert not verify_chain(with_gap).whole
    assert not verify_chain(audit_trail.entries[:-1], audit_trail.head.hash).whole


def test_forged_earlier_entries_break_the_chain():
    audit_trail, forged = trail(), AuditTrail()
    for _ in range(3):
        forged.add(entry(author="cy"))
    report = verify_chain(forged.entries + audit_trail.entries[3:])
    assert (report.whole, report.last) == (False, 3)


def test_a_search_returns_the_newest_entries_first():
    entries = trail().entries
    found = AuditQuery(author="bo", since_unix_s=1.0, limit=1).search(entries)
    assert [e.number for e in found] == [5]
    assert AuditQuery(kind="view").search(entries) == []
    assert len(AuditQuery(until_unix_s=2.0).search(entries)) == 3


@pytest.mark.parametrize("durable", [False, True])
async def test_the_archive_keeps_entries_beyond_the_window_and_a_restart(
    durable, monkeypatch, tmp_path
):
    monkeypatch.setattr(audit, "WINDOW_ENTRIES", 3)
    journal = DiskJournal(tmp_path / "audit") if durable else MemoryJournal()
    audit_trail, archive = AuditTrail(), AuditArchive(journal)
    for _ in range(8):
        audit_trail.add(entry())
        await archive.append_new(audit_trail)
    assert len(audit_trail.entries) == 3
    reopened = AuditArchive(DiskJournal(tmp_path / "audit") if durable else journal)
    await reopened.append_new(audit_trail)
    assert verify_chain(reopened.read(), audit_trail.head.hash).last == 8


async def test_entries_that_found_no_room_are_archived_later(tmp_path):
    disk = FillableDisk(7)
    audit_trail = AuditTrail()
    archive = AuditArchive(DiskJournal(tmp_path / "audit", disk))
    audit_trail.add(entry())
    with pytest.raises(StorageFailed):
        await archive.append_new(audit_trail)
    disk.room_bytes = None
    audit_trail.add(entry())
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(archive.append_new, audit_trail)
    assert [stored.number for stored in archive.read()] == [1, 2]
