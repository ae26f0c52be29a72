"""The router: forwards each request to the owner of its job, found from the key."""

from collections.abc import Mapping
from typing import Protocol

import trio

from .answers import Answer, Refusal, TaskStatus
from .codes import ResultCode
from .errors import InvalidRequest, PeerUnreachable
from .gateway import JobGateway
from .ids import DataCentre, JobKey, Team, job_id, owning_data_centre
from .kernel import ServiceName
from .submission import Submission

__all__ = ["GatewayDirectory", "Router", "StaticDirectory"]

MAX_WAIT_S = 30.0


class GatewayDirectory(Protocol):
    """Finds the current owner of each data centre's jobs."""

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres of the system."""
        ...

    def gateway(self, data_centre: DataCentre) -> JobGateway | None:
        """Return the gateway to the owner of a data centre's jobs, None if unknown."""
        ...


class StaticDirectory:
    """A directory with a fixed gateway for each data centre."""

    def __init__(self, gateways: Mapping[DataCentre, JobGateway]) -> None:
        self._gateways = dict(gateways)

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres of the system."""
        return frozenset(self._gateways)

    def gateway(self, data_centre: DataCentre) -> JobGateway | None:
        """Return the gateway to the owner of a data centre's jobs."""
        return self._gateways.get(data_centre)


class Router:
    """Forwards the requests of callers to the owners of their jobs.

    Parameters
    ----------
    directory : GatewayDirectory
        Finds the owner of each data centre's jobs.
    """

    name = ServiceName("router")

    def __init__(self, directory: GatewayDirectory) -> None:
        self._directory = directory

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Do nothing until cancelled; callers run the methods in their own tasks."""
        task_status.started()
        await trio.sleep_forever()

    async def drain(self) -> None:
        """Return at once: the router has no work of its own to finish."""

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Forward a submission; if the owner is unreachable, the outcome is unknown."""
        gateway = self._owner(submission.key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.submit(submission)
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def wait(self, team: Team, key: JobKey, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state if the timeout passes first.

        The timeout is cut to `MAX_WAIT_S`.
        """
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
        """Return the state of each task of a job."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.tasks(job_id(team, key))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    async def explain(self, team: Team, key: JobKey) -> list[str] | Refusal:
        """Return lines that explain the state of a job's tasks."""
        gateway = self._owner(key)
        if isinstance(gateway, Refusal):
            return gateway
        try:
            return await gateway.explain(job_id(team, key))
        except PeerUnreachable as error:
            return _unreachable(str(error))

    def _owner(self, key: JobKey) -> JobGateway | Refusal:
        try:
            home = owning_data_centre(key)
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
