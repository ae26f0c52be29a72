"""The high-level API for callers and operators; the command line uses this alone.

A request that an entry host leaves unanswered goes to the next one. That is safe for
jobs, since their key makes every resubmission find the first, and for the rest, since
asking may be done twice.
"""

import dataclasses
from collections.abc import Sequence
from typing import TypeVar

import msgspec
import trio

from .answers import Answer, Refusal, TaskStatus
from .clock import now_s
from .codes import ResultCode, is_unknown
from .endpoint_protocol import Announcement
from .errors import EndpointUnreachable, RequestRefused
from .http_client import HttpClient, HttpReply
from .ids import DataCentre, JobKey, Team, home_of, new_key
from .status import Status
from .submission import Submission

__all__ = ["Client"]

REQUEST_TIMEOUT_S = 5.0
ANSWER_SLACK_S = 3.0
POLL_WAIT_S = 2.0
RETRY_PAUSE_S = 0.2
T = TypeVar("T")


class Client:
    """Talks to entry hosts.

    Parameters
    ----------
    urls : str or sequence of str
        Entry hosts, or the balancer before them; the first that answers is used.
    token : str or None
        The token of a team or an operator.
    """

    def __init__(self, urls: str | Sequence[str], token: str | None = None) -> None:
        listed = [urls] if isinstance(urls, str) else list(urls)
        self._hosts = [HttpClient(url, token=token) for url in listed]
        self._current = 0
        self._home: DataCentre | None = None

    async def new_key(self) -> JobKey:
        """Return a submission key whose home is the host's data centre.

        The host is asked for its data centre once.

        Raises
        ------
        EndpointUnreachable
            If no host answers.
        RequestRefused
            If the host refuses.
        """
        if self._home is None:
            told = await self._get("POST", "/v1/keys", dict[str, JobKey])
            self._home = home_of(told["key"])
        return new_key(self._home)

    async def submit(
        self, submission: Submission, wait_s: float = 0.0
    ) -> Answer | Refusal:
        """Submit a job; a second call with the same submission finds the first.

        Returns
        -------
        Answer or Refusal
            What the host said; ``UNKNOWN_OWNER_UNREACHABLE`` if none said anything.
        """
        body = msgspec.json.encode(submission)
        return await self._ask("POST", f"/v1/jobs?wait_s={wait_s}", body, wait_s)

    async def wait(
        self, team: Team | None, key: JobKey, wait_s: float
    ) -> Answer | Refusal:
        """Return the answer of a job, or its state once the time is up."""
        path = _job_path(team, key, "", f"wait_s={wait_s}")
        return await self._ask("GET", path, b"", wait_s)

    async def run(self, submission: Submission, timeout_s: float) -> Answer | Refusal:
        """Submit a job and wait for its answer, asking again while it is unknown."""
        end_s = now_s() + timeout_s
        told = await self.submit(submission, min(POLL_WAIT_S, timeout_s))
        while now_s() < end_s:
            wait_s = max(0.0, min(POLL_WAIT_S, end_s - now_s()))
            if told.code is ResultCode.RUNNING:
                told = await self.wait(submission.team, submission.key, wait_s)
            elif is_unknown(told.code):
                await trio.sleep(RETRY_PAUSE_S)
                self._next_host()
                told = await self.submit(submission, wait_s)
            else:
                break
        return told

    async def cancel(self, team: Team | None, key: JobKey) -> Answer | Refusal:
        """Cancel a job."""
        return await self._ask("DELETE", _job_path(team, key), b"", 0.0)

    async def tasks(self, team: Team | None, key: JobKey) -> list[TaskStatus]:
        """Return where each task of a job stands.

        Raises
        ------
        EndpointUnreachable
            If no host answers.
        RequestRefused
            If the host refuses.
        """
        return await self._get("GET", _job_path(team, key, "/tasks"), list[TaskStatus])

    async def explain(self, team: Team | None, key: JobKey) -> list[str] | Refusal:
        """Return why the tasks of a job stand where they stand."""
        path = _job_path(team, key, "/explain")
        try:
            return (await self._get("GET", path, dict[str, list[str]]))["lines"]
        except RequestRefused as error:
            return Refusal(error.code, error.detail)

    async def endpoints(self) -> list[Announcement]:
        """Return the endpoints of the host's data centre; asks as `tasks` does."""
        return await self._get("GET", "/v1/endpoints", list[Announcement])

    async def status(self) -> Status:
        """Return what the host knows of the system; asks as `tasks` does."""
        return await self._get("GET", "/v1/status", Status)

    async def close(self) -> None:
        """Close all connections."""
        for host in self._hosts:
            await host.close()

    def _next_host(self) -> None:
        self._current = (self._current + 1) % len(self._hosts)
        self._home = None

    async def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> HttpReply:
        for _ in self._hosts[1:]:
            try:
                host = self._hosts[self._current]
                return await host.request(method, path, body, timeout_s)
            except EndpointUnreachable:
                self._next_host()
        try:
            return await self._hosts[self._current].request(
                method, path, body, timeout_s
            )
        except EndpointUnreachable:
            self._next_host()
            raise

    async def _get(self, method: str, path: str, kind: type[T]) -> T:
        reply = await self._request(method, path, b"", REQUEST_TIMEOUT_S)
        if reply.status != 200:
            refusal = _decode_refusal(reply)
            raise RequestRefused(refusal.code, refusal.detail)
        return msgspec.json.decode(reply.body, type=kind)

    async def _ask(
        self, method: str, path: str, body: bytes, wait_s: float
    ) -> Answer | Refusal:
        try:
            timeout_s = ANSWER_SLACK_S + wait_s
            reply = await self._request(method, path, body, timeout_s)
        except EndpointUnreachable as error:
            return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        try:
            if msgspec.json.decode(reply.body, type=_Shape).state is not None:
                return msgspec.json.decode(reply.body, type=Answer)
        except msgspec.DecodeError:
            pass
        return _decode_refusal(reply)


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """The field by which answers and refusals differ."""

    state: str | None = None


def _decode_refusal(reply: HttpReply) -> Refusal:
    try:
        return msgspec.json.decode(reply.body, type=Refusal)
    except msgspec.DecodeError:
        detail = f"status {reply.status} without a readable body"
        return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)


def _job_path(team: Team | None, key: JobKey, part: str = "", query: str = "") -> str:
    queries = [f"team={team}"] if team else []
    if query:
        queries.append(query)
    return f"/v1/jobs/{key}{part}?{'&'.join(queries)}"
