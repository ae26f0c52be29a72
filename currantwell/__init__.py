"""Currantwell, a dispatcher for sub-second tasks."""

from ._early_signals import block_signals_of_host

block_signals_of_host()

from ._no_subprocess import import_trio  # noqa: E402

__all__ = ["__version__"]

__version__ = "0.1.0"

import_trio()
