"""The routing configuration: maps requests to queues and queues to endpoints."""

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
        The team that owns the queue; the names of its jobs share one namespace.
    host, path_prefix : str
        Requests to this HTTP host whose path starts with the prefix belong to the
        queue.
    service : ServiceId
        The pool of endpoints that runs the tasks.
    timeout_s : float
        Longest time from the arrival of a request to its answer, in seconds.
    target_s : float
        Target response time in seconds, in addition to ``stretch`` times the run time
        of the longest task.
    stretch : float
        Multiple of the run time of its longest task that a job may take.
    priority : int
        0 is the highest priority.
    max_failures : int
        Number of failures of one task after which its job fails.
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
        Name of the pool.
    guards_capacity : bool
        Whether its endpoints refuse tasks that exceed their free capacity.
    """

    name: ServiceId
    guards_capacity: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """One version of all settings that operators change at run time.

    Parameters
    ----------
    version : int
        Version number; the highest one takes effect.
    routes : tuple of Route
        All queues.
    services : tuple of Service
        All pools of endpoints.
    max_body_bytes : int
        Largest request body accepted, in bytes.
    source : bytes
        The operator's document, which reads return unchanged.
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
        If it is not; names the first invalid field.
    """
    services = {service.name for service in configuration.services}
    prefixes: set[tuple[str, str]] = set()
    for index, route in enumerate(configuration.routes):
        field = f"routes[{index}]"
        if route.service not in services:
            raise InvalidRequest(f"{field}.service", "names an unknown service")
        if (route.host, route.path_prefix) in prefixes:
            raise InvalidRequest(field, "has the host and prefix of an earlier route")
        if route.timeout_s <= 0:
            raise InvalidRequest(f"{field}.timeout_s", "is not above 0")
        prefixes.add((route.host, route.path_prefix))
    return configuration


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    routes : iterable of Route
        All routes.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.path_prefix] = route
        self._lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self._hosts.items()
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        Takes one lookup for each length that the prefixes of the host have.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        for length in self._lengths[host]:
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None
