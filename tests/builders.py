"""Test data builders, and fakes of the cluster for tests."""

import dataclasses
import errno
import json
import socket
from contextlib import ExitStack
from pathlib import Path

import msgspec
import trio

from currantwell.agreed_state import AgreedState
from currantwell.audit import AuditArchive
from currantwell.baselines import LeastLoaded, baseline_policies
from currantwell.changes import (
    ChangeMetadata,
    CommandResult,
    ProposeView,
    RegisterHost,
    SetPreset,
    encode_command,
)
from currantwell.clock import SystemCalendar
from currantwell.codes import ResultCode
from currantwell.control import Control
from currantwell.endpoint_load import EndpointLoad
from currantwell.endpoint_protocol import Announcement, AttemptRef
from currantwell.errors import AgreementLost, PeerUnreachable
from currantwell.estimates import DeclaredEstimates
from currantwell.ids import (
    DataCentre,
    EndpointId,
    Epoch,
    HostId,
    Incarnation,
    JobId,
    job_id,
)
from currantwell.journal import MemoryJournal, SystemDisk
from currantwell.peers import PeerTransport
from currantwell.placement import TailAwarePlacement
from currantwell.raft_agreement import RaftAgreement
from currantwell.records import AttemptEnded, AttemptStarted, JobAccepted
from currantwell.scheduler_types import WaitingTask
from currantwell.state_image import HostRecord
from currantwell.submission import RestartRule, Submission, TaskSpec, digest_of
from currantwell.views import View

KEY = b"a key of tests"
KEY_TEXT = "k" * 64 + "\n"


class FillableDisk(SystemDisk):
    """Refuses each write of more than `room_bytes`, after so many bytes of it."""

    def __init__(self, room_bytes=None, error_number=errno.ENOSPC):
        self.room_bytes = room_bytes
        self._error_number = error_number

    def write(self, fd, data):
        if self.room_bytes is not None and len(data) > self.room_bytes:
            super().write(fd, data[: self.room_bytes])
            raise OSError(self._error_number, "injected failure")
        return super().write(fd, data)


class ListState:
    """State machine that records the commands applied to it."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())
        return str(len(self.commands)).encode()

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)


def free_addresses(count):
    """Return loopback addresses with free ports that the kernel selected."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one_socket in sockets:
            one_socket.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]


class AgreementHost:
    """A host of an `AgreementCluster`."""

    def __init__(self, host, state, agreement, scope):
        self.host, self.state, self.agreement = host, state, agreement
        self.scope = scope
        self.ended = trio.Event()


class AgreementCluster:
    """Raft hosts in one process that communicate over loopback."""

    def __init__(self, nursery, hosts=3, voters=None, **options):
        self._nursery = nursery
        names = [HostId(f"host-{i}") for i in range(hosts)]
        self.addresses = dict(zip(names, free_addresses(hosts), strict=True))
        self.hosts, self.voters = names, names[:voters]
        self.journals = {name: MemoryJournal() for name in names}
        self.running = {}
        self._options = options

    async def start(self, name):
        """Start a host on its journal."""
        others = {h: a for h, a in self.addresses.items() if h != name}
        peers = PeerTransport(name, self.addresses[name], others, KEY)
        state = ListState()
        agreement = RaftAgreement(
            name, self.voters, peers, self.journals[name], state, **self._options
        )
        run = AgreementHost(name, state, agreement, trio.CancelScope())
        await self._nursery.start(self._run, run, peers)
        self.running[name] = run
        return run

    async def _run(self, run, peers, task_status):
        with run.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(peers.run)
                await nursery.start(run.agreement.run)
                task_status.started()
        run.ended.set()

    async def start_all(self):
        for name in self.hosts:
            await self.start(name)
        await self.leader()

    async def lose_disk(self, name):
        """Kill a host and restart it with an empty journal."""
        await self.kill(name)
        self.journals[name] = MemoryJournal()
        return await self.start(name)

    async def kill(self, name):
        run = self.running.pop(name)
        run.scope.cancel()
        await run.ended.wait()

    async def leader(self):
        """Return the leader once all running hosts agree on it."""
        while True:
            leaders = {run.agreement.leader for run in self.running.values()}
            if len(leaders) == 1 and leaders < set(self.running):
                return self.running[leaders.pop()]
            await trio.sleep(0.01)

    async def wait_alike(self, commands):
        """Wait until every running host has applied exactly the commands."""
        while any(run.state.commands != commands for run in self.running.values()):
            await trio.sleep(0.01)


def settings_file(folder: Path, text: str) -> Path:
    """Write a settings file next to a valid key file and a tokens file."""
    (folder / "hosts.key").write_text(KEY_TEXT)
    (folder / "tokens.ini").write_text("[teams]\n")
    path = folder / "host.ini"
    path.write_text(text)
    return path


def job_body(**changes: object) -> bytes:
    """Return the body of a valid submission with changes; None removes a field."""
    fields = {"key": "valdres:k1", "team": "drivers", "tasks": [{"kind": "receipt"}]}
    fields |= changes
    present = {name: value for name, value in fields.items() if value is not None}
    return msgspec.json.encode(present)


def change(version=1, id="c-1", author="ada", reason="dawn", unix_s=100.0):
    return ChangeMetadata(id, author, reason, version, unix_s)


def set_preset(name="peak", version=1, id="c-1", **more):
    return SetPreset(change(version, id, **more), name)


def registration(host="h-1", data_centre="valdres", disk="d-1", copies=1):
    return RegisterHost(host, data_centre, "127.0.0.1:1", disk, copies, 1.0)


