"""Append-only journals whose records are durable once synced.

Opening a journal truncates a torn tail, since no append that wrote it ever succeeded.
Any other damage makes opening fail.

Invariant: the records of a failed append are removed before the next append succeeds.
A failed write is cut off the file at once. After a failed sync, what the disk holds of
the file is uncertain, and a later sync may succeed without having written it; so the
records synced before are first written to a new file. The same is done when a journal
is opened, as its last process may have been killed after a failed sync.
"""

import errno
import os
from collections.abc import Iterator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Protocol

import trio

from . import events
from .errors import DiskUnavailable, JournalDamaged, StorageFailed
from .journal_format import SALT_BYTES, DamagedAt, file_header, frame, parse

__all__ = ["Disk", "DiskJournal", "Journal", "MemoryJournal", "SystemDisk"]

MAX_RECORD_BYTES = 64 * 1024 * 1024
RECORDS_PER_FRAME = 1_000
_DISK_FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class Journal(Protocol):
    """An ordered store of records."""

    async def append(self, records: Sequence[bytes]) -> None:
        """Write and sync records atomically.

        Raises
        ------
        DiskUnavailable
            If the disk reports an error; the call may be repeated. Until a later append
            succeeds, the records may be there after a restart.
        StorageFailed
            If the records can't be stored, however often the call is repeated.
        """
        ...

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        ...

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically.

        Must not be called while an append is in progress.

        Raises
        ------
        DiskUnavailable
            If the disk reports an error; the earlier records are kept. Until a later
            append succeeds, the new ones may be there after a restart.
        StorageFailed
            If the records can't be stored, however often the call is repeated.
        """
        ...

    def close(self) -> None:
        """Close the file."""
        ...


class Disk(Protocol):
    """Writes and syncs open files; tests inject disk failures here."""

    def write(self, fd: int, data: memoryview) -> int:
        """Write a prefix of the data and return its length in bytes."""
        ...

    def sync(self, fd: int) -> None:
        """Return once all written data is durable."""
        ...


class SystemDisk:
    """The machine's disk, accessed through system calls."""

    def write(self, fd: int, data: memoryview) -> int:
        """Write a prefix of the data and return its length in bytes."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Return once all written data is durable."""
        os.fsync(fd)


