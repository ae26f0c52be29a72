"""What the status of a host tells of the agreed state."""

from collections.abc import Sequence
from datetime import UTC, datetime

from .audit import AuditEntry
from .codes import ResultCode
from .control import Control
from .ids import HostId
from .state_image import HostRecord
from .status import Change, HostState

__all__ = ["ControlStatus"]

SERVING = "serving"
SUSPECTED = "does not answer"


class ControlStatus:
    """Lists the hosts and the recent changes, as this host knows them.

    Parameters
    ----------
    control : Control
        The agreed state on this host.
    """

    def __init__(self, control: Control) -> None:
        self._control = control

    def hosts(self) -> Sequence[HostState]:
        """Return every host that registered."""
        known = sorted(self._control.hosts().items())
        return [self._state(host, record) for host, record in known]

    def recent_changes(self, most: int) -> Sequence[Change]:
        """Return so many changes and repairs at most, newest first."""
        newest = self._control.state.audit.entries[-most:] if most > 0 else []
        return [_change(entry) for entry in reversed(newest)]

    def _state(self, host: HostId, record: HostRecord) -> HostState:
        suspected = host in self._control.suspects()
        state = SUSPECTED if suspected else SERVING
        role = self._control.role(host)
        return HostState(host, record.data_centre, state, role)


def _change(entry: AuditEntry) -> Change:
    at = datetime.fromtimestamp(entry.unix_s, UTC).isoformat(" ", "seconds")
    what = f"{entry.kind} {entry.subject}"
    if entry.outcome is not ResultCode.ACCEPTED:
        what = f"{what}: refused, {entry.outcome.name}"
    return Change(at, entry.author, what, entry.reason)
