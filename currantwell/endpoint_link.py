"""The link from a primary to one endpoint: starts out, results in.

Starts and stops that are ready while a request is under way go together in the
next one. Results come on a long-lived response; after silence it is opened anew,
from the last result seen.
"""

from collections.abc import AsyncIterator, Callable, Sequence
from typing import Protocol

import msgspec
import trio

from .endpoint_protocol import (
    Adopt,
    AttemptRef,
    Held,
    ResultLine,
    Start,
    StartBatch,
    StartReply,
    StreamLine,
)
from .errors import Deposed, EndpointUnreachable
from .http_client import HttpClient
from .ids import EndpointId, Epoch, Incarnation

__all__ = ["Connect", "EndpointLink", "Link", "LinkOwner"]

REQUEST_TIMEOUT_S = 1.0
SILENCE_S = 1.5
RETRY_PAUSE_S = 0.2
MAX_BATCH_STARTS = 256
STALE_EPOCH_STATUS = 409

_encoder = msgspec.json.Encoder()
_held_decoder = msgspec.json.Decoder(Held)
_reply_decoder = msgspec.json.Decoder(StartReply)
_line_decoder: msgspec.json.Decoder[StreamLine] = msgspec.json.Decoder(StreamLine)


class LinkOwner(Protocol):
    """Whom a link tells what its endpoint says."""

    async def batch_answered(
        self, endpoint: EndpointId, batch: StartBatch, reply: StartReply
    ) -> None:
        """Take in which starts of a batch the endpoint refused."""
        ...

    async def results_arrived(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        results: Sequence[ResultLine],
    ) -> None:
        """Return once the results are durable."""
        ...

    async def attempts_held(self, endpoint: EndpointId, held: Held) -> None:
        """Take in what an adopted endpoint holds."""
        ...

    def endpoint_answers(self, endpoint: EndpointId, answers: bool) -> None:
        """Note whether the endpoint answers."""
        ...

    def link_deposed(self, endpoint: EndpointId) -> None:
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


Connect = Callable[[EndpointId, Incarnation, str, Epoch, LinkOwner], Link]


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
    owner : LinkOwner
        Whom to tell.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        url: str,
        epoch: Epoch,
        owner: LinkOwner,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.url = url
        self.epoch = epoch
        self.requests_sent = 0
        self._owner = owner
        self._client = HttpClient(url, max_connections=4)
        self._starts: list[Start] = []
        self._stops: list[AttemptRef] = []
        self._work = trio.Event()
        self._acked_seq = 0
        self._batches = 0
        self._adopted = trio.Event()
        self._scope = trio.CancelScope()

    def send(self, starts: Sequence[Start], stops: Sequence[AttemptRef] = ()) -> None:
        """Queue starts and stops; stops of queued starts take them back."""
        self._starts.extend(starts)
        self._stops.extend(stops)
        self._work.set()

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
            self._owner.link_deposed(self.endpoint)
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1.0):
                await self._client.close()

    async def _adopt(self) -> None:
        body = _encoder.encode(Adopt(self.epoch, self.incarnation))
        held = _held_decoder.decode(await self._post("/v1/adopt", body))
        await self._owner.attempts_held(self.endpoint, held)
        self._adopted.set()

    async def _send_loop(self) -> None:
        while True:
            await self._work.wait()
            self._work = trio.Event()
            while self._starts or self._stops:
                batch = self._next_batch()
                data = await self._post("/v1/starts", _encoder.encode(batch))
                reply = _reply_decoder.decode(data)
                await self._owner.batch_answered(self.endpoint, batch, reply)

    def _next_batch(self) -> StartBatch:
        starts = tuple(self._starts[:MAX_BATCH_STARTS])
        del self._starts[:MAX_BATCH_STARTS]
        stops, self._stops = tuple(self._stops), []
        self._batches += 1
        return StartBatch(
            self.epoch,
            self.incarnation,
            self._batches,
            starts,
            stops,
            self._acked_seq,
        )

    async def _post(self, path: str, body: bytes) -> bytes:
        """Send until it is answered; the endpoint knows attempts that it has seen."""
        while True:
            self.requests_sent += 1
            try:
                reply = await self._client.request(
                    "POST", path, body, REQUEST_TIMEOUT_S
                )
            except EndpointUnreachable:
                reply = None
            if reply is not None and reply.status == STALE_EPOCH_STATUS:
                raise Deposed(f"{self.endpoint} has seen a newer epoch")
            self._owner.endpoint_answers(self.endpoint, reply is not None)
            if reply is not None and reply.status == 200:
                return reply.body
            await trio.sleep(RETRY_PAUSE_S)

    async def _listen_loop(self) -> None:
        while True:
            path = (
                f"/v1/results?epoch={self.epoch}&incarnation={self.incarnation}"
                f"&after={self._acked_seq}"
            )
            try:
                async with self._client.stream(path) as pieces:
                    await self._listen(pieces)
            except EndpointUnreachable:
                self._owner.endpoint_answers(self.endpoint, False)
            await trio.sleep(RETRY_PAUSE_S)

    async def _listen(self, pieces: AsyncIterator[bytes]) -> None:
        rest = b""
        while True:
            piece: bytes | None = None
            with trio.move_on_after(SILENCE_S):
                piece = await anext(pieces, None)
            if piece is None:
                raise EndpointUnreachable(f"{self.endpoint}: silent")
            self._owner.endpoint_answers(self.endpoint, True)
            *lines, rest = (rest + piece).split(b"\n")
            await self._take([_line_decoder.decode(line) for line in lines if line])

    async def _take(self, lines: Sequence[StreamLine]) -> None:
        results = [
            line
            for line in lines
            if isinstance(line, ResultLine) and line.seq > self._acked_seq
        ]
        if results:
            await self._owner.results_arrived(self.endpoint, self.incarnation, results)
            self._acked_seq = results[-1].seq
