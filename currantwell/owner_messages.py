"""Messages between entry hosts and the owners of jobs."""

import enum
from typing import Any, Protocol

import msgspec

from .answers import Answer, TaskStatus
from .dispatcher import Dispatcher
from .endpoint_protocol import Announcement, AnnouncementReply
from .ids import DataCentre, JobId
from .peers import PeerMessage
from .submission import Submission

__all__ = [
    "ARGUMENTS",
    "RESULTS",
    "AskEnded",
    "AskOwner",
    "EndNoted",
    "Ended",
    "LocalDispatchers",
    "OwnerOutcome",
    "OwnerTold",
]


class LocalDispatchers(Protocol):
    """Gives access to the dispatchers that run on this host."""

    def dispatcher(self, data_centre: DataCentre) -> Dispatcher | None:
        """Return the dispatcher that this host runs for a data centre, if any."""
        ...


class OwnerOutcome(enum.Enum):
    """Result of a request to an owner."""

    ANSWERED = "told"
    REFUSED = "refused"
    NOT_OWNER = "not_owner"
    BUSY = "busy"
    LOST = "lost"


class AskOwner(PeerMessage, frozen=True):
    """Calls a method of `JobGateway` on the owner."""

    data_centre: DataCentre
    method: str
    arguments: msgspec.Raw


class OwnerTold(PeerMessage, frozen=True):
    """The result of the method; ``NOT_OWNER`` and ``BUSY`` mean it did not run."""

    outcome: OwnerOutcome
    value: msgspec.Raw = msgspec.Raw(b"\xc0")


class AskEnded(PeerMessage, frozen=True):
    """Asks which jobs have ended, and to be notified when the others do."""

    data_centre: DataCentre
    jobs: tuple[JobId, ...]


class Ended(PeerMessage, frozen=True):
    """Names jobs that have ended or are unknown, as a reply or a later notification."""

    data_centre: DataCentre
    outcome: OwnerOutcome
    jobs: tuple[JobId, ...] = ()


class EndNoted(PeerMessage, frozen=True):
    """Acknowledges a notification of ended jobs."""


ARGUMENTS: dict[str, Any] = {
    "submit": tuple[Submission],
    "wait": tuple[JobId, float],
    "cancel": tuple[JobId],
    "tasks": tuple[JobId],
    "explain": tuple[JobId],
    "announce": tuple[Announcement],
    "endpoints": tuple[()],
}
RESULTS: dict[str, Any] = {
    "submit": Answer,
    "wait": Answer,
    "cancel": Answer,
    "tasks": tuple[TaskStatus, ...],
    "explain": list[str],
    "announce": AnnouncementReply,
    "endpoints": list[Announcement],
}
