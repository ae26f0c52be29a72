"""Measures starts per second through one host process over real HTTP.

Starts one host and a number of endpoint emulators as separate processes, then runs
``currantwell load`` with jobs of different sizes, and prints for each size the rate and
the host's processor time.
"""

import os
import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.processes import (
    command,
    endpoint_arguments,
    running,
    wait_until,
)

ENDPOINTS = 4
SLOTS = 256
DURATION_S = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid):
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def measure(host, tasks, callers):
    """Run one load and print its figures."""
    before_s = processor_s(host.popen.pid)
    done = command(
        "load",
        *("--url", host.url),
        *("--tasks", str(tasks)),
        *("--callers", str(callers)),
        *("--duration-s", str(DURATION_S)),
    )
    used_s = processor_s(host.popen.pid) - before_s
    print(f"tasks {tasks}, callers {callers}, host processor {used_s:.2f} s")
    print(done.stdout.decode(), done.stderr.decode()[-500:], flush=True)


def main():
    """Run all loads."""
    folder = Path(tempfile.mkdtemp())
    settings = folder / "host.ini"
    settings.write_text(
        "[host]\nid = host-1\ndata_centre = aspen-parkland\n"
        f"data_folder = {folder / 'data'}\n"
    )
    with ExitStack() as stack:
        host = stack.enter_context(running("host", "run", "--settings", str(settings)))
        for index in range(ENDPOINTS):
            arguments = endpoint_arguments(index, host.url)
            stack.enter_context(running(*arguments, "--slots", str(SLOTS)))

        def ready():
            listed = command("endpoint", "list", "--url", host.url).stdout
            return len(listed.splitlines()) == ENDPOINTS

        wait_until(ready)
        print(f"host process {host.popen.pid}", flush=True)
        for tasks, callers in ((1, 16), (8, 16), (32, 8), (128, 8), (512, 4)):
            measure(host, tasks, callers)


if __name__ == "__main__":
    main()
