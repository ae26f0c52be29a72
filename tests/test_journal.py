"""Journals after crashes, damage and disk errors."""

import errno
import os
import random
import threading

import pytest
import trio
import trio.testing

from currantwell.errors import DiskUnavailable, JournalDamaged, StorageFailed
from currantwell.journal import DiskJournal, MemoryJournal, SystemDisk
from currantwell.journal_format import FILE_HEADER_BYTES, parse
from tests.builders import FillableDisk

RECORDS = [b"one", b"", b"three" * 300]


class FailingDisk(SystemDisk):
    """Fails the n-th call of one of its methods from `fail` on, and only that one."""

    def __init__(self, error_number=errno.EIO, written_bytes=0):
        self._method, self._calls_left = None, 0
        self._error_number, self._written_bytes = error_number, written_bytes

    def fail(self, method, count):
        """Fail the n-th call from now on."""
        self._method, self._calls_left = method, count

    def _check(self, method):
        if method == self._method:
            self._calls_left -= 1
            if self._calls_left == 0:
                raise OSError(self._error_number, "injected failure")

    def write(self, fd, data):
        try:
            self._check("write")
        except OSError:
            super().write(fd, data[: self._written_bytes])
            raise
        return super().write(fd, data)

    def sync(self, fd):
        self._check("sync")
        super().sync(fd)


class WaitingDisk(SystemDisk):
    """Blocks each sync until `may_sync` is set."""

    def __init__(self):
        self.may_sync = threading.Event()
        self.may_sync.set()

    def sync(self, fd):
        self.may_sync.wait(10)
        super().sync(fd)


@pytest.fixture
def path(tmp_path):
    return tmp_path / "a.journal"


@pytest.fixture(params=["memory", "disk"])
def journal(request, path):
    return MemoryJournal() if request.param == "memory" else DiskJournal(path)


async def append_frames(path, count=3):
    """Append some frames; return the offset at which each ends."""
    journal = DiskJournal(path)
    ends = []
    for number in range(count):
        await journal.append([b"%d" % number, RECORDS[2]])
        ends.append(path.stat().st_size)
    journal.close()
    return ends


def flip_bit(path, offset):
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)


async def test_records_are_read_in_order(journal):
    await journal.append(RECORDS)
    await journal.append([b"four"])
    assert list(journal.read()) == [*RECORDS, b"four"]


async def test_replace_leaves_only_the_new_records(journal):
    await journal.append(RECORDS)
    journal.replace([b"new"])
    await journal.append([b"more"])
    assert list(journal.read()) == [b"new", b"more"]


async def test_a_record_that_is_too_large_is_refused(journal, monkeypatch):
    monkeypatch.setattr("currantwell.journal.MAX_RECORD_BYTES", 10)
    with pytest.raises(StorageFailed):
        await journal.append([b"x" * 11])
    await journal.append([b"fits"])
    assert list(journal.read()) == [b"fits"]


async def test_appends_at_the_same_time_do_not_mix(journal):
    async with trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(journal.append, [b"%d" % number] * 2)
    records = list(journal.read())
    assert records[::2] == records[1::2]
    assert len(set(records)) == 20


async def test_records_outlast_the_object(path):
    await append_frames(path)
    assert [r for r in DiskJournal(path).read()][::2] == [b"0", b"1", b"2"]


@pytest.mark.parametrize("room_bytes", [None, 0])
async def test_a_tail_torn_at_any_byte_is_removed(path, room_bytes):
    """From the file itself if there is no room for a new one."""
    ends = await append_frames(path)
    data = path.read_bytes()
    for length in range(ends[1], ends[2]):
        path.write_bytes(data[:length])
        journal = DiskJournal(path, FillableDisk(room_bytes))
        records = list(journal.read())
        assert records[::2] == [b"0", b"1"]
        journal.close()
        data_after = path.read_bytes()
        assert parse(data_after)[1:] == (records, len(data_after))
        assert room_bytes is None or len(data_after) == ends[1]


