"""The journal of a copy on a disk that fills up."""

import pytest

from currantwell.copy_messages import EMPTY_RECORD, RecordRun
from currantwell.copy_store import CopyStore
from currantwell.errors import DiskUnavailable
from currantwell.journal import DiskJournal
from tests.builders import FillableDisk


async def write_runs(store, count):
    for _ in range(count):
        first = store.copy.last.seq + 1
        await store.write([RecordRun(1, first, (EMPTY_RECORD,) * 10)])


async def test_a_copy_that_has_no_room_to_compact_is_kept_and_compacted_later(tmp_path):
    """Else the host would end, although everything is stored."""
    disk, path = FillableDisk(), tmp_path / "jobs"
    store = CopyStore(DiskJournal(path, disk), compact_after=100)
    await store.prepare()
    await write_runs(store, 10)
    disk.room_bytes = 80
    assert not await store.compact()
    assert list(tmp_path.iterdir()) == [path]
    assert CopyStore(DiskJournal(path)).copy.last.seq == 100
    disk.room_bytes = None
    assert not await store.compact(), "tried again at once"
    await write_runs(store, 1)
    assert await store.compact()
    assert CopyStore(DiskJournal(path)).copy.last == store.copy.last


async def test_a_write_that_found_no_room_can_be_repeated(tmp_path):
    disk, path = FillableDisk(), tmp_path / "jobs"
    store = CopyStore(DiskJournal(path, disk))
    await store.prepare()
    await write_runs(store, 1)
    disk.room_bytes = 7
    for _ in range(2):
        with pytest.raises(DiskUnavailable):
            await write_runs(store, 1)
        assert store.copy.last.seq == 10
    disk.room_bytes = None
    await write_runs(store, 1)
    assert CopyStore(DiskJournal(path)).copy.last.seq == 20
