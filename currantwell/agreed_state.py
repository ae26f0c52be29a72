"""State machine of the agreement.

It holds presets, quotas, hosts, views, drained endpoints and the audit trail.

Invariants: the state depends only on the commands and their order; at most one preset
is active, and it does not change between its activation and the next one; while another
preset is proposed, no host that has applied the proposal follows the active one; an
accepted change is undone only by a later accepted change.

A change that is sent again gets the result of its first execution. The newest
`MAX_REMEMBERED_CHANGES` results are kept. An older change names an old version, since
its first execution made a newer one, and is refused as a conflict; so no change is
executed twice.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from .audit import AuditEntry, AuditTrail
from .changes import (
    ActivatePreset,
    ChangeMetadata,
    Command,
    CommandResult,
    DrainEndpoint,
    OperatorCommand,
    ProposeView,
    PutPreset,
    RegisterHost,
    RemoveHost,
    SetPreset,
    SetQuota,
    Subject,
    Winner,
    decode_command,
    digest_of_command,
)
from .codes import ResultCode
from .ids import ChangeId, DataCentre, HostId, Team
from .quotas import DEFAULT_QUOTA, Quota
from .state_image import (
    BUILT_IN_PRESETS,
    HostRecord,
    RecordedChange,
    StateImage,
    VersionedPreset,
)
from .view_rules import is_valid_next_view, view_without
from .views import View

__all__ = ["AgreedState"]

MAX_REMEMBERED_CHANGES = 4_096


class _Refused(Exception):
    """Raised for a change that the state does not allow."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code


class _AuditEffect(msgspec.Struct, frozen=True):
    """Values before and after a change, for the audit trail."""

    subject: str
    before: str
    after: str


class _AuditContext(msgspec.Struct, frozen=True):
    """Author, reason and outcome of a command, for the audit trail."""

    kind: str
    author: str
    reason: str
    unix_s: float
    outcome: ResultCode = ResultCode.ACCEPTED
    change: ChangeId = ChangeId("")


