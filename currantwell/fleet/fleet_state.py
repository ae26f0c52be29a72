"""The replicated state of the control hosts: configuration and ownerships.

Invariants: the version of the configuration in force never decreases, and the content
of a version never changes; the epoch of a group increases by one with each new
dispatcher, so that endpoints can reject requests of earlier ones.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..ids import Epoch, HostId, Incarnation
from .groups import EndpointGroup
from .routes import NO_CONFIGURATION, Configuration

__all__ = ["FleetState", "Ownership", "PutConfiguration", "SetOwner", "encode_command"]


class Ownership(msgspec.Struct, frozen=True):
    """The assignment of a group of endpoints to the process that dispatches to it.

    Parameters
    ----------
    group : EndpointGroup
        The group of endpoints.
    epoch : Epoch
        Number of the ownership within the group, from 1.
    host : HostId
        The entry host that runs the dispatcher.
    incarnation : Incarnation
        Its process; a restarted process needs a new ownership.
    """

    group: EndpointGroup
    epoch: Epoch
    host: HostId
    incarnation: Incarnation


class PutConfiguration(msgspec.Struct, frozen=True, tag="put"):
    """Activates a configuration if its version is higher than the one in force."""

    configuration: Configuration


class SetOwner(msgspec.Struct, frozen=True, tag="owner"):
    """Assigns a group to its next dispatcher.

    Ignored unless its epoch is one above the current epoch of the group.
    """

    ownership: Ownership


Command = PutConfiguration | SetOwner


class _Image(msgspec.Struct, frozen=True):
    """The complete state, as stored in a snapshot."""

    configuration: Configuration
    ownerships: tuple[Ownership, ...]


_command_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_image_decoder = msgspec.msgpack.Decoder(_Image)

ACCEPTED = b"taken"
IGNORED = b"passed over"


def encode_command(command: Command) -> bytes:
    """Encode a command for the agreed log."""
    return msgspec.msgpack.encode(command)


class FleetState:
    """The replicated state; a `StateMachine`.

    Attributes
    ----------
    configuration : Configuration
        The configuration in force.
    on_change : callable
        Called after each applied command and each restored snapshot.
    """

    def __init__(self) -> None:
        self.configuration = NO_CONFIGURATION
        self.on_change: Callable[[], None] = lambda: None
        self._ownerships: dict[EndpointGroup, Ownership] = {}

    @property
    def ownerships(self) -> Iterable[Ownership]:
        """The current ownership of each group."""
        return self._ownerships.values()

    def owner(self, group: EndpointGroup) -> Ownership | None:
        """Return the current ownership of a group, if it has one."""
        return self._ownerships.get(group)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command; the result says whether it took effect."""
        match _command_decoder.decode(command):
            case PutConfiguration(configuration):
                accepted = configuration.version > self.configuration.version
                if accepted:
                    self.configuration = configuration
            case SetOwner(ownership):
                current = self._ownerships.get(ownership.group)
                accepted = ownership.epoch == (current.epoch if current else 0) + 1
                if accepted:
                    self._ownerships[ownership.group] = ownership
        self.on_change()
        return ACCEPTED if accepted else IGNORED

    def snapshot(self) -> bytes:
        """Return the complete state in encoded form."""
        image = _Image(self.configuration, tuple(self._ownerships.values()))
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        image = _image_decoder.decode(data)
        self.configuration = image.configuration
        self._ownerships = {
            ownership.group: ownership for ownership in image.ownerships
        }
        self.on_change()
