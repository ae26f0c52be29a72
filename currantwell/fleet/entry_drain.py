"""Stops an entry host within its grace time without cutting off a request.

Invariants: new jobs are refused early enough that those accepted before can end within
the grace time, whatever else the host still waits for; a job that lasts longer than
expected has an outcome, and its caller the answer, before the host ends.
"""

from collections.abc import Callable
from typing import Protocol

import trio

from .. import events
from ..clock import now_s

__all__ = ["COMPLETE_SHARE", "STOP_SHARE", "drain_entry_host"]

# Shares of the grace time: how long requests are accepted at most, how long jobs in
# progress may take, and how long the services may take to stop after that.
ACCEPT_SHARE = 0.65
COMPLETE_SHARE = 0.9
STOP_SHARE = 0.08
# Time for the load balancer to notice that the host is not ready any more.
MIN_DRAIN_S = 2.5
POLL_S = 0.05


class Entry(Protocol):
    """The part of `EntryService` that is used here."""

    draining: bool
    closing: bool
    in_flight: int
    jobs_cut_off: int

    def end_jobs_by(self, stop_s: float) -> None:
        """Give each job an outcome by a time."""


class Server(Protocol):
    """The part of `HttpServer` that is used here."""

    in_progress: int

    def announce_stop(self) -> None:
        """Tell clients that their connections close."""


class Links(Protocol):
    """The part of `DispatcherLinks` that is used here."""

    async def drain(self) -> None:
        """Accept no new job to dispatch; return when the accepted ones have ended."""


async def drain_entry_host(
    entry: Entry,
    server: Server,
    links: Links,
    hand_over: Callable[[], None],
    grace_s: float,
) -> None:
    """Return when the services of an entry host may be stopped.

    Parameters
    ----------
    entry : EntryService
        Refuses new jobs towards the end.
    server : HttpServer
        Serves the callers.
    links : DispatcherLinks
        The dispatchers that run on this host.
    hand_over : callable
        Called once they have no jobs left, to let other hosts dispatch.
    grace_s : float
        Time from the call until the process is killed, in seconds.
    """
    started_s = now_s()
    accept_until_s = started_s + ACCEPT_SHARE * grace_s
    complete_until_s = started_s + COMPLETE_SHARE * grace_s
    dispatch_ended = trio.Event()

    async def end_dispatch() -> None:
        await links.drain()
        hand_over()
        dispatch_ended.set()

    def busy() -> bool:
        return not dispatch_ended.is_set() or entry.in_flight > 0

    entry.draining = True
    entry.end_jobs_by(complete_until_s)
    server.announce_stop()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_dispatch)
        await trio.sleep_until(started_s + min(MIN_DRAIN_S, ACCEPT_SHARE * grace_s))
        while now_s() < accept_until_s and (busy() or server.in_progress):
            await trio.sleep(POLL_S)
        entry.closing = True
        while now_s() < complete_until_s and busy():
            await trio.sleep(POLL_S)
        jobs = entry.in_flight + entry.jobs_cut_off
        if busy() or jobs:
            events.DRAIN_EXPIRED.log(jobs=jobs, dispatching=not dispatch_ended.is_set())
        nursery.cancel_scope.cancel()
