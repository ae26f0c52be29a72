"""Endpoint emulator that implements docs/ENDPOINTS.md and can inject faults.

A task runs by sleeping. Faults are configured at start or changed at run time by
``POST /v1/faults``.
"""

import collections
import dataclasses
import math
import random
import uuid
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from .clock import now_s
from .codes import ResultCode
from .endpoint_protocol import (
    AdoptReply,
    AdoptRequest,
    Announcement,
    AnnouncementReply,
    AttemptRef,
    Heartbeat,
    LeaseGrant,
    RefusedStart,
    ResultLine,
    ResultStreamLine,
    Start,
    StartBatch,
    StartReply,
    StartStreamLine,
)
from .errors import EndpointUnreachable
from .http_client import HttpClient
from .http_server import HttpServer, bind
from .ids import DataCentre, EndpointId, Epoch, Incarnation, Rack
from .kernel import Kernel, ServiceName

__all__ = ["EmulatedEndpoint", "EmulatorSettings", "Faults", "run_emulator"]

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_AFTER_NO_GRANT_S = 3.0
BUSY_HEARTBEAT_INTERVAL_S = 0.5
IDLE_HEARTBEAT_INTERVAL_S = 2.0
FAULT_POLL_S = 0.1
LEASE_CHECK_S = 0.25
HEARTBEATS_PER_LEASE = 4
STALE_EPOCH_STATUS = 409
INCARNATION_ENDED_STATUS = 410
NO_RACK = Rack("")
_json = msgspec.json.Encoder()
_start_line_decoder: msgspec.json.Decoder[StartStreamLine] = msgspec.json.Decoder(
    StartStreamLine
)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the emulator injects.

    Parameters
    ----------
    speed : float
        Factor by which run times are divided.
    fail_all : bool
        Fail every task immediately.
    refuse_all : bool
        Refuse every start.
    straggle_share : float
        Share of tasks that run `straggle_factor` times as long.
    straggle_factor : float
        Factor on the run time of a straggler.
    result_delay_s : float
        Delay in seconds before results are sent.
    duplicate_results : bool
        Send every result twice.
    silent : bool
        Leave requests unanswered, and send no results, heartbeats or announcements.
    draining : bool
        Report that the endpoint drains, and refuse new starts.
    start_while_draining : bool
        Accept new starts although the endpoint drains.
    """

    speed: float = 1.0
    fail_all: bool = False
    refuse_all: bool = False
    straggle_share: float = 0.0
    straggle_factor: float = 10.0
    result_delay_s: float = 0.0
    duplicate_results: bool = False
    silent: bool = False
    draining: bool = False
    start_while_draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EmulatorSettings:
    """Settings of an emulated endpoint."""

    endpoint: EndpointId
    data_centre: DataCentre
    entry_urls: tuple[str, ...]
    rack: Rack = NO_RACK
    address: str = "127.0.0.1"
    port: int = 0
    slots: int = 8
    queue: int = 0
    processors: float = 16.0
    memory_mb: int = 65_536
    accelerators: int = 0
    seed: int = 0
    public_url: str | None = None
    token: str | None = None


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt whose result is not acknowledged yet."""

    start: Start
    received_s: float
    scope: trio.CancelScope = dataclasses.field(default_factory=trio.CancelScope)
    running: bool = False
    ended: bool = False


