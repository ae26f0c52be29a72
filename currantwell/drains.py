"""Drains: endpoints that operators have excluded from new starts."""

from collections.abc import Collection
from typing import Protocol

from .ids import EndpointId

__all__ = ["DrainSource", "NoDrains"]


class DrainSource(Protocol):
    """Provides the endpoints that operators have drained."""

    def drained(self) -> Collection[EndpointId]:
        """Return the endpoints that get no new starts."""
        ...


class NoDrains:
    """A source without drained endpoints."""

    def drained(self) -> Collection[EndpointId]:
        """Return an empty collection."""
        return frozenset()