@pytest.mark.parametrize("method", ["write", "sync"])
async def test_a_journal_that_can_not_be_made_durable_is_not_opened(path, method):
    ends = await append_frames(path, 1)
    disk = FailingDisk()
    disk.fail(method, 1)
    with pytest.raises(DiskUnavailable):
        DiskJournal(path, disk)
    assert path.stat().st_size == ends[0]
    assert [file.name for file in path.parent.iterdir()] == [path.name]


@pytest.mark.parametrize("first", ["header", "payload"])
async def test_sectors_that_were_never_written_are_a_torn_tail(path, first):
    ends = await append_frames(path)
    data = bytearray(path.read_bytes())
    start = ends[1] if first == "header" else (ends[1] // 512 + 1) * 512
    end = min((start // 512 + 1) * 512, ends[2])
    data[start:end] = bytes(end - start)
    path.write_bytes(data)
    journal = DiskJournal(path)
    await journal.append([b"after", b""])
    assert list(journal.read())[::2] == [b"0", b"1", b"after"]


async def test_a_flipped_bit_anywhere_is_reported(path):
    """A bit flipped in a length must not look like a torn tail."""
    ends = await append_frames(path)
    for offset in range(ends[2]):
        flip_bit(path, offset)
        with pytest.raises(JournalDamaged):
            DiskJournal(path)
        flip_bit(path, offset)
    assert len(list(DiskJournal(path).read())) == 6


async def test_an_emptied_file_is_reported(path):
    await append_frames(path)
    path.write_bytes(b"")
    with pytest.raises(JournalDamaged):
        DiskJournal(path)


@pytest.mark.parametrize("written_bytes", [0, 5, 700])
async def test_a_failed_write_leaves_nothing_behind(path, written_bytes):
    (end,) = await append_frames(path, 1)
    disk = FillableDisk(written_bytes)
    journal = DiskJournal(path, disk)
    for _ in range(2):
        with pytest.raises(DiskUnavailable):
            await journal.append(RECORDS)
        assert path.stat().st_size == end
        assert list(journal.read())[::2] == [b"0"]
    with pytest.raises(DiskUnavailable):
        journal.replace(RECORDS)
    assert [file.name for file in path.parent.iterdir()] == [path.name]
    disk.room_bytes = None
    await journal.append([b"room", b"again"])
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"room"]


async def test_no_sync_is_repeated_on_a_file_after_a_failed_sync(path):
    """The file is uncertain from then on, even if a later sync succeeds."""
    await append_frames(path, 1)
    disk = FailingDisk()
    journal = DiskJournal(path, disk)
    file = path.stat().st_ino
    disk.fail("sync", 1)
    with pytest.raises(DiskUnavailable):
        await journal.append([b"doubtful", b""])
    assert list(journal.read())[::2] == [b"0"]
    await journal.append([b"more", b""])
    assert path.stat().st_ino != file
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"more"]


async def test_a_new_file_is_written_after_a_failed_sync_until_that_succeeds(path):
    await append_frames(path, 1)
    disk = FailingDisk()
    journal = DiskJournal(path, disk)
    disk.fail("sync", 1)
    with pytest.raises(DiskUnavailable):
        await journal.append([b"doubtful", b""])
    for method in ("write", "sync"):
        disk.fail(method, 1)
        with pytest.raises(DiskUnavailable):
            await journal.append([b"more", b""])
        assert list(journal.read())[::2] == [b"0"]
    await journal.append([b"more", b""])
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"more"]


async def test_a_rename_that_is_not_durable_is_done_again_before_the_next_append(path):
    await append_frames(path, 1)
    disk = FailingDisk()
    journal = DiskJournal(path, disk)
    disk.fail("sync", 2)
    with pytest.raises(DiskUnavailable):
        journal.replace([b"new"])
    assert list(journal.read())[::2] == [b"0"]
    await journal.append([b"more", b""])
    assert list(journal.read())[::2] == [b"0", b"more"]
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"more"]


