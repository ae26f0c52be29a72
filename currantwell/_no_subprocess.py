"""Imports `trio` without starting a process.

A process of the system starts no other one. On import, `trio` looks for the C library's
threads with `ctypes.util.find_library`, which runs ``ldconfig``; it wants them only to
name its threads, and does without where none are found.
"""

import ctypes.util

__all__ = ["import_trio"]


def import_trio() -> None:
    """Import `trio` while no library can be looked for."""
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_none
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library


def _find_none(name: str) -> str | None:
    return None
