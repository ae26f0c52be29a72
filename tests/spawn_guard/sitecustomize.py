"""Logs every process that this one starts to the file named by ``SPAWN_LOG``.

Python imports this module at startup when its folder is on ``PYTHONPATH``.
"""

import os
import sys

SPAWN_EVENTS = (
    "subprocess.Popen",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.system",
)


def _log_spawn(event, arguments):
    if event in SPAWN_EVENTS:
        with open(os.environ["SPAWN_LOG"], "a") as log:
            log.write(f"{event} {arguments!r}\n")


sys.addaudithook(_log_spawn)
