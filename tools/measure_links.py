"""Measures the cost of idle endpoints for a host: processor time and memory.

Starts one host and a number of endpoint emulators as separate processes, lets them
idle, and prints the host's share of a core and its resident memory.
"""

import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.processes import (
    command,
    endpoint_arguments,
    running,
    wait_until,
)
from tools.measure_starts import processor_s

SETTLE_S = 5
IDLE_S = 20
KIB = 1024


def memory_mb(pid):
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    raise ValueError(f"no memory of process {pid}")


def measure(endpoints):
    """Run one host with a number of idle endpoints and print its figures."""
    folder = Path(tempfile.mkdtemp())
    settings = folder / "host.ini"
    settings.write_text(
        "[host]\nid = host-1\ndata_centre = aspen-parkland\n"
        f"data_folder = {folder / 'data'}\n"
    )
    with ExitStack() as stack:
        host = stack.enter_context(running("host", "run", "--settings", str(settings)))
        for index in range(endpoints):
            stack.enter_context(running(*endpoint_arguments(index, host.url)))

        def ready():
            listed = command("endpoint", "list", "--url", host.url).stdout
            return len(listed.splitlines()) >= endpoints

        wait_until(ready)
        time.sleep(SETTLE_S)
        before_s = processor_s(host.popen.pid)
        time.sleep(IDLE_S)
        share = (processor_s(host.popen.pid) - before_s) / IDLE_S
        print(
            f"{endpoints} endpoints: {100 * share:.2f}% of a core, "
            f"{memory_mb(host.popen.pid):.0f} MB",
            flush=True,
        )


if __name__ == "__main__":
    for count in (1, 12, 24):
        measure(count)
