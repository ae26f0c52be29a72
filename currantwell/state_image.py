"""Plain data of the agreed state, as stored in snapshots."""

import msgspec

from .audit import AuditEntry
from .changes import CommandResult, Subject, Winner
from .ids import ChangeId, DataCentre, EndpointId, HostId, Team
from .presets import MAINTENANCE, ORDINARY, PEAK, Preset
from .quotas import Quota
from .views import View

__all__ = [
    "BUILT_IN_PRESETS",
    "HostRecord",
    "RecordedChange",
    "StateImage",
    "VersionedPreset",
]

BUILT_IN_PRESETS = (ORDINARY, PEAK, MAINTENANCE)


class VersionedPreset(msgspec.Struct, frozen=True):
    """A preset and the version of the change that proposed it."""

    version: int
    preset: Preset


class HostRecord(msgspec.Struct, frozen=True):
    """Registration of a host; the fields are those of `RegisterHost`."""

    data_centre: DataCentre
    address: str
    disk: str
    copies: int


class RecordedChange(msgspec.Struct, frozen=True):
    """Digest and result of a change that was executed or refused."""

    digest: bytes
    verdict: CommandResult


class StateImage(msgspec.Struct):
    """Complete agreed state.

    Parameters
    ----------
    index : int
        Index of the newest command that was applied.
    active : VersionedPreset
        Preset that hosts may follow.
    proposed : VersionedPreset or None
        Preset to be activated next; while there is one, hosts follow no preset.
    presets : dict
        All presets, by name.
    versions : dict
        Version of each subject, by the subject's value.
    winners : dict
        Change that made the newest version, by the subject's value.
    quotas : dict
        Quotas that differ from the default, by team.
    drained : set of EndpointId
        Endpoints that get no new work.
    hosts : dict
        Registrations, by host.
    removed : dict
        Disk ids of removed hosts, which may not register again with that disk.
    unsettled_removal : bool
        Whether a host was removed or lost its disk since the last activation. Such a
        host may follow the active preset until its lease has expired.
    views : dict
        Newest view of each data centre.
    remembered : dict
        Results of the newest changes by id, oldest first.
    audit : list of AuditEntry
        Newest entries of the audit trail.
    """

    index: int = 0
    active: VersionedPreset = VersionedPreset(1, ORDINARY)
    proposed: VersionedPreset | None = None
    presets: dict[str, Preset] = msgspec.field(
        default_factory=lambda: {preset.name: preset for preset in BUILT_IN_PRESETS}
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
    remembered: dict[ChangeId, RecordedChange] = {}
    audit: list[AuditEntry] = []