class AgreedState:
    """The `StateMachine` that all hosts share.

    Parameters
    ----------
    on_change : callable or None
        Called after each command and each restored snapshot.
    """

    def __init__(self, on_change: Callable[[], None] | None = None) -> None:
        self.image = StateImage()
        self.audit = AuditTrail()
        self.on_change = on_change or (lambda: None)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return its encoded `CommandResult`."""
        self.image.index = index
        try:
            result = self._apply(decode_command(command))
        except msgspec.DecodeError as error:
            result = CommandResult(ResultCode.BAD_BODY, detail=str(error))
        self.on_change()
        return msgspec.msgpack.encode(result)

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""
        self.image.audit = self.audit.entries
        return msgspec.msgpack.encode(self.image)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.image = msgspec.msgpack.decode(data, type=StateImage)
        self.audit = AuditTrail(self.image.audit)
        self.on_change()

    def quota(self, team: Team) -> Quota:
        """Return the quota of a team."""
        return self.image.quotas.get(team, DEFAULT_QUOTA)

    @property
    def proposed_version(self) -> int:
        """Version of the proposed preset, 0 if there is none."""
        return self.image.proposed.version if self.image.proposed else 0

    def data_centres(self) -> list[DataCentre]:
        """Return every data centre that has a host."""
        return sorted({r.data_centre for r in self.image.hosts.values()})

    def hosts_of(self, data_centre: DataCentre) -> list[HostId]:
        """Return the hosts that registered in a data centre."""
        hosts = self.image.hosts.items()
        return [host for host, record in hosts if record.data_centre == data_centre]

    def _apply(self, command: Command) -> CommandResult:
        match command:
            case ActivatePreset():
                return self._activate_preset(command)
            case RegisterHost():
                return self._register_host(command)
            case ProposeView():
                return self._propose_view(command)
            case _:
                return self._apply_operator_command(command)

    # Changes made by operators.

    def _apply_operator_command(self, command: OperatorCommand) -> CommandResult:
        change = command.change
        digest = digest_of_command(command)
        earlier = self.image.remembered.get(change.id)
        if earlier is not None:
            if earlier.digest == digest:
                return earlier.verdict
            return CommandResult(
                ResultCode.KEY_REUSED, detail="the id names another change"
            )
        subject = _SUBJECTS[type(command)]
        version = self.image.versions[subject.value]
        result = self._check_version(change, subject, version)
        effect = _AuditEffect(_subject_name(command), "", _requested_values(command))
        if result is None:
            try:
                effect = self._execute(command, version + 1)
            except _Refused as refusal:
                winner = self.image.winners.get(subject.value)
                if refusal.code is not ResultCode.VERSION_CONFLICT:
                    winner = None
                result = CommandResult(refusal.code, version, str(refusal), winner)
        if result is None:
            result = self._accept(change, subject, version + 1)
        self._remember(change.id, RecordedChange(digest, result))
        context = _audit_context(command)
        self._add_audit_entry(
            msgspec.structs.replace(context, outcome=result.code), effect
        )
        return result

    def _check_version(
        self, change: ChangeMetadata, subject: Subject, version: int
    ) -> CommandResult | None:
        if change.version == version:
            return None
        winner = self.image.winners.get(subject.value)
        detail = f"made against version {change.version}, the newest is {version}"
        return CommandResult(ResultCode.VERSION_CONFLICT, version, detail, winner)

    def _accept(
        self, change: ChangeMetadata, subject: Subject, version: int
    ) -> CommandResult:
        self.image.versions[subject.value] = version
        self.image.winners[subject.value] = Winner(
            change.id, change.author, change.reason, version, change.unix_s
        )
        return CommandResult(ResultCode.ACCEPTED, version)

    def _remember(self, change: ChangeId, remembered: RecordedChange) -> None:
        kept = self.image.remembered
        kept[change] = remembered
        while len(kept) > MAX_REMEMBERED_CHANGES:
            del kept[next(iter(kept))]

    def _execute(self, command: OperatorCommand, version: int) -> _AuditEffect:
        match command:
            case SetPreset():
                return self._set_preset(command, version)
            case PutPreset():
                return self._put_preset(command)
            case SetQuota():
                before = _to_json(self.quota(command.team))
                self.image.quotas[command.team] = command.quota
                return _AuditEffect(command.team, before, _to_json(command.quota))
            case DrainEndpoint():
                return self._drain_endpoint(command)
            case RemoveHost():
                return self._remove_host(command)

    def _set_preset(self, command: SetPreset, version: int) -> _AuditEffect:
        if self.image.proposed is not None:
            name = self.image.proposed.preset.name
            raise _Refused(
                ResultCode.VERSION_CONFLICT, f"the change to {name} is taking effect"
            )
        preset = self.image.presets.get(command.name)
        if preset is None:
            raise _Refused(ResultCode.NOT_FOUND, f"no preset {command.name!r}")
        self.image.proposed = VersionedPreset(version, preset)
        before = _to_json(self.image.active.preset)
        return _AuditEffect(command.name, before, _to_json(preset))

    def _put_preset(self, command: PutPreset) -> _AuditEffect:
        name = command.preset.name
        protected = [self.image.active, self.image.proposed]
        if any(item is not None and item.preset.name == name for item in protected):
            detail = f"{name} is in force; put it under another name and set that"
            raise _Refused(ResultCode.BAD_FIELD, detail)
        if any(name == preset.name for preset in BUILT_IN_PRESETS):
            raise _Refused(ResultCode.BAD_FIELD, f"{name} is built in")
        before = self.image.presets.get(name)
        self.image.presets[name] = command.preset
        return _AuditEffect(name, _to_json(before), _to_json(command.preset))

    def _drain_endpoint(self, command: DrainEndpoint) -> _AuditEffect:
        before = command.endpoint in self.image.drained
        if command.drained:
            self.image.drained.add(command.endpoint)
        else:
            self.image.drained.discard(command.endpoint)
        return _AuditEffect(
            command.endpoint, _drain_text(before), _drain_text(command.drained)
        )

    def _remove_host(self, command: RemoveHost) -> _AuditEffect:
        record = self.image.hosts.get(command.host)
        if record is None:
            raise _Refused(ResultCode.NOT_FOUND, f"no host {command.host!r}")
        view = self.image.views.get(record.data_centre)
        if view is not None and command.host in (view.primary, view.backup):
            next_view = view_without(view, command.host)
            if next_view is None:
                detail = f"{command.host} alone holds the jobs of {view.data_centre}"
                raise _Refused(ResultCode.BAD_FIELD, detail)
            self._change_view(next_view, _audit_context(command))
        del self.image.hosts[command.host]
        self.image.removed[command.host] = record.disk
        self.image.unsettled_removal = True
        return _AuditEffect(command.host, _to_json(record), "removed")

    # Commands from hosts.

    def _activate_preset(self, command: ActivatePreset) -> CommandResult:
        proposed = self.image.proposed
        if proposed is None or proposed.version != command.version:
            code = ResultCode.VERSION_CONFLICT
            return CommandResult(code, self.image.active.version)
        before = self.image.active.preset.name
        self.image.active, self.image.proposed = proposed, None
        self.image.unsettled_removal = False
        context = _AuditContext(
            "activate_preset", command.author, command.reason, command.unix_s
        )
        self._add_audit_entry(
            context, _AuditEffect("preset", before, proposed.preset.name)
        )
        return CommandResult(ResultCode.ACCEPTED, command.version)

    def _register_host(self, command: RegisterHost) -> CommandResult:
        if self.image.removed.get(command.host) == command.disk:
            return CommandResult(
                ResultCode.NOT_AUTHORIZED, detail="the host was removed"
            )
        before = self.image.hosts.get(command.host)
        record = HostRecord(
            command.data_centre, command.address, command.disk, command.copies
        )
        if record == before:
            return CommandResult(ResultCode.ACCEPTED)
        self.image.hosts[command.host] = record
        self.image.removed.pop(command.host, None)
        context = _AuditContext(
            "register_host", command.host, "registered", command.unix_s
        )
        self._add_audit_entry(
            context, _AuditEffect(command.host, _to_json(before), _to_json(record))
        )
        if before is not None and before.disk != command.disk:
            self.image.unsettled_removal = True
            self._handle_lost_disk(command, before.data_centre)
        return CommandResult(ResultCode.ACCEPTED)

    def _handle_lost_disk(self, command: RegisterHost, data_centre: DataCentre) -> None:
        """Remove a host that restarted with an empty disk from its view."""
        view = self.image.views.get(data_centre)
        if view is None or command.host not in (view.primary, view.backup):
            return
        next_view = view_without(view, command.host)
        if next_view is not None:
            reason = f"{command.host} came back without its disk"
            context = _AuditContext("view", command.host, reason, command.unix_s)
            self._change_view(next_view, context)

    def _propose_view(self, command: ProposeView) -> CommandResult:
        view = command.view
        newest = self.image.views.get(view.data_centre)
        if view == newest:
            return CommandResult(ResultCode.ACCEPTED, view.number)
        first = newest is None
        hosts = self.hosts_of(view.data_centre) if first else self.image.hosts
        if not is_valid_next_view(newest, view, hosts):
            number = newest.number if newest else 0
            return CommandResult(ResultCode.VERSION_CONFLICT, number)
        context = _AuditContext("view", command.author, command.reason, command.unix_s)
        self._change_view(view, context)
        return CommandResult(ResultCode.ACCEPTED, view.number)

    def _change_view(self, next_view: View, context: "_AuditContext") -> None:
        before = self.image.views.get(next_view.data_centre)
        self.image.views[next_view.data_centre] = next_view
        effect = _AuditEffect(
            next_view.data_centre, _to_json(before), _to_json(next_view)
        )
        self._add_audit_entry(msgspec.structs.replace(context, kind="view"), effect)

    def _add_audit_entry(self, context: "_AuditContext", effect: _AuditEffect) -> None:
        entry = AuditEntry(
            number=0,
            unix_s=context.unix_s,
            author=context.author,
            kind=context.kind,
            subject=effect.subject,
            before=effect.before,
            after=effect.after,
            reason=context.reason,
            outcome=context.outcome,
            change=context.change,
        )
        self.audit.add(entry)


_SUBJECTS: dict[type[OperatorCommand], Subject] = {
    SetPreset: Subject.PRESET,
    PutPreset: Subject.PRESET,
    SetQuota: Subject.QUOTA,
    DrainEndpoint: Subject.ENDPOINT,
    RemoveHost: Subject.HOST,
}


def _audit_context(command: OperatorCommand) -> _AuditContext:
    change = command.change
    kind = str(command.__struct_config__.tag)
    return _AuditContext(
        kind, change.author, change.reason, change.unix_s, change=change.id
    )


def _subject_name(command: OperatorCommand) -> str:
    match command:
        case SetPreset():
            return command.name
        case PutPreset():
            return command.preset.name
        case SetQuota():
            return command.team
        case DrainEndpoint():
            return command.endpoint
        case RemoveHost():
            return command.host


def _requested_values(command: OperatorCommand) -> str:
    fields: dict[str, Any] = msgspec.to_builtins(command)
    return _to_json({name: fields[name] for name in fields if name != "change"})


def _drain_text(drained: bool) -> str:
    return "drained" if drained else "in use"


def _to_json(value: Any) -> str:
    """Return a value as JSON for the audit trail, or an empty text for None."""
    return "" if value is None else msgspec.json.encode(value).decode()
