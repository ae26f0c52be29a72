"""Bodies of requests and replies of the operators' HTTP interface."""

import msgspec

from .audit import AuditEntry
from .changes import Winner
from .codes import ResultCode
from .decoding import Integer
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
    """A change requested by an operator.

    Parameters
    ----------
    id : ChangeId
        Identifies the change; a resend carries the same id and is applied once.
    reason : str
        Reason for the change, recorded in the audit trail.
    version : int
        The version of the subject that the change was planned against.
    """

    id: ChangeId
    reason: str
    version: Integer


class PutPresetRequest(ChangeRequest, frozen=True, forbid_unknown_fields=True):
    """Request to define a preset."""

    preset: Preset


class SetQuotaRequest(ChangeRequest, frozen=True, forbid_unknown_fields=True):
    """Request to set the quota of a team."""

    quota: Quota


class ChangeReply(msgspec.Struct, frozen=True):
    """Result of a change.

    Parameters
    ----------
    code : ResultCode
        ``COMPLETE`` if the change is accepted and in force, ``ACCEPTED`` if it is
        accepted but not in force yet; otherwise the reason for its refusal.
    version : int
        The newest version of the subject.
    detail : str
        Explanation for people.
    winner : Winner or None
        The earlier change that this one conflicts with, if there is one.
    """

    code: ResultCode
    version: int
    detail: str = ""
    winner: Winner | None = None


class PresetList(msgspec.Struct, frozen=True):
    """Reply that lists all presets.

    Parameters
    ----------
    current : bool
        Whether a majority of hosts confirmed the values of this reply; a host that is
        partitioned from the majority replies with its last known state.
    version : int
        The version to plan changes against.
    active : str
        The preset in force.
    proposed : str or None
        The preset that has been set but is not in force yet.
    followed : str
        The preset that the replying host applies now: the one in force, or the floor.
    presets : tuple of Preset
        All presets, sorted by name.
    """

    current: bool
    version: int
    active: str
    proposed: str | None
    followed: str
    presets: tuple[Preset, ...]


class RuleChange(msgspec.Struct, frozen=True):
    """A rule that a preset would change, with its old and new value."""

    rule: str
    before: str
    after: str


class PresetPlan(msgspec.Struct, frozen=True):
    """Reply that lists the rules that setting a preset would change.

    Parameters
    ----------
    current : bool
        As in `PresetList`.
    version : int
        The version to set the preset against.
    before : str
        The preset in force, or the proposed one if there is one.
    after : str
        The preset that would be set.
    changes : tuple of RuleChange
        The rules that differ.
    """

    current: bool
    version: int
    before: str
    after: str
    changes: tuple[RuleChange, ...]


class QuotaList(msgspec.Struct, frozen=True):
    """Reply that lists the quotas that differ from the default."""

    current: bool
    version: int
    default: Quota
    quotas: dict[Team, Quota]


class HostEntry(msgspec.Struct, frozen=True):
    """A registered host.

    Parameters
    ----------
    host : HostId
        Id of the host.
    data_centre : DataCentre
        Data centre in which it runs.
    address : str
        Address at which it listens for other hosts.
    role : str
        ``primary``, ``backup`` or empty.
    leads : bool
        Whether it is the Raft leader, which orders the changes.
    suspected : bool
        Whether the leader suspects that it is unreachable.
    """

    host: HostId
    data_centre: DataCentre
    address: str
    role: str
    leads: bool
    suspected: bool


class HostList(msgspec.Struct, frozen=True):
    """Reply that lists the registered hosts."""

    current: bool
    version: int
    hosts: tuple[HostEntry, ...]


class ViewList(msgspec.Struct, frozen=True):
    """Reply with the newest view of each data centre."""

    current: bool
    views: dict[DataCentre, View]


class DrainedList(msgspec.Struct, frozen=True):
    """Reply that lists the drained endpoints, which get no new work."""

    current: bool
    version: int
    drained: tuple[EndpointId, ...]


class AuditList(msgspec.Struct, frozen=True):
    """Reply with entries of the audit trail, newest first."""

    current: bool
    entries: tuple[AuditEntry, ...]
