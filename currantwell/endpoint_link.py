"""The link from a primary to one endpoint: starts out, results in.

Two long-lived requests carry lines of JSON: starts, stops and lease grants go out in
the body of one, results, replies and beats come back in the body of the other. One
batch is under way at a time; what becomes ready meanwhile goes together in the next.
A batch that is not answered in time is sent again on a new connection, and a result
stream that falls silent is opened anew from the last durable result, since an open
connection may have gone silent for good while new ones work.
"""

from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import Protocol

import msgspec
import trio

from .endpoint_protocol import (
    AdoptReply,
    AdoptRequest,
    AttemptRef,
    Heartbeat,
    LeaseGrant,
    ResultLine,
    ResultStreamLine,
    Start,
    StartBatch,
    StartReply,
    StartStreamLine,
)
from .errors import Deposed, EndpointUnreachable, StreamRefused
from .http_client import HttpClient
from .ids import EndpointId, Epoch, Incarnation
from .progress import AttemptProgress

__all__ = ["EndpointLink", "Link", "LinkHandler", "MakeLink"]

REPLY_TIMEOUT_S = 1.0
SILENCE_S = 4.0
RETRY_PAUSE_S = 0.2
MAX_BATCH_STARTS = 256
STALE_EPOCH_STATUS = 409
INCARNATION_OVER_STATUS = 410

_encoder = msgspec.json.Encoder()
_held_decoder = msgspec.json.Decoder(AdoptReply)
_line_decoder: msgspec.json.Decoder[ResultStreamLine] = msgspec.json.Decoder(
    ResultStreamLine
)


class LinkHandler(Protocol):
    """Whom a link tells what its endpoint says."""

    async def batch_answered(
        self, endpoint: EndpointId, batch: StartBatch, reply: StartReply
    ) -> None:
        """Take in which starts of a batch the endpoint refused."""
        ...

    async def results_received(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        results: Sequence[ResultLine],
    ) -> None:
        """Return once the results are durable."""
        ...

    async def held_attempts_received(
        self, endpoint: EndpointId, held: AdoptReply
    ) -> None:
        """Take in what an adopted endpoint holds."""
        ...

    def heartbeat_received(
        self, endpoint: EndpointId, beat: Heartbeat
    ) -> LeaseGrant | None:
        """Take in a sign of life and return the lease granted, if any."""
        ...

    def progress_received(
        self, endpoint: EndpointId, progress: Mapping[AttemptRef, AttemptProgress]
    ) -> None:
        """Take in how far attempts have come."""
        ...

    def endpoint_reachability_changed(
        self, endpoint: EndpointId, answers: bool
    ) -> None:
        """Note whether the endpoint answers."""
        ...

    def newer_epoch_seen(self, endpoint: EndpointId) -> None:
        """Note that the endpoint has seen a newer epoch."""
        ...


class Link(Protocol):
    """Carries starts and stops to one incarnation of an endpoint."""

    def send(self, starts: Sequence[Start], stops: Sequence[AttemptRef] = ()) -> None:
        """Queue starts and stops."""
        ...

    def close(self) -> None:
        """Stop sending and listening."""
        ...

    async def run(self) -> None:
        """Adopt the endpoint, then send and listen until closed."""
        ...


MakeLink = Callable[[EndpointId, Incarnation, str, Epoch, LinkHandler], Link]


