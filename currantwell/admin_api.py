"""The HTTP interface to operators: presets, quotas, hosts, views and the audit trail.

What is read is confirmed by a majority first; a host that is cut off tells what it
knew last, and says so.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import trio
from starlette.requests import Request
from starlette.responses import Response

from .admin_protocol import (
    AuditList,
    ChangeReply,
    ChangeRequest,
    DrainedList,
    HostEntry,
    HostList,
    PresetList,
    PresetPlan,
    PutPresetRequest,
    QuotaList,
    RuleChange,
    SetQuotaRequest,
    ViewList,
)
from .answers import Refusal
from .audit import AuditQuery, verify_chain
from .auth import Authenticator
from .changes import (
    ChangeMetadata,
    DrainEndpoint,
    OperatorCommand,
    PutPreset,
    RemoveHost,
    SetPreset,
    SetQuota,
    Subject,
)
from .codes import ResultCode, http_status
from .control import Control
from .errors import AgreementLost, BodyMalformed, InvalidRequest, NotAuthorized
from .http_body import BodyBudget, read_body
from .http_replies import json_reply, reply
from .ids import EndpointId, HostId, Operator, Team
from .presets import Preset
from .quotas import DEFAULT_QUOTA

__all__ = ["AdminApi", "AdminRoute"]

READ_TIMEOUT_S = 1.0
IN_FORCE_TIMEOUT_S = 4.0
AdminRoute = tuple[str, str, Callable[[Request], Awaitable[Response]]]
Body = TypeVar("Body", bound=ChangeRequest)


class AdminApi:
    """Routes for operators.

    Parameters
    ----------
    control : Control
        The agreed state on this host.
    authenticator : Authenticator
        Knows the operators.
    budget : BodyBudget
        Memory for bodies.
    """

    def __init__(
        self, control: Control, authenticator: Authenticator, budget: BodyBudget
    ) -> None:
        self._control = control
        self._auth = authenticator
        self._budget = budget

    def routes(self) -> list[AdminRoute]:
        """Return method, path and handler of each route."""
        return [
            ("GET", "/v1/admin/presets", self.get_presets),
            ("GET", "/v1/admin/presets/{name}/plan", self.get_plan),
            ("POST", "/v1/admin/presets/{name}/set", self.post_preset),
            ("PUT", "/v1/admin/presets/{name}", self.put_preset),
            ("GET", "/v1/admin/quotas", self.get_quotas),
            ("PUT", "/v1/admin/quotas/{team}", self.put_quota),
            ("GET", "/v1/admin/hosts", self.get_hosts),
            ("POST", "/v1/admin/hosts/{host}/remove", self.post_remove),
            ("GET", "/v1/admin/endpoints", self.get_drained),
            ("POST", "/v1/admin/endpoints/{endpoint}/drain", self.post_drain),
            ("POST", "/v1/admin/endpoints/{endpoint}/resume", self.post_resume),
            ("GET", "/v1/admin/views", self.get_views),
            ("GET", "/v1/admin/audit", self.get_audit),
            ("GET", "/v1/admin/audit/verify", self.get_verified),
        ]

    # Presets.

    async def get_presets(self, request: Request) -> Response:
        """List the presets and say which is in force."""
        current = await self._read(request)
        image = self._control.state.image
        proposed = image.proposed.preset.name if image.proposed else None
        told = PresetList(
            current,
            self._version(Subject.PRESET),
            image.active.preset.name,
            proposed,
            self._control.preset().name,
            tuple(image.presets[name] for name in sorted(image.presets)),
        )
        return json_reply(200, told)

    async def get_plan(self, request: Request) -> Response:
        """Tell what setting a preset would alter, and against which version."""
        current = await self._read(request)
        image = self._control.state.image
        name = request.path_params["name"]
        after = image.presets.get(name)
        if after is None:
            return reply(Refusal(ResultCode.NOT_FOUND, f"no preset {name!r}", "name"))
        before = (image.proposed or image.active).preset
        version = self._version(Subject.PRESET)
        changes = _rule_changes(before, after)
        told = PresetPlan(current, version, before.name, after.name, changes)
        return json_reply(200, told)

    async def post_preset(self, request: Request) -> Response:
        """Put a preset in force, and wait for that."""
        change, _ = await self._change(request, ChangeRequest)
        told = await self._carry_out(SetPreset(change, request.path_params["name"]))
        if told.code is ResultCode.ACCEPTED:
            in_force = await self._control.wait_in_force(
                told.version, IN_FORCE_TIMEOUT_S
            )
            code = ResultCode.COMPLETE if in_force else ResultCode.ACCEPTED
            told = msgspec.structs.replace(told, code=code)
        return _change_reply(told)

    async def put_preset(self, request: Request) -> Response:
        """Define a preset."""
        change, body = await self._change(request, PutPresetRequest)
        if body.preset.name != request.path_params["name"]:
            raise InvalidRequest("name", "is not the name in the path")
        return await self._answer(PutPreset(change, body.preset))

    # Quotas, endpoints and hosts.

    async def get_quotas(self, request: Request) -> Response:
        """List the quotas."""
        current = await self._read(request)
        quotas = self._control.state.image.quotas
        version = self._version(Subject.QUOTA)
        return json_reply(200, QuotaList(current, version, DEFAULT_QUOTA, quotas))

    async def put_quota(self, request: Request) -> Response:
        """Give a team a quota."""
        change, body = await self._change(request, SetQuotaRequest)
        team = Team(request.path_params["team"])
        return await self._answer(SetQuota(change, team, body.quota))

    async def get_drained(self, request: Request) -> Response:
        """List the endpoints that get no new work."""
        current = await self._read(request)
        drained = tuple(sorted(self._control.state.image.drained))
        version = self._version(Subject.ENDPOINT)
        return json_reply(200, DrainedList(current, version, drained))

    async def post_drain(self, request: Request) -> Response:
        """Send an endpoint no new work."""
        return await self._drain(request, True)

    async def post_resume(self, request: Request) -> Response:
        """Send an endpoint work again."""
        return await self._drain(request, False)

    async def get_hosts(self, request: Request) -> Response:
        """List the hosts."""
        current = await self._read(request)
        hosts = tuple(self._host(host) for host in sorted(self._control.hosts()))
        told = HostList(current, self._version(Subject.HOST), hosts)
        return json_reply(200, told)

    async def post_remove(self, request: Request) -> Response:
        """Remove a host for good."""
        change, _ = await self._change(request, ChangeRequest)
        return await self._answer(
            RemoveHost(change, HostId(request.path_params["host"]))
        )

    async def get_views(self, request: Request) -> Response:
        """List the newest view of each data centre."""
        current = await self._read(request)
        return json_reply(200, ViewList(current, self._control.state.image.views))

    # The audit trail.

    async def get_audit(self, request: Request) -> Response:
        """Search the audit trail; ``archive=1`` searches all that this host kept."""
        current = await self._read(request)
        query = _query(request)
        if request.query_params.get("archive", "0") == "1":
            entries = await trio.to_thread.run_sync(
                lambda: query.search(self._control.archive.read())
            )
        else:
            entries = query.search(self._control.state.audit.entries)
        return json_reply(200, AuditList(current, tuple(entries)))

    async def get_verified(self, request: Request) -> Response:
        """Verify the chain of all entries that this host kept."""
        await self._read(request)
        control = self._control
        await control.archive.follow(control.state.audit)
        head = control.state.audit.head
        digest = head.hash if head else ""
        report = await trio.to_thread.run_sync(
            lambda: verify_chain(control.archive.read(), digest)
        )
        return json_reply(200, report)

    # What they share.

    def _operator(self, request: Request) -> Operator:
        operator = self._auth.operator(request.headers)
        if operator is None:
            raise NotAuthorized("only operators may do this")
        return operator

    async def _read(self, request: Request) -> bool:
        """Check who asks; tell whether a majority confirmed this host's state."""
        self._operator(request)
        try:
            await self._control.read_barrier(READ_TIMEOUT_S)
        except AgreementLost:
            return False
        return True

    async def _change(
        self, request: Request, kind: type[Body]
    ) -> tuple[ChangeMetadata, Body]:
        operator = self._operator(request)
        async with read_body(request, self._budget, operator) as data:
            try:
                body = msgspec.json.decode(data, type=kind)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                raise BodyMalformed("body", str(error)) from None
        return ChangeMetadata(body.id, operator, body.reason, body.version), body

    async def _carry_out(self, command: OperatorCommand) -> ChangeReply:
        verdict = await self._control.change(command)
        return ChangeReply(
            verdict.code, verdict.version, verdict.detail, verdict.winner
        )

    async def _answer(self, command: OperatorCommand) -> Response:
        told = await self._carry_out(command)
        if told.code is ResultCode.ACCEPTED:
            told = msgspec.structs.replace(told, code=ResultCode.COMPLETE)
        return _change_reply(told)

    async def _drain(self, request: Request, drained: bool) -> Response:
        change, _ = await self._change(request, ChangeRequest)
        endpoint = EndpointId(request.path_params["endpoint"])
        return await self._answer(DrainEndpoint(change, endpoint, drained))

    def _version(self, subject: Subject) -> int:
        return self._control.state.image.versions[subject.value]

    def _host(self, host: HostId) -> HostEntry:
        control = self._control
        record = control.hosts()[host]
        return HostEntry(
            host,
            record.data_centre,
            record.address,
            control.role(host),
            host == control.leader,
            host in control.suspects(),
        )


def _change_reply(told: ChangeReply) -> Response:
    return json_reply(http_status(told.code), told)


def _rule_changes(before: Preset, after: Preset) -> tuple[RuleChange, ...]:
    old, new = msgspec.to_builtins(before), msgspec.to_builtins(after)
    return tuple(
        RuleChange(rule, str(old[rule]), str(new[rule]))
        for rule in new
        if rule != "name" and old[rule] != new[rule]
    )


def _query(request: Request) -> AuditQuery:
    given = dict(request.query_params)
    given.pop("archive", None)
    try:
        return msgspec.convert(given, AuditQuery, strict=False)
    except msgspec.ValidationError as error:
        raise InvalidRequest("query", str(error)) from None
