"""The link from a primary to one endpoint: sends starts, receives results.

Two long-lived requests carry lines of JSON: starts, stops and lease grants are sent in
the body of one; results, replies and heartbeats come back in the body of the other. One
batch is in flight at a time; starts and stops queued meanwhile share the next one. A
batch without a timely reply is sent again on a new connection, and a result stream
that stops delivering is opened again after the last durable result, since an open
connection may be dead for good while new ones work.
"""

from collections.abc import AsyncIterator, Sequence

import msgspec
import trio

from . import events
from .codes import ResultCode
from .decoding import decode
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
from .errors import (
    Deposed,
    EndpointUnreachable,
    InvalidRequest,
    MessageMalformed,
    StreamRefused,
)
from .http_client import HttpClient
from .ids import EndpointId, Epoch, Incarnation
from .link import LinkHandler
from .submission import check_payload

__all__ = ["EndpointLink"]

REPLY_TIMEOUT_S = 1.0
RESULT_STREAM_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.2
MAX_BATCH_STARTS = 256
STALE_EPOCH_STATUS = 409
INCARNATION_ENDED_STATUS = 410

_encoder = msgspec.json.Encoder()
_adopt_reply_decoder = msgspec.json.Decoder(AdoptReply)
_line_decoder: msgspec.json.Decoder[ResultStreamLine] = msgspec.json.Decoder(
    ResultStreamLine
)


