"""High-level client for callers; the command line uses only this and `operator_client`.

A request that an entry host does not answer is sent to the next one. This is safe for
jobs, since a resubmission with the same key finds the first submission, and for all
other requests, since they are idempotent.
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
from .http_client import HttpClient
from .http_reply import HttpReply
from .ids import DataCentre, JobKey, Team, new_key, owning_data_centre
from .status import Status
from .submission import Submission

__all__ = ["Client"]

REQUEST_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_MARGIN_S = 3.0
POLL_WAIT_S = 2.0
RETRY_PAUSE_S = 0.2
T = TypeVar("T")


class Client:
    """Sends requests to entry hosts, with failover between them.

    Parameters
    ----------
    urls : str or sequence of str
        URLs of entry hosts, or of a load balancer in front of them. The client stays
        with one host until it fails to answer.
    token : str or None
        Bearer token of a team or an operator.
    """

    def __init__(self, urls: str | Sequence[str], token: str | None = None) -> None:
        host_urls = [urls] if isinstance(urls, str) else list(urls)
        self._hosts = [HttpClient(url, token=token) for url in host_urls]
        self._current = 0
        self._home: DataCentre | None = None

    async def new_key(self) -> JobKey:
        """Return a submission key whose home is the host's data centre.

        The first call requests a key from the host to obtain its data centre; later
        calls create keys locally until the client switches hosts.

        Raises
        ------
        EndpointUnreachable
            If no host answers.
        RequestRefused
            If the host refuses.
        """
        if self._home is None:
            reply = await self._get("POST", "/v1/keys", dict[str, JobKey])
            self._home = owning_data_centre(reply["key"])
        return new_key(self._home)

    async def submit(
        self, submission: Submission, wait_s: float = 0.0
    ) -> Answer | Refusal:
        """Submit a job; a repeated call with the same submission finds the first one.

        Returns
        -------
        Answer or Refusal
            Reply of the host; ``UNKNOWN_OWNER_UNREACHABLE`` if no host replied.
        """
        body = msgspec.json.encode(submission)
        return await self._request_answer(
            "POST", f"/v1/jobs?wait_s={wait_s}", body, wait_s
        )

    async def wait(
        self, team: Team | None, key: JobKey, wait_s: float
    ) -> Answer | Refusal:
        """Return the answer of a job, or its state after ``wait_s`` seconds."""
        path = _job_path(team, key, "", f"wait_s={wait_s}")
        return await self._request_answer("GET", path, b"", wait_s)

    async def run(self, submission: Submission, timeout_s: float) -> Answer | Refusal:
        """Submit a job and wait for its answer; resubmit if the outcome is unknown."""
        end_s = now_s() + timeout_s
        result = await self.submit(submission, min(POLL_WAIT_S, timeout_s))
        while now_s() < end_s:
            wait_s = max(0.0, min(POLL_WAIT_S, end_s - now_s()))
            if result.code is ResultCode.RUNNING:
                result = await self.wait(submission.team, submission.key, wait_s)
            elif is_unknown(result.code):
                await trio.sleep(RETRY_PAUSE_S)
                self._next_host()
                result = await self.submit(submission, wait_s)
            else:
                break
        return result

    async def cancel(self, team: Team | None, key: JobKey) -> Answer | Refusal:
        """Cancel a job."""
        return await self._request_answer("DELETE", _job_path(team, key), b"", 0.0)

    async def tasks(self, team: Team | None, key: JobKey) -> list[TaskStatus]:
        """Return the status of each task of a job.

        Raises
        ------
        EndpointUnreachable
            If no host answers.
        RequestRefused
            If the host refuses.
        """
        return await self._get("GET", _job_path(team, key, "/tasks"), list[TaskStatus])

    async def explain(self, team: Team | None, key: JobKey) -> list[str] | Refusal:
        """Return an explanation of the current state of the tasks of a job."""
        path = _job_path(team, key, "/explain")
        try:
            return (await self._get("GET", path, dict[str, list[str]]))["lines"]
        except RequestRefused as error:
            return Refusal(error.code, error.detail)

    async def endpoints(self) -> list[Announcement]:
        """Return the endpoints of the host's data centre; raises as `tasks` does."""
        return await self._get("GET", "/v1/endpoints", list[Announcement])

    async def status(self) -> Status:
        """Return the host's view of the system; raises as `tasks` does."""
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

    async def _request_answer(
        self, method: str, path: str, body: bytes, wait_s: float
    ) -> Answer | Refusal:
        try:
            timeout_s = ANSWER_TIMEOUT_MARGIN_S + wait_s
            reply = await self._request(method, path, body, timeout_s)
        except EndpointUnreachable as error:
            return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        try:
            if msgspec.json.decode(reply.body, type=_AnswerProbe).state is not None:
                return msgspec.json.decode(reply.body, type=Answer)
        except msgspec.DecodeError:
            pass
        return _decode_refusal(reply)


@dataclasses.dataclass(frozen=True, slots=True)
class _AnswerProbe:
    """The field that only answers have, which distinguishes them from refusals."""

    state: str | None = None


def _decode_refusal(reply: HttpReply) -> Refusal:
    try:
        return msgspec.json.decode(reply.body, type=Refusal)
    except msgspec.DecodeError:
        detail = f"status {reply.status} without a readable body"
        return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)


def _job_path(team: Team | None, key: JobKey, suffix: str = "", query: str = "") -> str:
    queries = [f"team={team}"] if team else []
    if query:
        queries.append(query)
    return f"/v1/jobs/{key}{suffix}?{'&'.join(queries)}"
