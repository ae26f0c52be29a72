"""Carries out the agreed drains at the endpoints of this host's data centre.

An endpoint that is agreed to be drained is drained again whenever it says otherwise,
so that neither a new primary nor a restart of the endpoint undoes an agreed drain.
"""

from collections.abc import Callable
from typing import Protocol

import trio

from .answers import Refusal
from .control import Control
from .endpoint_protocol import Announcement
from .ids import EndpointId, Operator
from .kernel import ServiceName

__all__ = ["DrainFollower", "EndpointDrainer"]

CHECK_S = 1.0
AGREED = Operator("agreed-state")


class EndpointDrainer(Protocol):
    """Drains endpoints; the dispatcher does."""

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return what all known endpoints last said of themselves."""
        ...

    async def drain_endpoint(
        self, endpoint: EndpointId, draining: bool, operator: Operator
    ) -> Refusal | None:
        """Have an endpoint get no new starts, or get them again."""
        ...


class DrainFollower:
    """The service that carries out agreed drains.

    Parameters
    ----------
    control : Control
        Knows which endpoints are agreed to be drained.
    find_drainer : callable
        Returns the dispatcher if this host runs one, else None.
    """

    name = ServiceName("drains")

    def __init__(
        self, control: Control, find_drainer: Callable[[], EndpointDrainer | None]
    ) -> None:
        self._control = control
        self._find_drainer = find_drainer
        self._followed: set[EndpointId] = set()

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Follow until cancelled."""
        task_status.started()
        while True:
            drainer = self._find_drainer()
            if drainer is not None:
                await self._follow(drainer)
            with trio.move_on_after(CHECK_S):
                await self._control.wait_state()

    async def drain(self) -> None:
        """Have nothing to finish."""

    async def _follow(self, drainer: EndpointDrainer) -> None:
        told = await drainer.endpoints()
        if isinstance(told, Refusal):
            return
        drained = set(self._control.state.image.drained)
        for said in told:
            resumed = said.endpoint in self._followed - drained
            if said.endpoint in drained and not said.draining:
                await drainer.drain_endpoint(said.endpoint, True, AGREED)
            elif resumed:
                await drainer.drain_endpoint(said.endpoint, False, AGREED)
        self._followed = drained