def view(number, primary, backup=None):
    return ProposeView(View("valdres", number, primary, backup), "h-1", "why", 3.0)


def apply(state: AgreedState, *commands) -> CommandResult:
    """Apply commands in order and return the result of the last one."""
    for command in commands:
        data = state.apply(state.image.index + 1, encode_command(command))
    return msgspec.msgpack.decode(data, type=CommandResult)


class FakeCluster:
    """Hosts with a fake agreement and a network that tests can cut; no timers."""

    def __init__(self, names, data_centre="valdres", copies=1):
        self.log = []
        self.leader = names[0]
        self.cut = set()
        self.nodes = {name: FakeNode(self, name, data_centre, copies) for name in names}

    def reach(self, *names):
        return not self.cut.intersection(names)

    def spread(self):
        for node in self.nodes.values():
            while self.reach(node.name) and node.state.image.index < len(self.log):
                index = node.state.image.index
                node.results[index] = node.state.apply(index + 1, self.log[index])

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        async with trio.open_nursery() as nursery:
            for node in self.nodes.values():
                await nursery.start(node.control.run)
            task_status.started()

    def presets(self):
        return {name: n.control.preset().name for name, n in self.nodes.items()}


class FakeNode:
    """A host of a `FakeCluster`; implements both its agreement and its network."""

    def __init__(self, cluster, name, data_centre, copies):
        self.cluster = cluster
        self.name = name
        self.results = {}
        self.handlers = {}
        self.state = AgreedState()
        self.control = Control(
            name,
            HostRecord(data_centre, "127.0.0.1:1", "d-1", copies),
            self.state,
            self,
            self,
            SystemCalendar(),
            AuditArchive(MemoryJournal()),
        )

    @property
    def leader(self):
        return self.cluster.leader

    async def _majority(self, timeout_s):
        if not self.cluster.reach(self.name, self.leader):
            await trio.sleep(timeout_s)
            raise AgreementLost(f"{self.name} is cut off")
        await trio.sleep(0.005)
        if not self.cluster.reach(self.name, self.leader):
            raise AgreementLost(f"{self.name} was cut off")

    async def propose(self, command, timeout_s=3.0):
        await self._majority(timeout_s)
        self.cluster.log.append(command)
        index = len(self.cluster.log) - 1
        self.cluster.spread()
        return self.results[index]

    async def read_barrier(self, timeout_s=3.0):
        await self._majority(timeout_s)
        self.cluster.spread()

    def handle(self, message, handler):
        self.handlers[message] = handler

    async def request(self, host, message, reply, timeout_s=1.0):
        if not self.cluster.reach(self.name, host):
            await trio.sleep(timeout_s)
            raise PeerUnreachable(host)
        handler = self.cluster.nodes[host].handlers[type(message)]
        return await handler(self.name, message)


DATA_CENTRE = DataCentre("valdres")


def a_submission(
    name="a",
    tasks=1,
    restart=RestartRule.IF_NOT_RUN,
    deadline_s=60.0,
    sleep_s=0.0,
    run_time_s=None,
    **more,
):
    specs = tuple(
        TaskSpec(
            "check_in",
            {"sleep_s": sleep_s, "value": index},
            run_time_s,
            restart=restart,
        )
        for index in range(tasks)
    )
    return Submission(f"{DATA_CENTRE}:{name}", "prairie", specs, deadline_s, **more)


def a_job_id(submission) -> JobId:
    return job_id(submission.team, submission.key)


def accepted(submission, unix_s=1_000.0):
    return JobAccepted(
        a_job_id(submission),
        digest_of(submission),
        submission,
        unix_s,
        unix_s + submission.deadline_s,
    )


def started(job, task=0, attempt=1, endpoint="e-1", epoch=1):
    place = (EndpointId(endpoint), Incarnation(f"{endpoint}.1"))
    return AttemptStarted(AttemptRef(job, task, attempt), Epoch(epoch), *place)


def ended(job, task=0, attempt=1, code=ResultCode.COMPLETE, value=None):
    return AttemptEnded(AttemptRef(job, task, attempt), code, value)


def an_announcement(
    endpoint="e-1", incarnation=None, slots=4, url="http://127.0.0.1:1"
):
    return Announcement(
        EndpointId(endpoint),
        Incarnation(incarnation or f"{endpoint}.1"),
        url,
        DATA_CENTRE,
        slots=slots,
    )


def waiting_task(job="job", team="team", task=0, attempt=1, estimate_s=0.2, **spec):
    """Return a waiting task as the scheduler holds it."""
    task_spec = TaskSpec(spec.pop("kind", "check-in"), **spec)
    return WaitingTask(job, team, task, attempt, task_spec, 1e9, 0.0, estimate_s)


def endpoint_load(name, speed=1.0, **fields):
    """Return the load of an idle endpoint as the scheduler holds it."""
    load = EndpointLoad(Announcement(name, "first", "", "valdres", **fields))
    load.speed = speed
    return load


class KnownSpeeds(DeclaredEstimates):
    """Estimates with given endpoint speeds and declared run times of tasks."""

    def __init__(self, **speeds):
        self.speeds = speeds

    def speed(self, endpoint):
        return self.speeds[endpoint]


def by_speed(**speeds):
    """Return policies that place tasks by given endpoint speeds."""
    return dataclasses.replace(
        baseline_policies(LeastLoaded()),
        placement=TailAwarePlacement(cap_long=False, wait_faster=False),
        estimates=KnownSpeeds(**speeds),
    )
