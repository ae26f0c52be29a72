"""The leader's service: what the leader of the agreement does for all hosts.

It answers their renewals, activates proposed presets, and passes over lost hosts. It
only proposes: the agreed state decides, so that a leader who is out of date can do no
harm.
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

TICK_S = 0.1
FIRST_VIEW_WAIT_S = 2.0


class Renew(PeerMessage, frozen=True):
    """A host asks the leader whether its state is current.

    Parameters
    ----------
    proposed : int
        Version of the proposed preset that it knows of, 0 for none.
    echo : int
        Number of the newest reply that reached it.
    """

    proposed: int
    echo: int


class Renewed(PeerMessage, frozen=True):
    """The leader's reply.

    Parameters
    ----------
    current : bool
        Whether the leader is sure of the index.
    index : int
        The state at this index held all that was agreed when the host asked.
    number : int
        Number of the reply.
    suspects : tuple of HostId
        Hosts that don't answer.
    """

    current: bool
    index: int
    number: int
    suspects: tuple[HostId, ...]


class LeaderService:
    """The duties of the leader, on every host in case it leads.

    Parameters
    ----------
    host : HostId
        This host.
    state : AgreedState
        The agreed state.
    client : StateClient
        Proposes.
    read_barrier : SharedReadBarrier
        Tells whether the state is current.
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
        self._led = False
        self._repairing = False
        self._without_view: dict[DataCentre, float] = {}

    @property
    def leads(self) -> bool:
        """Whether this host leads, as far as it knows."""
        return self._client.agreement.leader == self._host

    async def run(self) -> None:
        """Watch and repair until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._take_or_leave()
                if self.leads:
                    self._watch()
                    if not self._repairing:
                        nursery.start_soon(self._repair)
                await trio.sleep(TICK_S)

    async def handle_renewal(self, sender: HostId, message: Renew) -> Renewed:
        """Answer a renewal."""
        number = self._detector.record_renewal(sender, message.echo, now_s())
        self._see_proposal()
        self._gate.acknowledge(sender, message.proposed)
        current = self.leads
        try:
            await self._shared_barrier.read_barrier()
        except AgreementLost:
            current = False
        suspects = tuple(sorted(self.suspects))
        return Renewed(current, self._state.image.index, number, suspects)

    def _take_or_leave(self) -> None:
        if self.leads and not self._led:
            self._detector = FailureDetector()
            self._without_view = {}
        self._led = self.leads

    def _watch(self) -> None:
        self._detector.tick(now_s())
        self._detector.watch(set(self._state.image.hosts) - {self._host}, now_s())
        self.suspects = self._detector.suspects(now_s())
        self._see_proposal()

    def _see_proposal(self) -> None:
        version = self._state.proposed_version
        if version:
            self._gate.note_proposal(version, now_s())
            self._gate.acknowledge(self._host, version)

    async def _repair(self) -> None:
        self._repairing = True
        with log_agreement_lost():
            await self._activate()
        for data_centre in self._state.data_centres():
            with log_agreement_lost():
                await self._repair_view(data_centre)
        self._repairing = False

    async def _activate(self) -> None:
        image = self._state.image
        if image.proposed is None:
            return
        ground = self._gate.activation_reason(
            image.hosts, image.unsettled_removal, now_s()
        )
        if ground is not None:
            version = image.proposed.version
            unix_s = self._client.calendar.unix_s()
            command = ActivatePreset(version, self._host, ground, unix_s)
            await self._client.propose(command)
            events.PRESET_ACTIVATED.log(version=version, ground=ground)

    async def _repair_view(self, data_centre: DataCentre) -> None:
        view = self._state.image.views.get(data_centre)
        if view is None:
            await self._propose_first(data_centre)
            return
        repaired = view_without_suspects(view, self.suspects)
        if repaired is None:
            return
        fresh, reason = repaired
        if await self._client.propose_view(fresh, self._host, reason):
            events.VIEW_REPAIRED.log(data_centre=data_centre, reason=reason)

    async def _propose_first(self, data_centre: DataCentre) -> None:
        since_s = self._without_view.setdefault(data_centre, now_s())
        records = self._state.image.hosts
        hosts = set(self._state.hosts_of(data_centre)) - self.suspects
        copies = max((records[host].copies for host in hosts), default=1)
        if now_s() - since_s > FIRST_VIEW_WAIT_S:
            copies = 1
        fresh = first_view(data_centre, sorted(hosts), copies)
        if fresh is not None:
            await self._client.propose_view(fresh, self._host, "first view")
