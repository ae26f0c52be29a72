"""Currantwell, a dispatcher for sub-second tasks."""

from ._no_subprocess import import_trio

__all__ = ["__version__"]

__version__ = "0.1.0"

import_trio()
