"""The HTTP interface to callers, endpoints and the balancer.

Errors are returned as a `Refusal` with a numbered result code; a traceback is never
sent to the client.
"""

import dataclasses
import math
from typing import Any

import msgspec
import trio
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .answers import Answer, Refusal, single_request_answer
from .auth import Authenticator, OpenAuthenticator
from .codes import ResultCode
from .endpoint_protocol import Announcement, check_announcement
from .errors import BodyMalformed, InvalidRequest, NotAuthorized
from .gateway import JobGateway
from .http_body import BodyBudget, read_body
from .http_replies import Guard, Handler, json_reply, no_route, reply, text_reply
from .ids import (
    DataCentre,
    JobKey,
    Operator,
    Team,
    check_name,
    new_key,
    owning_data_centre,
)
from .metrics import LoadSource, Metrics, NoLoad
from .router import Router
from .status import StatusSource
from .status_page import render_status
from .submission import Submission, decode_single_request, decode_submission

__all__ = ["HttpApi", "HttpParts"]

MAX_WAIT_S = 30.0
HTML_TYPE = "text/html; charset=utf-8"
PROMETHEUS_TYPE = "text/plain; version=0.0.4"
_announcement_decoder = msgspec.json.Decoder(Announcement)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpParts:
    """Dependencies of the HTTP interface other than the router and the gateway.

    Parameters
    ----------
    authenticator : Authenticator
        Maps request headers to a team, an operator or an endpoint.
    budget : BodyBudget
        Bounds the memory held by bodies of callers' requests.
    metrics : Metrics
        Counts refusals and renders the text of ``/metrics``.
    load : LoadSource
        Load of this host, for ``/metrics``.
    status : StatusSource or None
        State of the system, for the status routes; None if this host has none.
    routes : tuple
        Method, path and handler of each additional route.
    """

    authenticator: Authenticator = dataclasses.field(default_factory=OpenAuthenticator)
    budget: BodyBudget = dataclasses.field(default_factory=BodyBudget)
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
    load: LoadSource = dataclasses.field(default_factory=NoLoad)
    status: StatusSource | None = None
    routes: tuple[tuple[str, str, Handler], ...] = ()


