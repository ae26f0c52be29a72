"""High-level client for operators.

A change carries an id: when it is resent after a lost reply, through the same host or
another one, it is applied once and the first reply is returned again.
"""

import uuid
from urllib.parse import quote, urlencode

import msgspec
import trio

from .admin_protocol import (
    AuditList,
    ChangeReply,
    ChangeRequest,
    DrainedList,
    HostList,
    PresetList,
    PresetPlan,
    PutPresetRequest,
    QuotaList,
    SetQuotaRequest,
    ViewList,
)
from .answers import Refusal
from .audit import AuditQuery, AuditReport
from .client import Client
from .codes import ResultCode, is_unknown
from .errors import EndpointUnreachable
from .ids import ChangeId, EndpointId, HostId, Team
from .presets import Preset
from .quotas import Quota

__all__ = ["OperatorClient", "new_change_id"]

CHANGE_TIMEOUT_S = 8.0
MAX_SENDS = 3
RESEND_PAUSE_S = 0.3


def new_change_id() -> ChangeId:
    """Return a new unique id for a change."""
    return ChangeId(uuid.uuid4().hex)


class OperatorClient(Client):
    """Sends an operator's queries and changes to entry hosts.

    Every query raises `EndpointUnreachable` if no host answers, and `RequestRefused` if
    the host refuses it. Every change returns its result, which is
    ``UNKNOWN_NOT_CONFIRMED`` while the outcome is unknown; the same change may then be
    sent again.
    """

    async def presets(self) -> PresetList:
        """Return all presets and which of them is in force."""
        return await self._get("GET", "/v1/admin/presets", PresetList)

    async def plan_preset(self, name: str) -> PresetPlan:
        """Return the rules that setting a preset would change."""
        path = f"/v1/admin/presets/{_quote_segment(name)}/plan"
        return await self._get("GET", path, PresetPlan)

    async def set_preset(self, name: str, change: ChangeRequest) -> ChangeReply:
        """Put a preset in force."""
        path = f"/v1/admin/presets/{_quote_segment(name)}/set"
        return await self._change("POST", path, change)

    async def put_preset(self, preset: Preset, change: ChangeRequest) -> ChangeReply:
        """Define a preset."""
        body = PutPresetRequest(change.id, change.reason, change.version, preset)
        path = f"/v1/admin/presets/{_quote_segment(preset.name)}"
        return await self._change("PUT", path, body)

    async def quotas(self) -> QuotaList:
        """Return the quotas that differ from the default."""
        return await self._get("GET", "/v1/admin/quotas", QuotaList)

    async def set_quota(
        self, team: Team, quota: Quota, change: ChangeRequest
    ) -> ChangeReply:
        """Set the quota of a team."""
        body = SetQuotaRequest(change.id, change.reason, change.version, quota)
        path = f"/v1/admin/quotas/{_quote_segment(team)}"
        return await self._change("PUT", path, body)

    async def hosts(self) -> HostList:
        """Return the registered hosts."""
        return await self._get("GET", "/v1/admin/hosts", HostList)

    async def remove_host(self, host: HostId, change: ChangeRequest) -> ChangeReply:
        """Remove a host permanently."""
        path = f"/v1/admin/hosts/{_quote_segment(host)}/remove"
        return await self._change("POST", path, change)

    async def drained(self) -> DrainedList:
        """Return the drained endpoints, which get no new work."""
        return await self._get("GET", "/v1/admin/endpoints", DrainedList)

    async def set_drained(
        self, endpoint: EndpointId, drained: bool, change: ChangeRequest
    ) -> ChangeReply:
        """Drain an endpoint, or let it get new work again."""
        action = "drain" if drained else "resume"
        path = f"/v1/admin/endpoints/{_quote_segment(endpoint)}/{action}"
        return await self._change("POST", path, change)

    async def views(self) -> ViewList:
        """Return the newest view of each data centre."""
        return await self._get("GET", "/v1/admin/views", ViewList)

    async def audit(self, query: AuditQuery, archive: bool = False) -> AuditList:
        """Search the audit trail, or the host's whole archive of it."""
        fields = {k: v for k, v in msgspec.to_builtins(query).items() if v is not None}
        query_string = urlencode({**fields, "archive": int(archive)})
        return await self._get("GET", f"/v1/admin/audit?{query_string}", AuditList)

    async def verify_audit(self) -> AuditReport:
        """Request the host to verify its whole archive of the audit trail."""
        return await self._get("GET", "/v1/admin/audit/verify", AuditReport)

    async def _change(
        self, method: str, path: str, change: ChangeRequest
    ) -> ChangeReply:
        body = msgspec.json.encode(change)
        result = ChangeReply(ResultCode.UNKNOWN_NOT_CONFIRMED, 0)
        for _ in range(MAX_SENDS):
            result = await self._send(method, path, body)
            if not is_unknown(result.code):
                break
            self._next_host()
            await trio.sleep(RESEND_PAUSE_S)
        return result

    async def _send(self, method: str, path: str, body: bytes) -> ChangeReply:
        try:
            reply = await self._request(method, path, body, CHANGE_TIMEOUT_S)
        except EndpointUnreachable as error:
            return ChangeReply(ResultCode.UNKNOWN_NOT_CONFIRMED, 0, str(error))
        try:
            return msgspec.json.decode(reply.body, type=ChangeReply)
        except msgspec.DecodeError:
            refusal = msgspec.json.decode(reply.body, type=Refusal)
            field = f"{refusal.field}: " if refusal.field else ""
            return ChangeReply(refusal.code, 0, field + refusal.detail)


def _quote_segment(name: str) -> str:
    return quote(name, safe="")
