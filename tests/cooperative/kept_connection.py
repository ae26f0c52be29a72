"""A connection of a client that is used for many requests, until the host closes it."""

import json

import trio

from tests.cooperative.deployment import TRAFFIC_PORT

REPLY_TIMEOUT_S = 4.0


class KeptConnection:
    """A connection to an entry host.

    Attributes
    ----------
    open : bool
        Whether further requests may be sent.
    unanswered : list of str
        Jobs whose whole request was sent and whose reply didn't arrive in full.
    replies : dict
        Status and headers of each reply, by job.
    """

    def __init__(self, deployment, machine):
        self.open = False
        self.unanswered = []
        self.replies = {}
        self._deployment = deployment
        self._machine = machine
        self._stream = None

    async def connect(self):
        try:
            self._stream = await trio.open_tcp_stream(self._machine.ip, TRAFFIC_PORT)
        except OSError:
            return
        self.open = True

    async def close(self):
        self.open = False
        if self._stream is not None:
            await self._stream.aclose()

    async def submit(self, tasks=1, pause_s=0.0, last_bytes=1):
        """Submit a job; pause before the last bytes of its body. Return its id."""
        self._deployment.jobs += 1
        identifier = f"{self._deployment.jobs:016x}"
        step = {"count": tasks, "cpu_millicores": 2000, "estimated_ms": 50}
        job = {"task_spec": "text", "best_effort": True, "steps": [step]}
        body = json.dumps(job).encode()
        head = (
            f"POST /p/{identifier} HTTP/1.1\r\nhost: a.example\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        try:
            if pause_s:
                await self._stream.send_all(data[:-last_bytes])
                await trio.sleep(pause_s)
                data = data[-last_bytes:]
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            await self.close()
            return identifier
        reply = await self._reply()
        if reply is None:
            self.unanswered.append(identifier)
            await self.close()
            return identifier
        self.replies[identifier] = reply
        if reply[1].get("connection") == "close":
            await self.close()
        return identifier

    async def _reply(self):
        data = b""
        with trio.move_on_after(REPLY_TIMEOUT_S):
            while True:
                try:
                    part = await self._stream.receive_some()
                except trio.BrokenResourceError:
                    return None
                data += part
                head, end, body = data.partition(b"\r\n\r\n")
                if end:
                    first, *lines = head.decode().lower().split("\r\n")
                    headers = dict(line.split(": ", 1) for line in lines)
                    if len(body) == int(headers["content-length"]):
                        return int(first.split()[1]), headers
                if not part:
                    return None
        return None
