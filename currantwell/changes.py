"""Commands on the agreed state, and their results.

A command from an operator carries a `ChangeMetadata`. The state gets the time only from
fields of commands, so that all hosts compute the same state.
"""

import enum
import hashlib

import msgspec

from .codes import ResultCode
from .errors import InvalidRequest
from .ids import ChangeId, DataCentre, EndpointId, HostId, Team, check_name
from .presets import Preset, check_preset
from .quotas import Quota
from .views import View

__all__ = [
    "ActivatePreset",
    "ChangeMetadata",
    "Command",
    "CommandResult",
    "DrainEndpoint",
    "OperatorCommand",
    "ProposeView",
    "PutPreset",
    "RegisterHost",
    "RemoveHost",
    "SetPreset",
    "SetQuota",
    "Subject",
    "Winner",
    "check_command",
    "decode_command",
    "digest_of_command",
    "encode_command",
]

MAX_REASON_CHARS = 500
MAX_WEIGHT = 10_000.0


class Subject(enum.Enum):
    """A part of the state with its own version number."""

    PRESET = "preset"
    QUOTA = "quota"
    ENDPOINT = "endpoint"
    HOST = "host"


class ChangeMetadata(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity, author and reason of an operator's change.

    Parameters
    ----------
    id : ChangeId
        Chosen by the operator; the same when the change is sent again.
    author : str
        The operator.
    reason : str
        Reason of the change; not empty.
    version : int
        Version of the subject that the change is based on.
    unix_s : float
        Time of the request, in seconds since the Unix epoch.
    """

    id: ChangeId
    author: str
    reason: str
    version: int
    unix_s: float = 0.0


class SetPreset(msgspec.Struct, frozen=True, tag="set_preset"):
    """Propose a preset, which becomes active once no host follows the previous one."""

    change: ChangeMetadata
    name: str


class PutPreset(msgspec.Struct, frozen=True, tag="put_preset"):
    """Define a preset, or redefine one that is neither active nor proposed."""

    change: ChangeMetadata
    preset: Preset


class SetQuota(msgspec.Struct, frozen=True, tag="set_quota"):
    """Set the quota of a team."""

    change: ChangeMetadata
    team: Team
    quota: Quota


class DrainEndpoint(msgspec.Struct, frozen=True, tag="drain_endpoint"):
    """Drain an endpoint, so that it gets no new work, or resume it."""

    change: ChangeMetadata
    endpoint: EndpointId
    drained: bool = True


class RemoveHost(msgspec.Struct, frozen=True, tag="remove_host"):
    """Remove a host; it may register again only with an empty disk."""

    change: ChangeMetadata
    host: HostId


class ActivatePreset(msgspec.Struct, frozen=True, tag="activate_preset"):
    """Activate the proposed preset, once no host follows the previous one."""

    version: int
    author: HostId
    reason: str
    unix_s: float


class RegisterHost(msgspec.Struct, frozen=True, tag="register_host"):
    """Register a host or update its registration.

    Parameters
    ----------
    host : HostId
        The host.
    data_centre : DataCentre
        Data centre of the host.
    address : str
        Address for requests of other hosts; empty if there are no others.
    disk : str
        Id of its data folder; a different id means that the host lost its disk.
    copies : int
        Number of hosts that must hold a job before it is reported as accepted.
    unix_s : float
        Time of the registration, in seconds since the Unix epoch.
    """

    host: HostId
    data_centre: DataCentre
    address: str
    disk: str
    copies: int
    unix_s: float


class ProposeView(msgspec.Struct, frozen=True, tag="propose_view"):
    """Propose the next view of a data centre."""

    view: View
    author: HostId
    reason: str
    unix_s: float


OperatorCommand = SetPreset | PutPreset | SetQuota | DrainEndpoint | RemoveHost
Command = OperatorCommand | ActivatePreset | RegisterHost | ProposeView


class Winner(msgspec.Struct, frozen=True):
    """The change that made the newest version of a subject."""

    change: ChangeId
    author: str
    reason: str
    version: int
    unix_s: float


class CommandResult(msgspec.Struct, frozen=True):
    """Result of a command.

    Parameters
    ----------
    code : ResultCode
        ``ACCEPTED``, or why the command was refused.
    version : int
        Newest version of the subject.
    detail : str
        Explanation for the operator.
    winner : Winner or None
        On a version conflict, the change that made the newest version.
    """

    code: ResultCode
    version: int = 0
    detail: str = ""
    winner: Winner | None = None


_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command with MessagePack."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command that `encode_command` made."""
    return _decoder.decode(data)


def digest_of_command(command: OperatorCommand) -> bytes:
    """Return a digest of a command without its time, so that a resend has the same."""
    change = msgspec.structs.replace(command.change, unix_s=0.0)
    command = msgspec.structs.replace(command, change=change)
    return hashlib.sha256(encode_command(command)).digest()


def check_command(command: OperatorCommand) -> None:
    """Check the fields of a command that need no knowledge of the state.

    Raises
    ------
    InvalidRequest
        Names the first invalid field.
    """
    check_name("id", command.change.id)
    check_name("author", command.change.author)
    if not 0 < len(command.change.reason.strip()) <= MAX_REASON_CHARS:
        raise InvalidRequest("reason", f"is empty or over {MAX_REASON_CHARS} letters")
    match command:
        case SetPreset():
            check_name("name", command.name)
        case PutPreset():
            check_preset(command.preset)
        case SetQuota():
            check_name("team", command.team)
            _check_quota(command.quota)
        case DrainEndpoint():
            check_name("endpoint", command.endpoint)
        case RemoveHost():
            check_name("host", command.host)


def _check_quota(quota: Quota) -> None:
    if not 0.0 < quota.weight <= MAX_WEIGHT:
        raise InvalidRequest("weight", f"is not above 0 and up to {MAX_WEIGHT}")
    if quota.max_waiting < 0:
        raise InvalidRequest("max_waiting", "is negative")
