"""Commands on the agreed state, and the verdicts on them.

A command that an operator asked for carries a `ChangeMetadata`. Time enters the state
as a field of commands alone.
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
    """A part of the state that has a version of its own."""

    PRESET = "preset"
    QUOTA = "quota"
    ENDPOINT = "endpoint"
    HOST = "host"


class ChangeMetadata(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who asks for a change, and why.

    Parameters
    ----------
    id : ChangeId
        Chosen by the operator; a resend has the same.
    author : str
        The operator.
    reason : str
        Why; not empty.
    version : int
        The version of the subject that the change was made against.
    unix_s : float
        When it was asked for.
    """

    id: ChangeId
    author: str
    reason: str
    version: int
    unix_s: float = 0.0


class SetPreset(msgspec.Struct, frozen=True, tag="set_preset"):
    """Put a preset in force."""

    change: ChangeMetadata
    name: str


class PutPreset(msgspec.Struct, frozen=True, tag="put_preset"):
    """Define a preset, or define one anew that is not in force."""

    change: ChangeMetadata
    preset: Preset


class SetQuota(msgspec.Struct, frozen=True, tag="set_quota"):
    """Give a team a quota."""

    change: ChangeMetadata
    team: Team
    quota: Quota


class DrainEndpoint(msgspec.Struct, frozen=True, tag="drain_endpoint"):
    """Send an endpoint no new work, or send it work again."""

    change: ChangeMetadata
    endpoint: EndpointId
    drained: bool = True


class RemoveHost(msgspec.Struct, frozen=True, tag="remove_host"):
    """Remove a host for good; it may come back with an empty disk only."""

    change: ChangeMetadata
    host: HostId


class ActivatePreset(msgspec.Struct, frozen=True, tag="activate_preset"):
    """Put the proposed preset in force, now that none acts by the one before."""

    version: int
    author: HostId
    reason: str
    unix_s: float


class RegisterHost(msgspec.Struct, frozen=True, tag="register_host"):
    """Make a host known.

    Parameters
    ----------
    host : HostId
        The host.
    data_centre : DataCentre
        Where it stands.
    address : str
        Where it listens for other hosts; empty for a host that is alone.
    disk : str
        Id of its data folder; another id tells that it has lost its disk.
    copies : int
        Hosts that hold a job before its caller hears that it is accepted.
    unix_s : float
        When.
    """

    host: HostId
    data_centre: DataCentre
    address: str
    disk: str
    copies: int
    unix_s: float


class ProposeView(msgspec.Struct, frozen=True, tag="propose_view"):
    """Take the next view of a data centre."""

    view: View
    author: HostId
    reason: str
    unix_s: float


OperatorCommand = SetPreset | PutPreset | SetQuota | DrainEndpoint | RemoveHost
Command = OperatorCommand | ActivatePreset | RegisterHost | ProposeView


class Winner(msgspec.Struct, frozen=True):
    """The change that made the newest version."""

    change: ChangeId
    author: str
    reason: str
    version: int
    unix_s: float


class CommandResult(msgspec.Struct, frozen=True):
    """What became of a command.

    Parameters
    ----------
    code : ResultCode
        ``ACCEPTED`` for a change that lasts; else why it was refused.
    version : int
        The newest version of the subject.
    detail : str
        What a person should know.
    winner : Winner or None
        For a conflict, the change that won.
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
    """Return a digest that a resend of the command has too."""
    change = msgspec.structs.replace(command.change, unix_s=0.0)
    command = msgspec.structs.replace(command, change=change)
    return hashlib.sha256(encode_command(command)).digest()


def check_command(command: OperatorCommand) -> None:
    """Check what can be checked of a command without the state.

    Raises
    ------
    InvalidRequest
        Naming the first field at fault.
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
