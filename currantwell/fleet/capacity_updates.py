"""What other hosts are told of a dispatcher's room, and how often.

Hosts of the same data centre send work there all the time, and hear of each change. The
others do so when their own data centre is full, and hear of what makes a difference.
"""

import math

from ..clock import now_s
from .channel import PING_INTERVAL_S
from .groups import EndpointGroup
from .messages import CapacityReport

__all__ = ["CapacityUpdateFilter", "max_update_interval_s", "min_update_interval_s"]

# Half of the shortest task seen, so that room is known while it lasts.
TELL_INTERVAL_S = 0.02
# Being told costs a host 0.35 ms, measured on the bench with 35 hosts, of whose time it
# took a third: at this pace ten hosts hear 22 times a second of each dispatcher.
TELL_INTERVAL_PER_HOST_S = 0.0045
# Just before a ping would be due, in the place of which it counts.
REPEAT_S = 0.8 * PING_INTERVAL_S
# With many hosts each hears less often; three repeats are within `TOLD_FOR_S` still.
REPEAT_PER_HOST_S = 0.01
MAX_REPEAT_S = 0.3
# A data centre elsewhere hears of a change of room by this share at least: it sends
# work over only when its own has none.
FAR_CHANGE_SHARE = 0.15
# It heeds what waits only where there is room nowhere.
FAR_WAIT_SHARE = 0.5


def min_update_interval_s(hosts: int) -> float:
    """Return how often so many hosts are told at most."""
    return max(TELL_INTERVAL_S, TELL_INTERVAL_PER_HOST_S * hosts)


def max_update_interval_s(hosts: int) -> float:
    """Return how often so many hosts are told at least."""
    return min(max(REPEAT_S, REPEAT_PER_HOST_S * hosts), MAX_REPEAT_S)


class CapacityUpdateFilter:
    """What an audience was told last of each group, and when.

    Parameters
    ----------
    exact : bool
        Whether the audience hears of every change.
    """

    def __init__(self, exact: bool) -> None:
        self._exact = exact
        self._last: dict[EndpointGroup, tuple[float, CapacityReport]] = {}

    def should_send(
        self, said: CapacityReport, every_s: float, repeat_s: float
    ) -> bool:
        """Tell whether something is worth telling now, and if so count it as told.

        Parameters
        ----------
        said : CapacityReport
            How much room there is now.
        every_s, repeat_s : float
            Time after the last telling before which nothing is told, and after which
            it is repeated.
        """
        now = now_s()
        sent_s, before = self._last.get(said.group, (-math.inf, None))
        if now - sent_s < every_s:
            return False
        if now - sent_s < repeat_s and before is not None:
            changed = said != before if self._exact else _much_changed(before, said)
            if not changed:
                return False
        self._last[said.group] = (now, said)
        return True


def _much_changed(before: CapacityReport, said: CapacityReport) -> bool:
    """Tell whether a host that rarely sends work there would decide otherwise."""
    if (before.epoch, before.serving) != (said.epoch, said.serving):
        return True
    if (before.free == 0) != (said.free == 0):
        return True
    room = abs(said.free - before.free)
    wait_s = abs(said.waiting_s - before.waiting_s)
    least = FAR_CHANGE_SHARE * max(1, said.slots)
    return room >= least or wait_s >= FAR_WAIT_SHARE * max(1.0, before.waiting_s)
