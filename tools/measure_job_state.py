"""Measure what keeping jobs on two hosts costs, and how a lost copy is rebuilt.

``commit``: latency and processor time of committing start records by (a) a primary
and its backup, (b) one agreed log of three hosts in three data centres, (c) an agreed
log of two hosts in one data centre. All hosts run in one process over loopback; a
sync takes 4 ms, and data centres are 1.5 ms apart one way.

``recover``: time to fetch, store and apply a lost copy of a given size, whole from
one host or in parts from three, each holder being a process of its own.
"""

import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import trio

from currantwell.copy_messages import SnapshotRecords, ViewJoined, ViewVouched
from currantwell.copy_store import CopyStores
from currantwell.endpoint_protocol import AttemptRef
from currantwell.ids import DataCentre, EndpointId, Epoch, HostId, Incarnation, JobId
from currantwell.job_backup import JobBackup
from currantwell.job_copy import JobCopy
from currantwell.journal import DiskJournal, MemoryJournal
from currantwell.peers import PeerMessage, PeerTransport
from currantwell.raft_agreement import RaftAgreement
from currantwell.records import (
    AttemptStarted,
    JobAccepted,
    decode_record,
    encode_record,
)
from currantwell.replicated_job_log import ReplicatedJobLog
from currantwell.submission import Submission, TaskSpec
from currantwell.views import View, ViewTable

KEY = b"k" * 32
SYNC_S = 0.004
BETWEEN_DATA_CENTRES_S = 0.0015
COMMITS = 60
COMMITTERS = 8
MEASURED_DATA_CENTRE = DataCentre("valdres")


class SlowJournal(MemoryJournal):
    """Journal whose sync takes as long as on the users' disks."""

    async def append(self, records):
        """Append after the delay of a disk sync."""
        await trio.sleep(SYNC_S)
        await super().append(records)


class DelayedPeers(PeerTransport):
    """Peer transport with the delay between data centres."""

    async def request(self, host, message, reply, timeout_s=1.0):
        """Send a request after the delay of a round trip."""
        await trio.sleep(2 * BETWEEN_DATA_CENTRES_S)
        return await super().request(host, message, reply, timeout_s)


def addresses(count):
    """Return free addresses on loopback."""
    sockets = [socket.socket() for _ in range(count)]
    for one_socket in sockets:
        one_socket.bind(("127.0.0.1", 0))
    free = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for one_socket in sockets:
        one_socket.close()
    return free


def network(count, kind=PeerTransport):
    """Return the peer transports of `count` hosts."""
    hosts = [HostId(f"h{index}") for index in range(count)]
    host_addresses = dict(zip(hosts, addresses(count), strict=True))
    return {
        host: kind(
            host,
            host_addresses[host],
            {h: a for h, a in host_addresses.items() if h != host},
            KEY,
        )
        for host in hosts
    }


def starts(count):
    """Return start records of one job."""
    endpoint_and_incarnation = (
        EndpointId("endpoint-12"),
        Incarnation("0123456789abcdef"),
    )
    job = JobId("prairie/valdres:0123456789abcdef0123456789abcdef")
    return [
        AttemptStarted(AttemptRef(job, index, 1), Epoch(7), *endpoint_and_incarnation)
        for index in range(count)
    ]


async def two_copies(nursery):
    """Start a primary with a backup and return its commit function."""
    peers = network(2)
    primary, backup = peers
    view = View(MEASURED_DATA_CENTRE, Epoch(2), primary, backup)
    stores = {host: CopyStores(lambda name: SlowJournal()) for host in peers}
    JobBackup(stores[backup], ViewTable(view)).attach(peers[backup])
    for transport in peers.values():
        await nursery.start(transport.run)
    for host in peers:
        await (await stores[host].get(MEASURED_DATA_CENTRE)).write([ViewVouched(view)])
    store = await stores[primary].get(MEASURED_DATA_CENTRE)
    await store.write([ViewJoined(view.number)])
    log = ReplicatedJobLog(view, store, peers[primary], 2)
    await nursery.start(log.run)
    return log.commit


class EmptyState:
    """State machine that stores nothing, for measurements of the log alone."""

    def apply(self, index, command):
        """Ignore a command."""
        return b""

    def snapshot(self):
        """Return an empty snapshot."""
        return b""

    def restore(self, data):
        """Ignore a snapshot."""


async def agreed(nursery, hosts, kind):
    """Start an agreed log and return the commit function of its leader."""
    peers = network(hosts, kind)
    nodes = []
    for host, transport in peers.items():
        node = RaftAgreement(host, list(peers), transport, SlowJournal(), EmptyState())
        await nursery.start(transport.run)
        await nursery.start(node.run)
        nodes.append(node)
    while nodes[0].leader is None:
        await trio.sleep(0.05)
    leader = next(n for n, h in zip(nodes, peers, strict=True) if h == nodes[0].leader)

    async def commit(records):
        await leader.propose(
            msgspec.msgpack.encode([encode_record(r) for r in records])
        )

    return commit


