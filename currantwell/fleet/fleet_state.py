"""What control hosts agree on: the configuration and who dispatches where.

Invariants: the configuration in force never goes to a lower version, and the content
of a version never changes; the epoch of a group counts up by one with each new
dispatcher, so that endpoints refuse the orders of earlier ones.
"""

from collections.abc import Callable, Iterable

import msgspec

from ..ids import Epoch, HostId, Incarnation
from .groups import EndpointGroup
from .routes import NO_CONFIGURATION, Configuration

__all__ = ["FleetState", "Ownership", "PutConfiguration", "SetOwner", "encode_command"]


class Ownership(msgspec.Struct, frozen=True):
    """Which process dispatches to a group of endpoints.

    Parameters
    ----------
    group : EndpointGroup
        The endpoints.
    epoch : Epoch
        Counts the dispatchers of the group, from 1.
    host : HostId
        The entry host.
    incarnation : Incarnation
        The process there; a restarted one needs an ownership of its own.
    """

    group: EndpointGroup
    epoch: Epoch
    host: HostId
    incarnation: Incarnation


class PutConfiguration(msgspec.Struct, frozen=True, tag="put"):
    """Put a configuration in force, unless one of its version or higher is."""

    configuration: Configuration


class SetOwner(msgspec.Struct, frozen=True, tag="owner"):
    """Name the next dispatcher of a group; only the next epoch counts."""

    ownership: Ownership


Command = PutConfiguration | SetOwner


class _Image(msgspec.Struct, frozen=True):
    """The whole state, as in a snapshot."""

    configuration: Configuration
    ownerships: tuple[Ownership, ...]


_command_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
_image_decoder = msgspec.msgpack.Decoder(_Image)

TAKEN = b"taken"
PASSED_OVER = b"passed over"


def encode_command(command: Command) -> bytes:
    """Return a command as it is agreed on."""
    return msgspec.msgpack.encode(command)


class FleetState:
    """The agreed state; a `StateMachine`.

    Attributes
    ----------
    configuration : Configuration
        The configuration in force.
    changed : callable
        Called after each change.
    """

    def __init__(self) -> None:
        self.configuration = NO_CONFIGURATION
        self.on_change: Callable[[], None] = lambda: None
        self._ownerships: dict[EndpointGroup, Ownership] = {}

    @property
    def ownerships(self) -> Iterable[Ownership]:
        """The newest ownership of each group."""
        return self._ownerships.values()

    def owner(self, group: EndpointGroup) -> Ownership | None:
        """Return who dispatches to a group, if anyone does."""
        return self._ownerships.get(group)

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a command and tell whether it took effect."""
        match _command_decoder.decode(command):
            case PutConfiguration(configuration):
                taken = configuration.version > self.configuration.version
                if taken:
                    self.configuration = configuration
            case SetOwner(ownership):
                known = self._ownerships.get(ownership.group)
                taken = ownership.epoch == (known.epoch if known else 0) + 1
                if taken:
                    self._ownerships[ownership.group] = ownership
        self.on_change()
        return TAKEN if taken else PASSED_OVER

    def snapshot(self) -> bytes:
        """Return the whole state."""
        image = _Image(self.configuration, tuple(self._ownerships.values()))
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        """Put the state of a snapshot in the place of this one."""
        image = _image_decoder.decode(data)
        self.configuration = image.configuration
        self._ownerships = {owned.group: owned for owned in image.ownerships}
        self.on_change()
