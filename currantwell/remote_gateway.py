"""Gateway to the host that owns a data centre's jobs, across changes of view.

A submission that may have reached an owner is never reported as not run: once an
owner has not answered it, a later refusal by another owner is no evidence that the
first one did not accept it.
"""

import contextlib
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any

import msgspec
import trio

from .answers import Answer, Refusal, TaskStatus
from .clock import now_s
from .codes import ResultCode, is_not_run
from .endpoint_protocol import Announcement, AnnouncementReply
from .errors import Deposed, PeerUnreachable
from .ids import DataCentre, HostId, JobId
from .owner_messages import (
    RESULTS,
    AskEnded,
    AskOwner,
    Ended,
    LocalDispatchers,
    OwnerOutcome,
    OwnerTold,
)
from .peers import PeerNetwork
from .submission import Submission
from .views import ViewSource

__all__ = ["RemoteGateway"]

REQUEST_TIMEOUT_S = 2.0
FOLLOW_TIMEOUT_S = 6.0
ANNOUNCE_TIMEOUT_S = 0.8
RETRY_PAUSE_S = 0.05
POLL_INTERVAL_S = 0.5


class _NotOwner(Exception):
    """The host did not execute the request: it is not the owner, or it is too busy."""


class RemoteGateway:
    """Sends requests to whichever host owns a data centre's jobs now.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    host : HostId
        This host.
    views : ViewSource
        The agreed views; the primary of the newest one owns the jobs.
    owners : LocalDispatchers
        The dispatchers that run on this host.
    peers : PeerNetwork
        Sends requests to the other hosts.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        host: HostId,
        views: ViewSource,
        owners: LocalDispatchers,
        peers: PeerNetwork,
    ) -> None:
        self._data_centre = data_centre
        self._host = host
        self._views = views
        self._owners = owners
        self._peers = peers
        self._requests: set[tuple[HostId, trio.CancelScope]] = set()
        self._waiters: dict[JobId, list[trio.Event]] = {}
        self._new_jobs: set[JobId] = set()
        self._waiter_added = trio.Event()

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or find the one that has the same key.

        Raises
        ------
        PeerUnreachable
            If no owner answered; whether the job was accepted is unknown.
        """
        result: Answer | Refusal = await self._call("submit", submission)
        return result

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its current state after the timeout.

        Raises
        ------
        PeerUnreachable
            If no owner answered.
        """
        until_s = now_s() + timeout_s
        result: Answer | Refusal = await self._call("wait", job, 0.0)
        while result.code is ResultCode.RUNNING and now_s() < until_s:
            await self._wait_ended(job, until_s - now_s())
            result = await self._call("wait", job, 0.0)
        return result

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Cancel a job: start no further tasks and stop those that run."""
        result: Answer | Refusal = await self._call("cancel", job)
        return result

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return the status of each task of a job."""
        result: tuple[TaskStatus, ...] | Refusal = await self._call("tasks", job)
        return result

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Explain the current state of each task of a job."""
        result: list[str] | Refusal = await self._call("explain", job)
        return result

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Forward an endpoint's announcement to the primary."""
        result: AnnouncementReply | Refusal = await self._call(
            "announce", announcement, timeout_s=ANNOUNCE_TIMEOUT_S
        )
        return result

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return the latest announcement of each known endpoint."""
        result: list[Announcement] | Refusal = await self._call("endpoints")
        return result

    async def run(self) -> None:
        """Follow the jobs that callers wait for, and the changes of the owner."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._cancel_loop)

    def release(self, jobs: Sequence[JobId]) -> None:
        """Wake the callers that wait for jobs that have ended."""
        for job in jobs:
            for ended in self._waiters.pop(job, []):
                ended.set()

    # Calls.

    async def _call(
        self, method: str, *arguments: Any, timeout_s: float = FOLLOW_TIMEOUT_S
    ) -> Any:
        """Call a method of the owner, or of its successor if it stops answering."""
        failure: Exception | None = None
        with trio.move_on_after(timeout_s):
            while True:
                try:
                    result = await self._call_once(method, arguments)
                    return _resolve_doubt(result, failure)
                except _NotOwner:
                    pass
                except (Deposed, PeerUnreachable) as error:
                    failure = error
                await trio.sleep(RETRY_PAUSE_S)
        raise PeerUnreachable(
            f"no owner of {self._data_centre} answered: {failure or 'none is known'}"
        )

    async def _call_once(self, method: str, arguments: tuple[Any, ...]) -> Any:
        view = self._views.view(self._data_centre)
        if view is None:
            raise _NotOwner
        if view.primary != self._host:
            with self._unless_replaced(view.primary):
                return await self._request(view.primary, method, arguments)
            raise PeerUnreachable(f"{view.primary} was replaced")
        dispatcher = self._owners.dispatcher(self._data_centre)
        if dispatcher is None:
            raise _NotOwner
        call: Callable[..., Awaitable[Any]] = getattr(dispatcher, method)
        return await call(*arguments)

    async def _request(
        self, owner: HostId, method: str, arguments: tuple[Any, ...]
    ) -> Any:
        body = msgspec.Raw(msgspec.msgpack.encode(arguments))
        request = AskOwner(self._data_centre, method, body)
        reply = await self._peers.request(owner, request, OwnerTold, REQUEST_TIMEOUT_S)
        match reply.outcome:
            case OwnerOutcome.NOT_OWNER | OwnerOutcome.BUSY:
                raise _NotOwner
            case OwnerOutcome.LOST:
                raise PeerUnreachable(f"{owner} was taken over")
            case OwnerOutcome.REFUSED:
                return msgspec.msgpack.decode(reply.value, type=Refusal)
        return msgspec.msgpack.decode(reply.value, type=RESULTS[method])

    @contextlib.contextmanager
    def _unless_replaced(self, owner: HostId) -> Iterator[None]:
        """Cancel the block if the data centre gets another owner."""
        with trio.CancelScope() as scope:
            request = (owner, scope)
            self._requests.add(request)
            try:
                yield
            finally:
                self._requests.discard(request)

    async def _cancel_loop(self) -> None:
        """Cancel requests to an owner that was replaced: it may never answer."""
        while True:
            await self._views.wait_change()
            view = self._views.view(self._data_centre)
            for owner, scope in self._requests:
                if view is not None and owner != view.primary:
                    scope.cancel()

    # Waits.

    async def _poll_loop(self) -> None:
        """Poll the remote owner for the end of the jobs that callers wait for."""
        while True:
            waiter_added = self._waiter_added
            if not self._waiters:
                await waiter_added.wait()
            jobs, self._new_jobs = self._new_jobs, set()
            await self._poll(tuple(jobs or self._waiters))
            if not self._new_jobs:
                with trio.move_on_after(POLL_INTERVAL_S):
                    await self._waiter_added.wait()

    async def _wait_ended(self, job: JobId, timeout_s: float) -> None:
        """Return once a job may have ended, or after the timeout."""
        dispatcher = self._owners.dispatcher(self._data_centre)
        if dispatcher is not None:
            try:
                await dispatcher.wait(job, timeout_s)
            except Deposed:
                await trio.sleep(RETRY_PAUSE_S)
            return
        ended = trio.Event()
        self._waiters.setdefault(job, []).append(ended)
        self._new_jobs.add(job)
        self._waiter_added.set()
        self._waiter_added = trio.Event()
        try:
            with trio.move_on_after(timeout_s):
                await ended.wait()
        finally:
            waiters = self._waiters.get(job, [])
            if ended in waiters:
                waiters.remove(ended)
            if not waiters:
                self._waiters.pop(job, None)

    async def _poll(self, jobs: tuple[JobId, ...]) -> None:
        view = self._views.view(self._data_centre)
        if view is None:
            return
        if view.primary == self._host:
            self.release(jobs)
            return
        request = AskEnded(self._data_centre, jobs)
        with contextlib.suppress(PeerUnreachable):
            reply = await self._peers.request(view.primary, request, Ended)
            if reply.outcome is OwnerOutcome.ANSWERED:
                self.release(reply.jobs)


def _resolve_doubt(result: Any, failure: Exception | None) -> Any:
    """Replace a "not run" refusal if an earlier owner may have accepted the request."""
    if (
        failure is None
        or not isinstance(result, Refusal)
        or not is_not_run(result.code)
    ):
        return result
    detail = (
        f"{result.code.name} now, but an earlier try may have been taken: {failure}"
    )
    return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)
