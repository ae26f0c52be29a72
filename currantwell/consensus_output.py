"""What a member's decisions ask its caller to carry out."""

import dataclasses
from collections.abc import Sequence

from .consensus_leader import Read
from .consensus_messages import Entry, Envelope, HardState, Snapshot

__all__ = ["Output"]


@dataclasses.dataclass(slots=True)
class Output:
    """What the caller has to carry out, in the order of the fields.

    Parameters
    ----------
    messages : list of Envelope
        To send at once.
    hard_state : HardState or None
        To sync, if any.
    snapshot : Snapshot or None
        To sync in the place of all earlier entries, and to restore.
    entries : sequence of Entry
        To sync; the first replaces the entry of its index and all after it.
    replies : list of Envelope
        To send once all that is synced.
    committed : sequence of Entry
        To apply.
    reads : list of Read
        Reads confirmed.
    lost_reads : list of Read
        Reads that never will be.
    """

    messages: list[Envelope] = dataclasses.field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: Sequence[Entry] = ()
    replies: list[Envelope] = dataclasses.field(default_factory=list)
    committed: Sequence[Entry] = ()
    reads: list[Read] = dataclasses.field(default_factory=list)
    lost_reads: list[Read] = dataclasses.field(default_factory=list)

    @property
    def needs_sync(self) -> bool:
        """Whether there is anything to sync."""
        return bool(self.entries) or bool(self.hard_state) or bool(self.snapshot)

    def __bool__(self) -> bool:
        """Tell whether there is anything to carry out."""
        told = self.messages or self.replies or self.reads or self.lost_reads
        return bool(told) or bool(self.committed) or self.needs_sync
