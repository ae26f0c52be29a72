"""Two core machines are replaced one after the other, each by a successor in time."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    CATCH_UP_S,
    CannotRun,
    Deployment,
    Operator,
    configuration,
    main,
)

# Between the end of the first process and the removal of the second one; longer than
# `catch_up_s`, and each successor has run for longer than that before.
APART_S = CATCH_UP_S + 0.2
# `recovery_s` and more, then reads for longer than `contact_timeout_ms`.
RECOVER_S = 20.0
READ_S = 8.0


def play(record, trouble):
    """Play the case; return what was broken, None if nothing was."""
    deployment = Deployment(record)
    operator = Operator(record)
    try:
        deployment.start_all()
        first, second, third = deployment.core
        if operator.put(deployment.core, configuration(1), 20.0) is None:
            raise CannotRun("no configuration was acknowledged")
        time.sleep(3.0)
        if operator.put(deployment.core, configuration(2), 10.0) is None:
            raise CannotRun("no second configuration was acknowledged")
        serving = list(deployment.core)
        if trouble:
            serving = disrupt(record, deployment, operator, first, second, third)
        else:
            time.sleep(2 * CATCH_UP_S)
            if operator.put(serving, configuration(3), 10.0) is None:
                raise CannotRun("no third configuration was acknowledged")
        time.sleep(RECOVER_S)
        acknowledged = operator.put(serving, configuration(4), 10.0) is not None
        expected = 4 if acknowledged else 3
        read = operator.read(serving, READ_S)
        if read is None:
            return "CONFIG: read back, the acknowledged version 3 doesn't come"
        if read["version"] < expected:
            return f"CONFIG: version {read['version']} is older than {expected}"
        return None
    finally:
        deployment.close()


def disrupt(record, deployment, operator, first, second, third):
    """Replace two machines, or one and have another lose its disk."""
    seeds = [machine.address for machine in deployment.core]
    wipe = os.environ.get("VARIANT") == "wipe"
    successors = [
        deployment.add(f"core-{old.zone}-2", old.zone, 30 + index, "control")
        for index, old in enumerate([first] if wipe else [first, second])
    ]
    for machine in successors:
        machine.start(seeds, bootstrap=False)
    time.sleep(CATCH_UP_S + 2.0)
    for machine in successors:
        if operator.read([machine], 4.0) is None:
            raise CannotRun(f"{machine.name} does not serve")
    first.terminate()
    ended_s = time.monotonic()
    serving = [second, third, *successors]
    if operator.put(serving, configuration(3), 3.5) is None:
        raise CannotRun("the third configuration was not acknowledged")
    time.sleep(max(0.0, ended_s + APART_S - time.monotonic()))
    if wipe:
        second.lose_disk()
        time.sleep(1.0)
        second.start(seeds, bootstrap=False)
        return serving
    second.terminate()
    return [third, *successors]


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