async def test_a_failed_write_whose_remains_stay_is_repaired(path, monkeypatch):
    await append_frames(path, 1)
    disk = FailingDisk(errno.ENOSPC, 5)
    journal = DiskJournal(path, disk)
    disk.fail("write", 1)
    with monkeypatch.context() as patch, pytest.raises(DiskUnavailable):
        patch.setattr("os.ftruncate", _fail)
        await journal.append([b"more", b""])
    assert list(journal.read())[::2] == [b"0"]
    await journal.append([b"more", b""])
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"more"]


def _fail(*_):
    raise OSError(errno.EIO, "injected failure")


@pytest.mark.parametrize("room_bytes", [0, 3])
@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EDQUOT, errno.EFBIG])
async def test_a_file_that_finds_no_room_is_created_by_the_first_append(
    path, room_bytes, error_number
):
    disk = FillableDisk(room_bytes, error_number)
    journal = DiskJournal(path, disk)
    assert list(journal.read()) == []
    with pytest.raises(DiskUnavailable):
        await journal.append([b"one"])
    disk.room_bytes = None
    await journal.append([b"one"])
    journal.close()
    assert list(DiskJournal(path).read()) == [b"one"]


def test_a_file_in_a_missing_folder_is_reported_at_once(path):
    with pytest.raises(StorageFailed):
        DiskJournal(path.parent / "missing" / "a.journal")


async def test_a_closed_journal_accepts_no_writes(path):
    journal = DiskJournal(path)
    journal.close()
    with pytest.raises(StorageFailed):
        await journal.append(RECORDS)
    with pytest.raises(StorageFailed):
        journal.replace(RECORDS)


@pytest.mark.parametrize("method", ["write", "sync"])
async def test_a_failed_replace_keeps_the_earlier_records(path, method):
    await append_frames(path, 1)
    disk = FailingDisk()
    journal = DiskJournal(path, disk)
    disk.fail(method, 1)
    with pytest.raises(StorageFailed):
        journal.replace([b"new"])
    await journal.append([b"more", b""])
    assert list(journal.read())[::2] == [b"0", b"more"]
    journal.close()
    assert list(DiskJournal(path).read())[::2] == [b"0", b"more"]
    assert [file.name for file in path.parent.iterdir()] == [path.name]


async def test_a_replace_interrupted_by_a_crash_has_no_effect(path):
    await append_frames(path, 1)
    path.with_name(path.name + ".new").write_bytes(b"half")
    assert list(DiskJournal(path).read())[::2] == [b"0"]
    assert [file.name for file in path.parent.iterdir()] == [path.name]


async def test_replace_fails_while_an_append_is_in_progress(path):
    disk = WaitingDisk()
    journal = DiskJournal(path, disk)
    disk.may_sync.clear()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(journal.append, RECORDS)
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(RuntimeError):
            journal.replace([])
        disk.may_sync.set()
    assert list(journal.read()) == RECORDS


async def test_an_empty_file_has_only_its_header(path):
    DiskJournal(path).close()
    assert path.stat().st_size == FILE_HEADER_BYTES


