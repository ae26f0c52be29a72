"""Limits how often the capacity of a dispatcher is reported to other hosts.

Hosts of the same data centre send jobs to the dispatcher all the time and receive every
change. Other hosts send jobs only when their own data centre is full, and receive
significant changes only.
"""

import math

from ..clock import now_s
from .channel import PING_INTERVAL_S
from .groups import EndpointGroup
from .messages import CapacityReport

__all__ = ["CapacityUpdateFilter", "max_update_interval_s", "min_update_interval_s"]

# Half of the shortest run time of a task, so that free capacity is reported in time.
MIN_INTERVAL_S = 0.02
# A report costs its receiver 0.35 ms. On the bench with 35 hosts reports took a third
# of a host's time; at this rate ten hosts get 22 reports a second of each dispatcher.
MIN_INTERVAL_PER_HOST_S = 0.0045
# Shorter than the ping interval, so that a repeated report takes the place of a ping.
MAX_INTERVAL_S = 0.8 * PING_INTERVAL_S
# With many hosts reports are less frequent; three repeats still fit in `REPORT_TTL_S`.
MAX_INTERVAL_PER_HOST_S = 0.01
MAX_INTERVAL_LIMIT_S = 0.3
# Share of the slots by which free capacity must change to be reported to another data
# centre, which sends jobs here only when it has no free capacity itself.
FAR_CHANGE_SHARE = 0.15
# Another data centre uses the backlog only when there is no free capacity anywhere.
FAR_WAIT_SHARE = 0.5


def min_update_interval_s(hosts: int) -> float:
    """Return the shortest interval between reports to this number of hosts.

    It is no longer than `max_update_interval_s`, so that a report that keeps changing
    does not expire.
    """
    return min(
        max(MIN_INTERVAL_S, MIN_INTERVAL_PER_HOST_S * hosts),
        max_update_interval_s(hosts),
    )


def max_update_interval_s(hosts: int) -> float:
    """Return the longest interval between reports to this number of hosts."""
    return min(
        max(MAX_INTERVAL_S, MAX_INTERVAL_PER_HOST_S * hosts), MAX_INTERVAL_LIMIT_S
    )


class CapacityUpdateFilter:
    """Decides which capacity reports are sent to a set of hosts.

    Keeps the report last sent for each group and the time when it was sent.

    Parameters
    ----------
    exact : bool
        Whether every change is reported, not only significant ones.
    """

    def __init__(self, exact: bool) -> None:
        self._exact = exact
        self._last_sent: dict[EndpointGroup, tuple[float, CapacityReport]] = {}

    def should_send(
        self, report: CapacityReport, min_interval_s: float, max_interval_s: float
    ) -> bool:
        """Return whether to send a report now; if so, it counts as sent.

        The parameters are those of `due_s`.
        """
        if now_s() < self.due_s(report, min_interval_s, max_interval_s):
            return False
        self._last_sent[report.group] = (now_s(), report)
        return True

    def due_s(
        self, report: CapacityReport, min_interval_s: float, max_interval_s: float
    ) -> float:
        """Return the time when a report is to be sent, if it does not change again.

        Parameters
        ----------
        report : CapacityReport
            The current capacity.
        min_interval_s, max_interval_s : float
            Time since the last report was sent before which nothing is sent, and after
            which an unchanged report is repeated.
        """
        sent_s, last = self._last_sent.get(report.group, (-math.inf, None))
        if last is None:
            return sent_s
        changed = (
            report != last if self._exact else _changed_significantly(last, report)
        )
        return sent_s + (min_interval_s if changed else max_interval_s)


def _changed_significantly(last: CapacityReport, report: CapacityReport) -> bool:
    """Return whether a change matters to a host that rarely sends jobs here."""
    if (last.epoch, last.serving) != (report.epoch, report.serving):
        return True
    if (last.free == 0) != (report.free == 0):
        return True
    free_change = abs(report.free - last.free)
    wait_change_s = abs(report.waiting_s - last.waiting_s)
    min_change = FAR_CHANGE_SHARE * max(1, report.slots)
    return free_change >= min_change or wait_change_s >= FAR_WAIT_SHARE * max(
        1.0, last.waiting_s
    )
