"""Measures how long changes go unanswered as control hosts are replaced.

Runs the real programs. Prints, for each way to end a control host whose successor is
in place, the median and the longest time without an acknowledged change, and the time
of a change in calm.
"""

import argparse
import itertools
import signal
import statistics
import sys
import tempfile
from pathlib import Path

import trio

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.cooperative.deployment import deployed
from tests.cooperative.test_replacements import in_place, leader_of

CALM_CHANGES = 40
WATCH_S = 4.0
PAUSE_S = 0.02


class Changes:
    """Sends one change after another, and records when each was acknowledged."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.version = 10
        self.times_s = []
        self.acknowledged_s = [trio.current_time()]

    async def send(self):
        """Send a change until it is acknowledged."""
        began_s = trio.current_time()
        self.version += 1
        await self.deployment.put(self.version)
        self.times_s.append(trio.current_time() - began_s)
        self.acknowledged_s.append(trio.current_time())

    async def send_always(self):
        """Send changes until cancelled."""
        while True:
            await self.send()
            await trio.sleep(PAUSE_S)

    def longest_gap_s(self):
        """Return the longest time between two acknowledgements."""
        pairs = itertools.pairwise(self.acknowledged_s)
        return max(later - earlier for earlier, later in pairs)


async def play(folder, number, leads):
    """Return the times of changes in calm, and the longest gap around a removal."""
    async with deployed(folder, entries=1, workers=1) as deployment:
        leader = leader_of(deployment)
        others = [each for each in deployment.controls if each is not leader]
        removed = leader if leads else others[0]
        await in_place(deployment, [removed])
        calm = Changes(deployment)
        for _ in range(CALM_CHANGES):
            await calm.send()
        around = Changes(deployment)
        around.version = calm.version
        async with trio.open_nursery() as nursery:
            nursery.start_soon(around.send_always)
            await trio.sleep(0.5)
            removed.process.send_signal(number)
            with trio.move_on_after(5.0):
                while removed.process.poll() is None:
                    await trio.sleep(0.01)
            deployment.remove_control(removed)
            await trio.sleep(WATCH_S)
            nursery.cancel_scope.cancel()
        return calm.times_s, around.longest_gap_s()


def main():
    """Play all ways, and print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=10)
    plays = parser.parse_args().plays
    calm_s = []
    for number in (signal.SIGTERM, signal.SIGKILL):
        for leads in (True, False):
            gaps_s = []
            for _ in range(plays):
                with tempfile.TemporaryDirectory() as folder:
                    times_s, gap_s = trio.run(play, Path(folder), number, leads)
                calm_s += times_s
                gaps_s.append(gap_s)
            print(
                f"{number.name} {'leader' if leads else 'other'}: median "
                f"{statistics.median(gaps_s):.2f} s, longest {max(gaps_s):.2f} s",
                flush=True,
            )
    cuts_s = statistics.quantiles(calm_s, n=20)
    print(
        f"a change in calm: median {1000 * statistics.median(calm_s):.1f} ms, "
        f"95th percentile {1000 * cuts_s[18]:.1f} ms"
    )


if __name__ == "__main__":
    main()
