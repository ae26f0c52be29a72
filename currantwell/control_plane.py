"""The services by which a host takes part in the agreed state, put together."""

import dataclasses
import uuid
from collections.abc import Callable, Sequence

from .agreed_state import AgreedState
from .agreement import Agreement, LocalAgreement
from .audit import AuditArchive
from .clock import CalendarClock
from .consensus_messages import MAX_VOTERS
from .control import Control
from .errors import PeerUnreachable, SettingsInvalid
from .ids import HostId
from .journal import Journal
from .kernel import Service
from .peers import (
    DEFAULT_TIMEOUT_S,
    PeerHandler,
    PeerMessage,
    PeerNetwork,
    PeerTransport,
    Reply,
)
from .raft_agreement import RaftAgreement
from .settings import HostSettings
from .settings_rules import read_key
from .state_image import HostRecord

__all__ = ["ControlPlane", "IsolatedPeerNetwork", "build_control_plane"]

JournalOpener = Callable[[str], Journal]


class IsolatedPeerNetwork:
    """The network of a host that is alone."""

    async def request(
        self,
        host: HostId,
        message: PeerMessage,
        reply: type[Reply],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Reply:
        """Reach no one."""
        raise PeerUnreachable(f"{host}: this host is alone")

    def handle(self, message: type[PeerMessage], handler: PeerHandler) -> None:
        """Hear no one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """What was put together.

    Parameters
    ----------
    control : Control
        The preset, the quotas and the views that hold on this host.
    peers : PeerNetwork
        The other hosts.
    agreement : Agreement
        The agreement.
    services : sequence of Service
        What the kernel has to run, in this order.
    """

    control: Control
    peers: PeerNetwork
    agreement: Agreement
    services: Sequence[Service]


async def build_control_plane(
    settings: HostSettings, open_journal: JournalOpener, calendar: CalendarClock
) -> ControlPlane:
    """Put the control plane of a host together from its settings.

    Parameters
    ----------
    settings : HostSettings
        The settings of the host.
    open_journal : callable
        Opens the journal of a name in the data folder.
    calendar : CalendarClock
        Stamps changes.

    Raises
    ------
    JournalDamaged
        If a journal can't be trusted.
    SettingsInvalid
        If the shared key can't be read.
    """
    state = AgreedState()
    peers: PeerNetwork = IsolatedPeerNetwork()
    agreement: Agreement
    services: list[Service] = []
    if settings.peer_address is None:
        agreement = LocalAgreement(settings.host, state, open_journal("agreed"))
    else:
        peers = network = _peers(settings, settings.peer_address)
        voters = sorted([settings.host, *settings.peers])[:MAX_VOTERS]
        agreement = raft = RaftAgreement(
            settings.host, voters, network, open_journal("agreement"), state
        )
        services = [network, raft]
    record = HostRecord(
        settings.data_centre,
        settings.peer_address or "",
        await _disk_id(open_journal("disk")),
        settings.copies,
    )
    archive = AuditArchive(open_journal("audit"))
    control = Control(settings.host, record, state, agreement, peers, calendar, archive)
    return ControlPlane(control, peers, agreement, [*services, control])


def _peers(settings: HostSettings, address: str) -> PeerTransport:
    if settings.key_file is None:
        raise SettingsInvalid(["[host] key_file is missing beside peer_address"])
    try:
        key = read_key(settings.key_file)
    except (OSError, ValueError) as error:
        raise SettingsInvalid([f"[host] key_file: {error}"]) from error
    addresses = {host: peer.address for host, peer in settings.peers.items()}
    return PeerTransport(settings.host, address, addresses, key)


async def _disk_id(journal: Journal) -> str:
    """Return the id of the data folder, made at its first use."""
    kept = list(journal.read())
    if not kept:
        kept = [uuid.uuid4().hex.encode()]
        await journal.append(kept)
    journal.close()
    return kept[0].decode()
