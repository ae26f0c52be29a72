"""The durable state of a member whose disk is full at a record."""

import pytest

from currantwell.consensus import Consensus
from currantwell.consensus_messages import (
    ClusterId,
    Entry,
    Envelope,
    HardState,
    Membership,
    Snapshot,
    VoteRequest,
    member_id,
)
from currantwell.consensus_output import Output
from currantwell.errors import DiskUnavailable
from currantwell.journal import MAX_RECORD_BYTES, DiskJournal, MemoryJournal
from currantwell.raft_agreement import MAX_COMMAND_BYTES
from currantwell.raft_storage import RaftStorage
from tests.builders import FillableDisk

CLUSTER = ClusterId("c")
MEMBERS = [member_id(f"host-{number}", "1") for number in range(3)]
TERM = 5


@pytest.fixture
def disk():
    return FillableDisk()


@pytest.fixture
def path(tmp_path):
    return tmp_path / "agreement.journal"


async def stored_member(path, disk):
    """Return the storage of a member that holds one entry, as after a start."""
    storage = RaftStorage(DiskJournal(path, disk))
    if storage.member is None:
        core = Consensus(MEMBERS[0])
        core.form_cluster(CLUSTER, Membership(tuple(MEMBERS)))
        await storage.record_start(MEMBERS[0])
        await storage.save(core.take_output())
    return storage


def output_of_vote(storage, candidate):
    """Return the output of a member that is asked for its vote."""
    core = Consensus(
        storage.member, storage.hard_state, storage.snapshot, storage.entries
    )
    core.tick(100.0, 0.5)
    core.take_output()
    request = VoteRequest(TERM, 1, 1, pre_vote=False)
    core.receive(Envelope(CLUSTER, candidate, storage.member, request), 100.0)
    output = core.take_output()
    assert not output.messages
    return output


@pytest.mark.parametrize("room_bytes", [0, 1, 15, 16, 40])
async def test_no_second_vote_after_the_disk_was_full_at_the_first(
    path, disk, room_bytes
):
    storage = await stored_member(path, disk)
    before = storage.hard_state
    output = output_of_vote(storage, MEMBERS[1])
    assert output.replies[0].message.granted
    disk.room_bytes = room_bytes
    with pytest.raises(DiskUnavailable):
        await storage.save(output)
    assert storage.hard_state == before
    restarted = await stored_member(path, disk)
    assert restarted.hard_state == before
    disk.room_bytes = None
    await storage.save(output)
    restarted = await stored_member(path, disk)
    assert restarted.hard_state == HardState(CLUSTER, TERM, MEMBERS[1])
    assert not output_of_vote(restarted, MEMBERS[2]).replies[0].message.granted


async def test_a_start_is_counted_once_however_often_it_is_repeated(path, disk):
    storage = await stored_member(path, disk)
    disk.room_bytes = 7
    for _ in range(3):
        with pytest.raises(DiskUnavailable):
            await storage.record_start(MEMBERS[0])
    disk.room_bytes = None
    await storage.record_start(MEMBERS[0])
    assert RaftStorage(DiskJournal(path)).start_count == 2


async def test_a_snapshot_that_found_no_room_at_first_is_installed_whole(path, disk):
    storage = await stored_member(path, disk)
    core = Consensus(MEMBERS[1])
    core.form_cluster(CLUSTER, Membership(tuple(MEMBERS)))
    output = core.take_output()
    output.snapshot = Snapshot(7, 2, Membership(tuple(MEMBERS)), b"state" * 200)
    output.entries = [Entry(8, 2, b"next")]
    disk.room_bytes = 300
    with pytest.raises(DiskUnavailable):
        await storage.save(output)
    found = path.with_name("found.journal")
    found.write_bytes(path.read_bytes())
    assert RaftStorage(DiskJournal(found)).snapshot.index == 0
    disk.room_bytes = None
    await storage.save(output)
    stored = RaftStorage(DiskJournal(path))
    assert stored.snapshot == output.snapshot
    assert stored.entries == output.entries


async def test_entries_with_the_largest_commands_fit_the_records_of_the_journal():
    journal = MemoryJournal()
    storage = RaftStorage(journal)
    await storage.record_start(MEMBERS[0])
    command = bytes(MAX_COMMAND_BYTES)
    count = MAX_RECORD_BYTES // MAX_COMMAND_BYTES + 1
    entries = [Entry(index, 1, command) for index in range(1, count + 1)]
    await storage.save(Output(entries=entries))
    assert RaftStorage(journal).entries == entries
