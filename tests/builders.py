"""Builders of test data."""

import msgspec
import trio

from currantwell.agreed_state import AgreedState
from currantwell.audit import AuditArchive
from currantwell.changes import (
    Change,
    RegisterHost,
    SetPreset,
    Verdict,
    encode_command,
)
from currantwell.clock import SystemCalendar
from currantwell.control import Control
from currantwell.errors import AgreementLost, PeerUnreachable
from currantwell.journal import MemoryJournal
from currantwell.state_image import HostRecord


def change(version=1, id="c-1", author="ada", reason="dawn", unix_s=100.0):
    return Change(id, author, reason, version, unix_s)


def set_preset(name="peak", version=1, id="c-1", **more):
    return SetPreset(change(version, id, **more), name)


def registration(host="h-1", data_centre="valdres", disk="d-1", copies=1):
    return RegisterHost(host, data_centre, "127.0.0.1:1", disk, copies, 1.0)


def apply(state: AgreedState, *commands) -> Verdict:
    """Apply commands in order and return the last verdict."""
    for command in commands:
        data = state.apply(state.image.index + 1, encode_command(command))
    return msgspec.msgpack.decode(data, type=Verdict)


class FakeCluster:
    """Hosts with an agreement and a network that tests cut; no clock of its own."""

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
    """A host of a `FakeCluster`: its agreement and its network in one."""

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

    async def propose(self, command, timeout_s=3.0):
        await self._majority(timeout_s)
        self.cluster.log.append(command)
        index = len(self.cluster.log) - 1
        self.cluster.spread()
        return self.results[index]

    async def confirm(self, timeout_s=3.0):
        await self._majority(timeout_s)
        self.cluster.spread()

    def handle(self, message, handler):
        self.handlers[message] = handler

    async def ask(self, host, message, reply, timeout_s=1.0):
        if not self.cluster.reach(self.name, host):
            await trio.sleep(timeout_s)
            raise PeerUnreachable(host)
        handler = self.cluster.nodes[host].handlers[type(message)]
        return await handler(self.name, message)
