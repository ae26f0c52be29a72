"""Output of the consensus state machine: the I/O that its caller has to do."""

import dataclasses
from collections.abc import Sequence

from .consensus_leader import PendingRead
from .consensus_messages import Entry, Envelope, HardState, Snapshot

__all__ = ["Output"]


@dataclasses.dataclass(slots=True)
class Output:
    """Work for the caller, to be done in the order of the fields.

    Parameters
    ----------
    messages : list of Envelope
        Messages to send at once.
    hard_state : HardState or None
        New hard state to sync, if it changed.
    snapshot : Snapshot or None
        Snapshot to sync in place of all earlier entries, and to restore.
    entries : sequence of Entry
        Entries to sync; the first replaces the entry at its index and all after it.
    replies : list of Envelope
        Messages to send once everything above is synced.
    committed : sequence of Entry
        Committed entries to apply.
    reads : list of PendingRead
        Confirmed reads.
    failed_reads : list of PendingRead
        Reads that will not be confirmed, since the member lost leadership.
    """

    messages: list[Envelope] = dataclasses.field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: Sequence[Entry] = ()
    replies: list[Envelope] = dataclasses.field(default_factory=list)
    committed: Sequence[Entry] = ()
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    failed_reads: list[PendingRead] = dataclasses.field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether there is anything to sync."""
        return bool(self.entries) or bool(self.hard_state) or bool(self.snapshot)

    def __bool__(self) -> bool:
        """Return whether there is any work to do."""
        has_messages = self.messages or self.replies or self.reads or self.failed_reads
        return bool(has_messages) or bool(self.committed) or self.needs_sync
