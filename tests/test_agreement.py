import pytest

from currantwell.agreement import LocalAgreement
from currantwell.errors import StorageFailed
from currantwell.journal import DiskJournal, MemoryJournal
from tests.builders import FillableDisk, ListState


class CountedState(ListState):
    def apply(self, index, command):
        assert index == len(self.commands) + 1
        return super().apply(index, command)


async def propose_all(journal, count, start=0):
    state = CountedState()
    agreement = LocalAgreement("h-1", state, journal, snapshot_every=3)
    for number in range(start, start + count):
        assert await agreement.propose(str(number).encode()) == b"%d" % (number + 1)
    return state.commands


@pytest.mark.parametrize("durable", [False, True])
async def test_commands_outlive_a_restart_and_a_compaction(durable, tmp_path):
    journal = MemoryJournal()
    for start in (0, 3, 6, 9):
        if durable:
            journal = DiskJournal(tmp_path / "agreed")
        commands = await propose_all(journal, 3, start)
        assert commands == [str(number) for number in range(start + 3)]
    assert len(list(journal.read())) <= 3


async def test_a_command_that_the_disk_refused_is_not_applied():
    class FullJournal(MemoryJournal):
        async def append(self, records):
            raise StorageFailed("full")

    state = ListState()
    agreement = LocalAgreement("h-1", state, FullJournal())
    with pytest.raises(StorageFailed):
        await agreement.propose(b"x")
    assert state.commands == []


async def test_a_host_alone_accepts_commands_again_once_there_is_room(tmp_path):
    disk, path = FillableDisk(), tmp_path / "agreed"
    agreement = LocalAgreement("h-1", ListState(), DiskJournal(path, disk))
    await agreement.propose(b"one")
    disk.room_bytes = 7
    for _ in range(2):
        with pytest.raises(StorageFailed):
            await agreement.propose(b"refused")
    disk.room_bytes = None
    await agreement.propose(b"two")
    restarted = ListState()
    LocalAgreement("h-1", restarted, DiskJournal(path))
    assert restarted.commands == ["one", "two"]


async def test_a_command_is_confirmed_though_there_is_no_room_to_compact(tmp_path):
    disk, path = FillableDisk(200), tmp_path / "agreed"
    state = CountedState()
    agreement = LocalAgreement("h-1", state, DiskJournal(path, disk), snapshot_every=3)
    for number in range(8):
        assert await agreement.propose(b"%0100d" % number) == b"%d" % (number + 1)
    disk.room_bytes = None
    await agreement.propose(b"room")
    assert len(list(DiskJournal(path).read())) == 1
