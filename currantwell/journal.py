"""Journals: records appended in order, durable once synced.

On disk each record is a frame of length, CRC-32 and data. A frame cut short at the
end of the file is the torn tail of a write that no one was told of, and is cut
off. A bad frame with whole frames after it is damage, and the journal refuses to
open.
"""

import os
import struct
import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Protocol

import trio

from .errors import JournalDamaged, StorageFailed

__all__ = ["DiskJournal", "Journal", "MemoryJournal"]

_HEADER = struct.Struct("<II")
MAX_RECORD_BYTES = 64 * 1024 * 1024


class Journal(Protocol):
    """An ordered store of records."""

    async def append(self, records: Sequence[bytes]) -> None:
        """Write records and sync them.

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

        Raises
        ------
        StorageFailed
            If the disk refuses; the earlier records stay.
        """
        ...

    def close(self) -> None:
        """Let go of the file."""
        ...


class MemoryJournal:
    """A journal that lasts as long as its object."""

    def __init__(self) -> None:
        self._records: list[bytes] = []

    async def append(self, records: Sequence[bytes]) -> None:
        """Keep records."""
        self._records.extend(records)

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        return iter(list(self._records))

    def replace(self, records: Sequence[bytes]) -> None:
        """Put records in the place of all earlier ones."""
        self._records = list(records)

    def close(self) -> None:
        """Do nothing."""


def _frame(record: bytes) -> bytes:
    return _HEADER.pack(len(record), zlib.crc32(record)) + record


def _parse(data: bytes, path: Path) -> tuple[list[bytes], int]:
    """Return the whole records of a file and the length that they take."""
    records: list[bytes] = []
    position = 0
    while position + _HEADER.size <= len(data):
        length, checksum = _HEADER.unpack_from(data, position)
        end = position + _HEADER.size + length
        record = data[position + _HEADER.size : end]
        if length > MAX_RECORD_BYTES or end > len(data):
            break
        if zlib.crc32(record) != checksum:
            if end < len(data):
                raise JournalDamaged(f"{path}: bad record at byte {position}")
            break
        records.append(record)
        position = end
    return records, position


class DiskJournal:
    """A journal in one file.

    Parameters
    ----------
    path : Path
        The file; made if it is missing, in a folder that exists.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._failed = False
        data = path.read_bytes() if path.exists() else b""
        self._kept, length = _parse(data, path)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self._fd, length)
        os.lseek(self._fd, length, os.SEEK_SET)
        os.fsync(self._fd)
        self._sync_folder()

    async def append(self, records: Sequence[bytes]) -> None:
        """Write records and sync them.

        The sync runs beside the loop, on trio's thread for blocking calls, since
        the C library has no other way to wait for a disk.
        """
        if self._failed:
            raise StorageFailed(f"{self._path}: an earlier write failed")
        data = b"".join(_frame(record) for record in records)
        try:
            await trio.to_thread.run_sync(self._write, self._fd, data)
        except OSError as error:
            self._failed = True
            raise StorageFailed(f"{self._path}: {error}") from error

    def read(self) -> Iterator[bytes]:
        """Iterate over all records, oldest first."""
        records, _ = _parse(self._path.read_bytes(), self._path)
        return iter(records)

    def replace(self, records: Sequence[bytes]) -> None:
        """Put records in the place of all earlier ones, all or none."""
        fresh = self._path.with_suffix(".new")
        try:
            fd = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
            self._write(fd, b"".join(_frame(record) for record in records))
            os.rename(fresh, self._path)
            self._sync_folder()
        except OSError as error:
            raise StorageFailed(f"{fresh}: {error}") from error
        os.close(self._fd)
        self._fd = fd

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def _write(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(fd, view) :]
        os.fdatasync(fd)

    def _sync_folder(self) -> None:
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
