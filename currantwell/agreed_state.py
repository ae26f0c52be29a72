"""The agreed state: presets, quotas, hosts, views, drained endpoints, audit trail.

Invariants: the state depends on the commands and their order alone; at most one
preset is active, and it stays the same from its activation until the next; while
another one is proposed, no host that knows of the proposal acts by the active one;
an accepted change is undone by a later accepted change only.

A resend of a change gets the first verdict again. The newest `REMEMBERED_CHANGES`
verdicts are kept; a resend that is older names an old version, since its first
sending made a newer one, and is refused as a conflict: never carried out twice.
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
from .state_image import BUILT_IN, HostRecord, Remembered, StateImage, VersionedPreset
from .view_rules import is_valid_next_view, view_without
from .views import View

__all__ = ["AgreedState"]

REMEMBERED_CHANGES = 4_096


class _Refused(Exception):
    """A change that the state does not allow."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code


class _Effect(msgspec.Struct, frozen=True):
    """What a change alters, for the audit trail."""

    subject: str
    before: str
    after: str


class _Note(msgspec.Struct, frozen=True):
    """Who acts, and why, for the audit trail."""

    kind: str
    author: str
    reason: str
    unix_s: float
    outcome: ResultCode = ResultCode.ACCEPTED
    change: ChangeId = ChangeId("")


