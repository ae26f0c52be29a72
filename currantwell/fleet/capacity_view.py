"""What an entry host knows of the free capacity of dispatchers, and whom it asks.

Load pattern: many hosts place jobs with many dispatchers while the load swings within
tens of milliseconds. Reports from each dispatcher to each host would cost the product
of both numbers, whether a host has a job to place or not. A host asks instead, when it
has a job and knows too little: two dispatchers of its data centre drawn at random, and
a few others if those are full. The messages of a host so grow with its own jobs, and
when everything is full not even with those, since a backlog is trusted to last.

No I/O and no clock: the caller passes in the time and sends the requests.
"""

import dataclasses
import random
from collections.abc import Collection

import msgspec

from ..ids import DataCentre
from .groups import EndpointGroup
from .messages import CapacityReport

__all__ = ["CapacityView"]

# Less than the run time of most tasks, so that few have started or ended since.
FRESH_S = 0.05
# Time in which a dispatcher could start tasks in all its slots.
TURNOVER_S = 0.2
# A backlog is trusted to last, but not for longer than half of a job's time to start.
MAX_FULL_S = 0.3
# Beyond this age a report is used only if there is no younger one.
REPORT_TTL_S = 1.0
# Time for which a dispatcher that did not answer is not asked again.
SILENT_S = 0.3
NEAR_CHOICES = 2
FAR_CHOICES = 2
# Dispatchers of other data centres that a host keeps asking at the same time.
MAX_FAR = 6


@dataclasses.dataclass(slots=True)
class _Known:
    """The latest report of a dispatcher and when it was received."""

    report: CapacityReport
    received_s: float

    def is_trusted(self, now_s: float) -> bool:
        """Return whether the report still tells the free capacity."""
        slots = max(1, self.report.slots)
        if self.report.free > 0:
            trusted_s = FRESH_S + TURNOVER_S * min(1.0, self.report.free / slots)
        else:
            trusted_s = min(MAX_FULL_S, max(FRESH_S, self.report.waiting_s / slots))
        return now_s - self.received_s <= trusted_s


class CapacityView:
    """The latest capacity reports of dispatchers.

    Parameters
    ----------
    home : DataCentre
        Data centre of this host.
    source : random.Random
        Draws the dispatchers to ask.
    """

    def __init__(self, home: DataCentre, source: random.Random) -> None:
        self._home = home
        self._source = source
        self._known: dict[EndpointGroup, _Known] = {}
        self._silent_until_s: dict[EndpointGroup, float] = {}

    def record(self, report: CapacityReport, now_s: float) -> None:
        """Use a report unless a dispatcher with a higher epoch has sent one."""
        known = self._known.get(report.group)
        if known is None or report.epoch >= known.report.epoch:
            self._known[report.group] = _Known(report, now_s)
            self._silent_until_s.pop(report.group, None)

    def forget(self, group: EndpointGroup) -> None:
        """Remove the report of a dispatcher that can't be reached any more."""
        self._known.pop(group, None)

    def note_silence(self, group: EndpointGroup, now_s: float) -> None:
        """Do not ask a dispatcher for a while, since it did not answer in time."""
        self._silent_until_s[group] = now_s + SILENT_S

    def reserve(self, group: EndpointGroup, tasks: int) -> None:
        """Subtract tasks that were just sent to a dispatcher from its free capacity."""
        known = self._known.get(group)
        if known is not None:
            free = max(0, known.report.free - tasks)
            known.report = msgspec.structs.replace(known.report, free=free)

    def reports(
        self, reachable: Collection[EndpointGroup], now_s: float
    ) -> dict[EndpointGroup, CapacityReport]:
        """Return the reports to place a job by.

        Those that are trusted; without any, those that are not outdated; without any,
        all.

        Parameters
        ----------
        reachable : collection of EndpointGroup
            Groups whose dispatchers a job can be sent to.
        now_s : float
            Current time on the runtime's clock.
        """
        known = {
            group: known
            for group, known in self._known.items()
            if known.report.serving and group in reachable
        }
        for usable in (
            [group for group in known if known[group].is_trusted(now_s)],
            [group for group in known if self._is_recent(group, now_s)],
        ):
            if usable:
                return {group: known[group].report for group in usable}
        return {group: entry.report for group, entry in known.items()}

    def near_to_ask(
        self, tasks: int, groups: Collection[EndpointGroup], now_s: float
    ) -> list[EndpointGroup]:
        """Return the dispatchers of this data centre to ask before placing a job.

        Parameters
        ----------
        tasks : int
            Number of tasks of the job.
        groups : collection of EndpointGroup
            Groups that have a dispatcher.
        now_s : float
            Current time on the runtime's clock.
        """
        near = [group for group in groups if group.data_centre == self._home]
        if self._suffices(tasks, near, now_s):
            return []
        return self._draw(near, NEAR_CHOICES, now_s)

    def more_to_ask(
        self,
        tasks: int,
        groups: Collection[EndpointGroup],
        connected: Collection[EndpointGroup],
        now_s: float,
    ) -> list[EndpointGroup]:
        """Return further dispatchers to ask if those of `near_to_ask` are full.

        Parameters
        ----------
        tasks : int
            Number of tasks of the job.
        groups : collection of EndpointGroup
            Groups that have a dispatcher.
        connected : collection of EndpointGroup
            Those of them that this host has a channel to.
        now_s : float
            Current time on the runtime's clock.
        """
        if self._suffices(tasks, groups, now_s):
            return []
        near = [group for group in groups if group.data_centre == self._home]
        far = [group for group in groups if group.data_centre != self._home]
        connected_far = [group for group in far if group in connected]
        if len(connected_far) >= MAX_FAR:
            far = connected_far
        return [*self._draw(near, 1, now_s), *self._draw(far, FAR_CHOICES, now_s)]

    def _suffices(
        self, tasks: int, groups: Collection[EndpointGroup], now_s: float
    ) -> bool:
        """Return whether one of the groups has free capacity for a whole job."""
        return any(
            known.report.serving
            and known.report.free >= tasks
            and known.is_trusted(now_s)
            for group in groups
            if (known := self._known.get(group)) is not None
        )

    def _draw(
        self, groups: Collection[EndpointGroup], count: int, now_s: float
    ) -> list[EndpointGroup]:
        """Draw groups about which too little is known."""
        unknown = [
            group
            for group in groups
            if now_s >= self._silent_until_s.get(group, now_s)
            and not self._is_trusted(group, now_s)
        ]
        return self._source.sample(unknown, min(count, len(unknown)))

    def _is_trusted(self, group: EndpointGroup, now_s: float) -> bool:
        known = self._known.get(group)
        return known is not None and known.is_trusted(now_s)

    def _is_recent(self, group: EndpointGroup, now_s: float) -> bool:
        if now_s < self._silent_until_s.get(group, now_s):
            return False
        return now_s - self._known[group].received_s <= REPORT_TTL_S
