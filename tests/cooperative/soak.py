"""A randomized soak of the real programs: faults from outside, promises from outside.

``python -m tests.cooperative.soak --seed 7 --seconds 20`` plays one seed; with
``--seeds 50`` that many from it on. Faults come in series and overlap: processes are
killed, frozen, told to stop and restarted, disks of control hosts emptied, links to
workers cut, silenced, made one-way; workers fail, hang, turn slow, lose answers, drain.
Clients and operators go on meanwhile, over connections that they keep. What is checked:

- no task runs twice at the same time, on whatever workers;
- nothing of a job that was refused runs;
- a job that is answered as completed has had every task done;
- a configuration that was acknowledged is served everywhere in time, never reverts, and
  is read back at the end;
- after the last fault jobs are served again.
"""

import argparse
import random
import signal
import tempfile
from pathlib import Path

import trio

from tests.cooperative.deployment import deployed
from tests.cooperative.worker import Worker
from tests.faulty_proxy import Fault

REQUESTS_PER_S = 25.0
FAULT_EVERY_S = (0.4, 1.5)
FAULT_LASTS_S = (0.3, 2.5)
# The bound of the platform's pages, and what a loaded machine takes to start a process.
IN_FORCE_S = 2.0
BACK_WITHIN_S = 15.0
GRACE_S = 6.0
WORKER_FAULTS = ("fail", "hang", "slow", "lose", "drain", "cut", "silent", "one way")
HOST_FAULTS = ("kill", "kill", "freeze", "term", "hup", "kill all controls", "wipe")


class Register:
    """What all workers run, and which rules that broke."""

    def __init__(self):
        self.running = {}
        self.done = set()
        self.started = {}
        self.broken = []

    def began(self, worker, name, run):
        self.started.setdefault(name.split(".")[0], trio.current_time())
        others = self.running.setdefault(name, {})
        if others:
            self.broken.append(f"TWICE {name} run {run} beside {others}")
        others[worker] = run

    def ended(self, worker, name, how):
        self.running.get(name, {}).pop(worker, None)
        if how == "done":
            self.done.add(name)


class WatchedWorker(Worker):
    """A worker whose starts and ends are registered."""

    register = None

    def start(self, order):
        before = len(self.started)
        reply = super().start(order)
        if len(self.started) > before:
            self.register.began(self.identifier, order["task"], order["run"])
        return reply

    def end(self, run, how):
        super().end(run, how)
        self.register.ended(self.identifier, run.task, how)


