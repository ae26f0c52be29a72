"""What operators and hosts tell each other over HTTP."""

import msgspec

from .audit import AuditEntry
from .changes import Winner
from .codes import ResultCode
from .ids import ChangeId, DataCentre, EndpointId, HostId, Team
from .presets import Preset
from .quotas import Quota
from .views import View

__all__ = [
    "AuditList",
    "ChangeReply",
    "ChangeRequest",
    "DrainedList",
    "HostEntry",
    "HostList",
    "PresetList",
    "PresetPlan",
    "PutPresetRequest",
    "QuotaList",
    "RuleChange",
    "SetQuotaRequest",
    "ViewList",
]


class ChangeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change that an operator asks for.

    Parameters
    ----------
    id : ChangeId
        Names the change; a resend has the same.
    reason : str
        Why.
    version : int
        The version that the change was planned against.
    """

    id: ChangeId
    reason: str
    version: int


class PutPresetRequest(ChangeRequest, frozen=True, forbid_unknown_fields=True):
    """A preset to define."""

    preset: Preset


class SetQuotaRequest(ChangeRequest, frozen=True, forbid_unknown_fields=True):
    """A quota to give a team."""

    quota: Quota


class ChangeReply(msgspec.Struct, frozen=True):
    """What became of a change.

    Parameters
    ----------
    code : ResultCode
        ``COMPLETE`` if it is accepted and in force, ``ACCEPTED`` if it is accepted
        and comes in force; else why it was refused.
    version : int
        The newest version.
    detail : str
        What a person should know.
    winner : Winner or None
        For a conflict, the change that won.
    """

    code: ResultCode
    version: int
    detail: str = ""
    winner: Winner | None = None


class PresetList(msgspec.Struct, frozen=True):
    """All presets.

    Parameters
    ----------
    current : bool
        Whether a majority of hosts confirmed what follows; a host that is cut off
        tells what it knew last.
    version : int
        The version to plan changes against.
    active : str
        The preset in force.
    proposed : str or None
        The preset that is coming in force.
    followed : str
        What the asked host follows now: the preset in force, or the floor.
    presets : tuple of Preset
        All presets by name.
    """

    current: bool
    version: int
    active: str
    proposed: str | None
    followed: str
    presets: tuple[Preset, ...]


class RuleChange(msgspec.Struct, frozen=True):
    """A rule that a preset would alter."""

    rule: str
    before: str
    after: str


class PresetPlan(msgspec.Struct, frozen=True):
    """What setting a preset would alter.

    Parameters
    ----------
    current : bool
        As in `PresetList`.
    version : int
        The version to set it against.
    before : str
        The preset in force, or the one coming in force.
    after : str
        The preset planned.
    changes : tuple of RuleChange
        The rules that differ.
    """

    current: bool
    version: int
    before: str
    after: str
    changes: tuple[RuleChange, ...]


class QuotaList(msgspec.Struct, frozen=True):
    """All quotas that differ from the default."""

    current: bool
    version: int
    default: Quota
    quotas: dict[Team, Quota]


class HostEntry(msgspec.Struct, frozen=True):
    """A registered host.

    Parameters
    ----------
    host : HostId
        The host.
    data_centre : DataCentre
        Where it stands.
    address : str
        Where it listens for other hosts.
    role : str
        ``primary``, ``backup`` or nothing.
    leads : bool
        Whether it orders the changes.
    suspected : bool
        Whether the leader can't reach it.
    """

    host: HostId
    data_centre: DataCentre
    address: str
    role: str
    leads: bool
    suspected: bool


class HostList(msgspec.Struct, frozen=True):
    """All registered hosts."""

    current: bool
    version: int
    hosts: tuple[HostEntry, ...]


class ViewList(msgspec.Struct, frozen=True):
    """The newest view of each data centre."""

    current: bool
    views: dict[DataCentre, View]


class DrainedList(msgspec.Struct, frozen=True):
    """The endpoints that get no new work."""

    current: bool
    version: int
    drained: tuple[EndpointId, ...]


class AuditList(msgspec.Struct, frozen=True):
    """Entries of the audit trail, newest first."""

    current: bool
    entries: tuple[AuditEntry, ...]