class HttpApi:
    """Routes of an entry host.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre of the host and the home of the keys that it creates.
    router : Router
        Sends each call about a job to the dispatcher that owns the job.
    gateway : JobGateway
        Dispatcher of this data centre; receives announcements and lists endpoints.
    parts : HttpParts or None
        Further dependencies; None for the defaults, which need no tokens.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        router: Router,
        gateway: JobGateway,
        parts: HttpParts | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._router = router
        self._gateway = gateway
        self._parts = parts or HttpParts()
        self._auth = self._parts.authenticator
        self._endpoint_budget = BodyBudget()
        self.ready = True
        self._stop_s = math.inf
        self._wait_scopes: set[trio.CancelScope] = set()

    def end_waits_by(self, stop_s: float) -> None:
        """Reply by a time to all callers that wait for an answer.

        Those whose job runs on then get its state.

        Parameters
        ----------
        stop_s : float
            The time, on the runtime's clock.
        """
        self._stop_s = stop_s
        for scope in self._wait_scopes:
            scope.deadline = stop_s

    def app(self) -> Starlette:
        """Return the ASGI application."""
        guard = Guard(self._parts.metrics)
        routes = [
            ("POST", "/v1/keys", self.post_key),
            ("POST", "/v1/requests", self.post_request),
            ("POST", "/v1/jobs", self.post_job),
            ("GET", "/v1/jobs/{key}", self.get_job),
            ("DELETE", "/v1/jobs/{key}", self.delete_job),
            ("GET", "/v1/jobs/{key}/tasks", self.get_tasks),
            ("GET", "/v1/jobs/{key}/explain", self.get_explain),
            ("POST", "/v1/endpoints", self.post_endpoint),
            ("GET", "/v1/endpoints", self.get_endpoints),
            ("GET", "/v1/status", self.get_status),
            ("GET", "/status", self.get_status_page),
            ("GET", "/metrics", self.get_metrics),
            ("GET", "/healthz", self.get_health),
            ("GET", "/readyz", self.get_ready),
            *self._parts.routes,
        ]
        return Starlette(
            routes=[
                Route(path, guard.wrap(handler), methods=[method])
                for method, path, handler in routes
            ],
            exception_handlers={HTTPException: no_route},
        )

    async def post_key(self, request: Request) -> Response:
        """Create a submission key whose home is this data centre."""
        self._caller(request)
        return json_reply(200, {"key": new_key(self._data_centre)})

    async def post_job(self, request: Request) -> Response:
        """Accept a job and wait up to ``wait_s`` seconds for its answer."""
        async with self._body(request) as body:
            submission = decode_submission(body)
        return reply(await self._submit(request, submission))

    async def post_request(self, request: Request) -> Response:
        """Accept a single request and wait up to ``wait_s`` seconds for its answer."""
        async with self._body(request) as body:
            submission = decode_single_request(body)
        result = await self._submit(request, submission)
        return reply(
            single_request_answer(result) if isinstance(result, Answer) else result
        )

    async def get_job(self, request: Request) -> Response:
        """Return the answer of a job, waiting up to ``wait_s`` seconds for it."""
        wait_s = _wait_s(request)
        team, key = self._job_identity(request)
        return reply(await self._wait(team, key, wait_s))

    async def delete_job(self, request: Request) -> Response:
        """Cancel a job."""
        return reply(await self._router.cancel(*self._job_identity(request)))

    async def get_tasks(self, request: Request) -> Response:
        """List the tasks of a job."""
        tasks = await self._router.tasks(*self._job_identity(request))
        return reply(tasks) if isinstance(tasks, Refusal) else json_reply(200, tasks)

    async def get_explain(self, request: Request) -> Response:
        """Explain the current state of the tasks of a job."""
        lines = await self._router.explain(*self._job_identity(request))
        if isinstance(lines, Refusal):
            return reply(lines)
        return json_reply(200, {"lines": lines})

    async def post_endpoint(self, request: Request) -> Response:
        """Record an endpoint's announcement."""
        if not self._auth.endpoint(request.headers):
            raise NotAuthorized("endpoints announce themselves with a token")
        async with read_body(request, self._endpoint_budget, "endpoints") as body:
            try:
                announcement = _announcement_decoder.decode(body)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                raise BodyMalformed("body", str(error)) from None
        check_announcement(announcement)
        if announcement.data_centre != self._data_centre:
            detail = f"this host serves {self._data_centre}"
            raise InvalidRequest("data_centre", detail)
        result = await self._gateway.announce(announcement)
        return reply(result) if isinstance(result, Refusal) else json_reply(200, result)

    async def get_endpoints(self, request: Request) -> Response:
        """List the endpoints of this data centre."""
        self._operator(request)
        result = await self._gateway.endpoints()
        return reply(result) if isinstance(result, Refusal) else json_reply(200, result)

    async def get_status(self, request: Request) -> Response:
        """Return the state of the system as JSON."""
        self._operator(request)
        if self._parts.status is None:
            return reply(Refusal(ResultCode.NOT_FOUND, "this host keeps no status"))
        return json_reply(200, await self._parts.status.status())

    async def get_status_page(self, request: Request) -> Response:
        """Return the state of the system as an HTML page."""
        if self._auth.operator(request.headers) is None:
            headers = {"www-authenticate": 'Basic realm="operator token"'}
            return Response("An operator's token, please.", 401, headers)
        if self._parts.status is None:
            return reply(Refusal(ResultCode.NOT_FOUND, "this host keeps no status"))
        return text_reply(render_status(await self._parts.status.status()), HTML_TYPE)

    async def get_metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        load = self._parts.load.load()
        return text_reply(self._parts.metrics.text(load), PROMETHEUS_TYPE)

    async def get_health(self, request: Request) -> Response:
        """Liveness probe: always 200 while the process serves requests."""
        return json_reply(200, {"status": "alive"})

    async def get_ready(self, request: Request) -> Response:
        """Readiness probe: 503 when the balancer should send no new work here."""
        return json_reply(200 if self.ready else 503, {"ready": self.ready})

    async def _submit(
        self, request: Request, submission: Submission
    ) -> Answer | Refusal:
        wait_s = _wait_s(request)
        self._team(request, submission.team)
        result = await self._router.submit(submission)
        if isinstance(result, Answer) and result.code is ResultCode.RUNNING and wait_s:
            result = await self._wait(submission.team, submission.key, wait_s)
        return result

    async def _wait(self, team: Team, key: JobKey, wait_s: float) -> Answer | Refusal:
        """Wait for the answer of a job, but not beyond the end of this host."""
        result: Answer | Refusal | None = None
        scope = trio.CancelScope(deadline=self._stop_s)
        self._wait_scopes.add(scope)
        try:
            with scope:
                result = await self._router.wait(team, key, wait_s)
        finally:
            self._wait_scopes.discard(scope)
        return result or await self._router.wait(team, key, 0.0)

    def _body(self, request: Request) -> Any:
        return read_body(request, self._parts.budget, self._caller(request))

    def _caller(self, request: Request) -> str:
        """Return the team or address whose share of the body budget is charged."""
        if not self._auth.is_authenticated(request.headers):
            raise NotAuthorized("the request carries no known token")
        address = request.client.host if request.client else ""
        return self._auth.team(request.headers, None) or address

    def _team(self, request: Request, claimed: Team | None) -> Team:
        team = self._auth.team(request.headers, claimed)
        if team is None:
            raise NotAuthorized("neither a team nor its token was given")
        return team

    def _operator(self, request: Request) -> Operator:
        operator = self._auth.operator(request.headers)
        if operator is None:
            raise NotAuthorized("only operators may do this")
        return operator

    def _job_identity(self, request: Request) -> tuple[Team, JobKey]:
        team_name = request.query_params.get("team")
        if team_name is not None:
            check_name("team", team_name)
        key = JobKey(request.path_params["key"])
        owning_data_centre(key)
        return self._team(request, Team(team_name) if team_name else None), key


def _wait_s(request: Request) -> float:
    text = request.query_params.get("wait_s", "0")
    try:
        wait_s = float(text)
    except ValueError:
        raise InvalidRequest("wait_s", "is not a number") from None
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise InvalidRequest("wait_s", f"is not between 0 and {MAX_WAIT_S}")
    return wait_s
