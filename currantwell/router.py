"""The router: finds the owner of each request from its key."""

from collections.abc import Mapping
from typing import Protocol

import trio

from .answers import Answer, Refusal, TaskStatus
from .codes import ResultCode
from .errors import InvalidRequest, PeerUnreachable
from .gateway import JobGateway
from .ids import DataCentre, JobKey, Team, home_of, job_id
from .kernel import ServiceName
from .submission import Submission

__all__ = ["GatewayDirectory", "Router", "StaticDirectory"]

MAX_WAIT_S = 30.0


class GatewayDirectory(Protocol):
    """Knows who owns the jobs of each data centre now."""

    def data_centres(self) -> frozenset[DataCentre]:
        """Return every data centre there is."""
        ...

    def gateway(self, data_centre: DataCentre) -> JobGateway | None:
        """Return the owner of a data centre's jobs, None while there is none."""
        ...


class StaticDirectory:
    """A directory that never changes."""

    def __init__(self, gateways: Mapping[DataCentre, JobGateway]) -> None:
        self._gateways = dict(gateways)

    def data_centres(self) -> frozenset[DataCentre]:
        """Return every data centre there is."""
        return frozenset(self._gateways)

    def gateway(self, data_centre: DataCentre) -> JobGateway | None:
        """Return the owner of a data centre's jobs."""
        return self._gateways.get(data_centre)


class Router:
    """Passes requests of callers on to the owners of their jobs.

    Parameters
    ----------
    directory : GatewayDirectory
        Who owns what.
    """

    name = ServiceName("router")

    def __init__(self, directory: GatewayDirectory) -> None:
        self._directory = directory

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Be there until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Have nothing to finish."""

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Pass a submission on; its outcome is unknown if the owner is silent."""
        gateway = self._owner(submission.key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.submit(submission)
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def wait(self, team: Team, key: JobKey, timeout_s: float) -> Answer | Refusal:
        """Wait for the answer of a job."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.wait(job_id(team, key), min(timeout_s, MAX_WAIT_S))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def cancel(self, team: Team, key: JobKey) -> Answer | Refusal:
        """Cancel a job."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.cancel(job_id(team, key))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def tasks(self, team: Team, key: JobKey) -> tuple[TaskStatus, ...] | Refusal:
        """Return where each task of a job stands."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.tasks(job_id(team, key))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def explain(self, team: Team, key: JobKey) -> list[str] | Refusal:
        """Explain a job."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.explain(job_id(team, key))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    def _owner(self, key: JobKey) -> JobGateway | Refusal:
        try:
            home = home_of(key)
        except InvalidRequest as error:
            return Refusal(ResultCode.BAD_KEY, error.reason, error.field)
        if home not in self._directory.data_centres():
            return Refusal(
                ResultCode.UNKNOWN_DATA_CENTRE, f"no data centre {home!r}", "key"
            )
        gateway = self._directory.gateway(home)
        return gateway or _unreachable(f"no host is known to own {home}")


def _unreachable(detail: str) -> Refusal:
    return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)
