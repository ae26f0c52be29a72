"""Stand-ins of the platform, its workers, its operator and its clients.

They follow `PROTOCOL.md` and `DEPLOY.md`. The project's own programs run as separate
processes with the commands of the deploy file, each with an address of its own in
127.0.0.0/8; workers and clients run in the event loop of the script.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import trio

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("valdres", "hallingdal", "gudbrandsdal")
REGION = "austlandet"
FRONT_PORT, READY_PORT, CONTROL_PORT, INTERNAL_PORT = 8161, 8167, 8166, 7720
HOST = "hura70.example"
SERVICE = "kaba98a"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
RESEND_S = 1.3
PATIENCE_S = 25.0
# A script may run for 120 s.
LONGEST_S = 116.0
START_S = time.monotonic()


def now_s():
    """Return the time since the script began, in seconds."""
    return time.monotonic() - START_S


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.lines = []

    def note(self, *words):
        """Add a line with the time."""
        self.lines.append(f"{now_s():9.3f} " + " ".join(map(str, words)))

    def write(self):
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n")


# HTTP.


class Connection:
    """A connection that carries one HTTP message at a time in each direction."""

    def __init__(self, stream):
        self.stream = stream
        self.data = b""

    async def message(self):
        """Return the first line, the headers and the body; None at the end."""
        while b"\r\n\r\n" not in self.data:
            if not await self._more():
                return None
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.data) < length:
            if not await self._more():
                return None
        body, self.data = self.data[:length], self.data[length:]
        return first, headers, body

    async def _more(self):
        try:
            part = await self.stream.receive_some(65536)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.data += part
        return bool(part)


def request_bytes(method, path, host, body=None, headers=()):
    """Return the bytes of a request."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + data


async def call(address, method, path, host, body=None, headers=(), timeout_s=1.0):
    """Return the status and the decoded body of the answer, None without one."""
    ip, _, port = address.rpartition(":")
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(ip, int(port))
        except OSError:
            return None
        async with stream:
            try:
                await stream.send_all(request_bytes(method, path, host, body, headers))
            except trio.BrokenResourceError:
                return None
            answer = await Connection(stream).message()
        if answer is None:
            return None
        first, _, data = answer
        try:
            return int(first.split()[1]), json.loads(data or b"{}")
        except ValueError:
            return int(first.split()[1]), {}
    return None


# Workers.


class Run:
    """A run of a task on a worker."""

    def __init__(self, task, run, began_s, ends_s):
        self.task, self.run = task, run
        self.began_s, self.ends_s = began_s, ends_s
        self.over_s = None
        self.how = None
        self.worker = None

    def percent(self):
        """Return the share of the work that is done."""
        total_s = max(0.001, self.ends_s - self.began_s)
        return max(0, min(99, int(100 * (now_s() - self.began_s) / total_s)))


