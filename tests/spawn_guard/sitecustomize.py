"""Notes in the file ``SPAWN_LOG`` every process that this one starts.

Python imports it at its start when its folder is on ``PYTHONPATH``.
"""

import os
import sys

SPAWNS = ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system")


def _note(event, arguments):
    if event in SPAWNS:
        with open(os.environ["SPAWN_LOG"], "a") as log:
            log.write(f"{event} {arguments!r}\n")


sys.addaudithook(_note)
