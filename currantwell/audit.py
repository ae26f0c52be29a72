"""The audit trail: a hash chain of all changes and repairs.

Invariants: entries are numbered from 1 without gaps. The hash of an entry covers all
its other fields, including the hash of the previous entry, so altering, removing or
inserting an entry breaks the chain after it. The newest entries are part of the agreed
state; each host keeps all entries that it has received in an archive of its own.
"""

import hashlib
from collections.abc import Iterable, Iterator, Sequence

import msgspec
import trio

from .codes import ResultCode
from .ids import ChangeId
from .journal import Journal

__all__ = [
    "GENESIS",
    "AuditArchive",
    "AuditEntry",
    "AuditQuery",
    "AuditReport",
    "AuditTrail",
    "verify_chain",
]

GENESIS = "0" * 64
WINDOW_ENTRIES = 2_000
MAX_SEARCH_RESULTS = 1_000


class AuditEntry(msgspec.Struct, frozen=True):
    """One change or repair.

    Parameters
    ----------
    number : int
        Sequence number, starting at 1.
    unix_s : float
        Time in seconds since 1970, on the calendar clock of the proposing host.
    author : str
        The operator who made the change, or the host that made the repair.
    kind : str
        The kind of command.
    subject : str
        What the command applies to.
    before : str
        The value before the command.
    after : str
        The requested value.
    reason : str
        Why the command was issued.
    outcome : ResultCode
        The result of the command.
    change : ChangeId
        Id of the change; empty for a repair.
    previous : str
        Hash of the previous entry.
    hash : str
        SHA-256 over all other fields.
    """

    number: int
    unix_s: float
    author: str
    kind: str
    subject: str
    before: str
    after: str
    reason: str
    outcome: ResultCode
    change: ChangeId = ChangeId("")
    previous: str = GENESIS
    hash: str = ""


class AuditQuery(msgspec.Struct, frozen=True):
    """Search criteria; a criterion of None matches every entry."""

    author: str | None = None
    kind: str | None = None
    since_unix_s: float | None = None
    until_unix_s: float | None = None
    limit: int = 100

    def matches(self, entry: AuditEntry) -> bool:
        """Return whether an entry matches, regardless of the limit."""
        return (
            self.author in (None, entry.author)
            and self.kind in (None, entry.kind)
            and (self.since_unix_s is None or entry.unix_s >= self.since_unix_s)
            and (self.until_unix_s is None or entry.unix_s <= self.until_unix_s)
        )

    def search(self, entries: Iterable[AuditEntry]) -> list[AuditEntry]:
        """Return the newest matching entries, newest first."""
        found = [entry for entry in entries if self.matches(entry)]
        return found[: -min(self.limit, MAX_SEARCH_RESULTS) - 1 : -1]


class AuditReport(msgspec.Struct, frozen=True):
    """Result of verifying a chain.

    Parameters
    ----------
    whole : bool
        Whether the chain is unbroken.
    first : int
        Number of the first entry checked, 0 if there is none.
    last : int
        Number of the last entry of the unbroken chain.
    head : str
        Hash of that last entry, for comparison between hosts.
    detail : str
        What is wrong; empty if the chain is unbroken.
    """

    whole: bool
    first: int
    last: int
    head: str
    detail: str = ""


def _hash_of(entry: AuditEntry) -> str:
    data = msgspec.json.encode(msgspec.structs.replace(entry, hash=""))
    return hashlib.sha256(data).hexdigest()


def verify_chain(entries: Iterable[AuditEntry], head: str = "") -> AuditReport:
    """Check the numbers and hashes of consecutive entries.

    Parameters
    ----------
    entries : iterable of AuditEntry
        The entries, oldest first. Entry 1 must have `GENESIS` as its previous hash.
    head : str
        The hash that the last entry must have; empty if unknown.
    """
    first, last, previous = 0, 0, GENESIS
    for entry in entries:
        if not first:
            first, last = entry.number, entry.number - 1
            previous = GENESIS if entry.number == 1 else entry.previous
        if entry.number != last + 1 or entry.previous != previous:
            detail = f"entry {entry.number} does not follow entry {last}"
            return AuditReport(False, first, last, previous, detail)
        if _hash_of(entry) != entry.hash:
            detail = f"entry {entry.number} was altered"
            return AuditReport(False, first, last, previous, detail)
        last, previous = entry.number, entry.hash
    if head and head != previous:
        detail = f"entry {last} is not the newest"
        return AuditReport(False, first, last, previous, detail)
    return AuditReport(True, first, last, previous)


class AuditTrail:
    """The newest entries, as part of the agreed state.

    Parameters
    ----------
    entries : sequence of AuditEntry
        Entries of a snapshot, oldest first.
    """

    def __init__(self, entries: Sequence[AuditEntry] = ()) -> None:
        self.entries = list(entries)

    @property
    def head(self) -> AuditEntry | None:
        """The newest entry."""
        return self.entries[-1] if self.entries else None

    def add(self, entry: AuditEntry) -> AuditEntry:
        """Append an entry with the next number, chained to the previous entry."""
        head = self.head
        entry = msgspec.structs.replace(
            entry,
            number=head.number + 1 if head else 1,
            previous=head.hash if head else GENESIS,
        )
        entry = msgspec.structs.replace(entry, hash=_hash_of(entry))
        self.entries.append(entry)
        del self.entries[:-WINDOW_ENTRIES]
        return entry

    def entries_after(self, number: int) -> list[AuditEntry]:
        """Return the entries in memory with greater numbers."""
        return [entry for entry in self.entries if entry.number > number]


class AuditArchive:
    """All entries that this host has received, in an append-only journal.

    Parameters
    ----------
    journal : Journal
        Stores the entries.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._appending = trio.Lock()
        self.last = 0
        for entry in self.read():
            self.last = entry.number

    def read(self) -> Iterator[AuditEntry]:
        """Iterate over all entries, oldest first."""
        decoder = msgspec.msgpack.Decoder(AuditEntry)
        return (decoder.decode(record) for record in self._journal.read())

    async def append_new(self, trail: AuditTrail) -> None:
        """Append the entries of the trail that the archive lacks.

        Raises
        ------
        StorageFailed
            If the disk reports an error.
        """
        async with self._appending:
            new_entries = trail.entries_after(self.last)
            if new_entries:
                await self._journal.append(
                    [msgspec.msgpack.encode(entry) for entry in new_entries]
                )
                self.last = new_entries[-1].number
