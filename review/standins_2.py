"""A small deployment of the real programs for the cases of the second review.

Starts the commands of deploy/system.toml as separate processes, each machine with a
loopback address of its own, and stands in for the platform and the operator by the
users' pages. Uses the standard library only.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("aspen-parkland", "mixed-grass", "river-valley")
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_timeout_ms": 3000,
    "acknowledge_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "hold_max_ms": 1000,
    "stop_ms": 50,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 1.5,
    "checkpoint_interval_s": 1,
    "restore_ms": 600,
    "notice_ms": 4500,
    "move_s": 1.5,
    "maintenance_s": 2,
    "fencing_enforced": "false",
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
    "resend_ms": 1300,
}
FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, WORKER_PORT = 8161, 8167, 8166, 8080
INTERNAL_PORTS = (7720, 7735)
CATCH_UP_S = BOUNDS["catch_up_s"]
GRACE_S = BOUNDS["grace_s"]
# Operators and workers go on to another node after a second without a response.
CALL_TIMEOUT_S = 1.0


class CannotRun(Exception):
    """The case could not be played to its end."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def note(self, text):
        """Write a line."""
        with self._lock:
            line = f"{time.monotonic() - self.began_s:8.3f} {text}"
            self._file.write(line + "\n")
            self._file.flush()


