"""Sends consensus messages between members by requests between hosts.

A message to a host that has an open request here is sent as the reply to that request,
so that a heartbeat and its reply take one request.
"""

from collections.abc import Callable, Sequence

import trio

from .consensus_messages import Envelope, InstallRequest, host_of
from .errors import PeerUnreachable
from .ids import HostId
from .peers import PeerNetwork
from .raft_messages import EnvelopesAnswered, EnvelopesSent

__all__ = ["RaftTransport"]

SEND_TIMEOUT_S = 1.0
INSTALL_TIMEOUT_S = 10.0
MAX_REQUESTS_IN_FLIGHT = 8

Receive = Callable[[Envelope], None]


class _OpenRequest:
    """A request of another host that was not replied to yet."""

    def __init__(self) -> None:
        self.replied = trio.Event()
        self.envelopes: Sequence[Envelope] = ()


class RaftTransport:
    """Sends and receives envelopes.

    Parameters
    ----------
    peers : PeerNetwork
        Sends requests to other hosts.
    receive : callable
        Processes a received envelope.
    """

    def __init__(self, peers: PeerNetwork, receive: Receive) -> None:
        self._peers = peers
        self._receive = receive
        self._open_requests: dict[HostId, list[_OpenRequest]] = {}
        self._in_flight: dict[HostId, int] = {}
        self._sending_snapshot: set[HostId] = set()

    async def handle_envelopes(
        self, host: HostId, request: EnvelopesSent
    ) -> EnvelopesAnswered:
        """Process the messages of a request and reply with messages to its sender."""
        self._receive_all(host, request.envelopes)
        pending = _OpenRequest()
        self._open_requests.setdefault(host, []).append(pending)
        await pending.replied.wait()
        return EnvelopesAnswered(tuple(pending.envelopes))

    def take_open_requests(self) -> dict[HostId, list[_OpenRequest]]:
        """Remove and return the requests whose messages have all been processed."""
        requests, self._open_requests = self._open_requests, {}
        return requests

    def send_replies(
        self,
        requests: dict[HostId, list[_OpenRequest]],
        envelopes: Sequence[Envelope],
        nursery: trio.Nursery,
    ) -> None:
        """Reply to requests with the messages to their senders; send all others."""
        unsent: list[Envelope] = []
        for host, batch in _by_host(envelopes).items():
            if host in requests:
                requests[host][0].envelopes = batch
            else:
                unsent.extend(batch)
        for pending in requests.values():
            for request in pending:
                request.replied.set()
        self.send(unsent, nursery)

    def send(self, envelopes: Sequence[Envelope], nursery: trio.Nursery) -> None:
        """Send messages without waiting; they may be lost.

        Messages are dropped while `MAX_REQUESTS_IN_FLIGHT` requests to their host are
        open, and those sent together with a snapshot while another one is on its way.
        """
        for host, batch in _by_host(envelopes).items():
            if self._in_flight.get(host, 0) < MAX_REQUESTS_IN_FLIGHT:
                nursery.start_soon(self._send, host, batch)

    async def _send(self, host: HostId, batch: Sequence[Envelope]) -> None:
        has_snapshot = any(isinstance(e.message, InstallRequest) for e in batch)
        if has_snapshot and host in self._sending_snapshot:
            return
        self._in_flight[host] = self._in_flight.get(host, 0) + 1
        if has_snapshot:
            self._sending_snapshot.add(host)
        timeout_s = INSTALL_TIMEOUT_S if has_snapshot else SEND_TIMEOUT_S
        message = EnvelopesSent(tuple(batch))
        try:
            reply = await self._peers.request(
                host, message, EnvelopesAnswered, timeout_s
            )
            self._receive_all(host, reply.envelopes)
        except PeerUnreachable:
            pass
        finally:
            self._in_flight[host] -= 1
            if has_snapshot:
                self._sending_snapshot.discard(host)

    def _receive_all(self, host: HostId, envelopes: Sequence[Envelope]) -> None:
        for envelope in envelopes:
            if host_of(envelope.sender) == host:
                self._receive(envelope)


def _by_host(envelopes: Sequence[Envelope]) -> dict[HostId, list[Envelope]]:
    batches: dict[HostId, list[Envelope]] = {}
    for envelope in envelopes:
        batches.setdefault(host_of(envelope.to), []).append(envelope)
    return batches
