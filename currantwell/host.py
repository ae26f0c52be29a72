"""An entry host: the services of one process, put together."""

import json
import random
import signal
import sys

import trio

from . import events
from .admin_api import AdminApi
from .auth import OpenAuthenticator, load_tokens
from .clock import SystemCalendar
from .control import Control
from .control_plane import build_control_plane
from .control_status import ControlStatus
from .dispatch_policies import dispatch_scheduler
from .dispatcher import Dispatcher, DispatcherLimits
from .http_api import HttpApi, HttpParts
from .http_body import BodyBudget
from .http_server import HttpServer, bind
from .ids import Epoch
from .job_log import LocalJobLog
from .journal import DiskJournal, Journal, MemoryJournal
from .kernel import Kernel
from .metrics import LoopMonitor, MeasuredJobLog, Metrics
from .router import Router, StaticDirectory
from .settings import HostSettings
from .status import SystemStatus

__all__ = ["Host", "run_host"]

EPOCH_BYTES = 8


class Host:
    """One entry host.

    Parameters
    ----------
    settings : HostSettings
        Its settings.
    """

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.kernel = Kernel(settings.drain_timeout_s)
        self.dispatcher: Dispatcher | None = None
        self.address: tuple[str, int] | None = None
        self._api: HttpApi | None = None

    async def run(self, task_status: trio.TaskStatus[None]) -> bool:
        """Serve until stopped; return whether it drained in time."""
        epoch = await self._next_epoch()
        metrics = Metrics()
        calendar = SystemCalendar()
        plane = await build_control_plane(self.settings, self._journal, calendar)
        self.dispatcher = Dispatcher(
            self.settings.data_centre,
            epoch,
            MeasuredJobLog(LocalJobLog(self._journal("jobs")), metrics),
            dispatch_scheduler(plane.control, plane.control, random.Random()),
            calendar,
            DispatcherLimits(endpoint_lease_s=self.settings.endpoint_lease_s),
            metrics,
        )
        router = Router(StaticDirectory({self.settings.data_centre: self.dispatcher}))
        parts = self._http_parts(metrics, self.dispatcher, plane.control)
        api = HttpApi(self.settings.data_centre, router, self.dispatcher, parts)
        self._api = api
        listener = bind(self.settings.address, self.settings.http_port)
        server = HttpServer(api.app(), listener, self.settings.drain_timeout_s)
        self.address = server.address
        services = (LoopMonitor(metrics), server, router, self.dispatcher)
        for service in (*plane.services, *services):
            self.kernel.register(service)
        return await self.kernel.run(task_status)

    def stop(self) -> None:
        """Finish the requests in progress and stop."""
        events.HOST_DRAINING.log(host=self.settings.host)
        if self._api is not None:
            self._api.ready = False
        self.kernel.stop()

    def _http_parts(
        self, metrics: Metrics, dispatcher: Dispatcher, control: Control
    ) -> HttpParts:
        own = self.settings
        tokens = own.tokens_file
        known = ControlStatus(control)
        status = SystemStatus(
            own.host, own.data_centre, dispatcher, control, dispatcher, known, known
        )
        authenticator = load_tokens(tokens) if tokens else OpenAuthenticator()
        budget = BodyBudget(own.bodies_in_flight_bytes)
        admin = AdminApi(control, authenticator, budget)
        return HttpParts(
            authenticator, budget, metrics, dispatcher, status, tuple(admin.routes())
        )

    async def _next_epoch(self) -> Epoch:
        journal = self._journal("epoch")
        earlier = list(journal.read())
        epoch = int.from_bytes(earlier[-1], "big") + 1 if earlier else 1
        await journal.append([epoch.to_bytes(EPOCH_BYTES, "big")])
        journal.close()
        return Epoch(epoch)

    def _journal(self, name: str) -> Journal:
        folder = self.settings.data_folder
        if folder is None:
            return MemoryJournal()
        folder.mkdir(parents=True, exist_ok=True)
        return DiskJournal(folder / f"{name}.journal")


async def run_host(settings: HostSettings) -> bool:
    """Run a host until SIGTERM or SIGINT; print its address when it serves.

    Returns
    -------
    bool
        Whether it drained in time.
    """
    host = Host(settings)
    drained = False

    async def serve(task_status: trio.TaskStatus[None]) -> None:
        nonlocal drained
        drained = await host.run(task_status)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        await nursery.start(serve)
        assert host.address is not None
        address, port = host.address
        print(json.dumps({"url": f"http://{address}:{port}"}), flush=True)
        events.HOST_STARTED.log(host=settings.host, address=address, port=port)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                host.stop()
    events.HOST_STOPPED.log(host=settings.host, drained=drained)
    sys.stdout.flush()
    return drained