class AgreedState:
    """The state machine of the agreement.

    Parameters
    ----------
    changed : callable or None
        Called after each command and each restored snapshot.
    """

    def __init__(self, changed: Callable[[], None] | None = None) -> None:
        self.image = StateImage()
        self.audit = AuditTrail()
        self.on_change = changed or (lambda: None)

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a command and return its verdict, encoded."""
        self.image.index = index
        try:
            verdict = self._apply(decode_command(command))
        except msgspec.DecodeError as error:
            verdict = CommandResult(ResultCode.BAD_BODY, detail=str(error))
        self.on_change()
        return msgspec.msgpack.encode(verdict)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        self.image.audit = self.audit.entries
        return msgspec.msgpack.encode(self.image)

    def restore(self, data: bytes) -> None:
        """Put the state of a snapshot in the place of this one."""
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
                return self._activate(command)
            case RegisterHost():
                return self._register(command)
            case ProposeView():
                return self._propose_view(command)
            case _:
                return self._judge(command)

    # Changes of operators.

    def _judge(self, command: OperatorCommand) -> CommandResult:
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
        verdict = self._conflict(change, subject, version)
        effect = _Effect(_name_of(command), "", _asked(command))
        if verdict is None:
            try:
                effect = self._carry_out(command, version + 1)
            except _Refused as refused:
                winner = self.image.winners.get(subject.value)
                if refused.code is not ResultCode.VERSION_CONFLICT:
                    winner = None
                verdict = CommandResult(refused.code, version, str(refused), winner)
        if verdict is None:
            verdict = self._accept(change, subject, version + 1)
        self._remember(change.id, Remembered(digest, verdict))
        note = _note_of(command)
        self._record(msgspec.structs.replace(note, outcome=verdict.code), effect)
        return verdict

    def _conflict(
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

    def _remember(self, change: ChangeId, remembered: Remembered) -> None:
        kept = self.image.remembered
        kept[change] = remembered
        while len(kept) > REMEMBERED_CHANGES:
            del kept[next(iter(kept))]

    def _carry_out(self, command: OperatorCommand, version: int) -> _Effect:
        match command:
            case SetPreset():
                return self._set_preset(command, version)
            case PutPreset():
                return self._put_preset(command)
            case SetQuota():
                before = _text(self.quota(command.team))
                self.image.quotas[command.team] = command.quota
                return _Effect(command.team, before, _text(command.quota))
            case DrainEndpoint():
                return self._drain(command)
            case RemoveHost():
                return self._remove_host(command)

    def _set_preset(self, command: SetPreset, version: int) -> _Effect:
        if self.image.proposed is not None:
            name = self.image.proposed.preset.name
            raise _Refused(
                ResultCode.VERSION_CONFLICT, f"the change to {name} is taking effect"
            )
        preset = self.image.presets.get(command.name)
        if preset is None:
            raise _Refused(ResultCode.NOT_FOUND, f"no preset {command.name!r}")
        self.image.proposed = VersionedPreset(version, preset)
        before = _text(self.image.active.preset)
        return _Effect(command.name, before, _text(preset))

    def _put_preset(self, command: PutPreset) -> _Effect:
        name = command.preset.name
        used = [self.image.active, self.image.proposed]
        if any(item is not None and item.preset.name == name for item in used):
            detail = f"{name} is in force; put it under another name and set that"
            raise _Refused(ResultCode.BAD_FIELD, detail)
        if any(name == preset.name for preset in BUILT_IN):
            raise _Refused(ResultCode.BAD_FIELD, f"{name} is built in")
        before = self.image.presets.get(name)
        self.image.presets[name] = command.preset
        return _Effect(name, _text(before), _text(command.preset))

    def _drain(self, command: DrainEndpoint) -> _Effect:
        before = command.endpoint in self.image.drained
        if command.drained:
            self.image.drained.add(command.endpoint)
        else:
            self.image.drained.discard(command.endpoint)
        return _Effect(command.endpoint, _drained(before), _drained(command.drained))

    def _remove_host(self, command: RemoveHost) -> _Effect:
        record = self.image.hosts.get(command.host)
        if record is None:
            raise _Refused(ResultCode.NOT_FOUND, f"no host {command.host!r}")
        view = self.image.views.get(record.data_centre)
        if view is not None and command.host in (view.primary, view.backup):
            fresh = view_without(view, command.host)
            if fresh is None:
                detail = f"{command.host} alone holds the jobs of {view.data_centre}"
                raise _Refused(ResultCode.BAD_FIELD, detail)
            self._change_view(fresh, _note_of(command))
        del self.image.hosts[command.host]
        self.image.removed[command.host] = record.disk
        self.image.unsettled_removal = True
        return _Effect(command.host, _text(record), "removed")

    # Commands of hosts.

    def _activate(self, command: ActivatePreset) -> CommandResult:
        proposed = self.image.proposed
        if proposed is None or proposed.version != command.version:
            code = ResultCode.VERSION_CONFLICT
            return CommandResult(code, self.image.active.version)
        before = self.image.active.preset.name
        self.image.active, self.image.proposed = proposed, None
        self.image.unsettled_removal = False
        note = _Note("activate_preset", command.author, command.reason, command.unix_s)
        self._record(note, _Effect("preset", before, proposed.preset.name))
        return CommandResult(ResultCode.ACCEPTED, command.version)

    def _register(self, command: RegisterHost) -> CommandResult:
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
        note = _Note("register_host", command.host, "registered", command.unix_s)
        self._record(note, _Effect(command.host, _text(before), _text(record)))
        if before is not None and before.disk != command.disk:
            self.image.unsettled_removal = True
            self._lose_disk(command, before.data_centre)
        return CommandResult(ResultCode.ACCEPTED)

    def _lose_disk(self, command: RegisterHost, data_centre: DataCentre) -> None:
        """Take a host that came back empty out of its view."""
        view = self.image.views.get(data_centre)
        if view is None or command.host not in (view.primary, view.backup):
            return
        fresh = view_without(view, command.host)
        if fresh is not None:
            reason = f"{command.host} came back without its disk"
            note = _Note("view", command.host, reason, command.unix_s)
            self._change_view(fresh, note)

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
        note = _Note("view", command.author, command.reason, command.unix_s)
        self._change_view(view, note)
        return CommandResult(ResultCode.ACCEPTED, view.number)

    def _change_view(self, fresh: View, note: "_Note") -> None:
        before = self.image.views.get(fresh.data_centre)
        self.image.views[fresh.data_centre] = fresh
        effect = _Effect(fresh.data_centre, _text(before), _text(fresh))
        self._record(msgspec.structs.replace(note, kind="view"), effect)

    def _record(self, note: "_Note", effect: _Effect) -> None:
        entry = AuditEntry(
            number=0,
            unix_s=note.unix_s,
            author=note.author,
            kind=note.kind,
            subject=effect.subject,
            before=effect.before,
            after=effect.after,
            reason=note.reason,
            outcome=note.outcome,
            change=note.change,
        )
        self.audit.add(entry)


_SUBJECTS: dict[type[OperatorCommand], Subject] = {
    SetPreset: Subject.PRESET,
    PutPreset: Subject.PRESET,
    SetQuota: Subject.QUOTA,
    DrainEndpoint: Subject.ENDPOINT,
    RemoveHost: Subject.HOST,
}


def _note_of(command: OperatorCommand) -> _Note:
    change = command.change
    kind = str(command.__struct_config__.tag)
    return _Note(kind, change.author, change.reason, change.unix_s, change=change.id)


def _name_of(command: OperatorCommand) -> str:
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


def _asked(command: OperatorCommand) -> str:
    fields: dict[str, Any] = msgspec.to_builtins(command)
    return _text({name: fields[name] for name in fields if name != "change"})


def _drained(drained: bool) -> str:
    return "drained" if drained else "in use"


def _text(value: Any) -> str:
    """Return a value as the audit trail shows it."""
    return "" if value is None else msgspec.json.encode(value).decode()