class Machine:
    """A machine and the process that it runs."""

    def __init__(self, deployment, name, zone, address, role):
        self.deployment = deployment
        self.name, self.zone, self.address, self.role = name, zone, address, role
        self.data = deployment.folder / name
        self.process = None

    def start(self, seeds, bootstrap):
        """Write the settings file and start the program."""
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        path = self.deployment.folder / f"{self.name}.conf"
        path.write_text(self._settings(seeds, bootstrap))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CURRANTWELL_SETTINGS"] = str(path)
        with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.commands[self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.note(
            f"start {self.name} at {self.address}, seeds {','.join(seeds)}, "
            f"bootstrap {bootstrap}"
        )

    def terminate(self):
        """Stop the process as the platform does: SIGTERM, SIGKILL after the grace."""
        self.deployment.record.note(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            status = self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            status = self.process.wait()
        self.deployment.record.note(f"{self.name} ended with {status}")

    def kill(self):
        """End the process at once, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lose_disk(self):
        """Kill the process and empty its data folder."""
        self.kill()
        shutil.rmtree(self.data)
        self.deployment.record.note(f"{self.name} loses its disk and its process")

    def log(self):
        """Return what the process has written."""
        return (self.deployment.folder / f"{self.name}.log").read_text()

    def _settings(self, seeds, bootstrap):
        front = self.role == "entry"
        lines = [
            f"node={self.name}",
            f"role={self.role}",
            f"machine_class={'frontend' if front else 'core'}",
            f"serves={'frontend' if front else 'control_plane'}",
            f"ip_address={self.address}",
            f"zone={self.zone}",
            "region=prairie-west",
            *(f"zones.{zone}=prairie-west" for zone in ZONES),
            f"internal_ports={INTERNAL_PORTS[0]},{INTERNAL_PORTS[1]}",
            "seeds=" + ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
            f"bootstrap={'true' if bootstrap else 'false'}",
            f"in_tolerance={'false' if front else 'true'}",
            f"limits.processor_share={0.537 if front else 0.717}",
            f"limits.cores={2 if front else 3}",
            f"limits.memory_mb={300 if front else 296}",
            f"limits.file_descriptors={4100 if front else 4096}",
            "limits.link_mbps=1000.0",
            f"limits.disk_mb={0 if front else 128}",
            "discovery=registry",
            "entry=virtual_ip",
            "heartbeat_interval_ms=1500",
            "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
            "config_mode=highest",
            "orders=call",
        ]
        if front:
            lines.append(f"listen.frontend={self.address}:{FRONTEND_PORT}")
            lines.append(f"listen.readiness={self.address}:{READINESS_PORT}")
        else:
            lines.append(f"listen.control={self.address}:{CONTROL_PORT}")
            lines.append(f"data_directory={self.data}")
        return "\n".join(lines) + "\n"


class Deployment:
    """Three core machines, and frontend machines in three zones."""

    def __init__(self, record, fronts=3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="currantwell-review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: [sys.executable, *table["run"].split()[1:]]
            for role, table in deploy["roles"].items()
        }
        self.network = _free_network()
        self.machines = []
        self.core = [
            self.add(f"core-{zone}-1", zone, 10 + index, "control")
            for index, zone in enumerate(ZONES)
        ]
        self.fronts = [
            self.add(
                f"frontend-{ZONES[index % 3]}-{1 + index // 3}",
                ZONES[index % 3],
                50 + index,
                "entry",
            )
            for index in range(fronts)
        ]

    def add(self, name, zone, number, role):
        """Return a new machine, which is not started."""
        machine = Machine(self, name, zone, f"{self.network}.{number}", role)
        self.machines.append(machine)
        return machine

    def start_all(self):
        """Start the whole system for the first time."""
        seeds = [machine.address for machine in self.core]
        for machine in (*self.core, *self.fronts):
            machine.start(seeds, bootstrap=True)

    def close(self):
        """End all processes and remove their files."""
        for machine in self.machines:
            machine.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Sends configurations and reads them back, to one node after the other."""

    def __init__(self, record):
        self.record = record

    def put(self, machines, body, within_s):
        """Send a configuration until it is acknowledged; return whether it was."""
        return self._repeat(
            machines, "POST", "/-/Configuration.Put", body, within_s, "put"
        )

    def read(self, machines, within_s):
        """Read the configuration until a node returns it; None if none does."""
        return self._repeat(
            machines, "GET", "/-/Configuration.Get", None, within_s, "read"
        )

    def _repeat(self, machines, method, path, body, within_s, what):
        version = "" if body is None else f" version {body['version']}"
        end_s = time.monotonic() + within_s
        pause_s, statuses = 0.1, []
        while time.monotonic() < end_s:
            for machine in machines:
                address = (machine.address, CONTROL_PORT)
                status, reply = call(address, method, path, body)
                statuses.append(f"{machine.name} {status}")
                if status == 200:
                    returned = reply.get("version")
                    shown = "" if returned is None else f", version {returned}"
                    self.record.note(
                        f"{what}{version}: {machine.name} answers 200{shown}"
                    )
                    return reply
            time.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        self.record.note(
            f"{what}{version}: no 200 in {within_s} s and {len(statuses)} calls, last "
            + ", ".join(statuses[-len(machines) :])
        )
        return None


def call(address, method, path, body=None, headers=None, timeout_s=CALL_TIMEOUT_S):
    """Return the status and the decoded body; the status is None without a reply."""
    content = None if body is None else json.dumps(body)
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    sent = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request(method, path, content, sent)
        reply = connection.getresponse()
        return reply.status, json.loads(reply.read() or b"{}")
    except (OSError, http.client.HTTPException, ValueError):
        return None, {}
    finally:
        connection.close()


def configuration(version, **route):
    """Return a configuration with one queue."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-sign-up",
                "host": "crew.example",
                "path_prefix": "/sign-up/",
                "kind": "unsafe",
                "timeout_ms": 1500,
                "target_duration_ms": 60,
                "priority": 0,
                "service": "crew-board",
                "max_attempts": 2,
                "stretch": 1.6,
                **route,
            }
        ],
        "services": [
            {
                "name": "crew-board",
                "health_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls": False,
                "admission_check": True,
                "spare": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def _free_network():
    """Return the first three numbers of loopback addresses whose ports are free."""
    source = random.Random()
    ports = (FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, *INTERNAL_PORTS)
    for _ in range(100):
        network = f"127.{source.randint(100, 250)}.{source.randint(1, 250)}"
        with contextlib.ExitStack() as stack:
            try:
                for number in (10, 11, 12, 30, 31, 32, 50, 51, 52):
                    for port in ports:
                        probe = stack.enter_context(socket.socket())
                        probe.bind((f"{network}.{number}", port))
            except OSError:
                continue
            return network
    raise CannotRun("no free network")


def main(folder, play):
    """Run a case and exit with 1 if its rule was broken, 0 if not, 2 on trouble."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(trouble)}")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _raise_exit)
    status = 2
    try:
        broken = play(record, trouble)
        status = 1 if broken else 0
        record.note(f"rule broken: {broken}" if broken else "the rule held")
    except CannotRun as error:
        record.note(f"the case could not run: {error}")
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
    sys.exit(status)


def _raise_exit(number, frame):
    raise SystemExit(2)
