"""The job log: commits records of jobs in groups before anyone is told of them."""

from collections.abc import Iterator, Sequence
from typing import Protocol

import trio

from .errors import StorageFailed
from .ids import JobId
from .journal import Journal
from .records import Record, decode_record, encode_record

__all__ = ["JobLog", "LocalJobLog", "VolatileJobLog"]


class JobLog(Protocol):
    """Where records become durable on all the hosts that hold a copy."""

    def recover(self) -> Iterator[Record]:
        """Iterate over the records committed earlier, oldest first."""
        ...

    def second_copy_missing(self) -> bool:
        """Tell whether fewer hosts hold a copy than a new job needs."""
        ...

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """Return recovered jobs that too few hosts may hold to tell of them."""
        ...

    def confirmed_age_s(self) -> float:
        """Return how long ago it was certain that no newer view had taken over."""
        ...

    async def confirm_primary(self) -> None:
        """Return once it is certain that no newer view took over before the call.

        Raises
        ------
        Deposed
            If one has.
        """
        ...

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are durable on every copy of the view.

        Records of calls made at the same time share one sync. They are committed
        in the order of the calls.

        Raises
        ------
        StorageFailed
            If a disk refused; whether the records last is unknown.
        Deposed
            If a newer view has taken over; whether the records last is unknown.
        """
        ...


class LocalJobLog:
    """A job log with one copy.

    Parameters
    ----------
    journal : Journal
        Where the records go.
    """

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self._waiting: list[bytes] = []
        self._group: _Group | None = None
        self._disk = trio.Lock()

    def recover(self) -> Iterator[Record]:
        """Iterate over the records committed earlier, oldest first."""
        return (decode_record(data) for data in self._journal.read())

    def second_copy_missing(self) -> bool:
        """One copy is enough."""
        return False

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """One copy is enough."""
        return frozenset()

    def confirmed_age_s(self) -> float:
        """No one else can take over."""
        return 0.0

    async def confirm_primary(self) -> None:
        """No one else can take over."""

    async def commit(self, records: Sequence[Record]) -> None:
        """Return once the records are synced."""
        self._waiting.extend(encode_record(record) for record in records)
        if self._group is None:
            self._group = _Group()
            with trio.CancelScope(shield=True):
                await self._sync_next()
        else:
            group = self._group
            await group.done.wait()
            group.check()

    async def _sync_next(self) -> None:
        async with self._disk:
            group, self._group = self._group, None
            batch, self._waiting = self._waiting, []
            assert group is not None
            try:
                await self._journal.append(batch)
            except StorageFailed as error:
                group.error = error
            group.done.set()
        group.check()


class VolatileJobLog:
    """A job log for jobs whose callers wait for the answer and would send them again.

    Nothing is kept: such a job ends with its dispatcher.
    """

    def recover(self) -> Iterator[Record]:
        """Return nothing."""
        return iter(())

    def second_copy_missing(self) -> bool:
        """No copy is needed."""
        return False

    def unconfirmed_jobs(self) -> frozenset[JobId]:
        """No job is recovered."""
        return frozenset()

    def confirmed_age_s(self) -> float:
        """Endpoints refuse an earlier dispatcher by its epoch."""
        return 0.0

    async def confirm_primary(self) -> None:
        """Return at once: a refusal speaks for this dispatcher alone."""

    async def commit(self, records: Sequence[Record]) -> None:
        """Return at once."""


class _Group:
    """Commits that share one sync."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.error: StorageFailed | None = None

    def check(self) -> None:
        """Raise the error of the sync, if it had one."""
        if self.error is not None:
            raise StorageFailed(str(self.error)) from self.error
