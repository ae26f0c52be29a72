"""Micro-kernel: a registry of named services that start and stop in order."""

from typing import NewType, Protocol, TypeVar, runtime_checkable

import trio

from .errors import ServiceMissing

__all__ = ["Kernel", "Service", "ServiceName"]

ServiceName = NewType("ServiceName", str)
T = TypeVar("T")


@runtime_checkable
class Service(Protocol):
    """A component of a process that runs until it is cancelled."""

    name: ServiceName

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Run; call ``task_status.started()`` once the service is ready for use."""
        ...

    async def drain(self) -> None:
        """Finish the work in progress and return; `run` continues until cancelled."""
        ...


class Kernel:
    """Starts services in registration order and drains them in reverse order.

    Parameters
    ----------
    drain_timeout_s : float
        Maximum time that all services together may take to drain.
    """

    def __init__(self, drain_timeout_s: float = 30.0) -> None:
        self._services: dict[ServiceName, Service] = {}
        self._stop = trio.Event()
        self._drain_timeout_s = drain_timeout_s

    def register(self, service: Service) -> None:
        """Add a service under its name."""
        self._services[service.name] = service

    def find(self, name: ServiceName, kind: type[T]) -> T:
        """Return the service with a name.

        Raises
        ------
        ServiceMissing
            If there is no such service, or it is not an instance of `kind`.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise ServiceMissing(f"no service {name!r} of kind {kind.__name__}")
        return service

    def stop(self) -> None:
        """Make `run` drain all services and return, also if it is still starting."""
        self._stop.set()

    async def run(self, task_status: trio.TaskStatus[None]) -> bool:
        """Run all services until `stop` is called.

        Returns
        -------
        bool
            Whether every service drained in time.
        """
        async with trio.open_nursery() as nursery:
            started: list[Service] = []
            with trio.CancelScope() as start_scope:
                nursery.start_soon(self._cancel_on_stop, start_scope)
                for service in list(self._services.values()):
                    await nursery.start(service.run)
                    started.append(service)
            task_status.started()
            await self._stop.wait()
            drained = False
            with trio.move_on_after(self._drain_timeout_s):
                for service in reversed(started):
                    await service.drain()
                drained = True
            nursery.cancel_scope.cancel()
        return drained

    async def _cancel_on_stop(self, scope: trio.CancelScope) -> None:
        await self._stop.wait()
        scope.cancel()
