"""TCP proxy that forwards, closes or silences the connections through it."""

import enum

import trio

PIECE_BYTES = 65_536


class Fault(enum.Enum):
    """Fault that is applied to connections.

    ``CUT`` closes connections and refuses new ones. ``SILENT`` discards all bytes in
    both directions while connections stay open. ``TO_SERVER_SILENT`` and
    ``TO_CLIENT_SILENT`` discard the bytes of one direction.
    """

    NONE = "none"
    CUT = "cut"
    SILENT = "silent"
    TO_SERVER_SILENT = "to_server_silent"
    TO_CLIENT_SILENT = "to_client_silent"


class FaultyProxy:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    target : tuple of str and int
        IP number and port of the server.
    """

    def __init__(self, target):
        self.target = target
        self.address = None
        self.accepted = 0
        self._fault = Fault.NONE
        self._silenced = set()
        self._scopes = {}

    def set_fault(self, fault):
        """Apply a fault to all open and future connections."""
        self._fault = fault
        if fault is Fault.CUT:
            for scope in list(self._scopes.values()):
                scope.cancel()

    def silence_open_connections(self):
        """Silence the currently open connections permanently; new ones work."""
        self._silenced.update(self._scopes)

    async def run(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        self.address = f"{host}:{port}"
        task_status.started(self)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client):
        self.accepted += 1
        number = self.accepted
        if self._fault is Fault.CUT:
            await trio.aclose_forcefully(client)
            return
        try:
            server = await trio.open_tcp_stream(*self.target)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        try:
            async with trio.open_nursery() as nursery:
                self._scopes[number] = nursery.cancel_scope
                one_way = Fault.TO_SERVER_SILENT
                nursery.start_soon(self._pump, number, client, server, one_way, nursery)
                one_way = Fault.TO_CLIENT_SILENT
                nursery.start_soon(self._pump, number, server, client, one_way, nursery)
        finally:
            del self._scopes[number]
            self._silenced.discard(number)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(client)
                await trio.aclose_forcefully(server)

    async def _pump(self, number, source, sink, one_way, nursery):
        try:
            async for piece in source:
                silent = self._fault in (Fault.SILENT, one_way)
                if number not in self._silenced and not silent:
                    await sink.send_all(piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if number not in self._silenced:
            nursery.cancel_scope.cancel()