async def time_commits(name, make):
    """Time commits of groups of records, consecutive and concurrent ones."""
    async with trio.open_nursery() as nursery:
        commit = await make(nursery)
        await commit(starts(1))
        for group in (1, 16, 128):
            records = starts(group)
            commit_times_s = []
            for _ in range(COMMITS):
                started = trio.current_time()
                await commit(records)
                commit_times_s.append(trio.current_time() - started)
            started, cpu = trio.current_time(), time.process_time()
            async with trio.open_nursery() as committers:
                for _ in range(COMMITTERS):
                    committers.start_soon(commit_repeatedly, commit, records)
            seconds = trio.current_time() - started
            total = COMMITTERS * COMMITS * group
            print(
                f"{name}: {group:4} starts a commit: "
                f"p50 {statistics.median(commit_times_s) * 1000:5.1f} ms, "
                f"max {max(commit_times_s) * 1000:5.1f} ms; {COMMITTERS} side by side: "
                f"{total / seconds:8.0f} starts/s, "
                f"{(time.process_time() - cpu) / total * 1e6:6.1f} us processor a start"
            )
        nursery.cancel_scope.cancel()


async def commit_repeatedly(commit, records):
    """Commit the same records `COMMITS` times."""
    for _ in range(COMMITS):
        await commit(records)


async def measure_commits():
    """Time commits with each of the three kinds of log."""
    await time_commits("a two copies   ", two_copies)
    await time_commits("b one log, 3 DC", lambda n: agreed(n, 3, DelayedPeers))
    await time_commits("c log per DC   ", lambda n: agreed(n, 2, PeerTransport))


class Fetch(PeerMessage, frozen=True):
    """Requests a part of a host's snapshot."""

    part: int


class Part(PeerMessage, frozen=True):
    """Part of a snapshot; `count` is the number of parts that the host serves."""

    count: int
    records: tuple[bytes, ...]


def job_copy(tasks):
    """Return a job copy with `tasks` started tasks."""
    copy = JobCopy()
    for number in range(tasks // 100):
        specs = tuple(
            TaskSpec("check_in", {"volunteer": index, "note": "x" * 100})
            for index in range(100)
        )
        key = f"{MEASURED_DATA_CENTRE}:{number:032d}"
        job = JobId(f"prairie/{key}")
        submission = Submission(key, "prairie", specs)
        copy.table.apply(JobAccepted(job, "d" * 64, submission, 1.0, 61.0))
        for record in starts(100):
            ref = AttemptRef(job, record.ref.task, 1)
            copy.table.apply(msgspec.structs.replace(record, ref=ref))
    return copy


async def hold(address, tasks, share, shares):
    """Serve each `shares`-th part of the snapshot, beginning with part `share`."""
    parts = job_copy(tasks).snapshot_parts()[share::shares]
    peers = PeerTransport(HostId("holder"), address, {}, KEY)

    async def answer(sender, fetch):
        return Part(len(parts), parts[fetch.part])

    peers.handle(Fetch, answer)
    async with trio.open_nursery() as nursery:
        await nursery.start(peers.run)
        print("ready", flush=True)


async def fetch_all(peers, host, parts):
    """Fetch all parts that a host serves."""
    count, part = 1, 0
    while part < count:
        reply = await peers.request(host, Fetch(part), Part, 10.0)
        count, part = reply.count, part + 1
        parts.append(reply.records)


async def recover(tasks, shares):
    """Time the recovery of a copy from `shares` hosts."""
    host_addresses = {HostId(f"h{i}"): a for i, a in enumerate(addresses(shares))}
    holders = [
        subprocess.Popen(
            [sys.executable, __file__, "hold", a, str(tasks), str(i), str(shares)],
            stdout=subprocess.PIPE,
        )
        for i, a in enumerate(host_addresses.values())
    ]
    for holder in holders:
        holder.stdout.readline()
    peers = PeerTransport(HostId("me"), addresses(1)[0], host_addresses, KEY)
    parts = []
    started = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for host in host_addresses:
            nursery.start_soon(fetch_all, peers, host, parts)
    fetched = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        journal = DiskJournal(Path(folder) / "copy.journal")
        changes = [msgspec.msgpack.encode(SnapshotRecords(part)) for part in parts]
        journal.replace(changes)
        journal.close()
    stored = time.perf_counter()
    table = JobCopy().table
    for part in parts:
        table.apply_all(decode_record(record) for record in part)
    applied = time.perf_counter()
    size = sum(len(r) for part in parts for r in part)
    print(
        f"{tasks:7} tasks, {size / 1e6:6.1f} MB, from {shares} host(s): "
        f"{len(parts):4} messages, fetch {fetched - started:6.3f} s, "
        f"store {stored - fetched:6.3f} s, apply {applied - stored:6.3f} s, "
        f"whole {applied - started:6.3f} s"
    )
    for holder in holders:
        holder.kill()
        holder.wait()


def main():
    """Run the measurement that the command line names."""
    match sys.argv[1:]:
        case ["commit"]:
            trio.run(measure_commits)
        case ["recover"]:
            for tasks in (10_000, 50_000, 200_000):
                for shares in (1, 3):
                    trio.run(recover, tasks, shares)
        case ["hold", address, tasks, share, shares]:
            trio.run(hold, address, int(tasks), int(share), int(shares))
        case _:
            sys.exit(__doc__)


main()
