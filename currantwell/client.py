"""The high-level API for callers and operators; the command line uses this alone."""

import dataclasses

import msgspec

from .answers import Answer, Refusal
from .codes import ResultCode
from .endpoint_protocol import Announcement
from .errors import EndpointUnreachable
from .http_client import HttpClient, HttpReply
from .ids import DataCentre, JobKey, Team, home_of, new_key
from .submission import Submission

__all__ = ["Client"]

REQUEST_TIMEOUT_S = 5.0
POLL_WAIT_S = 10.0


class Client:
    """Talks to any entry host.

    Parameters
    ----------
    url : str
        The entry host, or the balancer before them.
    token : str or None
        The caller's token.
    """

    def __init__(self, url: str, token: str | None = None) -> None:
        self._http = HttpClient(url, token=token)
        self._home: DataCentre | None = None

    async def new_key(self) -> JobKey:
        """Return a submission key whose home is the host's data centre.

        The host is asked for its data centre once.

        Raises
        ------
        EndpointUnreachable
            If the host does not answer.
        """
        if self._home is None:
            reply = await self._http.request("POST", "/v1/keys")
            key = JobKey(msgspec.json.decode(reply.body)["key"])
            self._home = home_of(key)
        return new_key(self._home)

    async def submit(
        self, submission: Submission, wait_s: float = 0.0
    ) -> Answer | Refusal:
        """Submit a job; a second call with the same submission finds the first.

        Returns
        -------
        Answer or Refusal
            What the host said; ``UNKNOWN_OWNER_UNREACHABLE`` if it said nothing.
        """
        body = msgspec.json.encode(submission)
        return await self._ask("POST", f"/v1/jobs?wait_s={wait_s}", body, wait_s)

    async def wait(self, team: Team, key: JobKey, wait_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state once the time is up."""
        path = f"/v1/jobs/{key}?team={team}&wait_s={wait_s}"
        return await self._ask("GET", path, b"", wait_s)

    async def run(self, submission: Submission, timeout_s: float) -> Answer | Refusal:
        """Submit a job and wait for its answer, asking again after silence."""
        waited_s = 0.0
        told = await self.submit(submission, min(POLL_WAIT_S, timeout_s))
        while told.code is ResultCode.RUNNING and waited_s < timeout_s:
            waited_s += POLL_WAIT_S
            told = await self.wait(submission.team, submission.key, POLL_WAIT_S)
        return told

    async def cancel(self, team: Team, key: JobKey) -> Answer | Refusal:
        """Cancel a job."""
        return await self._ask("DELETE", f"/v1/jobs/{key}?team={team}", b"", 0.0)

    async def explain(self, team: Team, key: JobKey) -> list[str] | Refusal:
        """Return why the tasks of a job stand where they stand."""
        path = f"/v1/jobs/{key}/explain?team={team}"
        reply = await self._http.request("GET", path, b"", REQUEST_TIMEOUT_S)
        if reply.status != 200:
            return msgspec.json.decode(reply.body, type=Refusal)
        return [str(line) for line in msgspec.json.decode(reply.body)["lines"]]

    async def endpoints(self) -> list[Announcement]:
        """Return the endpoints of the host's data centre."""
        reply = await self._http.request("GET", "/v1/endpoints")
        return msgspec.json.decode(reply.body, type=list[Announcement])

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def _ask(
        self, method: str, path: str, body: bytes, wait_s: float
    ) -> Answer | Refusal:
        try:
            reply = await self._http.request(
                method, path, body, REQUEST_TIMEOUT_S + wait_s
            )
        except EndpointUnreachable as error:
            return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        return _decode(reply)


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """The field by which answers and refusals differ."""

    state: str | None = None


def _decode(reply: HttpReply) -> Answer | Refusal:
    try:
        if msgspec.json.decode(reply.body, type=_Shape).state is None:
            return msgspec.json.decode(reply.body, type=Refusal)
        return msgspec.json.decode(reply.body, type=Answer)
    except msgspec.DecodeError:
        detail = f"status {reply.status} without a readable body"
        return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, detail)
