"""An entry host is stopped, and requests still come over connections that it has."""

import signal
import sys
from pathlib import Path

import trio

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
    Connection,
    Platform,
    job_body,
    now_s,
    request_bytes,
    route,
    run_case,
)

# The bound `grace_s`, after which the platform kills the process.
GRACE_S = 6.0
TIMEOUT_MS = 8000
WORK_MS = 3000
# A request that is under way when the host is told to stop, and ends long before the
# last sixth of the grace time.
EARLY_WORK_MS = 4000
# When requests are sent, counted from the SIGTERM. All are later than the 3 s up to
# which the rule excuses work that goes on in the last sixth of the grace time.
SENT_AFTER_S = (3.1, 3.2, 3.3, 3.4, 3.5, 3.6)


class Client:
    """Uses one connection for a short request, and later for a longer one."""

    def __init__(self, platform, machine, number):
        self.platform, self.machine = platform, machine
        self.job = f"{number:016x}"
        self.path = f"/klassing/{self.job}"
        self.stream = None
        self.connection = None
        self.sent_s = None
        self.over_s = None
        self.answer = None

    async def connect(self):
        """Open the connection and have one short request served over it."""
        ip, _, port = self.machine.front_address.rpartition(":")
        self.stream = await trio.open_tcp_stream(ip, int(port))
        self.connection = Connection(self.stream)
        answer = await self._exchange(f"/klassing/f{self.job[1:]}", 50)
        if answer is None or not answer[0].startswith("HTTP/1.1 200"):
            raise RuntimeError(f"no service before the stop: {answer}")

    async def send(self, delay_s, work_ms=WORK_MS):
        """Send the longer request after a delay, and wait for its answer."""
        await trio.sleep(delay_s)
        note = self.platform.record.note
        note("client: POST", self.path, "to", self.machine.name)
        self.sent_s = now_s()
        self.answer = await self._exchange(self.path, work_ms)
        self.over_s = now_s()
        first = self.answer and self.answer[0]
        note("client: answer", self.path, first or "none: the connection has ended")
        await self.stream.aclose()

    async def _exchange(self, path, work_ms):
        headers = [("Currantwell-Deadline-Ms", TIMEOUT_MS)]
        body = job_body(1, work_ms)
        try:
            await self.stream.send_all(request_bytes("POST", path, HOST, body, headers))
        except trio.BrokenResourceError:
            return None
        with trio.move_on_after(TIMEOUT_MS / 1000):
            return await self.connection.message()
        return None

    def is_lost(self):
        """Return whether a worker had the job, and the connection ended unanswered."""
        started = any(run.task.startswith(self.job) for run in self.platform.runs)
        in_time = self.over_s - self.sent_s < TIMEOUT_MS / 1000 - 0.2
        return self.answer is None and started and in_time


async def stop(platform, machine, trouble):
    """Stop a machine as the platform does, and start it again."""
    if not trouble:
        await trio.sleep(GRACE_S)
        return
    machine.send_signal(signal.SIGTERM)
    with trio.move_on_after(GRACE_S):
        while machine.process.poll() is None:
            await trio.sleep(0.02)
    code = machine.process.poll()
    platform.record.note("platform:", machine.name, "has ended, code", code)
    machine.end()
    machine.start(first=False)


async def case(folder, trouble):
    """Return whether each request that a worker got was answered."""
    platform = Platform(folder, entries=6)
    clients = []
    try:
        async with trio.open_nursery() as nursery:
            await platform.start(nursery, [route("klassing", "/klassing/", TIMEOUT_MS)])
            await trio.sleep(1.0)
            for machine in platform.entries[:3]:
                batch = [
                    Client(platform, machine, len(clients) + number)
                    for number in range(1 + len(SENT_AFTER_S))
                ]
                clients += batch
                for client in batch:
                    await client.connect()
                early, *late = batch
                async with trio.open_nursery() as requests:
                    requests.start_soon(early.send, 0.0, EARLY_WORK_MS)
                    await trio.sleep(0.1)
                    requests.start_soon(stop, platform, machine, trouble)
                    for client, after_s in zip(late, SENT_AFTER_S, strict=True):
                        requests.start_soon(client.send, after_s)
                # No unplanned disruption is near; the host comes back before the next.
                await trio.sleep(4.0)
            nursery.cancel_scope.cancel()
        lost = [client for client in clients if client.is_lost()]
        for client in lost:
            platform.record.note(
                f"LOST: {client.path}, sent at {client.sent_s:.3f}, was passed on to a "
                f"worker; its connection ended at {client.over_s:.3f} without an answer"
            )
        answers = sorted(
            {str(client.answer and client.answer[0]) for client in clients}
        )
        print(f"{len(clients)} requests, answers {answers}, {len(lost)} lost")
        return not lost
    finally:
        platform.close()


if __name__ == "__main__":
    run_case(FOLDER, case)
