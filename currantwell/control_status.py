"""Hosts and recent changes as the status page shows them."""

import datetime
from collections.abc import Sequence

from .audit import AuditEntry
from .codes import ResultCode
from .control import Control
from .ids import HostId
from .status import Change, HostState

__all__ = ["ControlStatus"]


class ControlStatus:
    """Lists hosts and recent changes; both a `HostLister` and a `ChangeSource`.

    Parameters
    ----------
    control : Control
        The control service of this host.
    """

    def __init__(self, control: Control) -> None:
        self._control = control

    def hosts(self) -> Sequence[HostState]:
        """Return all registered hosts."""
        return [self._state(host) for host in sorted(self._control.hosts())]

    def recent_changes(self, most: int) -> Sequence[Change]:
        """Return at most `most` changes and repairs, newest first."""
        newest = self._control.state.audit.entries[-most:]
        return [_change(entry) for entry in reversed(newest)]

    def _state(self, host: HostId) -> HostState:
        control = self._control
        data_centre = control.hosts()[host].data_centre
        view = control.view(data_centre)
        roles = []
        if view is not None and host == view.primary:
            roles.append("primary")
        if view is not None and host == view.backup:
            roles.append("backup")
        if host == control.leader:
            roles.append("leader")
        state = "does not answer" if host in control.suspects() else "serving"
        return HostState(host, data_centre, state, ", ".join(roles))


def _change(entry: AuditEntry) -> Change:
    at = datetime.datetime.fromtimestamp(entry.unix_s, datetime.UTC)
    what = f"{entry.kind} {entry.subject}: {entry.before} -> {entry.after}"
    if entry.outcome is not ResultCode.ACCEPTED:
        what += f" ({entry.outcome.name})"
    return Change(at.isoformat(" ", "seconds"), entry.author, what, entry.reason)
