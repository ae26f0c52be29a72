"""Carries messages between members over the requests between hosts.

A message goes back as the answer to an open request of its receiver where there is
one, so that a heartbeat and its reply cost one request.
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
MAX_SENDING = 8

Receive = Callable[[Envelope], None]


class _Request:
    """A request of another host that waits for its answer."""

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.envelopes: Sequence[Envelope] = ()


class RaftTransport:
    """Sends and answers envelopes.

    Parameters
    ----------
    peers : PeerNetwork
        The way to other hosts.
    receive : callable
        Takes in an envelope.
    """

    def __init__(self, peers: PeerNetwork, receive: Receive) -> None:
        self._peers = peers
        self._receive = receive
        self._open: dict[HostId, list[_Request]] = {}
        self._sending: dict[HostId, int] = {}
        self._installing: set[HostId] = set()

    async def envelopes_sent(
        self, host: HostId, request: EnvelopesSent
    ) -> EnvelopesAnswered:
        """Take in messages and return those that go back."""
        self._receive_all(host, request.envelopes)
        waiting = _Request()
        self._open.setdefault(host, []).append(waiting)
        await waiting.answered.wait()
        return EnvelopesAnswered(tuple(waiting.envelopes))

    def take_requests(self) -> dict[HostId, list[_Request]]:
        """Return the requests whose messages have all been taken in."""
        requests, self._open = self._open, {}
        return requests

    def answer(
        self,
        requests: dict[HostId, list[_Request]],
        envelopes: Sequence[Envelope],
        nursery: trio.Nursery,
    ) -> None:
        """Answer requests with the messages to their senders; send the others."""
        others: list[Envelope] = []
        for host, group in _by_host(envelopes).items():
            if host in requests:
                requests[host][0].envelopes = group
            else:
                others.extend(group)
        for waiting in requests.values():
            for request in waiting:
                request.answered.set()
        self.send(others, nursery)

    def send(self, envelopes: Sequence[Envelope], nursery: trio.Nursery) -> None:
        """Send messages; they may get lost."""
        for host, group in _by_host(envelopes).items():
            if self._sending.get(host, 0) < MAX_SENDING:
                nursery.start_soon(self._send, host, group)

    async def _send(self, host: HostId, group: Sequence[Envelope]) -> None:
        installs = any(isinstance(e.message, InstallRequest) for e in group)
        if installs and host in self._installing:
            return
        self._sending[host] = self._sending.get(host, 0) + 1
        if installs:
            self._installing.add(host)
        timeout_s = INSTALL_TIMEOUT_S if installs else SEND_TIMEOUT_S
        message = EnvelopesSent(tuple(group))
        try:
            answer = await self._peers.request(
                host, message, EnvelopesAnswered, timeout_s
            )
            self._receive_all(host, answer.envelopes)
        except PeerUnreachable:
            pass
        finally:
            self._sending[host] -= 1
            if installs:
                self._installing.discard(host)

    def _receive_all(self, host: HostId, envelopes: Sequence[Envelope]) -> None:
        for envelope in envelopes:
            if host_of(envelope.sender) == host:
                self._receive(envelope)


def _by_host(envelopes: Sequence[Envelope]) -> dict[HostId, list[Envelope]]:
    groups: dict[HostId, list[Envelope]] = {}
    for envelope in envelopes:
        groups.setdefault(host_of(envelope.to), []).append(envelope)
    return groups