class EndpointLink:
    """Sends to one incarnation of an endpoint and listens to it.

    There is at most one link to an incarnation in an epoch, since the numbers of
    its batches are the endpoint's guard against starts that arrive late or twice.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    incarnation : Incarnation
        Its incarnation.
    url : str
        Where it serves.
    epoch : Epoch
        The epoch under which the host acts.
    owner : LinkHandler
        Whom to tell.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        url: str,
        epoch: Epoch,
        owner: LinkHandler,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.url = url
        self.epoch = epoch
        self.batches_sent = 0
        self.batches_resent = 0
        self._owner = owner
        self._query = f"epoch={epoch}&incarnation={incarnation}"
        self._client = HttpClient(url, max_connections=4)
        self._starts: list[Start] = []
        self._stops: list[AttemptRef] = []
        self._grant: LeaseGrant | None = None
        self._pending: StartBatch | None = None
        self._changed = trio.Event()
        self._batch_sent = trio.Event()
        self._acked_seq = 0
        self._scope = trio.CancelScope()

    def send(self, starts: Sequence[Start], stops: Sequence[AttemptRef] = ()) -> None:
        """Queue starts and stops; they leave as soon as the last batch is answered."""
        self._starts.extend(starts)
        self._stops.extend(stops)
        self._changed.set()

    def close(self) -> None:
        """Stop sending and listening."""
        self._scope.cancel()

    async def run(self) -> None:
        """Adopt the endpoint, then send and listen until closed."""
        try:
            with self._scope:
                await self._adopt()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_loop)
                    nursery.start_soon(self._listen_loop)
        except* Deposed:
            self._owner.newer_epoch_seen(self.endpoint)
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1.0):
                await self._client.close()

    async def _adopt(self) -> None:
        body = _encoder.encode(AdoptRequest(self.epoch, self.incarnation))
        while True:
            try:
                reply = await self._client.request(
                    "POST", "/v1/adopt", body, REPLY_TIMEOUT_S
                )
            except EndpointUnreachable:
                self._owner.endpoint_reachability_changed(self.endpoint, False)
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self._check_status(reply.status)
            if reply.status == 200:
                held = _held_decoder.decode(reply.body)
                await self._owner.held_attempts_received(self.endpoint, held)
                return
            await trio.sleep(RETRY_PAUSE_S)

    def _check_status(self, status: int) -> None:
        if status == STALE_EPOCH_STATUS:
            raise Deposed(f"{self.endpoint} has seen a newer epoch")
        if status == INCARNATION_OVER_STATUS:
            self._owner.endpoint_reachability_changed(self.endpoint, False)
            self.close()

    # Out.

    async def _send_loop(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._upload, nursery.cancel_scope)
                nursery.start_soon(self._watch_replies, nursery.cancel_scope)
            self._owner.endpoint_reachability_changed(self.endpoint, False)
            await trio.sleep(RETRY_PAUSE_S)

    async def _upload(self, scope: trio.CancelScope) -> None:
        """Send lines until the connection ends."""
        path = f"/v1/starts?{self._query}"
        try:
            reply = await self._client.upload(path, self._outgoing())
        except EndpointUnreachable:
            reply = None
        if reply is not None:
            self._check_status(reply.status)
        scope.cancel()

    async def _watch_replies(self, scope: trio.CancelScope) -> None:
        """Give the connection up once a batch has waited too long for its reply."""
        while True:
            await self._batch_sent.wait()
            self._batch_sent = trio.Event()
            number = self.batches_sent
            await trio.sleep(REPLY_TIMEOUT_S)
            if self._pending is not None and self._pending.batch == number:
                self.batches_resent += 1
                scope.cancel()

    async def _outgoing(self) -> AsyncIterator[bytes]:
        """Yield lines: first the batch that is still unanswered, then new ones."""
        if self._pending is not None:
            self._batch_sent.set()
            yield _line(self._pending)
        while True:
            line = self._next_line()
            if line is not None:
                yield _line(line)
            else:
                await self._changed.wait()
                self._changed = trio.Event()

    def _next_line(self) -> StartStreamLine | None:
        if self._grant is not None:
            grant, self._grant = self._grant, None
            return grant
        if self._pending is None and (self._starts or self._stops):
            self._pending = self._next_batch()
            self._batch_sent.set()
            return self._pending
        return None

    def _next_batch(self) -> StartBatch:
        starts = tuple(self._starts[:MAX_BATCH_STARTS])
        del self._starts[:MAX_BATCH_STARTS]
        stops, self._stops = tuple(self._stops), []
        self.batches_sent += 1
        return StartBatch(self.epoch, self.batches_sent, starts, stops, self._acked_seq)

    # In.

    async def _listen_loop(self) -> None:
        while True:
            path = f"/v1/results?{self._query}&after={self._acked_seq}"
            try:
                async with self._client.stream(path, SILENCE_S) as pieces:
                    await self._listen(pieces)
            except StreamRefused as error:
                self._check_status(error.status)
            except EndpointUnreachable:
                self._owner.endpoint_reachability_changed(self.endpoint, False)
            await trio.sleep(RETRY_PAUSE_S)

    async def _listen(self, pieces: AsyncIterator[bytes]) -> None:
        rest = b""
        async for piece in pieces:
            self._owner.endpoint_reachability_changed(self.endpoint, True)
            *lines, rest = (rest + piece).split(b"\n")
            await self._take([_line_decoder.decode(line) for line in lines if line])

    async def _take(self, lines: Sequence[ResultStreamLine]) -> None:
        results: list[ResultLine] = []
        for line in lines:
            match line:
                case ResultLine() if line.seq > self._acked_seq:
                    results.append(line)
                case StartReply():
                    await self._take_reply(line)
                case Heartbeat():
                    self._take_beat(line)
        if results:
            await self._owner.results_received(self.endpoint, self.incarnation, results)
            self._acked_seq = max(line.seq for line in results)

    async def _take_reply(self, reply: StartReply) -> None:
        batch = self._pending
        if batch is None or batch.batch != reply.batch:
            return
        self._pending = None
        self._changed.set()
        await self._owner.batch_answered(self.endpoint, batch, reply)

    def _take_beat(self, beat: Heartbeat) -> None:
        grant = self._owner.heartbeat_received(self.endpoint, beat)
        if grant is not None:
            self._grant = msgspec.structs.replace(grant, acked_seq=self._acked_seq)
            self._changed.set()


def _line(message: StartStreamLine) -> bytes:
    return _encoder.encode(message) + b"\n"
