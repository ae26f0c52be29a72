"""Append-only journals whose records are durable once synced.

Opening a journal truncates a torn tail, since no append that wrote it ever succeeded.
Any other damage makes opening fail. After a failed write or sync, a journal accepts
no more writes, because the contents of the disk are uncertain until the file is
reopened and read.
"""

import os
from collections.abc import Iterator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Protocol

import trio

from . import events
from .errors import JournalDamaged, StorageFailed
from .journal_format import SALT_BYTES, DamagedAt, file_header, frame, parse

__all__ = ["Disk", "DiskJournal", "Journal", "MemoryJournal", "SystemDisk"]

MAX_RECORD_BYTES = 64 * 1024 * 1024
RECORDS_PER_FRAME = 1_000


class Journal(Protocol):
    """An ordered store of records."""

    async def append(self, records: Sequence[bytes]) -> None:
        """Write and sync records atomically.

        Raises
        ------
        StorageFailed
            If the records may not be durable; the journal then accepts no more
            writes.
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
        StorageFailed
            If the disk reports an error; the earlier records are kept.
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
        The file, created if it is missing; its folder must exist.
    disk : Disk or None
        Writes and syncs the file; None uses the machine's disk.

    Raises
    ------
    JournalDamaged
        If the file holds anything but complete frames and a torn tail.
    StorageFailed
        If the disk reports an error.
    """

    def __init__(self, path: Path, disk: Disk | None = None) -> None:
        self._path = path
        self._disk = disk or SystemDisk()
        self._failed = False
        self._appending = trio.Lock()
        try:
            if path.exists():
                self._fd, self._salt = self._open()
            else:
                self._fd, self._salt = self._create(())
        except OSError as error:
            raise StorageFailed(f"{path}: {error}") from error

    async def append(self, records: Sequence[bytes]) -> None:
        """Write and sync records atomically.

        The write and the sync run in a trio worker thread, since the C library
        offers only blocking calls to wait for a disk.
        """
        _check_sizes(records)
        async with self._appending:
            self._check_usable()
            data = frame(records, self._salt)
            try:
                await trio.to_thread.run_sync(self._write, self._fd, data)
            except OSError as error:
                self._failed = True
                raise StorageFailed(f"{self._path}: {error}") from error

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        _, records, _ = self._parse()
        return iter(records)

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records atomically."""
        _check_sizes(records)
        self._check_usable()
        if self._appending.locked():
            raise RuntimeError(f"{self._path}: an append is in progress")
        try:
            fd, self._salt = self._create(records)
        except OSError as error:
            raise StorageFailed(f"{self._path}: {error}") from error
        os.close(self._fd)
        self._fd = fd

    def close(self) -> None:
        """Close the file; the journal accepts no more writes."""
        self._failed = True
        os.close(self._fd)

    def _check_usable(self) -> None:
        if self._failed:
            raise StorageFailed(
                f"{self._path}: journal is closed or an earlier write failed"
            )

    def _parse(self) -> tuple[bytes, list[bytes], int]:
        try:
            return parse(self._path.read_bytes())
        except DamagedAt as error:
            raise JournalDamaged(f"{self._path}: {error}") from error

    def _open(self) -> tuple[int, bytes]:
        salt, _, length = self._parse()
        fd = os.open(self._path, os.O_RDWR)
        torn_bytes = os.lseek(fd, 0, os.SEEK_END) - length
        if torn_bytes:
            events.JOURNAL_TAIL_TRUNCATED.log(path=self._path, torn_bytes=torn_bytes)
            os.ftruncate(fd, length)
            os.lseek(fd, length, os.SEEK_SET)
        self._disk.sync(fd)
        return fd, salt

    def _create(self, records: Sequence[bytes]) -> tuple[int, bytes]:
        """Write a new file, then atomically rename it over the old one."""
        new_path = self._path.with_name(self._path.name + ".new")
        salt = os.urandom(SALT_BYTES)
        starts = range(0, len(records), RECORDS_PER_FRAME)
        frames = [
            frame(records[start : start + RECORDS_PER_FRAME], salt) for start in starts
        ]
        fd = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write(fd, file_header(salt) + b"".join(frames))
            os.rename(new_path, self._path)
        except OSError:
            os.close(fd)
            with suppress(OSError):
                new_path.unlink()
            raise
        try:
            self._sync_folder()
        except OSError:
            self._failed = True
            os.close(fd)
            raise
        return fd, salt

    def _write(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(fd, view) :]
        self._disk.sync(fd)

    def _sync_folder(self) -> None:
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            self._disk.sync(folder)
        finally:
            os.close(folder)
