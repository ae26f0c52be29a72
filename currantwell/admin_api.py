"""The HTTP interface to operators: presets, quotas, hosts, views and the audit trail.

A read first runs a read barrier, which a majority of hosts must confirm. A host that is
partitioned from the majority replies with its last known state and ``current`` false.
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
        Replica of the agreed state on this host; accepts changes to it.
    authenticator : Authenticator
        Maps request headers to an operator.
    budget : BodyBudget
        Bounds the memory held by request bodies.
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

    async def get_presets(self, request: Request) -> Response:
        """List the presets and which of them is in force."""
        current = await self._check_read(request)
        image = self._control.state.image
        proposed = image.proposed.preset.name if image.proposed else None
        listing = PresetList(
            current,
            self._version(Subject.PRESET),
            image.active.preset.name,
            proposed,
            self._control.preset().name,
            tuple(image.presets[name] for name in sorted(image.presets)),
        )
        return json_reply(200, listing)

    async def get_plan(self, request: Request) -> Response:
        """Return the rules that a preset would change and the version to plan with."""
        current = await self._check_read(request)
        image = self._control.state.image
        name = request.path_params["name"]
        after = image.presets.get(name)
        if after is None:
            return reply(Refusal(ResultCode.NOT_FOUND, f"no preset {name!r}", "name"))
        before = (image.proposed or image.active).preset
        version = self._version(Subject.PRESET)
        changes = _rule_changes(before, after)
        plan = PresetPlan(current, version, before.name, after.name, changes)
        return json_reply(200, plan)

    async def post_preset(self, request: Request) -> Response:
        """Set a preset and wait up to `IN_FORCE_TIMEOUT_S` until it is in force."""
        change, _ = await self._decode_change(request, ChangeRequest)
        result = await self._apply_command(
            SetPreset(change, request.path_params["name"])
        )
        if result.code is ResultCode.ACCEPTED:
            in_force = await self._control.wait_in_force(
                result.version, IN_FORCE_TIMEOUT_S
            )
            code = ResultCode.COMPLETE if in_force else ResultCode.ACCEPTED
            result = msgspec.structs.replace(result, code=code)
        return _encode_change_reply(result)

    async def put_preset(self, request: Request) -> Response:
        """Define a preset."""
        change, body = await self._decode_change(request, PutPresetRequest)
        if body.preset.name != request.path_params["name"]:
            raise InvalidRequest("name", "is not the name in the path")
        return await self._change_response(PutPreset(change, body.preset))

    async def get_quotas(self, request: Request) -> Response:
        """List the quotas."""
        current = await self._check_read(request)
        quotas = self._control.state.image.quotas
        version = self._version(Subject.QUOTA)
        return json_reply(200, QuotaList(current, version, DEFAULT_QUOTA, quotas))

    async def put_quota(self, request: Request) -> Response:
        """Set the quota of a team."""
        change, body = await self._decode_change(request, SetQuotaRequest)
        team = Team(request.path_params["team"])
        return await self._change_response(SetQuota(change, team, body.quota))

    async def get_drained(self, request: Request) -> Response:
        """List the drained endpoints, which get no new work."""
        current = await self._check_read(request)
        drained = tuple(sorted(self._control.state.image.drained))
        version = self._version(Subject.ENDPOINT)
        return json_reply(200, DrainedList(current, version, drained))

    async def post_drain(self, request: Request) -> Response:
        """Drain an endpoint, so that it gets no new work."""
        return await self._drain(request, True)

    async def post_resume(self, request: Request) -> Response:
        """Let a drained endpoint get new work again."""
        return await self._drain(request, False)

    async def get_hosts(self, request: Request) -> Response:
        """List the registered hosts."""
        current = await self._check_read(request)
        hosts = tuple(self._host_entry(host) for host in sorted(self._control.hosts()))
        listing = HostList(current, self._version(Subject.HOST), hosts)
        return json_reply(200, listing)

    async def post_remove(self, request: Request) -> Response:
        """Remove a host permanently."""
        change, _ = await self._decode_change(request, ChangeRequest)
        return await self._change_response(
            RemoveHost(change, HostId(request.path_params["host"]))
        )

    async def get_views(self, request: Request) -> Response:
        """Return the newest view of each data centre."""
        current = await self._check_read(request)
        return json_reply(200, ViewList(current, self._control.state.image.views))

    async def get_audit(self, request: Request) -> Response:
        """Search the audit trail; ``archive=1`` searches this host's whole archive."""
        current = await self._check_read(request)
        query = _query(request)
        if request.query_params.get("archive", "0") == "1":
            entries = await trio.to_thread.run_sync(
                lambda: query.search(self._control.archive.read())
            )
        else:
            entries = query.search(self._control.state.audit.entries)
        return json_reply(200, AuditList(current, tuple(entries)))

    async def get_verified(self, request: Request) -> Response:
        """Verify the hash chain of all audit entries in this host's archive."""
        await self._check_read(request)
        control = self._control
        await control.archive.append_new(control.state.audit)
        head = control.state.audit.head
        digest = head.hash if head else ""
        report = await trio.to_thread.run_sync(
            lambda: verify_chain(control.archive.read(), digest)
        )
        return json_reply(200, report)

    def _operator(self, request: Request) -> Operator:
        operator = self._auth.operator(request.headers)
        if operator is None:
            raise NotAuthorized("only operators may do this")
        return operator

    async def _check_read(self, request: Request) -> bool:
        """Check that an operator asks, then run a read barrier.

        Returns
        -------
        bool
            Whether a majority confirmed that this host's state is current.
        """
        self._operator(request)
        try:
            await self._control.read_barrier(READ_TIMEOUT_S)
        except AgreementLost:
            return False
        return True

    async def _decode_change(
        self, request: Request, kind: type[Body]
    ) -> tuple[ChangeMetadata, Body]:
        operator = self._operator(request)
        async with read_body(request, self._budget, operator) as data:
            try:
                body = msgspec.json.decode(data, type=kind)
            except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
                raise BodyMalformed("body", str(error)) from None
        return ChangeMetadata(body.id, operator, body.reason, body.version), body

    async def _apply_command(self, command: OperatorCommand) -> ChangeReply:
        result = await self._control.change(command)
        return ChangeReply(result.code, result.version, result.detail, result.winner)

    async def _change_response(self, command: OperatorCommand) -> Response:
        result = await self._apply_command(command)
        if result.code is ResultCode.ACCEPTED:
            result = msgspec.structs.replace(result, code=ResultCode.COMPLETE)
        return _encode_change_reply(result)

    async def _drain(self, request: Request, drained: bool) -> Response:
        change, _ = await self._decode_change(request, ChangeRequest)
        endpoint = EndpointId(request.path_params["endpoint"])
        return await self._change_response(DrainEndpoint(change, endpoint, drained))

    def _version(self, subject: Subject) -> int:
        return self._control.state.image.versions[subject.value]

    def _host_entry(self, host: HostId) -> HostEntry:
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


def _encode_change_reply(result: ChangeReply) -> Response:
    return json_reply(http_status(result.code), result)


def _rule_changes(before: Preset, after: Preset) -> tuple[RuleChange, ...]:
    old, new = msgspec.to_builtins(before), msgspec.to_builtins(after)
    return tuple(
        RuleChange(rule, str(old[rule]), str(new[rule]))
        for rule in new
        if rule != "name" and old[rule] != new[rule]
    )


def _query(request: Request) -> AuditQuery:
    parameters = dict(request.query_params)
    parameters.pop("archive", None)
    try:
        return msgspec.convert(parameters, AuditQuery, strict=False)
    except msgspec.ValidationError as error:
        raise InvalidRequest("query", str(error)) from None
