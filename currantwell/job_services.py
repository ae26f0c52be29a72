"""Builds the services of a host that store, run and locate jobs."""

from .copy_store import CopyStores
from .ids import DataCentre, HostId
from .job_backup import JobBackup
from .kernel import Service
from .owner_directory import OwnerDirectory
from .peers import PeerNetwork
from .roles import BackupExit, MakeDispatcher, RoleLimits, Roles
from .settings import HostSettings
from .views import ViewSource

__all__ = ["JobServices"]


class JobServices:
    """The roles, the backup and the owner directory of one host.

    Parameters
    ----------
    settings : HostSettings
        The settings of the host.
    views : ViewSource
        The agreed views.
    stores : CopyStores
        The copies of jobs on this host.
    peers : PeerNetwork
        Carries messages to the other hosts.
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
        self.directory = OwnerDirectory(
            settings.host, views, self.roles, peers, frozenset(hosts.values())
        )
        self._backup_exit = BackupExit(self.roles)

    def services_before_http(self) -> list[Service]:
        """Return the services to register before the HTTP server."""
        return [self._backup_exit]

    def services_after_http(self) -> list[Service]:
        """Return the services to register after the HTTP server."""
        return [self.directory, self.roles]


def _hosts(settings: HostSettings) -> dict[HostId, DataCentre]:
    """Return the data centre of each host, this one included."""
    peers = {host: peer.data_centre for host, peer in settings.peers.items()}
    return {settings.host: settings.data_centre, **peers}