class EmulatedEndpoint:
    """Endpoint side of the endpoint protocol.

    Parameters
    ----------
    settings : EmulatorSettings
        Identity and capacity that the endpoint announces.
    faults : Faults or None
        Faults to inject; may be changed while the endpoint runs.
    """

    name = ServiceName("emulator")

    def __init__(
        self, settings: EmulatorSettings, faults: Faults | None = None
    ) -> None:
        self.faults = faults or Faults()
        self.started: collections.Counter[tuple[str, int]] = collections.Counter()
        self.url = ""
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._nursery: trio.Nursery | None = None
        self._epoch = Epoch(0)
        self._reset()

    def _reset(self) -> None:
        self._incarnation = Incarnation(uuid.uuid4().hex)
        self._attempts: dict[AttemptRef, _Attempt] = {}
        self._queue: collections.deque[_Attempt] = collections.deque()
        self._running = 0
        self._results: list[ResultLine] = []
        self._next_seq = 1
        self._last_batch = 0
        self._last_reply: StartReply | None = None
        self._replies_due = 0
        self._heartbeats: dict[int, float] = {}
        self._next_heartbeat = 1
        self._changed = trio.Event()
        self._lease_end_s: float | None = None
        self._lease_s = math.inf
        self._last_grant_s = -math.inf

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/adopt", self.post_adopt, methods=["POST"]),
                Route("/v1/starts", self.post_starts, methods=["POST"]),
                Route("/v1/results", self.get_results, methods=["GET"]),
                Route("/v1/faults", self.post_faults, methods=["POST"]),
                Route("/v1/started", self.get_started, methods=["GET"]),
            ]
        )

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Send announcements and run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for url in self._settings.entry_urls:
                client = HttpClient(url, token=self._settings.token)
                nursery.start_soon(self._announce_loop, client)
            nursery.start_soon(self._lease_loop)
            task_status.started()

    async def drain(self) -> None:
        """Set `draining` and wait until all results are acknowledged."""
        self.faults.draining = True
        while self._attempts:
            await trio.sleep(FAULT_POLL_S)

    # Request handlers.

    async def post_adopt(self, request: Request) -> Response:
        """Accept a new primary and reply with the unacknowledged attempts."""
        adopt = msgspec.json.decode(await request.body(), type=AdoptRequest)
        await self._wait_while_silent()
        refusal = self._check(adopt.epoch, adopt.incarnation)
        if refusal is not None:
            return refusal
        self._raise_epoch(adopt.epoch)
        reply = AdoptReply(self._incarnation, self._epoch, tuple(self._attempts))
        return _reply(reply)

    async def post_starts(self, request: Request) -> Response:
        """Process start batches and lease grants until the stream ends."""
        epoch, incarnation = _link_of(request)
        await self._wait_while_silent()
        refusal = self._check(epoch, incarnation)
        if refusal is not None:
            return refusal
        self._raise_epoch(epoch)
        rest = b""
        async for piece in request.stream():
            await self._wait_while_silent()
            *lines, rest = (rest + piece).split(b"\n")
            for line in lines:
                refusal = self._check(epoch, incarnation)
                if refusal is not None:
                    return refusal
                self._process_line(_start_line_decoder.decode(line))
        return Response()

    def _process_line(self, line: StartStreamLine) -> None:
        if isinstance(line, LeaseGrant):
            self._renew_lease(line.lease_s, self._heartbeats.pop(line.beat, None))
            self._discard_acknowledged(line.acked_seq)
            return
        if line.batch > self._last_batch:
            self._discard_acknowledged(line.acked_seq)
            self._last_reply = self._apply_batch(line)
            self._last_batch = line.batch
        if line.batch == self._last_batch:
            self._replies_due += 1
            self._wake_result_streams()

    async def get_results(self, request: Request) -> Response:
        """Stream batch replies, heartbeats and the results after a sequence number."""
        epoch, incarnation = _link_of(request)
        after = int(request.query_params["after"])
        await self._wait_while_silent()
        refusal = self._check(epoch, incarnation)
        if refusal is not None:
            return refusal
        self._raise_epoch(epoch)
        return StreamingResponse(self._stream(epoch, after))

    async def post_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.faults = msgspec.json.decode(await request.body(), type=Faults)
        return _reply(self.faults)

    async def get_started(self, request: Request) -> Response:
        """Return how many times each task began to run."""
        counts = [[job, task, n] for (job, task), n in self.started.items()]
        return _reply(counts)

    # Attempts and results.

    def _check(self, epoch: Epoch, incarnation: Incarnation) -> Response | None:
        """Refuse a request of an older epoch or for an ended incarnation."""
        self._check_lease()
        if incarnation != self._incarnation:
            return Response(status_code=INCARNATION_ENDED_STATUS)
        if epoch < self._epoch:
            return Response(status_code=STALE_EPOCH_STATUS)
        return None

    def _raise_epoch(self, epoch: Epoch) -> None:
        if epoch > self._epoch:
            self._epoch = epoch
            self._last_batch = 0
            self._last_reply = None
            self._wake_result_streams()

    def _wake_result_streams(self) -> None:
        """Wake the result streams."""
        self._changed.set()
        self._changed = trio.Event()

    def _discard_acknowledged(self, acked_seq: int) -> None:
        for line in self._results:
            if line.seq <= acked_seq:
                self._attempts.pop(line.ref, None)
        self._results = [line for line in self._results if line.seq > acked_seq]

    def _apply_batch(self, batch: StartBatch) -> StartReply:
        refused = [
            RefusedStart(start.ref, ResultCode.NOT_RUN_OVERLOADED)
            for start in batch.starts
            if not self._accept_start(start)
        ]
        for ref in batch.stops:
            self._stop(ref)
        return StartReply(self._incarnation, batch.batch, tuple(refused))

    def _accept_start(self, start: Start) -> bool:
        if start.ref in self._attempts:
            return True
        active = self._running + len(self._queue)
        full = active >= self._settings.slots + self._settings.queue
        refuses_draining = self.faults.draining and not self.faults.start_while_draining
        if full or self.faults.refuse_all or refuses_draining:
            return False
        attempt = _Attempt(start, now_s())
        self._attempts[start.ref] = attempt
        self._queue.append(attempt)
        self._fill_slots()
        return True

    def _stop(self, ref: AttemptRef) -> None:
        attempt = self._attempts.get(ref)
        if attempt is None or attempt.ended:
            return
        if attempt.running:
            attempt.scope.cancel()
        else:
            self._queue.remove(attempt)
            self._end(attempt, ResultCode.NOT_RUN_CANCELLED, None, 0.0)

    def _fill_slots(self) -> None:
        self._check_lease()
        assert self._nursery is not None
        while self._queue and self._running < self._settings.slots:
            attempt = self._queue.popleft()
            if now_s() - attempt.received_s > attempt.start.limit_s:
                self._end(attempt, ResultCode.NOT_RUN_DEADLINE, None, 0.0)
                continue
            attempt.running = True
            self._running += 1
            self.started[attempt.start.ref.job, attempt.start.ref.task] += 1
            self._nursery.start_soon(self._run, attempt, self._incarnation)

    async def _run(self, attempt: _Attempt, incarnation: Incarnation) -> None:
        started_s = now_s()
        code, value = ResultCode.TASK_STOPPED, "stopped"
        with attempt.scope:
            code, value = await self._work(attempt.start)
        if incarnation != self._incarnation:
            return
        self._running -= 1
        self._end(attempt, code, value, started_s)
        self._fill_slots()

    async def _work(self, start: Start) -> tuple[ResultCode, Any]:
        payload = start.payload if isinstance(start.payload, dict) else {}
        if self.faults.fail_all:
            return ResultCode.TASK_FAILED, "the endpoint fails every task"
        run_s = float(payload.get("sleep_s", 0.0)) / self.faults.speed
        if self._random.random() < self.faults.straggle_share:
            run_s *= self.faults.straggle_factor
        await trio.sleep(run_s)
        if payload.get("fail"):
            return ResultCode.TASK_FAILED, str(payload["fail"])
        return ResultCode.COMPLETE, payload.get("value")

    def _end(
        self, attempt: _Attempt, code: ResultCode, value: Any, started_s: float
    ) -> None:
        attempt.ended = True
        now = now_s()
        run_s = now - started_s if attempt.running else 0.0
        queue_s = (started_s if attempt.running else now) - attempt.received_s
        line = ResultLine(
            self._next_seq, attempt.start.ref, code, value, run_s, queue_s
        )
        self._next_seq += 1
        self._results.append(line)
        self._wake_result_streams()

    async def _stream(self, epoch: Epoch, after: int) -> AsyncIterator[bytes]:
        replied, incarnation = -1, self._incarnation
        next_heartbeat_s = now_s()
        while epoch == self._epoch and incarnation == self._incarnation:
            await self._wait_while_silent()
            changed, piece = self._changed, b""
            if self._replies_due != replied and self._last_reply is not None:
                replied = self._replies_due
                piece += _line(self._last_reply)
            lines = [line for line in self._results if line.seq > after]
            if lines:
                await trio.sleep(self.faults.result_delay_s)
                copies = 2 if self.faults.duplicate_results else 1
                piece += b"".join(_line(line) for line in lines * copies)
                after = lines[-1].seq
            if now_s() >= next_heartbeat_s:
                piece += _line(self._make_heartbeat())
                next_heartbeat_s = now_s() + self._heartbeat_interval_s()
            if piece:
                yield piece
                continue
            with trio.move_on_at(next_heartbeat_s):
                await changed.wait()

    def _heartbeat_interval_s(self) -> float:
        busy = bool(self._attempts)
        default_s = BUSY_HEARTBEAT_INTERVAL_S if busy else IDLE_HEARTBEAT_INTERVAL_S
        return min(default_s, self._lease_s / HEARTBEATS_PER_LEASE)

    def _make_heartbeat(self) -> Heartbeat:
        heartbeat = Heartbeat(
            self._next_heartbeat, self._incarnation, self._running, self.faults.draining
        )
        self._heartbeats = {
            heartbeat.beat: now_s(),
            **dict(list(self._heartbeats.items())[-8:]),
        }
        self._next_heartbeat += 1
        return heartbeat

    async def _wait_while_silent(self) -> None:
        while self.faults.silent:
            await trio.sleep(FAULT_POLL_S)

    # Lease and announcements.

    async def _announce_loop(self, client: HttpClient) -> None:
        """Announce while no primary renews the lease on the start stream."""
        while True:
            await self._wait_while_silent()
            if now_s() - self._last_grant_s > ANNOUNCE_AFTER_NO_GRANT_S:
                await self._announce(client)
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self, client: HttpClient) -> None:
        sent_s, incarnation = now_s(), self._incarnation
        body = _json.encode(self._announcement())
        try:
            reply = await client.request("POST", "/v1/endpoints", body, 1.0)
        except EndpointUnreachable:
            return
        if reply.status != 200 or incarnation != self._incarnation:
            return
        granted = msgspec.json.decode(reply.body, type=AnnouncementReply)
        if granted.epoch >= self._epoch:
            self._extend_lease(granted.lease_s, sent_s)

    def _announcement(self) -> Announcement:
        settings = self._settings
        return Announcement(
            settings.endpoint,
            self._incarnation,
            self.url,
            settings.data_centre,
            settings.rack,
            settings.slots,
            settings.queue,
            settings.processors,
            settings.memory_mb,
            settings.accelerators,
            self._running,
            self.faults.draining,
        )

    def _renew_lease(self, lease_s: float, sent_s: float | None) -> None:
        if sent_s is not None:
            self._last_grant_s = now_s()
            self._extend_lease(lease_s, sent_s)

    def _extend_lease(self, lease_s: float, sent_s: float) -> None:
        if lease_s <= 0:
            self._abandon()
            return
        self._lease_s = lease_s
        end_s = sent_s + lease_s
        self._lease_end_s = max(end_s, self._lease_end_s or end_s)

    async def _lease_loop(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_S)
            self._check_lease()

    def _check_lease(self) -> None:
        """Abandon all attempts if the lease has expired.

        Runs before every other step, so that nothing starts on an expired lease.
        """
        if self._lease_end_s is not None and now_s() > self._lease_end_s:
            self._abandon()

    def _abandon(self) -> None:
        """Stop all attempts and continue as a new incarnation."""
        for attempt in self._attempts.values():
            attempt.scope.cancel()
        changed = self._changed
        self._reset()
        changed.set()


def _link_of(request: Request) -> tuple[Epoch, Incarnation]:
    """Return the epoch and the incarnation that a request addresses."""
    query = request.query_params
    return Epoch(int(query["epoch"])), Incarnation(query["incarnation"])


def _line(line: ResultStreamLine) -> bytes:
    return _json.encode(line) + b"\n"


def _reply(value: Any) -> Response:
    return Response(_json.encode(value), media_type="application/json")


async def run_emulator(
    settings: EmulatorSettings,
    faults: Faults | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an emulated endpoint until cancelled.

    Parameters
    ----------
    settings : EmulatorSettings
        Identity and capacity that the endpoint announces.
    faults : Faults or None
        Faults to inject.
    task_status : trio.TaskStatus
        Started with the endpoint's URL once the endpoint serves requests.
    """
    emulator = EmulatedEndpoint(settings, faults)
    server = HttpServer(emulator.app(), bind(settings.address, settings.port))
    own_url = f"http://{server.address[0]}:{server.address[1]}"
    emulator.url = settings.public_url or own_url
    kernel = Kernel()
    kernel.register(emulator)
    kernel.register(server)
    async with trio.open_nursery() as nursery:
        await nursery.start(kernel.run)
        task_status.started(emulator.url)
