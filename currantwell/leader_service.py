"""Duties of the agreement's leader towards all hosts.

The leader replies to lease renewals, activates proposed presets, and replaces views
whose hosts are lost. It only proposes commands and the agreed state decides on them, so
a stale leader can do no harm.
"""

import trio

from . import events
from .agreed_state import AgreedState
from .changes import ActivatePreset
from .clock import now_s
from .errors import AgreementLost
from .failure_detector import FailureDetector
from .ids import DataCentre, HostId
from .peers import PeerMessage
from .settings_lease import ActivationGate
from .state_client import SharedReadBarrier, StateClient, log_agreement_lost
from .view_rules import first_view, view_without_suspects

__all__ = ["LeaderService", "Renew", "Renewed"]

TICK_INTERVAL_S = 0.1
FIRST_VIEW_WAIT_S = 2.0


class Renew(PeerMessage, frozen=True):
    """Request of a host to the leader to renew its settings lease.

    Parameters
    ----------
    proposed : int
        Version of the proposed preset in the host's state, 0 for none.
    echo : int
        Number of the newest reply that reached the host.
    """

    proposed: int
    echo: int


class Renewed(PeerMessage, frozen=True):
    """Reply to `Renew`.

    Parameters
    ----------
    current : bool
        Whether the leader has confirmed that the index is current.
    index : int
        The state at this index includes everything committed before the request.
    number : int
        Number of the reply, which the next `Renew` echoes.
    suspects : tuple of HostId
        Hosts that the leader suspects to have failed.
    """

    current: bool
    index: int
    number: int
    suspects: tuple[HostId, ...]


class LeaderService:
    """Performs the leader's duties; runs on every host and is idle on non-leaders.

    Parameters
    ----------
    host : HostId
        This host.
    state : AgreedState
        The agreed state.
    client : StateClient
        Proposes commands.
    read_barrier : SharedReadBarrier
        Waits until the state is current.
    """

    def __init__(
        self,
        host: HostId,
        state: AgreedState,
        client: StateClient,
        read_barrier: SharedReadBarrier,
    ) -> None:
        self.suspects: frozenset[HostId] = frozenset()
        self._host = host
        self._state = state
        self._client = client
        self._shared_barrier = read_barrier
        self._gate = ActivationGate()
        self._detector = FailureDetector()
        self._was_leader = False
        self._repairing = False
        self._without_view_since_s: dict[DataCentre, float] = {}

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader, as far as it knows."""
        return self._client.agreement.leader == self._host

    async def run(self) -> None:
        """Monitor hosts and repair views until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._reset_if_elected()
                if self.is_leader:
                    self._update_suspects()
                    if not self._repairing:
                        nursery.start_soon(self._repair)
                await trio.sleep(TICK_INTERVAL_S)

    async def handle_renewal(self, sender: HostId, message: Renew) -> Renewed:
        """Reply to a host's lease renewal."""
        number = self._detector.record_renewal(sender, message.echo, now_s())
        self._acknowledge_proposal()
        self._gate.acknowledge(sender, message.proposed)
        current = self.is_leader
        try:
            await self._shared_barrier.read_barrier()
        except AgreementLost:
            current = False
        suspects = tuple(sorted(self.suspects))
        return Renewed(current, self._state.image.index, number, suspects)

    def _reset_if_elected(self) -> None:
        if self.is_leader and not self._was_leader:
            self._detector = FailureDetector()
            self._without_view_since_s = {}
        self._was_leader = self.is_leader

    def _update_suspects(self) -> None:
        self._detector.tick(now_s())
        self._detector.watch(set(self._state.image.hosts) - {self._host}, now_s())
        self.suspects = self._detector.suspects(now_s())
        self._acknowledge_proposal()

    def _acknowledge_proposal(self) -> None:
        version = self._state.proposed_version
        if version:
            self._gate.note_proposal(version, now_s())
            self._gate.acknowledge(self._host, version)

    async def _repair(self) -> None:
        self._repairing = True
        with log_agreement_lost():
            await self._activate_preset()
        for data_centre in self._state.data_centres():
            with log_agreement_lost():
                await self._repair_view(data_centre)
        self._repairing = False

    async def _activate_preset(self) -> None:
        image = self._state.image
        if image.proposed is None:
            return
        reason = self._gate.activation_reason(
            image.hosts, image.unsettled_removal, now_s()
        )
        if reason is not None:
            version = image.proposed.version
            unix_s = self._client.calendar.unix_s()
            command = ActivatePreset(version, self._host, reason, unix_s)
            await self._client.propose(command)
            events.PRESET_ACTIVATED.log(version=version, ground=reason)

    async def _repair_view(self, data_centre: DataCentre) -> None:
        view = self._state.image.views.get(data_centre)
        if view is None:
            await self._propose_first_view(data_centre)
            return
        replacement = view_without_suspects(view, self.suspects)
        if replacement is None:
            return
        next_view, reason = replacement
        if await self._client.propose_view(next_view, self._host, reason):
            events.VIEW_REPAIRED.log(data_centre=data_centre, reason=reason)

    async def _propose_first_view(self, data_centre: DataCentre) -> None:
        since_s = self._without_view_since_s.setdefault(data_centre, now_s())
        records = self._state.image.hosts
        hosts = set(self._state.hosts_of(data_centre)) - self.suspects
        copies = max((records[host].copies for host in hosts), default=1)
        if now_s() - since_s > FIRST_VIEW_WAIT_S:
            copies = 1
        next_view = first_view(data_centre, sorted(hosts), copies)
        if next_view is not None:
            await self._client.propose_view(next_view, self._host, "first view")
