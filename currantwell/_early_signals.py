"""Blocks the signals of a host before the package imports its libraries.

`currantwell.process` receives them. Other commands, and programs that use the package
as a library, keep the default actions.
"""

import os
import signal
import sys

__all__ = ["HANDLED_SIGNALS", "block_signals_of_host"]

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_signals_of_host() -> None:
    """Block the signals that a host handles if this process is to run a host."""
    if _runs_host():
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def _runs_host() -> bool:
    # While Python imports the package for ``python -m``, the program is named "-m".
    program = os.path.basename(sys.argv[0]) if sys.argv else ""
    return program in ("-m", "currantwell") and sys.argv[1:3] == ["host", "run"]
