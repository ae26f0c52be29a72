"""Builders of test data."""

import json
import socket
from contextlib import ExitStack
from pathlib import Path

import msgspec
import trio

from currantwell.ids import HostId
from currantwell.journal import MemoryJournal
from currantwell.peers import Peers
from currantwell.raft_agreement import RaftAgreement

KEY = b"a key of tests"


class ListState:
    """A state machine that lists its commands."""

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
    """Return addresses on loopback with ports that the kernel picked."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


class AgreementHost:
    """A host of an `AgreementCluster`."""

    def __init__(self, host, state, agreement, scope):
        self.host, self.state, self.agreement = host, state, agreement
        self.scope = scope
        self.ended = trio.Event()


class AgreementCluster:
    """Hosts in one process that agree over loopback."""

    def __init__(self, nursery, hosts=3, voters=None, **options):
        self._nursery = nursery
        names = [HostId(f"host-{i}") for i in range(hosts)]
        self.addresses = dict(zip(names, free_addresses(hosts), strict=True))
        self.hosts, self.voters = names, names[:voters]
        self.journals = {name: MemoryJournal() for name in names}
        self.running = {}
        self._options = options

    async def start(self, name):
        """Run a host on its journal."""
        others = {h: a for h, a in self.addresses.items() if h != name}
        peers = Peers(name, self.addresses[name], others, KEY)
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
        """Kill a host and run it again with an empty journal."""
        await self.kill(name)
        self.journals[name] = MemoryJournal()
        return await self.start(name)

    async def kill(self, name):
        run = self.running.pop(name)
        run.scope.cancel()
        await run.ended.wait()

    async def leader(self):
        """Return the host that leads, once others follow it."""
        while True:
            leaders = {run.agreement.leader for run in self.running.values()}
            if len(leaders) == 1 and leaders < set(self.running):
                return self.running[leaders.pop()]
            await trio.sleep(0.01)

    async def wait_alike(self, commands):
        """Return once every host holds the commands."""
        while any(run.state.commands != commands for run in self.running.values()):
            await trio.sleep(0.01)


KEY_TEXT = "k" * 64 + "\n"


def settings_file(folder: Path, text: str) -> Path:
    """Write a settings file beside a good key file and a tokens file."""
    (folder / "hosts.key").write_text(KEY_TEXT)
    (folder / "tokens.ini").write_text("[teams]\n")
    path = folder / "host.ini"
    path.write_text(text)
    return path


def job_body(**changes: object) -> bytes:
    """Return the body of a good submission, with changes; None takes a field out."""
    fields = {"key": "valdres:k1", "team": "drivers", "tasks": [{"kind": "receipt"}]}
    fields |= changes
    kept = {name: value for name, value in fields.items() if value is not None}
    return msgspec.json.encode(kept)
