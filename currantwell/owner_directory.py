"""Finds the owner of each data centre's jobs and serves requests of other hosts."""

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
from .remote_gateway import POLL_INTERVAL_S, REQUEST_TIMEOUT_S, RemoteGateway
from .views import ViewSource

__all__ = ["OwnerDirectory"]

MAX_CONCURRENT_REQUESTS = 40


class OwnerDirectory:
    """Maps data centres to gateways by the newest views, and serves other hosts.

    Parameters
    ----------
    host : HostId
        This host.
    views : ViewSource
        The agreed views; their primaries own the jobs.
    owners : LocalDispatchers
        The dispatchers that run on this host.
    peers : PeerNetwork
        Sends requests to the other hosts.
    data_centres : set of DataCentre
        All data centres named in the settings.
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
        self._active_requests = 0
        self._watched_jobs: dict[DataCentre, dict[HostId, set[JobId]]] = {}
        self._nursery: trio.Nursery | None = None
        peers.handle(AskOwner, self._handle_call)
        peers.handle(AskEnded, self._handle_ended_query)
        peers.handle(Ended, self._handle_ended)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run the gateways, which follow jobs with waiting callers, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for gateway in self._gateways.values():
                nursery.start_soon(gateway.run)
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """No-op: the directory has no work to finish."""

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres."""
        return self._views.data_centres() | self._data_centres

    def gateway(self, data_centre: DataCentre) -> "RemoteGateway":
        """Return the gateway to whichever host currently owns a data centre's jobs."""
        gateway = self._gateways.get(data_centre)
        if gateway is None:
            gateway = RemoteGateway(
                data_centre, self._host, self._views, self._owners, self._peers
            )
            self._gateways[data_centre] = gateway
            if self._nursery is not None:
                self._nursery.start_soon(gateway.run)
        return gateway

    async def _handle_call(self, sender: HostId, request: AskOwner) -> OwnerTold:
        dispatcher = self._owners.dispatcher(request.data_centre)
        if dispatcher is None or request.method not in ARGUMENTS:
            return OwnerTold(OwnerOutcome.NOT_OWNER)
        if self._active_requests >= MAX_CONCURRENT_REQUESTS:
            return OwnerTold(OwnerOutcome.BUSY)
        self._active_requests += 1
        try:
            return await self._call(dispatcher, request)
        finally:
            self._active_requests -= 1

    async def _call(self, dispatcher: Dispatcher, request: AskOwner) -> OwnerTold:
        result: Any = None
        arguments = msgspec.msgpack.decode(
            request.arguments, type=ARGUMENTS[request.method]
        )
        with trio.move_on_after(REQUEST_TIMEOUT_S) as scope:
            try:
                result = await getattr(dispatcher, request.method)(*arguments)
            except Deposed:
                return OwnerTold(OwnerOutcome.LOST)
        if scope.cancelled_caught:
            return OwnerTold(OwnerOutcome.LOST)
        refused = isinstance(result, Refusal)
        outcome = OwnerOutcome.REFUSED if refused else OwnerOutcome.ANSWERED
        return OwnerTold(outcome, msgspec.Raw(msgspec.msgpack.encode(result)))

    async def _handle_ended_query(self, sender: HostId, request: AskEnded) -> Ended:
        data_centre = request.data_centre
        dispatcher = self._owners.dispatcher(data_centre)
        if dispatcher is None:
            return Ended(data_centre, OwnerOutcome.NOT_OWNER)
        ended = tuple(job for job in request.jobs if dispatcher.has_ended(job))
        if data_centre not in self._watched_jobs and self._nursery is not None:
            self._nursery.start_soon(self._notify_loop, data_centre)
        jobs_by_host = self._watched_jobs.setdefault(data_centre, {})
        jobs_by_host.setdefault(sender, set()).update(set(request.jobs) - set(ended))
        return Ended(data_centre, OwnerOutcome.ANSWERED, ended)

    async def _notify_loop(self, data_centre: DataCentre) -> None:
        """Notify other hosts when the jobs that they watch end."""
        while True:
            dispatcher = self._owners.dispatcher(data_centre)
            if dispatcher is None:
                self._watched_jobs[data_centre].clear()
                await trio.sleep(POLL_INTERVAL_S)
                continue
            notifications = list(self._end_notifications(data_centre, dispatcher))
            if not notifications:
                with contextlib.suppress(Deposed):
                    await dispatcher.wait_any_job_ended()
            async with trio.open_nursery() as nursery:
                for host, notification in notifications:
                    nursery.start_soon(self._notify, host, notification)

    def _end_notifications(
        self, data_centre: DataCentre, dispatcher: Dispatcher
    ) -> Iterator[tuple[HostId, Ended]]:
        for host, jobs in self._watched_jobs[data_centre].items():
            ended = tuple(job for job in jobs if dispatcher.has_ended(job))
            jobs.difference_update(ended)
            if ended:
                yield host, Ended(data_centre, OwnerOutcome.ANSWERED, ended)

    async def _notify(self, host: HostId, notification: Ended) -> None:
        """Send a notification; a host that misses it polls again."""
        with contextlib.suppress(PeerUnreachable):
            await self._peers.request(host, notification, EndNoted, POLL_INTERVAL_S)

    async def _handle_ended(self, sender: HostId, notification: Ended) -> EndNoted:
        if notification.data_centre in self._gateways:
            self._gateways[notification.data_centre].release(notification.jobs)
        return EndNoted()