class Soak:
    """One seed."""

    def __init__(self, deployment, register, seed):
        self.deployment = deployment
        self.register = register
        self.random = random.Random(seed)
        self.version = 1
        self.answers = {}
        self.sent = None
        self.log = []

    def note(self, text):
        self.log.append(f"{trio.current_time() % 1000:8.2f} {text}")

    async def run(self, seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_leases)
            nursery.start_soon(self.load, nursery)
            nursery.start_soon(self.change_configurations)
            nursery.start_soon(self.faults, nursery)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()
        await self.mend()
        await self.check_end()

    async def watch_leases(self):
        """Have leases run out in time, also where no one asks."""
        while True:
            for worker in self.deployment.workers:
                worker.lapse()
            await trio.sleep(0.01)

    async def load(self, nursery):
        while True:
            await trio.sleep(self.random.expovariate(REQUESTS_PER_S))
            nursery.start_soon(
                self.request, self.random.choice(self.deployment.entries)
            )

    async def request(self, machine):
        tasks = self.random.choice((1, 2, 4, 8))
        identifier, reply = await self.deployment.submit(machine, tasks)
        self.answers[identifier] = reply
        if reply == (200, {"state": "completed"}):
            for index in range(tasks):
                if f"{identifier}.0.0.{index}" not in self.register.done:
                    self.register.broken.append(f"PARTIAL {identifier} task {index}")

    async def change_configurations(self):
        while True:
            await trio.sleep(self.random.uniform(1.0, 3.0))
            self.version += self.random.randint(1, 3)
            with trio.move_on_after(4.0):
                self.sent = await self.deployment.put(self.version, extra=self.version)
                self.note(f"configuration {self.version} acknowledged")

    # Faults.

    async def faults(self, nursery):
        while True:
            await trio.sleep(self.random.uniform(*FAULT_EVERY_S))
            lasts_s = self.random.uniform(*FAULT_LASTS_S)
            if self.random.random() < 0.5:
                worker = self.random.choice(self.deployment.workers)
                kind = self.random.choice(WORKER_FAULTS)
                self.note(f"{kind} {worker.identifier} for {lasts_s:.1f} s")
                nursery.start_soon(self.worker_fault, worker, kind, lasts_s)
            else:
                kind = self.random.choice(HOST_FAULTS)
                machine = self.random.choice(
                    self.deployment.entries
                    if self.random.random() < 0.6
                    else self.deployment.controls
                )
                self.note(f"{kind} {machine.name} for {lasts_s:.1f} s")
                nursery.start_soon(self.host_fault, machine, kind, lasts_s)

    async def worker_fault(self, worker, kind, lasts_s):
        proxy = self.deployment.proxies[worker.identifier]
        links = {
            "cut": Fault.CUT,
            "silent": Fault.SILENT,
            "one way": self.random.choice(
                (Fault.TO_SERVER_SILENT, Fault.TO_CLIENT_SILENT)
            ),
        }
        if kind in links:
            proxy.set_fault(links[kind])
            await trio.sleep(lasts_s)
            proxy.set_fault(Fault.NONE)
            proxy.silence_open_connections()
            return
        if kind == "lose":
            worker.lose_answers_of = {"/-/run-start", "/-/hold", "/-/run-stop"}
            return
        if kind == "drain":
            worker.draining = True
        elif kind == "fail":
            worker.how = "failed"
        else:
            worker.task_s = 60.0 if kind == "hang" else 0.5
        await trio.sleep(lasts_s)
        worker.draining, worker.how, worker.task_s = False, "done", 0.05

    async def host_fault(self, machine, kind, lasts_s):
        if kind == "kill all controls":
            await self.kill_all_controls(lasts_s)
        elif machine.process.poll() is None:
            if kind == "freeze":
                await self.freeze(machine, lasts_s)
            elif kind == "hup":
                machine.process.send_signal(signal.SIGHUP)
            else:
                await self.end(machine, kind, lasts_s)

    async def kill_all_controls(self, lasts_s):
        for control in self.deployment.controls:
            control.kill()
        await trio.sleep(lasts_s)
        for control in self.deployment.controls:
            self.deployment.restart(control)

    async def freeze(self, machine, lasts_s):
        process = machine.process
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(lasts_s)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def end(self, machine, kind, lasts_s):
        """Kill a process, or have it stop, and start it again."""
        process = machine.process
        if kind == "term":
            process.send_signal(signal.SIGTERM)
            with trio.move_on_after(GRACE_S):
                while process.poll() is None:
                    await trio.sleep(0.05)
        if kind == "wipe" and self.may_wipe(machine):
            machine.kill()
            for path in (self.deployment.folder / machine.name).iterdir():
                path.unlink()
        machine.kill()
        await trio.sleep(lasts_s / 3)
        self.deployment.restart(machine)

    def may_wipe(self, machine):
        """Tell whether no more disks are lost at once than may be."""
        others = [each for each in self.deployment.controls if each is not machine]
        up = all(each.process.poll() is None for each in others)
        return machine.program == "control" and up and not self.wiped_lately()

    def wiped_lately(self):
        """Tell whether a disk was lost so lately that its host may not hold all."""
        now = trio.current_time()
        lately = now - getattr(self, "wiped_s", -1e9) < 8.0
        if not lately:
            self.wiped_s = now
        return lately

    # The end.

    async def mend(self):
        for worker in self.deployment.workers:
            worker.draining, worker.how, worker.task_s = False, "done", 0.05
            self.deployment.proxies[worker.identifier].set_fault(Fault.NONE)
        for machine in (*self.deployment.controls, *self.deployment.entries):
            if machine.process.poll() is not None:
                self.deployment.restart(machine)
            machine.process.send_signal(signal.SIGCONT)

    async def check_end(self):
        lapse = trio.current_time() + BACK_WITHIN_S
        reply = None
        while trio.current_time() < lapse:
            for worker in self.deployment.workers:
                worker.lapse()
            _, reply = await self.deployment.submit(self.deployment.entries[0])
            if reply == (200, {"state": "completed"}):
                break
            await trio.sleep(0.05)
        else:
            self.register.broken.append(f"RECOVER nothing served: {reply}")
        self.version += 1
        sent = await self.deployment.put(self.version)
        await trio.sleep(IN_FORCE_S)
        for machine in self.deployment.controls:
            reply = await self.deployment.read(machine)
            if reply not in ((200, sent), None) and reply[0] != 503:
                self.register.broken.append(f"CONFIG {machine.name} reads {reply}")
        for identifier, reply in self.answers.items():
            if (
                reply is not None
                and reply[0] == 503
                and (identifier in self.register.started)
            ):
                self.register.broken.append(f"REFUSED {identifier} ran: {reply}")


async def play(seed, seconds, folder):
    """Play one seed; return what was broken and what happened."""
    register = Register()
    WatchedWorker.register = register
    async with deployed(
        folder, entries=5, workers=6, kind=WatchedWorker, proxied=True
    ) as deployment:
        soak = Soak(deployment, register, seed)
        await soak.run(seconds)
    codes = [reply and reply[0] for reply in soak.answers.values()]
    counts = {code: codes.count(code) for code in sorted(set(codes), key=str)}
    return register.broken, soak.log, counts


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as folder:
            broken, log, counts = trio.run(play, seed, options.seconds, Path(folder))
            print(f"seed {seed}: {counts} {'BROKEN' if broken else 'kept'}", flush=True)
            if broken:
                kept = Path("out") / f"soak-{seed}"
                kept.mkdir(parents=True, exist_ok=True)
                for path in Path(folder).glob("*.log"):
                    (kept / path.name).write_bytes(path.read_bytes())
                (kept / "soak.txt").write_text("\n".join(broken + log))
                print("\n".join(broken[:5]))


if __name__ == "__main__":
    main()
