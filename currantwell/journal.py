"""Journals: records appended in order, durable once synced.

A torn tail, which no one was told of, is cut off; damage is reported and the journal
refuses to open. After a write or sync that failed nothing more is trusted to the
file: what the disk holds then shows only when it is opened anew.
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
REPLACE_FRAME_RECORDS = 1_000


class Journal(Protocol):
    """An ordered store of records."""

    async def append(self, records: Sequence[bytes]) -> None:
        """Write records and sync them, all or none.

        Raises
        ------
        StorageFailed
            If they may not be durable; the journal takes no more writes then.
        """
        ...

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        ...

    def replace(self, records: Sequence[bytes]) -> None:
        """Put records in the place of all earlier ones, all or none.

        It may not be called while an append is under way.

        Raises
        ------
        StorageFailed
            If the disk refuses; the earlier records stay.
        """
        ...

    def close(self) -> None:
        """Let go of the file."""
        ...


class Disk(Protocol):
    """Writes and syncs open files; tests put failures here."""

    def write(self, fd: int, data: memoryview) -> int:
        """Write some of the data and return how much."""
        ...

    def sync(self, fd: int) -> None:
        """Return once the data written is durable."""
        ...


class SystemDisk:
    """The disk of the machine."""

    def write(self, fd: int, data: memoryview) -> int:
        """Write some of the data and return how much."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Return once the data written is durable."""
        os.fsync(fd)


class MemoryJournal:
    """A journal that lasts as long as its object."""

    def __init__(self) -> None:
        self._records: list[bytes] = []

    async def append(self, records: Sequence[bytes]) -> None:
        """Keep records."""
        _check_sizes(records)
        self._records.extend(records)

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        return iter(list(self._records))

    def replace(self, records: Sequence[bytes]) -> None:
        """Put records in the place of all earlier ones."""
        _check_sizes(records)
        self._records = list(records)

    def close(self) -> None:
        """Do nothing."""


def _check_sizes(records: Sequence[bytes]) -> None:
    largest = max(map(len, records), default=0)
    if largest > MAX_RECORD_BYTES:
        raise StorageFailed(f"{largest} bytes are too many for a record")


class DiskJournal:
    """A journal in one file.

    Parameters
    ----------
    path : Path
        The file; made if it is missing, in a folder that exists.
    disk : Disk
        Writes and syncs.

    Raises
    ------
    JournalDamaged
        If the file holds anything but whole frames and a torn tail.
    StorageFailed
        If the disk refuses.
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
                self._fd, self._salt = self._make(())
        except OSError as error:
            raise StorageFailed(f"{path}: {error}") from error

    async def append(self, records: Sequence[bytes]) -> None:
        """Write records and sync them, all or none.

        The sync runs beside the loop, on trio's thread for blocking calls, since
        the C library has no other way to wait for a disk.
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
        """Put records in the place of all earlier ones, all or none."""
        _check_sizes(records)
        self._check_usable()
        if self._appending.locked():
            raise RuntimeError(f"{self._path}: an append is under way")
        try:
            fd, self._salt = self._make(records)
        except OSError as error:
            raise StorageFailed(f"{self._path}: {error}") from error
        os.close(self._fd)
        self._fd = fd

    def close(self) -> None:
        """Close the file; the journal takes no more writes."""
        self._failed = True
        os.close(self._fd)

    def _check_usable(self) -> None:
        if self._failed:
            raise StorageFailed(f"{self._path}: closed, or an earlier write failed")

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

    def _make(self, records: Sequence[bytes]) -> tuple[int, bytes]:
        """Write a new file and put it in the place of the old one."""
        fresh = self._path.with_name(self._path.name + ".new")
        salt = os.urandom(SALT_BYTES)
        groups = range(0, len(records), REPLACE_FRAME_RECORDS)
        frames = [frame(records[i : i + REPLACE_FRAME_RECORDS], salt) for i in groups]
        fd = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self._write(fd, file_header(salt) + b"".join(frames))
            os.rename(fresh, self._path)
        except OSError:
            os.close(fd)
            with suppress(OSError):
                fresh.unlink()
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
