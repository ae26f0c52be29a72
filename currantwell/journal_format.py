"""File format of journals, and how a file is parsed after a crash.

The file starts with a salt. Each append writes one frame: a header with its own
CRC-32, which also covers the salt, then the records, covered by a second CRC-32. A
frame is written only after the one before it was synced, so a bad frame that is
followed by other data is damage. A bad frame at the end counts as the torn tail of an
unacknowledged write only if bytes are missing at its end, or if one of its sectors
was never written and reads as zeros. Any other bad frame is damage as well.
"""

import struct
import zlib
from collections.abc import Iterator, Sequence

__all__ = ["FILE_HEADER_BYTES", "DamagedAt", "file_header", "frame", "parse"]

SALT_BYTES = 8
SECTOR_BYTES = 512
_FILE_MAGIC = b"CWJ1"
_FRAME_MAGIC = b"\xc7\x0d\xf5\xa3"
_FILE_HEADER = struct.Struct(f"<4s{SALT_BYTES}sI")
_FRAME_HEADER = struct.Struct("<4sIII")
_LENGTH = struct.Struct("<I")
FILE_HEADER_BYTES = _FILE_HEADER.size


class DamagedAt(Exception):
    """A bad frame that is not a torn tail.

    Parameters
    ----------
    position : int
        Offset in the file, in bytes, at which the frame starts.
    """

    def __init__(self, position: int) -> None:
        super().__init__(f"bad frame at byte {position}")
        self.position = position


def file_header(salt: bytes) -> bytes:
    """Return the file header that holds a salt of 8 bytes."""
    return _FILE_HEADER.pack(_FILE_MAGIC, salt, zlib.crc32(salt))


def frame(records: Sequence[bytes], salt: bytes) -> bytes:
    """Encode records as one frame."""
    payload = b"".join(_LENGTH.pack(len(record)) + record for record in records)
    checksum = zlib.crc32(payload)
    return (
        _FRAME_HEADER.pack(
            _FRAME_MAGIC,
            len(payload),
            checksum,
            _header_checksum(len(payload), checksum, salt),
        )
        + payload
    )


def parse(data: bytes) -> tuple[bytes, list[bytes], int]:
    """Parse the contents of a journal file.

    Parameters
    ----------
    data : bytes
        The complete contents of the file.

    Returns
    -------
    salt : bytes
        The file's salt.
    records : list of bytes
        The records of all complete frames.
    length : int
        Offset at which a torn tail starts; the length of the file if there is none.

    Raises
    ------
    DamagedAt
        If the file is damaged anywhere but in a torn tail.
    """
    salt = _salt(data)
    records: list[bytes] = []
    position = FILE_HEADER_BYTES
    while position < len(data):
        end = _end_of_frame(data, position, salt)
        if end is None or not _is_complete(data, position, end):
            if not _is_torn(data, position, end, salt):
                raise DamagedAt(position)
            break
        records.extend(_records(data, position, end))
        position = end
    return salt, records, position


def _salt(data: bytes) -> bytes:
    if len(data) < FILE_HEADER_BYTES:
        raise DamagedAt(0)
    magic, salt, checksum = _FILE_HEADER.unpack_from(data)
    if magic != _FILE_MAGIC or zlib.crc32(salt) != checksum:
        raise DamagedAt(0)
    return bytes(salt)


def _header_checksum(length: int, checksum: int, salt: bytes) -> int:
    return zlib.crc32(struct.pack("<II", length, checksum) + salt)


def _end_of_frame(data: bytes, position: int, salt: bytes) -> int | None:
    """Return where a frame ends according to its header, None if that is bad."""
    if position + _FRAME_HEADER.size > len(data):
        return None
    magic, length, checksum, header_checksum = _FRAME_HEADER.unpack_from(data, position)
    if (
        magic != _FRAME_MAGIC
        or _header_checksum(length, checksum, salt) != header_checksum
    ):
        return None
    return position + _FRAME_HEADER.size + int(length)


def _is_complete(data: bytes, position: int, end: int) -> bool:
    _, _, checksum, _ = _FRAME_HEADER.unpack_from(data, position)
    payload = memoryview(data)[position + _FRAME_HEADER.size : end]
    return end <= len(data) and zlib.crc32(payload) == checksum


def _is_torn(data: bytes, position: int, end: int | None, salt: bytes) -> bool:
    if end is not None and end != len(data):
        return end > len(data)
    if end is None and len(data) - position < _FRAME_HEADER.size:
        return True
    if end is None and _has_frame_after(data, position, salt):
        return False
    return _has_unwritten_sector(data, position)


def _has_frame_after(data: bytes, position: int, salt: bytes) -> bool:
    found = data.find(_FRAME_MAGIC, position + 1)
    while found >= 0:
        if _end_of_frame(data, found, salt) is not None:
            return True
        found = data.find(_FRAME_MAGIC, found + 1)
    return False


def _has_unwritten_sector(data: bytes, position: int) -> bool:
    start = position
    while start < len(data):
        end = min(len(data), start - start % SECTOR_BYTES + SECTOR_BYTES)
        if not any(data[start:end]):
            return True
        start = end
    return False


def _records(data: bytes, position: int, end: int) -> Iterator[bytes]:
    position += _FRAME_HEADER.size
    while position < end:
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        yield data[position : position + length]
        position += length