class UnreliableDisk(SystemDisk):
    """Fails at random, writes in parts, and knows what a loss of power leaves."""

    def __init__(self, random, path, monkeypatch):
        self._random, self._path = random, path
        self._rename, self._truncate, self._open = os.rename, os.ftruncate, os.open
        self.failure_share = 0.0
        self._synced, self._written = {}, {}
        self._synced_names = {}
        self._uncertain = set()
        monkeypatch.setattr("os.rename", self.rename)
        monkeypatch.setattr("os.ftruncate", self.truncate)
        monkeypatch.setattr("os.open", self.open)

    def _may_fail(self):
        if self._random.random() < self.failure_share:
            numbers = [errno.ENOSPC, errno.EDQUOT, errno.EIO]
            raise OSError(self._random.choice(numbers), "injected failure")

    def _note(self, fd, contents):
        file = os.fstat(fd)
        contents[file.st_ino] = os.pread(fd, file.st_size, 0)

    def open(self, path, flags, mode=0o777):
        if not flags & os.O_CREAT:
            return self._open(path, flags, mode)
        self._may_fail()
        fd = self._open(path, flags, mode)
        # The number of a file that is gone is used again.
        file = os.fstat(fd).st_ino
        self._uncertain.discard(file)
        self._synced.pop(file, None)
        return fd

    def rename(self, old, new):
        self._may_fail()
        self._rename(old, new)

    def truncate(self, fd, length):
        self._may_fail()
        self._truncate(fd, length)
        self._note(fd, self._written)

    def write(self, fd, data):
        part = data[: self._random.randrange(len(data) + 1)]
        try:
            self._may_fail()
        except OSError:
            super().write(fd, part)
            self._note(fd, self._written)
            raise
        written = super().write(fd, part or data)
        self._note(fd, self._written)
        return written

    def sync(self, fd):
        """Store nothing of a file for good once a sync of it has failed."""
        file = os.fstat(fd).st_ino
        try:
            self._may_fail()
        except OSError:
            self._uncertain.add(file)
            raise
        if os.path.isdir(f"/proc/self/fd/{fd}"):
            self._synced_names = self._names()
        elif file not in self._uncertain:
            self._note(fd, self._synced)
            self._note(fd, self._written)

    def _names(self):
        return {file.name: file.stat().st_ino for file in self._path.parent.iterdir()}

    def lose_power(self):
        """Leave each name and each write after its last sync, or don't."""
        names = self._random.choice([self._names(), self._synced_names])
        file = names.get(self._path.name)
        synced, written = self._synced.get(file, b""), self._written.get(file, b"")
        for found in list(self._path.parent.iterdir()):
            found.unlink()
        if file is not None and synced:
            end = self._random.randrange(
                len(synced), max(len(synced), len(written)) + 1
            )
            kept = self._random.choice([synced, written, written[:end]])
            self._path.write_bytes(kept if len(kept) >= len(synced) else synced)
            self._synced[self._path.stat().st_ino] = self._path.read_bytes()
        self._uncertain.clear()
        self._synced_names = self._names()


async def append_at_random(random, journal, possible, number):
    """Append or replace; return all contents that may be found after a crash."""
    before = possible[0]
    records = [b"%d" % number, bytes(random.randrange(1_500))]
    try:
        if random.random() < 0.25:
            expected = records
            journal.replace(records)
        else:
            expected = [*before, *records]
            await journal.append(records)
    except DiskUnavailable:
        assert list(journal.read()) == before
        return [*possible, expected]
    assert list(journal.read()) == expected
    return [expected]


@pytest.mark.parametrize("loses_power", [False, True])
async def test_nothing_synced_is_lost_by_a_disk_that_fails_at_any_call(
    path, monkeypatch, loses_power
):
    """With short writes, before and after failed syncs, over restarts."""
    for seed in range(120):
        chance = random.Random(seed)
        path.unlink(missing_ok=True)
        disk = UnreliableDisk(chance, path, monkeypatch)
        possible = [[]]
        journal = DiskJournal(path, disk)
        for number in range(25):
            disk.failure_share = chance.choice([0.0, 0.0, 0.1, 0.4])
            possible = await append_at_random(chance, journal, possible, number)
            if chance.random() < 0.15:
                disk.failure_share = 0.0
                journal.close()
                if loses_power:
                    disk.lose_power()
                journal = DiskJournal(path, disk)
                assert list(journal.read()) in possible, seed
                possible = [list(journal.read())]
        journal.close()
        monkeypatch.undo()


async def test_nothing_read_after_a_failed_sync_is_lost_with_the_power(
    path, monkeypatch
):
    """A process that is killed at a failed sync leaves what only looks written."""
    for seed in range(120):
        chance = random.Random(seed)
        path.unlink(missing_ok=True)
        disk = UnreliableDisk(chance, path, monkeypatch)
        possible = [[]]
        journal = DiskJournal(path, disk)
        for number in range(8):
            disk.failure_share = chance.choice([0.0, 0.3, 0.6])
            possible = await append_at_random(chance, journal, possible, number)
        disk.failure_share = 0.0
        journal.close()
        journal = DiskJournal(path, disk)
        read = list(journal.read())
        assert read in possible, seed
        journal.close()
        disk.lose_power()
        journal = DiskJournal(path, disk)
        assert list(journal.read()) == read, seed
        journal.close()
        monkeypatch.undo()
