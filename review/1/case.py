"""An entry host that dispatches stands still for a second, again and again."""

import random
import signal
import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    RESEND_S,
    Platform,
    call,
    job_body,
    now_s,
    overlaps,
    route,
    run_case,
)

LOAD_S = 90.0
FREEZE_S = 1.0
BETWEEN_FREEZES_S = 1.5
TIMEOUT_MS = 8000
# Requests a second, tasks, and run time of a task; the longest run twice as long as the
# mean of the site's second kind.
KINDS = {
    "/sekk/": (5.0, 8, 51),
    "/henting/": (15.0, 2, 170),
    "/klassing/": (45.0, 2, 1500),
}


class Clients:
    """Clients of all kinds, which send a job again as `PROTOCOL.md` says."""

    def __init__(self, platform, seed):
        self.platform = platform
        self.random = random.Random(seed)
        self.jobs = 0
        self.answers = {}

    async def load(self, prefix, per_s, tasks, work_ms):
        """Send requests of one kind for the time of the load."""
        async with trio.open_nursery() as nursery:
            end_s = now_s() + LOAD_S
            while now_s() < end_s:
                await trio.sleep(self.random.expovariate(per_s))
                self.jobs += 1
                job = f"{self.random.getrandbits(64):016x}"
                nursery.start_soon(self.client, prefix + job, tasks, work_ms)

    async def client(self, path, tasks, work_ms):
        """Send one job until it has an answer or is refused."""
        note = self.platform.record.note
        headers = [("Currantwell-Deadline-Ms", TIMEOUT_MS)]
        body = job_body(tasks, work_ms)
        status = None
        while status in (None, 502, 504) and now_s() < LOAD_S + 15.0:
            entry = self.random.choice(self.platform.entries)
            note("client: POST", path, "to", entry.name)
            address = entry.front_address
            answer = await call(
                address, "POST", path, HOST, body, headers, TIMEOUT_MS / 1000
            )
            note("client: answer", path, answer)
            status = None if answer is None else answer[0]
            self.answers[status] = self.answers.get(status, 0) + 1
            await trio.sleep(RESEND_S)


async def freeze_in_turn(platform, trouble):
    """Freeze the first entry host of each zone in turn, one at a time."""
    number = 0
    while trouble:
        await trio.sleep(BETWEEN_FREEZES_S)
        machine = platform.entries[number % 3]
        number += 1
        machine.send_signal(signal.SIGSTOP)
        await trio.sleep(FREEZE_S)
        machine.send_signal(signal.SIGCONT)


async def case(folder, trouble):
    """Return whether no task ran twice at the same time."""
    platform = Platform(folder, entries=6)
    seed = random.randrange(10**6)
    platform.record.note("seed", seed)
    try:
        async with trio.open_nursery() as nursery:
            routes = [
                route(prefix.strip("/"), prefix, TIMEOUT_MS, priority)
                for priority, prefix in enumerate(KINDS)
            ]
            await platform.start(nursery, routes)
            clients = Clients(platform, seed)
            nursery.start_soon(freeze_in_turn, platform, trouble)
            async with trio.open_nursery() as loads:
                for prefix, kind in KINDS.items():
                    loads.start_soon(clients.load, prefix, *kind)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        # A stop may take 50 ms.
        found = overlaps(platform.runs, at_least_s=0.1)
        for first, second, for_s in found:
            platform.record.note(
                f"TWICE: task {first.task}: run {first.run} on {first.worker} from "
                f"{first.began_s:.3f} and run {second.run} on {second.worker} from "
                f"{second.began_s:.3f}, together for {for_s:.3f} s"
            )
        print(
            f"{clients.jobs} jobs, answers {clients.answers}, {len(platform.runs)} "
            f"runs, {len(found)} at the same time as another run of their task"
        )
        return not found
    finally:
        platform.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
