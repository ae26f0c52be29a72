"""Drains: which endpoints get no new starts by the wish of operators."""

from collections.abc import Collection
from typing import Protocol

from .ids import EndpointId

__all__ = ["DrainSource", "NoDrains"]


class DrainSource(Protocol):
    """Knows which endpoints operators have drained."""

    def drained(self) -> Collection[EndpointId]:
        """Return the endpoints that get no new starts."""
        ...


class NoDrains:
    """No endpoint is drained."""

    def drained(self) -> Collection[EndpointId]:
        """Return none."""
        return frozenset()
