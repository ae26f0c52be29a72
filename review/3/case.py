"""Clients leave soon after their request, and send their job again 1.3 s later."""

import random
import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    RESEND_S,
    Connection,
    Platform,
    call,
    job_body,
    now_s,
    overlaps,
    request_bytes,
    route,
    run_case,
)

LOAD_S = 70.0
GIVE_UP_SHARE = 0.35
# Less than half of the aim of the requests, which is 60 ms.
LEAVE_WITHIN_S = 0.002
SPELL_S, BETWEEN_SPELLS_S = 12.0, 3.0
TIMEOUT_MS = 8000
# Requests a second, tasks, and run time of a task: those of the small sites, but for
# the longest, which are those of the tail of the second kind.
KINDS = {
    "/sekk/": (15.0, 8, 51),
    "/henting/": (15.0, 2, 170),
    "/klassing/": (50.0, 1, 2500),
}


class Clients:
    """Clients of all kinds; each request goes to an entry host drawn at random."""

    def __init__(self, platform, trouble, seed):
        self.platform = platform
        self.trouble = trouble
        self.give_up = False
        self.asked_in_spell = 0
        self.left_in_spell = 0
        self.random = random.Random(seed)
        self.jobs = 0
        self.left = 0
        self.answers = {}

    async def spells(self):
        """Have a share of the clients leave, for some seconds at a time."""
        while self.trouble:
            self.platform.record.note("clients begin to leave")
            self.asked_in_spell = self.left_in_spell = 0
            self.give_up = True
            await trio.sleep(SPELL_S)
            self.give_up = False
            await trio.sleep(BETWEEN_SPELLS_S)

    async def load(self, prefix, per_s, tasks, work_ms):
        """Send requests of one kind for the time of the load."""
        async with trio.open_nursery() as nursery:
            end_s = now_s() + LOAD_S
            while now_s() < end_s:
                await trio.sleep(self.random.expovariate(per_s))
                self.jobs += 1
                job = f"{self.random.getrandbits(64):016x}"
                nursery.start_soon(self.client, prefix + job, tasks, work_ms)

    def leaves_now(self):
        """Return whether the next client leaves; never more than the share do."""
        if not self.give_up:
            return False
        self.asked_in_spell += 1
        allowed = int(GIVE_UP_SHARE * self.asked_in_spell)
        if self.left_in_spell >= allowed or self.random.random() >= 0.9:
            return False
        self.left_in_spell += 1
        return True

    async def client(self, path, tasks, work_ms):
        """Send one job; if the client leaves, send it again later."""
        note = self.platform.record.note
        headers = [("Currantwell-Deadline-Ms", TIMEOUT_MS)]
        body = job_body(tasks, work_ms)
        entry = self.random.choice(self.platform.entries)
        note("client: POST", path, "to", entry.name)
        leaves = self.leaves_now()
        if leaves:
            ip, _, port = entry.front_address.rpartition(":")
            async with await trio.open_tcp_stream(ip, int(port)) as stream:
                await stream.send_all(request_bytes("POST", path, HOST, body, headers))
                with trio.move_on_after(self.random.uniform(0.0, LEAVE_WITHIN_S)):
                    await Connection(stream).message()
            note("client: leaves", path)
            self.left += 1
            await trio.sleep(RESEND_S)
            entry = self.random.choice(self.platform.entries)
            note("client: POST again", path, "to", entry.name)
        answer = await call(
            entry.front_address, "POST", path, HOST, body, headers, TIMEOUT_MS / 1000
        )
        note("client: answer", path, answer)
        status = None if answer is None else answer[0]
        self.answers[status] = self.answers.get(status, 0) + 1


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
            clients = Clients(platform, trouble, seed)
            nursery.start_soon(clients.spells)
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
            f"{clients.jobs} jobs, {clients.left} clients left, answers "
            f"{clients.answers}, {len(platform.runs)} runs, {len(found)} at the same "
            "time as another run of their task"
        )
        return not found
    finally:
        platform.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
