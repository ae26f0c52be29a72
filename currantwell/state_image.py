"""All of the agreed state as plain data, for snapshots."""

import msgspec

from .audit import AuditEntry
from .changes import CommandResult, Subject, Winner
from .ids import ChangeId, DataCentre, EndpointId, HostId, Team
from .presets import MAINTENANCE, ORDINARY, PEAK, Preset
from .quotas import Quota
from .views import View

__all__ = ["BUILT_IN", "HostRecord", "Remembered", "StateImage", "VersionedPreset"]

BUILT_IN = (ORDINARY, PEAK, MAINTENANCE)


class VersionedPreset(msgspec.Struct, frozen=True):
    """A preset and the version of the change that chose it."""

    version: int
    preset: Preset


class HostRecord(msgspec.Struct, frozen=True):
    """A host that registered."""

    data_centre: DataCentre
    address: str
    disk: str
    copies: int


class Remembered(msgspec.Struct, frozen=True):
    """A change that was judged."""

    digest: bytes
    verdict: CommandResult


class StateImage(msgspec.Struct):
    """All of the state.

    Parameters
    ----------
    index : int
        Index of the newest command applied.
    active : VersionedPreset
        The preset that hosts may act by.
    proposed : VersionedPreset or None
        The preset that comes next; while there is one, hosts act by none.
    presets : dict
        All presets by name.
    versions : dict
        Version of each subject, by its value.
    winners : dict
        The change that made the version.
    quotas : dict
        Quotas that differ from the default.
    drained : set of EndpointId
        Endpoints that get no new work.
    hosts : dict
        The registered hosts.
    removed : dict
        Disks of removed hosts, which may not register again.
    unsettled_removal : bool
        Whether a host was removed since the last activation. It may act by the
        active preset until its lease has run out.
    views : dict
        The newest view of each data centre.
    remembered : dict
        Verdicts on the newest changes, oldest first.
    audit : list of AuditEntry
        The newest entries.
    """

    index: int = 0
    active: VersionedPreset = VersionedPreset(1, ORDINARY)
    proposed: VersionedPreset | None = None
    presets: dict[str, Preset] = msgspec.field(
        default_factory=lambda: {preset.name: preset for preset in BUILT_IN}
    )
    versions: dict[str, int] = msgspec.field(
        default_factory=lambda: {subject.value: 1 for subject in Subject}
    )
    winners: dict[str, Winner] = {}
    quotas: dict[Team, Quota] = {}
    drained: set[EndpointId] = set()
    hosts: dict[HostId, HostRecord] = {}
    removed: dict[HostId, str] = {}
    unsettled_removal: bool = False
    views: dict[DataCentre, View] = {}
    remembered: dict[ChangeId, Remembered] = {}
    audit: list[AuditEntry] = []