class EndpointLink:
    """Sends to one incarnation of an endpoint and receives from it.

    There is at most one link to an incarnation in an epoch, since the endpoint
    rejects late and duplicate starts by the numbers of its batches.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    incarnation : Incarnation
        Its incarnation.
    url : str
        Its base URL.
    epoch : Epoch
        The epoch of the dispatcher that uses the link.
    handler : LinkHandler
        Handles what the link receives.
    """

    def __init__(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        url: str,
        epoch: Epoch,
        handler: LinkHandler,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.url = url
        self.epoch = epoch
        self.batches_sent = 0
        self.batches_resent = 0
        self._handler = handler
        self._query = f"epoch={epoch}&incarnation={incarnation}"
        self._client = HttpClient(url, max_connections=4)
        self._starts: list[Start] = []
        self._stops: list[AttemptRef] = []
        self._lease_grant: LeaseGrant | None = None
        self._in_flight: StartBatch | None = None
        self._send_ready = trio.Event()
        self._batch_sent = trio.Event()
        self._acked_seq = 0
        self._scope = trio.CancelScope()

    def send(self, starts: Sequence[Start], stops: Sequence[AttemptRef] = ()) -> None:
        """Queue starts and stops, sent once the batch in flight has its reply."""
        self._starts.extend(starts)
        self._stops.extend(stops)
        self._send_ready.set()

    def close(self) -> None:
        """Stop sending and receiving; `run` then returns."""
        self._scope.cancel()

    async def run(self) -> None:
        """Adopt the endpoint, then send and receive until closed."""
        try:
            with self._scope:
                await self._adopt()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._send_loop)
                    nursery.start_soon(self._receive_loop)
        except* Deposed:
            self._handler.newer_epoch_seen(self.endpoint)
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1.0):
                await self._client.close()

    async def _adopt(self) -> None:
        """Take the incarnation over, trying until the endpoint replies."""
        body = _encoder.encode(AdoptRequest(self.epoch, self.incarnation))
        while True:
            try:
                reply = await self._client.request(
                    "POST", "/v1/adopt", body, REPLY_TIMEOUT_S
                )
            except EndpointUnreachable:
                self._handler.endpoint_reachability_changed(self.endpoint, False)
                await trio.sleep(RETRY_PAUSE_S)
                continue
            self._check_status(reply.status)
            if reply.status == 200:
                try:
                    adopted = decode(_adopt_reply_decoder, reply.body)
                except MessageMalformed as error:
                    self._note_malformed(error)
                else:
                    await self._handler.held_attempts_received(self.endpoint, adopted)
                    return
            await trio.sleep(RETRY_PAUSE_S)

    def _check_status(self, status: int) -> None:
        """Raise `Deposed` for a stale epoch; close if the incarnation has ended."""
        if status == STALE_EPOCH_STATUS:
            raise Deposed(f"{self.endpoint} has accepted a newer epoch")
        if status == INCARNATION_ENDED_STATUS:
            self._handler.endpoint_reachability_changed(self.endpoint, False)
            self.close()

    # Out.

    async def _send_loop(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._upload, nursery.cancel_scope)
                nursery.start_soon(self._watch_for_reply_timeout, nursery.cancel_scope)
            self._handler.endpoint_reachability_changed(self.endpoint, False)
            await trio.sleep(RETRY_PAUSE_S)

    async def _upload(self, scope: trio.CancelScope) -> None:
        """Send lines until the connection closes, then cancel `scope`."""
        path = f"/v1/starts?{self._query}"
        try:
            reply = await self._client.upload(path, self._outgoing_lines())
        except EndpointUnreachable:
            reply = None
        if reply is not None:
            self._check_status(reply.status)
        scope.cancel()

    async def _watch_for_reply_timeout(self, scope: trio.CancelScope) -> None:
        """Drop the connection if a batch has no reply within `REPLY_TIMEOUT_S`."""
        while True:
            await self._batch_sent.wait()
            self._batch_sent = trio.Event()
            number = self.batches_sent
            await trio.sleep(REPLY_TIMEOUT_S)
            if self._in_flight is not None and self._in_flight.batch == number:
                self.batches_resent += 1
                scope.cancel()

    async def _outgoing_lines(self) -> AsyncIterator[bytes]:
        """Yield lines: first the batch that still awaits its reply, then new ones."""
        if self._in_flight is not None:
            self._batch_sent.set()
            yield _encode_line(self._in_flight)
        while True:
            line = self._next_line()
            if line is not None:
                yield _encode_line(line)
            else:
                await self._send_ready.wait()
                self._send_ready = trio.Event()

    def _next_line(self) -> StartStreamLine | None:
        """Return the next line to send, lease grants first; None if there is none."""
        if self._lease_grant is not None:
            grant, self._lease_grant = self._lease_grant, None
            return grant
        if self._in_flight is None and (self._starts or self._stops):
            self._in_flight = self._next_batch()
            self._batch_sent.set()
            return self._in_flight
        return None

    def _next_batch(self) -> StartBatch:
        starts = tuple(self._starts[:MAX_BATCH_STARTS])
        del self._starts[:MAX_BATCH_STARTS]
        # The endpoint ignores the stop of an attempt that it does not have yet.
        unsent = {start.ref for start in self._starts}
        stops = tuple(ref for ref in self._stops if ref not in unsent)
        self._stops = [ref for ref in self._stops if ref in unsent]
        self.batches_sent += 1
        return StartBatch(self.epoch, self.batches_sent, starts, stops, self._acked_seq)

    # In.

    async def _receive_loop(self) -> None:
        while True:
            path = f"/v1/results?{self._query}&after={self._acked_seq}"
            try:
                async with self._client.stream(path, RESULT_STREAM_TIMEOUT_S) as pieces:
                    await self._receive(pieces)
            except StreamRefused as error:
                self._check_status(error.status)
            except EndpointUnreachable:
                self._handler.endpoint_reachability_changed(self.endpoint, False)
            except MessageMalformed as error:
                self._note_malformed(error)
            await trio.sleep(RETRY_PAUSE_S)

    def _note_malformed(self, error: MessageMalformed) -> None:
        """Count the endpoint as unreachable until it sends what can be decoded."""
        events.REQUEST_MALFORMED.log(endpoint=self.endpoint, error=str(error))
        self._handler.endpoint_reachability_changed(self.endpoint, False)

    async def _receive(self, pieces: AsyncIterator[bytes]) -> None:
        rest = b""
        async for piece in pieces:
            self._handler.endpoint_reachability_changed(self.endpoint, True)
            *lines, rest = (rest + piece).split(b"\n")
            await self._process_lines(
                [decode(_line_decoder, line) for line in lines if line]
            )

    async def _process_lines(self, lines: Sequence[ResultStreamLine]) -> None:
        """Process received lines; results seen before are ignored."""
        results: list[ResultLine] = []
        for line in lines:
            match line:
                case ResultLine() if line.seq > self._acked_seq:
                    results.append(_storable(line))
                case StartReply():
                    await self._process_reply(line)
                case Heartbeat():
                    self._process_heartbeat(line)
        if results:
            await self._handler.results_received(
                self.endpoint, self.incarnation, results
            )
            self._acked_seq = max(line.seq for line in results)

    async def _process_reply(self, reply: StartReply) -> None:
        """Process the reply to the batch in flight; ignore any other reply."""
        batch = self._in_flight
        if batch is None or batch.batch != reply.batch:
            return
        self._in_flight = None
        self._send_ready.set()
        await self._handler.batch_answered(self.endpoint, batch, reply)

    def _process_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Report a heartbeat and queue the lease granted for it."""
        grant = self._handler.heartbeat_received(self.endpoint, heartbeat)
        if grant is not None:
            self._lease_grant = msgspec.structs.replace(
                grant, acked_seq=self._acked_seq
            )
            self._send_ready.set()


def _storable(line: ResultLine) -> ResultLine:
    """Return a result; without its value, as failed, if that can't be stored."""
    try:
        check_payload("value", line.value)
    except InvalidRequest as error:
        return msgspec.structs.replace(
            line, code=ResultCode.TASK_FAILED, value=str(error)
        )
    return line


def _encode_line(message: StartStreamLine) -> bytes:
    return _encoder.encode(message) + b"\n"
