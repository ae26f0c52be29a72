"""Starts hosts and endpoints as real processes for tests, and ends each by its id."""

import dataclasses
import json
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

# Above the ports of common services.
FIRST_PORT = 10_000
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
# Ports that this test run has given out; their processes may not have bound them yet.
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free port below the range of outgoing connections.

    No outgoing connection can take the port while its host is down. No port is
    returned twice in a test run.
    """
    range_path = Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_outgoing = int(range_path.read_text().split()[0])
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, first_outgoing)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


@dataclasses.dataclass
class Process:
    """A process of the command line and the URL that it printed."""

    popen: subprocess.Popen
    url: str
    arguments: tuple[str, ...]

    def signal(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> int:
        self.popen.terminate()
        return self.popen.wait(STOP_TIMEOUT_S)


def start(*arguments: str) -> Process:
    popen = subprocess.Popen(
        [sys.executable, "-m", "currantwell", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert popen.stdout is not None
    line = popen.stdout.readline()
    if not line:
        popen.wait(START_TIMEOUT_S)
        raise RuntimeError(f"{arguments} printed no address")
    return Process(popen, json.loads(line)["url"], arguments)


@contextmanager
def running(*arguments: str) -> Iterator[Process]:
    process = start(*arguments)
    try:
        yield process
    finally:
        if process.popen.poll() is None:
            process.popen.send_signal(signal.SIGCONT)
            process.kill()
        process.popen.stdout.close()


def write_settings(folder: Path, **values: object) -> Path:
    lines = ["[host]", *(f"{key} = {value}" for key, value in values.items())]
    path = folder / "host.ini"
    path.write_text("\n".join(lines) + "\n")
    return path


@contextmanager
def one_host(folder: Path, endpoints: int = 2, **values: object) -> Iterator[Process]:
    """Run one host with emulated endpoints as processes."""
    path = write_settings(
        folder,
        id="host-1",
        data_centre="aspen-parkland",
        data_folder=folder / "data",
        **values,
    )
    with ExitStack() as stack:
        host = stack.enter_context(running("host", "run", "--settings", str(path)))
        for index in range(endpoints):
            stack.enter_context(running(*endpoint_arguments(index, host.url)))
        yield host


def endpoint_arguments(index: int, url: str) -> tuple[str, ...]:
    return (
        "endpoint",
        "emulate",
        *("--id", f"endpoint-{index}"),
        *("--data-centre", "aspen-parkland"),
        *("--entry", url),
    )


def command(*arguments: str, timeout_s: float = 30.0) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "currantwell", *arguments],
        capture_output=True,
        timeout=timeout_s,
        check=False,
    )


def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Poll until a condition holds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"{condition} did not hold in {timeout_s} s")
        time.sleep(0.05)
