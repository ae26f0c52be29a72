"""Messages between copies of job records, and the changes that a copy makes durable."""

import enum

import msgspec

from .ids import DataCentre, Epoch, StoreId
from .peers import PeerMessage
from .views import View

__all__ = [
    "CHUNK_BYTES",
    "EMPTY_RECORD",
    "START_POSITION",
    "AppendRecords",
    "CopyChange",
    "CopyOutcome",
    "CopyReply",
    "InstallChunk",
    "Position",
    "RecordRun",
    "SnapshotRecords",
    "SnapshotStarted",
    "StoreCreated",
    "Truncated",
    "ViewJoined",
    "ViewVouched",
    "Vouch",
]

EMPTY_RECORD = b""
CHUNK_BYTES = 256 * 1024


class Position(msgspec.Struct, frozen=True, array_like=True):
    """Position of a record: the view that wrote it and its sequence number."""

    view: Epoch
    seq: int


START_POSITION = Position(Epoch(0), 0)


class RecordRun(msgspec.Struct, frozen=True, tag="run"):
    """Records of one view with consecutive sequence numbers."""

    view: Epoch
    first: int
    records: tuple[bytes, ...]


class StoreCreated(msgspec.Struct, frozen=True, tag="store"):
    """A new store; its id differs from that of a store whose disk was lost."""

    store: StoreId


class ViewJoined(msgspec.Struct, frozen=True, tag="joined"):
    """Number of the newest view that the copy has taken part in."""

    number: Epoch


class ViewVouched(msgspec.Struct, frozen=True, tag="vouched"):
    """The copy counts in this view if the view becomes the agreed one."""

    view: View


class Truncated(msgspec.Struct, frozen=True, tag="truncated"):
    """Removes all records after a sequence number; nobody was notified of them."""

    last: int


class SnapshotStarted(msgspec.Struct, frozen=True, tag="base"):
    """Starts a snapshot that replaces all records up to a position."""

    position: Position


class SnapshotRecords(msgspec.Struct, frozen=True, tag="part"):
    """A part of the snapshot."""

    records: tuple[bytes, ...]


CopyChange = (
    RecordRun
    | StoreCreated
    | ViewJoined
    | ViewVouched
    | Truncated
    | SnapshotStarted
    | SnapshotRecords
)


class AppendRecords(PeerMessage, frozen=True):
    """Records of a view's primary that follow a position; empty as a heartbeat."""

    data_centre: DataCentre
    view: Epoch
    after: Position
    runs: tuple[RecordRun, ...] = ()
    committed: int = 0


class InstallChunk(PeerMessage, frozen=True):
    """A part of a snapshot, for a copy that is too far behind."""

    data_centre: DataCentre
    view: Epoch
    position: Position
    index: int
    last: bool
    records: tuple[bytes, ...]


class Vouch(PeerMessage, frozen=True):
    """Sent by a view's primary to vouch for a copy in a view it is about to propose."""

    data_centre: DataCentre
    view: Epoch
    following: View
    at: Position


class CopyOutcome(enum.Enum):
    """Result of a message to a copy."""

    ACCEPTED = "taken"
    MISSING = "missing"
    REFUSED = "refused"


class CopyReply(PeerMessage, frozen=True):
    """Reply of a copy, sent once everything it reports is synced.

    Parameters
    ----------
    outcome : CopyOutcome
        ``MISSING`` if the copy lacks the records that precede the message's,
        ``REFUSED`` if it has joined a newer view.
    store : str
        Id of the replying store.
    joined : int
        Number of the newest view that the copy has joined.
    last : Position
        Position of the copy's last record.
    counts : bool
        Whether the copy counts in the view it has joined.
    """

    outcome: CopyOutcome
    store: StoreId
    joined: Epoch
    last: Position
    counts: bool
