"""How a dispatcher uses the link to an endpoint, and what the link reports to it."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from .endpoint_protocol import (
    AdoptReply,
    AttemptRef,
    Heartbeat,
    LeaseGrant,
    ResultLine,
    Start,
    StartBatch,
    StartReply,
)
from .ids import EndpointId, Epoch, Incarnation
from .progress import AttemptProgress

__all__ = ["Link", "LinkHandler", "MakeLink"]


class LinkHandler(Protocol):
    """Handles what a link receives from its endpoint."""

    async def batch_answered(
        self, endpoint: EndpointId, batch: StartBatch, reply: StartReply
    ) -> None:
        """Record the reply to a batch, with the starts that the endpoint refused."""
        ...

    async def results_received(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        results: Sequence[ResultLine],
    ) -> None:
        """Record results and return once they are durable."""
        ...

    async def held_attempts_received(
        self, endpoint: EndpointId, reply: AdoptReply
    ) -> None:
        """Record the attempts that an adopted endpoint holds."""
        ...

    def heartbeat_received(
        self, endpoint: EndpointId, heartbeat: Heartbeat
    ) -> LeaseGrant | None:
        """Record a heartbeat and return the lease granted, if any."""
        ...

    def progress_received(
        self, endpoint: EndpointId, progress: Mapping[AttemptRef, AttemptProgress]
    ) -> None:
        """Record the progress of running attempts."""
        ...

    def endpoint_reachability_changed(
        self, endpoint: EndpointId, reachable: bool
    ) -> None:
        """Record whether the endpoint is reachable."""
        ...

    def newer_epoch_seen(self, endpoint: EndpointId) -> None:
        """Handle a refusal by the endpoint because it has accepted a newer epoch."""
        ...


class Link(Protocol):
    """Carries starts and stops to one incarnation of an endpoint."""

    def send(self, starts: Sequence[Start], stops: Sequence[AttemptRef] = ()) -> None:
        """Queue starts and stops."""
        ...

    def close(self) -> None:
        """Stop sending and receiving; `run` then returns."""
        ...

    async def run(self) -> None:
        """Adopt the endpoint, then send and receive until closed."""
        ...


MakeLink = Callable[[EndpointId, Incarnation, str, Epoch, LinkHandler], Link]
