"""The high-level API for operators.

A change names itself: sent again after a lost answer, through the same or another
host, it is carried out once, and its first answer comes again.
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
RESENDS = 3
RESEND_PAUSE_S = 0.3


def new_change_id() -> ChangeId:
    """Return an id for a change."""
    return ChangeId(uuid.uuid4().hex)


class OperatorClient(Client):
    """Talks to entry hosts for an operator.

    Every question raises `EndpointUnreachable` if no host answers, and
    `RequestRefused` if the host refuses. Every change returns what became of it;
    `UNKNOWN_NOT_CONFIRMED` if that can't be known yet, in which case the same change
    may be sent again.
    """

    async def presets(self) -> PresetList:
        """Return all presets and which is in force."""
        return await self._get("GET", "/v1/admin/presets", PresetList)

    async def plan_preset(self, name: str) -> PresetPlan:
        """Return what setting a preset would alter."""
        path = f"/v1/admin/presets/{_part(name)}/plan"
        return await self._get("GET", path, PresetPlan)

    async def set_preset(self, name: str, change: ChangeRequest) -> ChangeReply:
        """Put a preset in force."""
        path = f"/v1/admin/presets/{_part(name)}/set"
        return await self._change("POST", path, change)

    async def put_preset(self, preset: Preset, change: ChangeRequest) -> ChangeReply:
        """Define a preset."""
        body = PutPresetRequest(change.id, change.reason, change.version, preset)
        path = f"/v1/admin/presets/{_part(preset.name)}"
        return await self._change("PUT", path, body)

    async def quotas(self) -> QuotaList:
        """Return the quotas that differ from the default."""
        return await self._get("GET", "/v1/admin/quotas", QuotaList)

    async def set_quota(
        self, team: Team, quota: Quota, change: ChangeRequest
    ) -> ChangeReply:
        """Give a team a quota."""
        body = SetQuotaRequest(change.id, change.reason, change.version, quota)
        path = f"/v1/admin/quotas/{_part(team)}"
        return await self._change("PUT", path, body)

    async def hosts(self) -> HostList:
        """Return the registered hosts."""
        return await self._get("GET", "/v1/admin/hosts", HostList)

    async def remove_host(self, host: HostId, change: ChangeRequest) -> ChangeReply:
        """Remove a host for good."""
        path = f"/v1/admin/hosts/{_part(host)}/remove"
        return await self._change("POST", path, change)

    async def drained(self) -> DrainedList:
        """Return the endpoints that get no new work."""
        return await self._get("GET", "/v1/admin/endpoints", DrainedList)

    async def set_drained(
        self, endpoint: EndpointId, drained: bool, change: ChangeRequest
    ) -> ChangeReply:
        """Send an endpoint no new work, or send it work again."""
        action = "drain" if drained else "resume"
        path = f"/v1/admin/endpoints/{_part(endpoint)}/{action}"
        return await self._change("POST", path, change)

    async def views(self) -> ViewList:
        """Return the newest view of each data centre."""
        return await self._get("GET", "/v1/admin/views", ViewList)

    async def audit(self, query: AuditQuery, archive: bool = False) -> AuditList:
        """Search the audit trail, or all that the host kept of it."""
        fields = {k: v for k, v in msgspec.to_builtins(query).items() if v is not None}
        given = urlencode({**fields, "archive": int(archive)})
        return await self._get("GET", f"/v1/admin/audit?{given}", AuditList)

    async def verify_audit(self) -> AuditReport:
        """Have the host verify all that it kept of the audit trail."""
        return await self._get("GET", "/v1/admin/audit/verify", AuditReport)

    async def _change(
        self, method: str, path: str, change: ChangeRequest
    ) -> ChangeReply:
        body = msgspec.json.encode(change)
        told = ChangeReply(ResultCode.UNKNOWN_NOT_CONFIRMED, 0)
        for _ in range(RESENDS):
            told = await self._send(method, path, body)
            if not is_unknown(told.code):
                break
            self._next_host()
            await trio.sleep(RESEND_PAUSE_S)
        return told

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


def _part(name: str) -> str:
    return quote(name, safe="")
