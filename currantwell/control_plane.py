"""Assembles the services by which a host takes part in the agreed state."""

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
    """The `PeerNetwork` of a host that runs alone."""

    async def request(
        self,
        host: HostId,
        message: PeerMessage,
        reply: type[Reply],
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Reply:
        """Raise `PeerUnreachable`: there are no other hosts."""
        raise PeerUnreachable(f"{host}: this host is alone")

    def handle(self, message: type[PeerMessage], handler: PeerHandler) -> None:
        """No-op: no requests can arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """The assembled services.

    Parameters
    ----------
    control : Control
        The presets, quotas and views that apply on this host.
    peers : PeerNetwork
        Sends requests to the other hosts.
    agreement : Agreement
        Replicates commands between the hosts.
    services : sequence of Service
        The services for the kernel to run, in this order.
    """

    control: Control
    peers: PeerNetwork
    agreement: Agreement
    services: Sequence[Service]


async def build_control_plane(
    settings: HostSettings, open_journal: JournalOpener, calendar: CalendarClock
) -> ControlPlane:
    """Assemble the control plane of a host from its settings.

    Parameters
    ----------
    settings : HostSettings
        The settings of the host.
    open_journal : callable
        Opens the journal with a given name in the data folder.
    calendar : CalendarClock
        Stamps changes.

    Raises
    ------
    JournalDamaged
        If a journal is corrupt.
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
        peers = network = _peer_transport(settings, settings.peer_address)
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


def _peer_transport(settings: HostSettings, address: str) -> PeerTransport:
    if settings.key_file is None:
        raise SettingsInvalid(["[host] key_file is missing beside peer_address"])
    try:
        key = read_key(settings.key_file)
    except (OSError, ValueError) as error:
        raise SettingsInvalid([f"[host] key_file: {error}"]) from error
    addresses = {host: peer.address for host, peer in settings.peers.items()}
    return PeerTransport(settings.host, address, addresses, key)


async def _disk_id(journal: Journal) -> str:
    """Return the id of the data folder, created at its first use."""
    records = list(journal.read())
    if not records:
        records = [uuid.uuid4().hex.encode()]
        await journal.append(records)
    journal.close()
    return records[0].decode()
