"""The directory of owners by the newest views; serves other hosts as well."""

import contextlib
from collections.abc import Iterator
from typing import Any

import msgspec
import trio

from .answers import Refusal
from .dispatcher import Dispatcher
from .errors import Deposed, PeerUnreachable
from .ids import DataCentre, HostId, JobId
from .kernel import ServiceName
from .owner_messages import (
    ARGUMENTS,
    AskEnded,
    AskOwner,
    Ended,
    EndNoted,
    LocalDispatchers,
    OwnerOutcome,
    OwnerTold,
)
from .peers import PeerNetwork
from .remote_gateway import ASK_TIMEOUT_S, POLL_S, RemoteGateway
from .views import ViewSource

__all__ = ["OwnerDirectory"]

MAX_SERVING = 40


class OwnerDirectory:
    """The owners of all data centres by the newest views; serves other hosts too.

    Parameters
    ----------
    host : HostId
        This host.
    views : ViewSource
        Who is primary.
    owners : LocalDispatchers
        The dispatchers of this host.
    peers : PeerNetwork
        Reaches the other hosts.
    data_centres : set of DataCentre
        Every data centre known from the settings.
    """

    name = ServiceName("directory")

    def __init__(
        self,
        host: HostId,
        views: ViewSource,
        owners: LocalDispatchers,
        peers: PeerNetwork,
        data_centres: frozenset[DataCentre] = frozenset(),
    ) -> None:
        self._host = host
        self._data_centres = data_centres
        self._views = views
        self._owners = owners
        self._peers = peers
        self._gateways: dict[DataCentre, RemoteGateway] = {}
        self._serving = 0
        self._watched: dict[DataCentre, dict[HostId, set[JobId]]] = {}
        self._nursery: trio.Nursery | None = None
        peers.handle(AskOwner, self._serve)
        peers.handle(AskEnded, self._serve_ended)
        peers.handle(Ended, self._take_ended)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow the jobs that are waited for, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for gateway in self._gateways.values():
                nursery.start_soon(gateway.run)
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Have nothing to finish."""

    def data_centres(self) -> frozenset[DataCentre]:
        """Return every data centre there is."""
        return self._views.data_centres() | self._data_centres

    def gateway(self, data_centre: DataCentre) -> "RemoteGateway":
        """Return a gateway to whichever host owns a data centre's jobs."""
        gateway = self._gateways.get(data_centre)
        if gateway is None:
            gateway = RemoteGateway(
                data_centre, self._host, self._views, self._owners, self._peers
            )
            self._gateways[data_centre] = gateway
            if self._nursery is not None:
                self._nursery.start_soon(gateway.run)
        return gateway

    async def _serve(self, sender: HostId, request: AskOwner) -> OwnerTold:
        dispatcher = self._owners.dispatcher(request.data_centre)
        if dispatcher is None or request.method not in ARGUMENTS:
            return OwnerTold(OwnerOutcome.NOT_OWNER)
        if self._serving >= MAX_SERVING:
            return OwnerTold(OwnerOutcome.BUSY)
        self._serving += 1
        try:
            return await self._call(dispatcher, request)
        finally:
            self._serving -= 1

    async def _call(self, dispatcher: Dispatcher, request: AskOwner) -> OwnerTold:
        told: Any = None
        arguments = msgspec.msgpack.decode(
            request.arguments, type=ARGUMENTS[request.method]
        )
        with trio.move_on_after(ASK_TIMEOUT_S) as scope:
            try:
                told = await getattr(dispatcher, request.method)(*arguments)
            except Deposed:
                return OwnerTold(OwnerOutcome.LOST)
        if scope.cancelled_caught:
            return OwnerTold(OwnerOutcome.LOST)
        refused = isinstance(told, Refusal)
        outcome = OwnerOutcome.REFUSED if refused else OwnerOutcome.ANSWERED
        return OwnerTold(outcome, msgspec.Raw(msgspec.msgpack.encode(told)))

    async def _serve_ended(self, sender: HostId, request: AskEnded) -> Ended:
        data_centre = request.data_centre
        dispatcher = self._owners.dispatcher(data_centre)
        if dispatcher is None:
            return Ended(data_centre, OwnerOutcome.NOT_OWNER)
        ended = tuple(job for job in request.jobs if dispatcher.has_ended(job))
        if data_centre not in self._watched and self._nursery is not None:
            self._nursery.start_soon(self._note_loop, data_centre)
        watched = self._watched.setdefault(data_centre, {})
        watched.setdefault(sender, set()).update(set(request.jobs) - set(ended))
        return Ended(data_centre, OwnerOutcome.ANSWERED, ended)

    async def _note_loop(self, data_centre: DataCentre) -> None:
        """Tell other hosts of the ends of the jobs that they watch."""
        while True:
            dispatcher = self._owners.dispatcher(data_centre)
            if dispatcher is None:
                self._watched[data_centre].clear()
                await trio.sleep(POLL_S)
                continue
            notes = list(self._notes(data_centre, dispatcher))
            if not notes:
                with contextlib.suppress(Deposed):
                    await dispatcher.wait_any_job_ended()
            async with trio.open_nursery() as nursery:
                for host, note in notes:
                    nursery.start_soon(self._note, host, note)

    def _notes(
        self, data_centre: DataCentre, dispatcher: Dispatcher
    ) -> Iterator[tuple[HostId, Ended]]:
        for host, jobs in self._watched[data_centre].items():
            ended = tuple(job for job in jobs if dispatcher.has_ended(job))
            jobs.difference_update(ended)
            if ended:
                yield host, Ended(data_centre, OwnerOutcome.ANSWERED, ended)

    async def _note(self, host: HostId, note: Ended) -> None:
        """Send a note; a host that misses it asks again."""
        with contextlib.suppress(PeerUnreachable):
            await self._peers.request(host, note, EndNoted, POLL_S)

    async def _take_ended(self, sender: HostId, note: Ended) -> EndNoted:
        if note.data_centre in self._gateways:
            self._gateways[note.data_centre].release(note.jobs)
        return EndNoted()
