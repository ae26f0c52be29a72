"""Control service: this host's access to the agreed state.

Invariant: a preset is followed only while this host's `SettingsLease` is valid and no
new preset is proposed.
"""

from collections.abc import Collection

import msgspec
import trio

from . import events
from .agreed_state import AgreedState
from .agreement import PROPOSE_TIMEOUT_S, Agreement
from .audit import AuditArchive
from .changes import (
    CommandResult,
    OperatorCommand,
    RegisterHost,
    check_command,
)
from .clock import CalendarClock, now_s
from .codes import ResultCode
from .errors import AgreementLost, DiskUnavailable, PeerUnreachable
from .ids import DataCentre, EndpointId, HostId, Team
from .kernel import ServiceName
from .leader_service import LeaderService, Renew, Renewed
from .peers import PeerNetwork
from .presets import FLOOR, Preset
from .quotas import Quota
from .settings_lease import RENEW_S, SettingsLease, preset_to_follow
from .state_client import (
    READ_BARRIER_INTERVAL_S,
    READ_BARRIER_TIMEOUT_S,
    SharedReadBarrier,
    StateClient,
    log_agreement_lost,
)
from .state_image import HostRecord
from .view_rules import describe_view_change
from .views import View

__all__ = ["Control"]

RENEW_TIMEOUT_S = READ_BARRIER_INTERVAL_S + READ_BARRIER_TIMEOUT_S
RETRY_S = 0.1
REGISTER_CHECK_S = 5.0
ARCHIVE_RETRY_S = 1.0


