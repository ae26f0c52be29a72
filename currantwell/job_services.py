"""The services of a host that keep, run and find jobs, put together."""

from collections.abc import Callable

from .copy_store import CopyStores
from .ids import DataCentre, HostId
from .job_backup import JobBackup
from .journal import Journal
from .kernel import Service
from .peers import PeerNetwork
from .remote_gateway import ViewDirectory
from .roles import BackupExit, MakeDispatcher, RoleLimits, Roles
from .settings import HostSettings
from .views import View, ViewSource, ViewTable

__all__ = ["JobServices", "views_of_one_host"]


class JobServices:
    """Roles, copies and the directory of owners of one host.

    Parameters
    ----------
    settings : HostSettings
        Its settings.
    views : ViewSource
        The agreed views.
    stores : CopyStores
        Its copies.
    peers : PeerNetwork
        Reaches the other hosts.
    make_dispatcher : callable
        Makes the dispatcher of a data centre under an epoch.
    """

    def __init__(
        self,
        settings: HostSettings,
        views: ViewSource,
        stores: CopyStores,
        peers: PeerNetwork,
        make_dispatcher: MakeDispatcher,
    ) -> None:
        backup = JobBackup(stores, views)
        backup.attach(peers)
        hosts = _hosts(settings)
        self.roles = Roles(
            settings.host,
            hosts,
            views,
            stores,
            backup,
            peers,
            make_dispatcher,
            RoleLimits(settings.copies),
        )
        self.directory = ViewDirectory(
            settings.host, views, self.roles, peers, frozenset(hosts.values())
        )
        self._exit = BackupExit(self.roles)

    def first(self) -> list[Service]:
        """Return the services to register before the HTTP server."""
        return [self._exit]

    def last(self) -> list[Service]:
        """Return the services to register after the HTTP server."""
        return [self.directory, self.roles]


async def views_of_one_host(
    settings: HostSettings, open_journal: Callable[[str], Journal]
) -> tuple[ViewTable, CopyStores]:
    """Return the views of a host that is alone, from what its disk remembers."""
    stores = CopyStores(open_journal)
    store = await stores.get(settings.data_centre)
    if not store.copy.joined:
        return ViewTable(), stores
    view = View(settings.data_centre, store.copy.joined, settings.host)
    return ViewTable(view), stores


def _hosts(settings: HostSettings) -> dict[HostId, DataCentre]:
    peers = {host: peer.data_centre for host, peer in settings.peers.items()}
    return {settings.host: settings.data_centre, **peers}
