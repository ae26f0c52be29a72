"""The HTTP interface to callers, endpoints and the balancer."""

from typing import Any

import msgspec
import trio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .answers import Answer, Refusal
from .codes import ResultCode, http_status
from .endpoint_protocol import Announcement
from .errors import InvalidRequest, PeerUnreachable
from .gateway import JobGateway
from .ids import DataCentre, JobKey, Team, new_key
from .router import Router
from .submission import MAX_BODY_BYTES, decode_submission

__all__ = ["HttpApi"]

MAX_WAIT_S = 30.0
BODY_TIMEOUT_S = 10.0
_announcement_decoder = msgspec.json.Decoder(Announcement)


class HttpApi:
    """Routes of an entry host.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre of the host; new keys get it as their home.
    router : Router
        Finds the owners of jobs.
    gateway : JobGateway
        The owner of the jobs of this data centre.
    """

    def __init__(
        self, data_centre: DataCentre, router: Router, gateway: JobGateway
    ) -> None:
        self._data_centre = data_centre
        self._router = router
        self._gateway = gateway
        self.ready = True

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/keys", self.post_key, methods=["POST"]),
                Route("/v1/jobs", self.post_job, methods=["POST"]),
                Route("/v1/jobs/{key}", self.get_job, methods=["GET"]),
                Route("/v1/jobs/{key}", self.delete_job, methods=["DELETE"]),
                Route("/v1/jobs/{key}/explain", self.get_explain, methods=["GET"]),
                Route("/v1/endpoints", self.post_endpoint, methods=["POST"]),
                Route("/v1/endpoints", self.get_endpoints, methods=["GET"]),
                Route("/healthz", self.get_health, methods=["GET"]),
                Route("/readyz", self.get_ready, methods=["GET"]),
            ]
        )

    async def post_key(self, request: Request) -> Response:
        """Make a submission key whose home is this data centre."""
        return _json(200, {"key": new_key(self._data_centre)})

    async def post_job(self, request: Request) -> Response:
        """Accept a job, and wait for its answer if asked to."""
        try:
            submission = decode_submission(await _body(request))
            wait_s = _wait_s(request)
        except InvalidRequest as error:
            return _invalid(error)
        told = await self._router.submit(submission)
        if isinstance(told, Answer) and told.code is ResultCode.RUNNING and wait_s:
            told = await self._router.wait(submission.team, submission.key, wait_s)
        return _reply(told)

    async def get_job(self, request: Request) -> Response:
        """Return the answer of a job, waiting for it if asked to."""
        try:
            wait_s = _wait_s(request)
        except InvalidRequest as error:
            return _invalid(error)
        team, key = _job_names(request)
        return _reply(await self._router.wait(team, key, wait_s))

    async def delete_job(self, request: Request) -> Response:
        """Cancel a job."""
        return _reply(await self._router.cancel(*_job_names(request)))

    async def get_explain(self, request: Request) -> Response:
        """Explain where the tasks of a job stand."""
        told = await self._router.explain(*_job_names(request))
        if isinstance(told, Refusal):
            return _reply(told)
        return _json(200, {"lines": told})

    async def post_endpoint(self, request: Request) -> Response:
        """Take in an endpoint's announcement."""
        try:
            announcement = _announcement_decoder.decode(await _body(request))
        except (InvalidRequest, msgspec.DecodeError) as error:
            return _reply(Refusal(ResultCode.BAD_BODY, str(error)))
        if announcement.data_centre != self._data_centre:
            detail = f"this host serves {self._data_centre}"
            refusal = Refusal(ResultCode.BAD_FIELD, detail, "data_centre")
            return _reply(refusal)
        try:
            told = await self._gateway.announce(announcement)
        except PeerUnreachable as error:
            told = Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        if isinstance(told, Refusal):
            return _reply(told)
        return _json(200, told)

    async def get_endpoints(self, request: Request) -> Response:
        """List the endpoints of this data centre."""
        told = await self._gateway.endpoints()
        if isinstance(told, Refusal):
            return _reply(told)
        return _json(200, told)

    async def get_health(self, request: Request) -> Response:
        """Say that the process serves."""
        return _json(200, {"status": "alive"})

    async def get_ready(self, request: Request) -> Response:
        """Say whether the balancer should send new work here."""
        return _json(200 if self.ready else 503, {"ready": self.ready})


async def _body(request: Request) -> bytes:
    """Return the whole body, bounded in size and time."""
    chunks: list[bytes] = []
    size = 0
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        async for chunk in request.stream():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise InvalidRequest("body", f"is larger than {MAX_BODY_BYTES} bytes")
            chunks.append(chunk)
    if scope.cancelled_caught:
        raise InvalidRequest("body", f"did not arrive within {BODY_TIMEOUT_S} s")
    return b"".join(chunks)


def _wait_s(request: Request) -> float:
    text = request.query_params.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        raise InvalidRequest("wait_s", f"{text!r} is not a number") from None
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise InvalidRequest("wait_s", f"{text} is not between 0 and {MAX_WAIT_S}")
    return wait_s


def _job_names(request: Request) -> tuple[Team, JobKey]:
    team = Team(request.query_params.get("team", ""))
    return team, JobKey(request.path_params["key"])


def _json(status: int, value: Any) -> Response:
    return Response(msgspec.json.encode(value), status, media_type="application/json")


def _reply(told: Answer | Refusal) -> Response:
    return _json(http_status(told.code), told)


def _invalid(error: InvalidRequest) -> Response:
    return _reply(Refusal(ResultCode.BAD_FIELD, error.reason, error.field))
