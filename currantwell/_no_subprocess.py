"""Imports `trio` without starting a subprocess.

Processes of the system must not start other processes. On import, `trio` looks up the
C library's thread functions with `ctypes.util.find_library`, which runs ``ldconfig``.
It uses them only to name its threads and works without them if the lookup fails.
"""

import ctypes.util

__all__ = ["import_trio"]


def import_trio() -> None:
    """Import `trio` with `ctypes.util.find_library` disabled."""
    find_library = ctypes.util.find_library
    ctypes.util.find_library = _find_none
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library


def _find_none(name: str) -> str | None:
    return None
