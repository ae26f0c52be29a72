"""The job log: makes records of jobs durable, by group commit.

Nothing that depends on a record is sent to a caller or an endpoint before its commit.
"""

from collections.abc import Iterator, Sequence
from typing import Protocol

import trio

from .errors import StorageFailed
from .ids import JobId
from .journal import Journal
from .records import Record, decode_record, encode_record

__all__ = ["JobLog", "LocalJobLog", "VolatileJobLog"]


class JobLog(Protocol):
    """Makes records durable on all hosts that hold a copy."""

    def recover(self) -> Iterator[Record]:
        """Iterate over the records committed earlier, oldest first."""
        ...

    def second_copy_missing(self) -> bool:
        """Return whether fewer hosts hold a copy than a new job needs."""
        ...

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return recovered jobs that may not be durable on enough hosts yet.

        The dispatcher sends callers no reply about such a job.
        """
        ...

    def confirmed_age_s(self) -> float:
        """Return the age of the last proof that no newer view had taken over."""
        ...

    async def confirm_primary(self) -> None:
        """Return once it is certain that no newer view took over before the call.

        Raises
        ------
        Deposed
            If a newer view has taken over.
        """
        ...

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are durable on every copy of the view.

        Concurrent calls share one sync; their records are committed in the order of
        the calls.

        Raises
        ------
        StorageFailed
            If a disk failed to write; whether the records are durable is unknown.
        Deposed
            If a newer view has taken over; whether the records are durable is unknown.
        """
        ...


class LocalJobLog:
    """A job log with one copy, on the disk of this host.

    Parameters
    ----------
    journal : Journal
        Stores the records.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._pending: list[bytes] = []
        self._open_group: _CommitGroup | None = None
        self._sync_lock = trio.Lock()

    def recover(self) -> Iterator[Record]:
        """Iterate over the records committed earlier, oldest first."""
        return (decode_record(data) for data in self._journal.read())

    def second_copy_missing(self) -> bool:
        """Return False: one copy is enough."""
        return False

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return nothing: one copy is enough, so every recovered job is durable."""
        return frozenset()

    def confirmed_age_s(self) -> float:
        """Return 0: no other host can take over."""
        return 0.0

    async def confirm_primary(self) -> None:
        """Return at once: no other host can take over."""

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are synced."""
        self._pending.extend(encode_record(record) for record in records)
        if self._open_group is None:
            self._open_group = _CommitGroup()
            with trio.CancelScope(shield=True):
                await self._sync_open_group()
        else:
            group = self._open_group
            await group.done.wait()
            group.raise_if_failed()

    async def _sync_open_group(self) -> None:
        """Sync the open group, once the sync before it has ended."""
        async with self._sync_lock:
            group, self._open_group = self._open_group, None
            batch, self._pending = self._pending, []
            assert group is not None
            try:
                await self._journal.append(batch)
            except StorageFailed as error:
                group.error = error
            group.done.set()
        group.raise_if_failed()


class VolatileJobLog:
    """A job log that stores nothing: its jobs end with their dispatcher.

    For jobs whose callers wait for the answer and send them again if it fails to come.
    """

    def recover(self) -> Iterator[Record]:
        """Return no records, since none are stored."""
        return iter(())

    def second_copy_missing(self) -> bool:
        """Return False: no copy is needed."""
        return False

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return nothing: no job is recovered."""
        return frozenset()

    def confirmed_age_s(self) -> float:
        """Return 0: endpoints refuse an earlier dispatcher by its epoch."""
        return 0.0

    async def confirm_primary(self) -> None:
        """Return at once: a refusal is about this dispatcher alone."""

    async def commit(self, records: Sequence[Record]) -> None:
        """Return at once, without storing the records."""


class _CommitGroup:
    """Commits that share one sync."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: StorageFailed | None = None

    def raise_if_failed(self) -> None:
        """Raise the error of the sync, if it failed."""
        if self.error is not None:
            raise StorageFailed(str(self.error)) from self.error