class Worker:
    """A worker: starts, stops and holds runs under a lease."""

    def __init__(self, platform, number, zone):
        self.platform = platform
        self.id = f"i-{number:04x}{os.getpid() % 65536:04x}"
        self.zone = zone
        self.labels = ["a", f"r{number % 3}-1"]
        self.capacity = {"cpu_millicores": 16000, "memory_request_mb": 65536, "gpus": 0}
        self.slots = 8
        self.born = int(time.time() * 1000)
        self.clock_s = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.ends = 0
        self.end_listed = trio.Event()
        self.address = None

    def clock_ms(self):
        """Return the time on the worker's steady clock."""
        return 1 + int((time.monotonic() - self.clock_s) * 1000)

    async def serve(self, task_status):
        """Serve orders, and announce itself, until cancelled."""
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_runs)
            nursery.start_soon(self._send_heartbeats)
            await trio.serve_listeners(self._connection, [listener])

    async def _connection(self, stream):
        connection = Connection(stream)
        while True:
            request = await connection.message()
            if request is None:
                return
            first, headers, body = request
            status, reply = await self._carry_out(first.split()[1], headers, body)
            data = json.dumps({"clock_ms": self.clock_ms(), "born": self.born} | reply)
            head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            try:
                await stream.send_all((head + data).encode())
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _carry_out(self, path, headers, body):
        if headers.get("currantwell-expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        token = order.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            return self._start(order)
        if path == "/-/run-stop":
            self._stop(order["task"], order["run"])
            return 200, {}
        if path == "/-/hold":
            return 200, await self._hold(order)
        return 404, {}

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    def _start(self, order):
        task, run = order["task"], order["run"]
        if (task, run) in self.runs:
            return 200, {}
        if order["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(order["deadline_ms"])
        if run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        if len(self.runs) >= self.slots:
            return 409, {"reason": "room"}
        work_s = float(order["task_spec"].split()[0]) / 1000.0
        started = Run(task, run, now_s(), now_s() + work_s)
        started.worker = self.id
        self.runs[task, run] = started
        self.platform.runs.append(started)
        self.platform.record.note("run", task, run, "starts on", self.id)
        return 200, {}

    def _stop(self, task, run):
        self.highest[task] = max(run, self.highest.get(task, 0))
        if (task, run) in self.runs:
            self._end(self.runs[task, run], "stopped")

    async def _hold(self, order):
        if order.get("deadline_ms") is not None:
            self._extend(order["deadline_ms"])
        acked = order.get("acked_upto", 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended:
            with trio.move_on_after(order.get("wait_ms", 0) / 1000.0):
                await self.end_listed.wait()
        running = [
            [run.task, run.run, "", run.percent(), 0] for run in self.runs.values()
        ]
        return {"running": running, "ended": self.ended[:500]}

    async def _end_runs(self):
        while True:
            await trio.sleep(0.005)
            for run in list(self.runs.values()):
                if run.ends_s <= now_s():
                    self._end(run, "done")
                elif self.deadline_ms <= self.clock_ms():
                    self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task, run.run]
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        run.over_s, run.how = now_s(), how
        self.ends += 1
        self.ended.append([self.ends, run.task, run.run, how, ""])
        self.end_listed.set()
        self.end_listed = trio.Event()
        self.platform.record.note("run", run.task, run.run, how, "on", self.id)

    async def _send_heartbeats(self):
        index = 0
        while True:
            self.sequence += 1
            body = {
                "service": SERVICE,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "sequence": self.sequence,
                "born": self.born,
            }
            path = f"/-/Instances.Heartbeat/{self.id}"
            for _ in self.platform.controls:
                address = self.platform.controls[index].control_address
                answer = await call(address, "POST", path, address, body)
                if answer is not None and answer[0] == 200:
                    break
                index = (index + 1) % len(self.platform.controls)
            await trio.sleep(HEARTBEAT_S)


# The platform and the operator.


class Machine:
    """A machine with one process of the system."""

    def __init__(self, platform, name, zone, ip, role):
        self.platform, self.name, self.zone, self.ip = platform, name, zone, ip
        self.role = role
        self.process = None
        self.control_address = f"{ip}:{CONTROL_PORT}"
        self.front_address = f"{ip}:{FRONT_PORT}"
        self.ready_address = f"{ip}:{READY_PORT}"

    def start(self, first=True):
        """Start the process with the command of the deploy file."""
        folder = self.platform.folder
        path = folder / f"{self.name}.conf"
        path.write_text(self.platform.settings(self, first))
        kept = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with open(folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.platform.command(self.role),
                cwd=ROOT,
                env=kept
                | {
                    "CURRANTWELL_SETTINGS": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.platform.record.note("platform: starts", self.name)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.platform.record.note(
            "platform:", signal.Signals(number).name, "to", self.name
        )
        self.process.send_signal(number)

    def end(self):
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Platform:
    """A small deployment: three control hosts, entry hosts and workers."""

    def __init__(self, folder, entries=3, workers=24):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="currantwell-review-"))
        self.runs = []
        self.version = 0
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.network, self._reserved = _reserve_network()
        self.controls = [
            Machine(self, f"core-{zone}-1", zone, f"{self.network}.{10 + n}", "control")
            for n, zone in enumerate(ZONES)
        ]
        self.entries = [
            Machine(
                self,
                f"frontend-{ZONES[n % 3]}-{1 + n // 3}",
                ZONES[n % 3],
                f"{self.network}.{50 + n}",
                "entry",
            )
            for n in range(entries)
        ]
        self.workers = [Worker(self, n, ZONES[n % 3]) for n in range(workers)]

    def command(self, role):
        """Return the command of a role."""
        return self.deploy["roles"][role]["run"].split()

    def settings(self, machine, first):
        """Return the settings file of a machine."""
        front = machine.role == "entry"
        seeds = ",".join(each.control_address for each in self.controls)
        lines = [
            f"node={machine.name}",
            f"role={machine.role}",
            f"machine_class={'frontend' if front else 'core'}",
            f"serves={'frontend' if front else 'control_plane'}",
            f"ip_address={machine.ip}",
            f"zone={machine.zone}",
            f"region={REGION}",
            *(f"zones.{zone}={REGION}" for zone in ZONES),
            f"internal_ports={INTERNAL_PORT},{INTERNAL_PORT + 15}",
            f"seeds={seeds}",
            f"bootstrap={'true' if first else 'false'}",
            f"in_tolerance={'false' if front else 'true'}",
            f"limits.processor_share={0.537 if front else 0.717}",
            f"limits.cores={2 if front else 3}",
            f"limits.memory_mb={300 if front else 296}",
            "discovery=registry",
            "entry=virtual_ip",
            f"heartbeat_interval_ms={int(HEARTBEAT_S * 1000)}",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            "bounds.contact_timeout_ms=3000",
            "bounds.acknowledge_timeout_ms=4000",
            "bounds.drain_ms=2000",
            "bounds.grace_s=6",
            "bounds.config_apply_ms=2000",
            f"bounds.hold_max_ms={HOLD_MAX_MS}",
            "bounds.stop_ms=50",
            "bounds.cancel_ms=3000",
            "bounds.visible_ms=3000",
            "bounds.resend_ms=1300",
            "config_mode=highest",
            "orders=call",
        ]
        if front:
            lines.append(f"listen.frontend={machine.front_address}")
            lines.append(f"listen.readiness={machine.ready_address}")
        else:
            data = self.folder / f"{machine.name}.data"
            data.mkdir(exist_ok=True)
            lines.append(f"listen.control={machine.control_address}")
            lines.append(f"data_directory={data}")
        return "\n".join(lines) + "\n"

    async def start(self, nursery, routes):
        """Start everything; return once all entry hosts are ready and serve jobs."""
        for machine in (*self.controls, *self.entries):
            machine.start()
        for worker in self.workers:
            await nursery.start(worker.serve)
        with trio.fail_after(PATIENCE_S):
            await self.put(routes)
            for machine in self.entries:
                while not await self.is_ready(machine):
                    await trio.sleep(0.1)
            while not all(worker.token for worker in self.workers):
                await trio.sleep(0.1)

    async def is_ready(self, machine):
        """Return whether an entry host says that it is ready."""
        answer = await call(machine.ready_address, "GET", "/-/readiness", HOST)
        return answer is not None and answer[0] == 200

    async def put(self, routes):
        """Send a configuration until it is acknowledged."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": SERVICE,
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
        while True:
            for machine in self.controls:
                address = machine.control_address
                path = "/-/Configuration.Put"
                answer = await call(address, "POST", path, address, body)
                if answer is not None and answer[0] == 200:
                    self.record.note("operator: version", self.version, "acknowledged")
                    return
            await trio.sleep(0.1)

    def close(self):
        """End all processes, write the record and remove the temporary folder."""
        for machine in (*self.entries, *self.controls):
            machine.end()
        self._reserved.close()
        self.record.write()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, timeout_ms, priority=1, max_attempts=4):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": timeout_ms,
        "target_duration_ms": 60,
        "priority": priority,
        "service": SERVICE,
        "max_attempts": max_attempts,
        "stretch": 1.6,
    }


def job_body(tasks, work_ms, cpu_millicores=1900):
    """Return the body of a job; a worker takes its run time from `task_spec`."""
    step = {
        "count": tasks,
        "cpu_millicores": cpu_millicores,
        "memory_request_mb": 64,
        "estimated_ms": work_ms,
    }
    return {"task_spec": f"{work_ms} ms", "best_effort": True, "steps": [step]}


def overlaps(runs, at_least_s):
    """Return pairs of runs of one task that ran at the same time for some time."""
    found = []
    by_task = {}
    for run in sorted(runs, key=lambda each: each.began_s):
        for other in by_task.get(run.task, ()):
            end_s = min(each.over_s or now_s() for each in (run, other))
            if end_s - run.began_s >= at_least_s:
                found.append((other, run, end_s - run.began_s))
        by_task.setdefault(run.task, []).append(run)
    return found


def run_case(folder, case):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    Parameters
    ----------
    folder : Path
        The folder of the case.
    case : callable
        Takes the folder and whether there is a disruption; returns whether the rule
        held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        with trio.fail_after(LONGEST_S):
            return await case(folder, trouble)

    try:
        held = trio.run(bounded)
    except BaseException as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(0 if held else 1)


def _reserve_network():
    """Return a free network of loopback addresses and the socket that reserves it."""
    for number in range(os.getpid() % 20000, 40000):
        network = f"127.{101 + number // 250 % 100}.{1 + number % 250}"
        reserved = socket.socket()
        try:
            reserved.bind((f"{network}.1", CONTROL_PORT))
        except OSError:
            reserved.close()
        else:
            return network, reserved
    raise RuntimeError("no network is free")