class MemoryJournal:
    """A journal that keeps its records in memory only."""

    def __init__(self) -> None:
        self._records: list[bytes] = []

    async def append(self, records: Sequence[bytes]) -> None:
        """Append records to the list in memory."""
        _check_sizes(records)
        self._records.extend(records)

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        return iter(list(self._records))

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records."""
        _check_sizes(records)
        self._records = list(records)

    def close(self) -> None:
        """No-op: there is no file to close."""


def _check_sizes(records: Sequence[bytes]) -> None:
    largest = max(map(len, records), default=0)
    if largest > MAX_RECORD_BYTES:
        raise StorageFailed(f"a record of {largest} bytes exceeds the maximum size")


class DiskJournal:
    """A journal in one file.

    Parameters
    ----------
    path : Path
        The file, created if it is missing; its folder must exist. If the disk is full,
        it is created, or made durable, by the first append.
    disk : Disk or None
        Writes and syncs the file; None uses the machine's disk.

    Raises
    ------
    JournalDamaged
        If the file holds anything but complete frames and a torn tail.
    DiskUnavailable
        If the disk reports an error.
    """

    def __init__(self, path: Path, disk: Disk | None = None) -> None:
        self._path = path
        self._new_path = path.with_name(path.name + ".new")
        self._disk = disk or SystemDisk()
        self._fd: int | None = None
        self._salt = b""
        self._synced_bytes = 0
        self._must_rewrite = True
        self._closed = False
        self._appending = trio.Lock()
        with suppress(OSError):
            self._new_path.unlink()
        try:
            if path.exists():
                self._open()
            else:
                self._rewrite_if_there_is_room(())
        except OSError as error:
            raise DiskUnavailable(f"{path}: {error}") from error

    async def append(self, records: Sequence[bytes]) -> None:
        """Write and sync records atomically.

        The write and the sync run in a trio worker thread, since the C library
        offers only blocking calls to wait for a disk.
        """
        _check_sizes(records)
        async with self._appending:
            self._check_open()
            try:
                await trio.to_thread.run_sync(self._append, records)
            except OSError as error:
                raise DiskUnavailable(f"{self._path}: {error}") from error

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        return iter(self._synced_records())

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically."""
        _check_sizes(records)
        self._check_open()
        if self._appending.locked():
            raise RuntimeError(f"{self._path}: an append is in progress")
        try:
            self._rewrite(records)
        except OSError as error:
            raise DiskUnavailable(f"{self._path}: {error}") from error

    def close(self) -> None:
        """Close the file; the journal accepts no more writes."""
        self._closed = True
        if self._fd is not None:
            os.close(self._fd)

    def _check_open(self) -> None:
        if self._closed:
            raise StorageFailed(f"{self._path}: journal is closed")

    def _rewrite_if_there_is_room(self, records: Sequence[bytes]) -> None:
        try:
            self._rewrite(records)
        except OSError as error:
            if error.errno not in _DISK_FULL_ERRORS:
                raise

    def _open(self) -> None:
        self._fd = os.open(self._path, os.O_RDWR)
        try:
            self._rewrite_if_there_is_room(self._recover(self._fd))
        except (OSError, JournalDamaged):
            os.close(self._fd)
            raise

    def _recover(self, fd: int) -> list[bytes]:
        """Truncate a torn tail, and return the records before it."""
        file_bytes = os.lseek(fd, 0, os.SEEK_END)
        self._salt, records, self._synced_bytes = self._parse(file_bytes)
        torn_bytes = file_bytes - self._synced_bytes
        if torn_bytes:
            events.JOURNAL_TAIL_TRUNCATED.log(path=self._path, torn_bytes=torn_bytes)
            self._truncate(fd)
        return records

    def _parse(self, length: int) -> tuple[bytes, list[bytes], int]:
        assert self._fd is not None
        data = bytearray()
        while len(data) < length:
            part = os.pread(self._fd, length - len(data), len(data))
            if not part:
                break
            data += part
        try:
            return parse(bytes(data))
        except DamagedAt as error:
            raise JournalDamaged(f"{self._path}: {error}") from error

    def _synced_records(self) -> list[bytes]:
        if self._fd is None:
            return []
        _, records, length = self._parse(self._synced_bytes)
        if length != self._synced_bytes:
            raise JournalDamaged(f"{self._path}: {DamagedAt(length)}")
        return records

    def _append(self, records: Sequence[bytes]) -> None:
        if self._must_rewrite:
            self._rewrite(self._synced_records())
        assert self._fd is not None
        data = frame(records, self._salt)
        try:
            self._write(self._fd, data)
        except OSError:
            self._remove_unsynced(self._fd)
            raise
        try:
            self._disk.sync(self._fd)
        except OSError:
            self._must_rewrite = True
            self._remove_unsynced(self._fd)
            raise
        self._synced_bytes += len(data)

    def _remove_unsynced(self, fd: int) -> None:
        try:
            self._truncate(fd)
            self._disk.sync(fd)
        except OSError:
            self._must_rewrite = True

    def _truncate(self, fd: int) -> None:
        os.ftruncate(fd, self._synced_bytes)
        os.lseek(fd, self._synced_bytes, os.SEEK_SET)

    def _rewrite(self, records: Sequence[bytes]) -> None:
        """Write a new file, then atomically rename it over the old one.

        The old file stays open until the rename is durable, so that its records can
        still be read if that fails.
        """
        salt = os.urandom(SALT_BYTES)
        starts = range(0, len(records), RECORDS_PER_FRAME)
        frames = [
            frame(records[start : start + RECORDS_PER_FRAME], salt) for start in starts
        ]
        data = file_header(salt) + b"".join(frames)
        fd = os.open(self._new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write(fd, data)
            self._disk.sync(fd)
            os.rename(self._new_path, self._path)
        except OSError:
            os.close(fd)
            with suppress(OSError):
                self._new_path.unlink()
            raise
        try:
            self._sync_folder()
        except OSError:
            self._must_rewrite = True
            os.close(fd)
            raise
        if self._fd is not None:
            os.close(self._fd)
        self._fd, self._salt, self._synced_bytes = fd, salt, len(data)
        self._must_rewrite = False

    def _write(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(fd, view) :]

    def _sync_folder(self) -> None:
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            self._disk.sync(folder)
        finally:
            os.close(folder)
