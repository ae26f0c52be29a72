"""An entry host: assembles and runs the services of one process."""

import json
import random
import sys

import trio

from . import events
from .admin_api import AdminApi
from .auth import OpenAuthenticator, load_tokens
from .clock import SystemCalendar, now_s
from .control import Control
from .control_plane import build_control_plane
from .control_status import ControlStatus
from .copy_store import CopyStores
from .dispatch_policies import dispatch_scheduler
from .dispatcher import Dispatcher, DispatcherLimits
from .gateway import JobGateway
from .http_api import HttpApi, HttpParts
from .http_body import BodyBudget
from .http_server import HttpServer, bind
from .ids import DataCentre, Epoch
from .job_log import JobLog
from .job_services import JobServices
from .journal import DiskJournal, Journal, MemoryJournal
from .kernel import Kernel
from .metrics import HostLoad, LoopMonitor, MeasuredJobLog, Metrics, NoLoad
from .process import run_until_stopped
from .router import Router
from .settings import HostSettings
from .status import SystemStatus
from .views import ViewSource

__all__ = ["Host", "run_host"]

# Share of the time to drain after which callers no longer wait for an answer.
WAIT_SHARE = 0.8


class Host:
    """One entry host.

    Parameters
    ----------
    settings : HostSettings
        Settings of the host.
    views : ViewSource or None
        Source of the agreed views; None uses the control service.
    """

    def __init__(self, settings: HostSettings, views: ViewSource | None = None) -> None:
        self.settings = settings
        self.kernel = Kernel(settings.drain_timeout_s)
        self.address: tuple[str, int] | None = None
        self._metrics = Metrics()
        self._calendar = SystemCalendar()
        self._views = views
        self._control: Control | None = None
        self._jobs: JobServices | None = None
        self._api: HttpApi | None = None

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The dispatcher of this host's data centre; None if another host runs it."""
        if self._jobs is None:
            return None
        return self._jobs.roles.dispatcher(self.settings.data_centre)

    async def run(self, task_status: trio.TaskStatus[None]) -> bool:
        """Serve until stopped; return whether all services drained in time."""
        settings = self.settings
        plane = await build_control_plane(settings, self._journal, self._calendar)
        self._control = plane.control
        stores = CopyStores(self._journal)
        views = self._views or plane.control
        self._jobs = JobServices(
            settings, views, stores, plane.peers, self._make_dispatcher
        )
        directory = self._jobs.directory
        router = Router(directory)
        gateway = directory.gateway(settings.data_centre)
        parts = self._http_parts(gateway, plane.control)
        self._api = api = HttpApi(settings.data_centre, router, gateway, parts)
        listener = bind(settings.address, settings.http_port)
        server = HttpServer(api.app(), listener, graceful_s=settings.drain_timeout_s)
        self.address = server.address
        monitor = LoopMonitor(self._metrics)
        before_http, after_http = (
            self._jobs.services_before_http(),
            self._jobs.services_after_http(),
        )
        for service in (
            monitor,
            *plane.services,
            *before_http,
            server,
            router,
            *after_http,
        ):
            self.kernel.register(service)
        return await self.kernel.run(task_status)

    def load(self) -> HostLoad:
        """Return the load of the data centre's dispatcher; zeros if not run here."""
        dispatcher = self.dispatcher
        return NoLoad().load() if dispatcher is None else dispatcher.load()

    async def drain(self) -> None:
        """Report not ready and limit waits, to prepare a graceful shutdown."""
        if self._api is not None:
            self._api.ready = False
            wait_s = WAIT_SHARE * self.settings.drain_timeout_s
            self._api.end_waits_by(now_s() + wait_s)

    def _http_parts(self, gateway: JobGateway, control: Control) -> HttpParts:
        settings = self.settings
        tokens = settings.tokens_file
        control_status = ControlStatus(control)
        status = SystemStatus(
            settings.host,
            settings.data_centre,
            gateway,
            control,
            self,
            control_status,
            control_status,
        )
        authenticator = load_tokens(tokens) if tokens else OpenAuthenticator()
        budget = BodyBudget(settings.bodies_in_flight_bytes)
        admin = AdminApi(control, authenticator, budget)
        return HttpParts(
            authenticator, budget, self._metrics, self, status, tuple(admin.routes())
        )

    def _make_dispatcher(
        self, data_centre: DataCentre, epoch: Epoch, log: JobLog
    ) -> Dispatcher:
        assert self._control is not None
        limits = DispatcherLimits(
            endpoint_lease_s=self.settings.endpoint_lease_s,
            answer_kept_s=self.settings.answer_kept_s,
        )
        return Dispatcher(
            data_centre,
            epoch,
            MeasuredJobLog(log, self._metrics),
            dispatch_scheduler(self._control, self._control, random.Random()),
            self._calendar,
            limits,
            self._metrics,
            drains=self._control,
        )

    def _journal(self, name: str) -> Journal:
        folder = self.settings.data_folder
        if folder is None:
            return MemoryJournal()
        folder.mkdir(parents=True, exist_ok=True)
        return DiskJournal(folder / f"{name}.journal")


async def run_host(settings: HostSettings, views: ViewSource | None = None) -> bool:
    """Run a host until SIGTERM or SIGINT; print its URL once it serves.

    Returns
    -------
    bool
        Whether all services drained in time.
    """
    host = Host(settings, views)

    def announce() -> None:
        assert host.address is not None
        address, port = host.address
        print(json.dumps({"url": f"http://{address}:{port}"}), flush=True)
        events.HOST_STARTED.log(host=settings.host, address=address, port=port)

    drained = await run_until_stopped(
        settings.host, host.kernel, run=host.run, announce=announce, drain=host.drain
    )
    sys.stdout.flush()
    return drained
