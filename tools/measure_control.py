"""Measures control: idle traffic and processor, cost of a change, time in force.

All hosts run in this process over loopback, with journals in memory. Bytes are those
of frames, without the headers of TCP/IP.
"""

import argparse
import collections
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path

import trio
from absl import logging

from currantwell import control_plane
from currantwell.changes import ChangeMetadata, SetPreset, SetQuota
from currantwell.clock import SystemCalendar
from currantwell.control_plane import ControlPlane, build_control_plane
from currantwell.ids import ChangeId, DataCentre, HostId, Team
from currantwell.journal import MemoryJournal
from currantwell.peers import PeerMessage, PeerTransport
from currantwell.quotas import Quota
from currantwell.settings import HostSettings, PeerSettings

MEASURED_DATA_CENTRE = DataCentre("valdres")
POLL_S = 0.01
CHANGES = 50
sent_bytes: collections.Counter[HostId] = collections.Counter()
sent_frames: collections.Counter[HostId] = collections.Counter()


class CountingPeers(PeerTransport):
    """Peer transport that counts the bytes and frames that each host sends."""

    def _encode_frame(self, message: PeerMessage) -> bytes:
        data = super()._encode_frame(message)
        sent_bytes[self.host] += len(data)
        sent_frames[self.host] += 1
        return data


class Fleet:
    """Hosts that run in this process, with their control planes."""

    def __init__(self) -> None:
        self.planes: dict[HostId, ControlPlane] = {}
        self.scopes: dict[HostId, trio.CancelScope] = {}

    @property
    def leader(self) -> HostId:
        """The leader."""
        planes = iter(self.planes.values())
        return next(planes).agreement.leader or HostId("")

    def stop(self, host: HostId) -> None:
        """Stop a host immediately."""
        self.scopes[host].cancel()
        del self.planes[host]

    async def wait_followed(self, name: str) -> float:
        """Wait until all hosts follow a preset and return the seconds that it took."""
        started_s = trio.current_time()
        while any(p.control.preset().name != name for p in self.planes.values()):
            await trio.sleep(POLL_S)
        return trio.current_time() - started_s

    async def run(self, plane: ControlPlane, scope: trio.CancelScope) -> None:
        """Run the services of a host."""
        with scope:
            async with trio.open_nursery() as nursery:
                for service in plane.services:
                    await nursery.start(service.run)


@asynccontextmanager
async def running(count: int, folder: Path) -> AsyncIterator[Fleet]:
    """Run `count` hosts."""
    key_file = folder / "hosts.key"
    key_file.write_text("k" * 64 + "\n")
    names = [HostId(f"host-{number}") for number in range(count)]
    addresses = dict(zip(names, free_addresses(count), strict=True))
    fleet = Fleet()
    async with trio.open_nursery() as nursery:
        for name in names:
            host_settings = settings(name, addresses, key_file)
            plane = await build_control_plane(
                host_settings, lambda journal: MemoryJournal(), SystemCalendar()
            )
            fleet.planes[name] = plane
            fleet.scopes[name] = trio.CancelScope()
            nursery.start_soon(fleet.run, plane, fleet.scopes[name])
        await fleet.wait_followed("ordinary")
        await trio.sleep(2)
        yield fleet
        nursery.cancel_scope.cancel()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports that the kernel selected."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one_socket in sockets:
            one_socket.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]


def settings(
    name: HostId, addresses: Mapping[HostId, str], key_file: Path
) -> HostSettings:
    """Return the settings of a host."""
    peers = {
        n: PeerSettings(MEASURED_DATA_CENTRE, a)
        for n, a in addresses.items()
        if n != name
    }
    return HostSettings(
        name,
        MEASURED_DATA_CENTRE,
        peer_address=addresses[name],
        peers=peers,
        key_file=key_file,
    )


async def idle(fleet: Fleet, seconds: float) -> None:
    """Print the traffic and the processor time of idle hosts."""
    sent_bytes.clear()
    sent_frames.clear()
    processor_s = time.process_time()
    await trio.sleep(seconds)
    share = (time.process_time() - processor_s) / seconds / len(fleet.planes)
    for host in fleet.planes:
        role = "leader" if host == fleet.leader else "follower"
        rate = sent_bytes[host] / seconds
        frames = sent_frames[host] / seconds
        print(f"idle {host} {role}: {rate:.0f} B/s, {frames:.1f} frames/s sent")
    print(f"idle: {share:.2%} of a core a host, mean of all")


async def changes(fleet: Fleet) -> None:
    """Print the cost of consecutive quota changes."""
    control = fleet.planes[fleet.leader].control
    sent_bytes.clear()
    elapsed_s: list[float] = []
    processor_s = time.process_time()
    for number in range(CHANGES):
        started_s = trio.current_time()
        change = ChangeMetadata(ChangeId(f"q-{number}"), "ada", "measured", number + 1)
        await control.change(SetQuota(change, Team(f"team-{number}"), Quota()))
        elapsed_s.append(trio.current_time() - started_s)
    processor_ms = (time.process_time() - processor_s) * 1e3 / CHANGES
    median_ms = sorted(elapsed_s)[CHANGES // 2] * 1e3
    size = sum(sent_bytes.values()) / CHANGES
    print(f"change: p50 {median_ms:.1f} ms, {size:.0f} B sent and", end=" ")
    print(f"{processor_ms:.1f} ms of processor, all hosts together")


async def set_preset(fleet: Fleet, name: str, version: int) -> float:
    """Return the seconds from acceptance until all hosts follow a preset."""
    control = fleet.planes[fleet.leader].control
    change = ChangeMetadata(ChangeId(f"p-{version}"), "ada", "measured", version)
    await control.change(SetPreset(change, name))
    return await fleet.wait_followed(name)


async def in_force(fleet: Fleet) -> None:
    """Print how soon hosts follow a new preset, with all hosts and with one lost."""
    names = ["peak", "ordinary"] * 5
    elapsed_s = [await set_preset(fleet, n, i + 1) for i, n in enumerate(names)]
    print(
        f"in force, all hosts reachable: {min(elapsed_s):.2f} to {max(elapsed_s):.2f} s"
    )
    fleet.stop(next(host for host in fleet.planes if host != fleet.leader))
    names = ["peak", "ordinary"] * 2
    elapsed_s = [await set_preset(fleet, n, i + 11) for i, n in enumerate(names)]
    print(f"in force, one host lost: {min(elapsed_s):.2f} to {max(elapsed_s):.2f} s")


async def main(hosts: int, seconds: float) -> None:
    """Run all measurements with `hosts` hosts."""
    with tempfile.TemporaryDirectory() as folder:
        async with running(hosts, Path(folder)) as fleet:
            await idle(fleet, seconds)
            await changes(fleet)
            await in_force(fleet)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    control_plane.PeerTransport = CountingPeers  # type: ignore[misc]
    trio.run(main, options.hosts, options.seconds)
