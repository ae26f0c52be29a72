"""A connection of a client that is used for many requests, until the host closes it."""

import trio

REPLY_TIMEOUT_S = 4.0


class KeptConnection:
    """A connection to a host.

    Parameters
    ----------
    address : tuple
        IP address and port of the host.
    timeout_s : float
        How long the client waits for a reply, in seconds.

    Attributes
    ----------
    open : bool
        Whether further requests may be sent.
    unanswered : list of str
        Requests that were sent in full and whose reply didn't arrive in full.
    replies : dict
        Status and headers of each reply, by the name of the request.
    """

    def __init__(self, address, timeout_s=REPLY_TIMEOUT_S):
        self.open = False
        self.unanswered = []
        self.replies = {}
        self._address = address
        self._timeout_s = timeout_s
        self._stream = None

    async def connect(self):
        try:
            self._stream = await trio.open_tcp_stream(*self._address)
        except OSError:
            return
        self.open = True

    async def close(self):
        self.open = False
        if self._stream is not None:
            await self._stream.aclose()

    async def exchange(self, name, method, path, body=b"", pause_s=0.0):
        """Send a request; pause before the last byte of its body."""
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: a.example\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        data = head.encode() + body
        try:
            if pause_s:
                await self._stream.send_all(data[:-1])
                await trio.sleep(pause_s)
                data = data[-1:]
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            await self.close()
            return
        reply = await self._reply()
        if reply is None:
            self.unanswered.append(name)
            await self.close()
            return
        self.replies[name] = reply
        if reply[1].get("connection") == "close":
            await self.close()

    async def _reply(self):
        data = b""
        with trio.move_on_after(self._timeout_s):
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