class Control:
    """The service that keeps this host's copy of the agreed state current.

    It is a `PresetSource`, a `QuotaSource` and a `ViewSource`.

    Parameters
    ----------
    host : HostId
        This host.
    record : HostRecord
        The record that this host registers for itself.
    state : AgreedState
        The state that the agreement changes.
    agreement : Agreement
        Replicates commands between the hosts.
    peers : PeerNetwork
        Sends requests to the other hosts.
    calendar : CalendarClock
        Stamps commands.
    archive : AuditArchive
        Stores the complete audit trail.
    """

    name = ServiceName("control")

    def __init__(
        self,
        host: HostId,
        record: HostRecord,
        state: AgreedState,
        agreement: Agreement,
        peers: PeerNetwork,
        calendar: CalendarClock,
        archive: AuditArchive,
    ) -> None:
        self.host = host
        self.state = state
        self.archive = archive
        self._record = record
        self._agreement = agreement
        self._peers = peers
        self._calendar = calendar
        self._client = StateClient(agreement, calendar)
        self._shared_barrier = SharedReadBarrier(agreement)
        self._leader_service = LeaderService(
            host, state, self._client, self._shared_barrier
        )
        self._lease = SettingsLease()
        self._suspects: frozenset[HostId] = frozenset()
        self._last_reply_number = 0
        self._changed = trio.Event()
        self._views_changed = trio.Event()
        self._views = dict(state.image.views)
        state.on_change = self._state_changed
        peers.handle(Renew, self._leader_service.handle_renewal)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Renew the lease, register, lead if elected, and archive until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew_loop)
            nursery.start_soon(self._register_loop)
            nursery.start_soon(self._leader_service.run)
            nursery.start_soon(self._archive_loop)
            task_status.started()

    async def drain(self) -> None:
        """No-op: the service has no work to finish."""

    # Called by other services.

    def preset(self) -> Preset:
        """Return the preset to follow now; the floors if it is not certain."""
        followed = preset_to_follow(self.state.image, self.host, self._lease, now_s())
        return followed.preset if followed else FLOOR

    def quota(self, team: Team) -> Quota:
        """Return the quota of a team."""
        return self.state.quota(team)

    def drained(self) -> Collection[EndpointId]:
        """Return the endpoints that operators have drained."""
        return self.state.image.drained

    def view(self, data_centre: DataCentre) -> View | None:
        """Return the newest view of a data centre known to this host, if any."""
        return self.state.image.views.get(data_centre)

    def data_centres(self) -> frozenset[DataCentre]:
        """Return all data centres."""
        return frozenset(self.state.data_centres())

    async def wait_change(self) -> None:
        """Return once any view has changed."""
        await self._views_changed.wait()

    async def propose_view(self, view: View) -> bool:
        """Propose a view; it must be the immediate successor of the newest one.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        reason = describe_view_change(self.view(view.data_centre), view)
        return await self._client.propose_view(view, self.host, reason)

    @property
    def leader(self) -> HostId | None:
        """The current leader of the agreement, None if none is known."""
        return self._agreement.leader

    def suspects(self) -> frozenset[HostId]:
        """Return the hosts that the leader suspected in its latest reply."""
        return self._suspects

    # Called by the operators' API.

    async def change(self, command: OperatorCommand) -> CommandResult:
        """Propose an operator's change and return its result.

        Raises
        ------
        InvalidRequest
            If the change is malformed.
        AgreementLost
            If no majority confirmed it in time; it may still take effect, and a
            retry with the same id returns its result.
        """
        check_command(command)
        stamped = msgspec.structs.replace(
            command.change, unix_s=self._calendar.unix_s()
        )
        command = msgspec.structs.replace(command, change=stamped)
        return await self._client.propose(command)

    def role(self, host: HostId) -> str:
        """Return a host's role in its data centre; empty if it has none."""
        record = self.hosts().get(host)
        view = self.view(record.data_centre) if record else None
        if view is None or host not in (view.primary, view.backup):
            return ""
        return "primary" if host == view.primary else "backup"

    def hosts(self) -> dict[HostId, HostRecord]:
        """Return the registered hosts."""
        return self.state.image.hosts

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return once this host's state includes all commands agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        await self._agreement.read_barrier(timeout_s)

    async def wait_in_force(self, version: int, timeout_s: float) -> bool:
        """Return whether a version's preset is active here within the timeout."""
        with trio.move_on_after(timeout_s):
            while self.state.image.active.version < version:
                await self._changed.wait()
        return self.state.image.active.version >= version

    def _state_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
        if self._views != self.state.image.views:
            self._views = dict(self.state.image.views)
            self._views_changed.set()
            self._views_changed = trio.Event()

    async def _renew_loop(self) -> None:
        while True:
            known_version = self.state.proposed_version
            next_s = now_s() + RENEW_S
            if not await self._renew(known_version):
                next_s = now_s() + RETRY_S
            with trio.move_on_after(max(0.0, next_s - now_s())):
                while self.state.proposed_version == known_version:
                    await self._changed.wait()

    async def _renew(self, proposed: int) -> bool:
        """Request a renewal of the lease; return whether it was granted."""
        requested_s = now_s()
        leader = self._agreement.leader
        if leader is None:
            return False
        try:
            if leader == self.host:
                await self._shared_barrier.read_barrier()
                self._suspects = self._leader_service.suspects
                self._lease.renew(requested_s, self.state.image.index)
                return True
            message = Renew(proposed, self._last_reply_number)
            reply = await self._peers.request(leader, message, Renewed, RENEW_TIMEOUT_S)
        except (AgreementLost, PeerUnreachable):
            return False
        self._last_reply_number = reply.number
        if reply.current:
            self._suspects = frozenset(reply.suspects)
            self._lease.renew(requested_s, reply.index)
        return reply.current

    async def _register_loop(self) -> None:
        while True:
            if self.state.image.hosts.get(self.host) != self._record:
                with log_agreement_lost():
                    await self._register()
            registered = self.state.image.hosts.get(self.host) == self._record
            await trio.sleep(REGISTER_CHECK_S if registered else RETRY_S)

    async def _register(self) -> None:
        command = RegisterHost(
            self.host,
            self._record.data_centre,
            self._record.address,
            self._record.disk,
            self._record.copies,
            self._calendar.unix_s(),
        )
        result = await self._client.propose(command)
        if result.code is not ResultCode.ACCEPTED:
            events.REGISTRATION_REFUSED.log(host=self.host, code=result.code)

    async def _archive_loop(self) -> None:
        while True:
            changed = self._changed
            await self._archive()
            await changed.wait()

    async def _archive(self) -> None:
        """Archive new entries; without room, repeat it until there is some."""
        failing = False
        while True:
            try:
                await self.archive.append_new(self.state.audit)
            except DiskUnavailable as error:
                if not failing:
                    events.ARCHIVE_FAILED.log(host=self.host, error=str(error))
                failing = True
                await trio.sleep(ARCHIVE_RETRY_S)
            else:
                return
