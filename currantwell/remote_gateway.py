"""Jobs owned by another host: asked over peers, followed through changes of view.

A submission that may have reached an owner is never told as not run: once an owner
has fallen silent over it, a later refusal of another owner says nothing of the first.
"""

import contextlib
from collections.abc import Awaitable, Callable, Sequence
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

ASK_TIMEOUT_S = 2.0
FOLLOW_S = 6.0
ANNOUNCE_FOLLOW_S = 0.8
RETRY_PAUSE_S = 0.05
POLL_S = 0.5


class _NotOwner(Exception):
    """The host asked did nothing: it is no owner, or too busy."""


class RemoteGateway:
    """Asks whichever host owns a data centre's jobs now.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    host : HostId
        This host.
    views : ViewSource
        Who is primary.
    owners : LocalDispatchers
        The dispatchers of this host.
    peers : PeerNetwork
        Reaches the other hosts.
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
        self._awaited: dict[JobId, list[trio.Event]] = {}
        self._fresh: set[JobId] = set()
        self._awaits = trio.Event()

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or find the one that has the same key.

        Raises
        ------
        PeerUnreachable
            If no owner answered; whether the job was accepted is unknown.
        """
        told: Answer | Refusal = await self._call("submit", submission)
        return told

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state once the time is up.

        Raises
        ------
        PeerUnreachable
            If no owner answered.
        """
        until_s = now_s() + timeout_s
        told: Answer | Refusal = await self._call("wait", job, 0.0)
        while told.code is ResultCode.RUNNING and now_s() < until_s:
            await self._ended(job, until_s - now_s())
            told = await self._call("wait", job, 0.0)
        return told

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Start nothing more of a job and stop what runs."""
        told: Answer | Refusal = await self._call("cancel", job)
        return told

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return where each task of a job stands."""
        told: tuple[TaskStatus, ...] | Refusal = await self._call("tasks", job)
        return told

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Say why the tasks of a job stand where they stand."""
        told: list[str] | Refusal = await self._call("explain", job)
        return told

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Pass an endpoint's announcement on to the primary."""
        told: AnnouncementReply | Refusal = await self._call(
            "announce", announcement, follow_s=ANNOUNCE_FOLLOW_S
        )
        return told

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return what all known endpoints last said of themselves."""
        told: list[Announcement] | Refusal = await self._call("endpoints")
        return told

    async def run(self) -> None:
        """Ask remote owners which of the jobs waited for here have ended."""
        while True:
            awaits = self._awaits
            if not self._awaited:
                await awaits.wait()
            jobs, self._fresh = self._fresh, set()
            await self._poll(tuple(jobs or self._awaited))
            if not self._fresh:
                with trio.move_on_after(POLL_S):
                    await self._awaits.wait()

    def release(self, jobs: Sequence[JobId]) -> None:
        """Wake those who wait for jobs that have ended."""
        for job in jobs:
            for ended in self._awaited.pop(job, []):
                ended.set()

    # Calls.

    async def _call(
        self, method: str, *arguments: Any, follow_s: float = FOLLOW_S
    ) -> Any:
        """Call a method of the owner, or of its successor if it falls silent."""
        in_doubt: Exception | None = None
        with trio.move_on_after(follow_s):
            while True:
                try:
                    told = await self._call_once(method, arguments)
                    return _in_doubt(told, in_doubt)
                except _NotOwner:
                    pass
                except (Deposed, PeerUnreachable) as error:
                    in_doubt = error
                await trio.sleep(RETRY_PAUSE_S)
        raise PeerUnreachable(
            f"no owner of {self._data_centre} answered: {in_doubt or 'none is known'}"
        )

    async def _call_once(self, method: str, arguments: tuple[Any, ...]) -> Any:
        view = self._views.view(self._data_centre)
        if view is None:
            raise _NotOwner
        if view.primary != self._host:
            return await self._ask(view.primary, method, arguments)
        dispatcher = self._owners.dispatcher(self._data_centre)
        if dispatcher is None:
            raise _NotOwner
        call: Callable[..., Awaitable[Any]] = getattr(dispatcher, method)
        return await call(*arguments)

    async def _ask(self, owner: HostId, method: str, arguments: tuple[Any, ...]) -> Any:
        body = msgspec.Raw(msgspec.msgpack.encode(arguments))
        request = AskOwner(self._data_centre, method, body)
        told = await self._peers.request(owner, request, OwnerTold, ASK_TIMEOUT_S)
        match told.outcome:
            case OwnerOutcome.NOT_OWNER | OwnerOutcome.BUSY:
                raise _NotOwner
            case OwnerOutcome.LOST:
                raise PeerUnreachable(f"{owner} was taken over")
            case OwnerOutcome.REFUSED:
                return msgspec.msgpack.decode(told.value, type=Refusal)
        return msgspec.msgpack.decode(told.value, type=RESULTS[method])

    # Waits.

    async def _ended(self, job: JobId, timeout_s: float) -> None:
        """Return once a job may have ended, or the time is up."""
        dispatcher = self._owners.dispatcher(self._data_centre)
        if dispatcher is not None:
            try:
                await dispatcher.wait(job, timeout_s)
            except Deposed:
                await trio.sleep(RETRY_PAUSE_S)
            return
        ended = trio.Event()
        self._awaited.setdefault(job, []).append(ended)
        self._fresh.add(job)
        self._awaits.set()
        self._awaits = trio.Event()
        try:
            with trio.move_on_after(timeout_s):
                await ended.wait()
        finally:
            waiters = self._awaited.get(job, [])
            if ended in waiters:
                waiters.remove(ended)
            if not waiters:
                self._awaited.pop(job, None)

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


def _in_doubt(told: Any, doubt: Exception | None) -> Any:
    """Keep a refusal from saying "not run" of what an earlier owner may have taken."""
    if doubt is None or not isinstance(told, Refusal) or not is_not_run(told.code):
        return told
    detail = f"{told.code.name} now, but an earlier try may have been taken: {doubt}"
    return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)
