"""The routing configuration: which queue a request belongs to and who runs it."""

from collections.abc import Iterable
from typing import NewType

import msgspec

from ..errors import InvalidRequest
from ..ids import Team

__all__ = [
    "NO_CONFIGURATION",
    "Configuration",
    "Route",
    "RouteTable",
    "Service",
    "ServiceId",
    "check_configuration",
]

ServiceId = NewType("ServiceId", str)


class Route(msgspec.Struct, frozen=True):
    """A queue of jobs.

    Parameters
    ----------
    team : Team
        The team whose queue it is; its jobs share a name space.
    host, path_prefix : str
        Requests to this host whose path begins so belong to the queue.
    service : ServiceId
        The endpoints that run its tasks.
    timeout_s : float
        Longest time from arrival to answer.
    target_s : float
        Response time asked for, beyond ``stretch`` times the longest task.
    stretch : float
        What multiple of its longest task a job may take.
    priority : int
        0 comes first.
    max_failures : int
        A task that failed so often fails its job.
    """

    team: Team
    host: str
    path_prefix: str
    service: ServiceId
    timeout_s: float
    target_s: float = 0.0
    stretch: float = 1.0
    priority: int = 0
    max_failures: int = 1


class Service(msgspec.Struct, frozen=True):
    """A pool of endpoints.

    Parameters
    ----------
    name : ServiceId
        Its name.
    guards_capacity : bool
        Whether its endpoints refuse what does not fit them.
    """

    name: ServiceId
    guards_capacity: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """Everything that operators configure, under one version.

    Parameters
    ----------
    version : int
        The highest takes effect.
    routes : tuple of Route
        All queues.
    services : tuple of Service
        All pools of endpoints.
    max_body_bytes : int
        Largest body of a request.
    source : bytes
        The document that the operator sent, which reads return unchanged.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    max_body_bytes: int = 262_144
    source: bytes = b""


NO_CONFIGURATION = Configuration(0)


def check_configuration(configuration: Configuration) -> Configuration:
    """Check that a configuration is consistent.

    Raises
    ------
    InvalidRequest
        Naming the first field at fault.
    """
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        field = f"routes[{index}]"
        if route.service not in services:
            raise InvalidRequest(f"{field}.service", "names an unknown service")
        if (route.host, route.path_prefix) in places:
            raise InvalidRequest(field, "has the host and prefix of an earlier route")
        if route.timeout_s <= 0:
            raise InvalidRequest(f"{field}.timeout_s", "is not above 0")
        places.add((route.host, route.path_prefix))
    return configuration


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
        for group in self._hosts.values():
            group.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that the path begins with."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
