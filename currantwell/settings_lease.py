"""Leases on settings: no two hosts follow different presets at any moment.

A host follows the active preset only while it knows of no proposed preset and holds a
lease. The lease lasts for `LEASE_S` by the host's own clock, counted from when the host
requested confirmation that its state was current; it takes effect once the host has
applied everything agreed by the time of the reply. After a proposal is committed, each
host therefore either has applied the proposal or follows the earlier preset for at most
`LEASE_S`. `ActivationGate` counts that time from when its own host applied the
proposal, which is never before the commit, so a new leader needs no information about
the leases granted by earlier leaders. A process that restarts holds no lease.
"""

from collections.abc import Collection

from .ids import HostId
from .state_image import StateImage, VersionedPreset

__all__ = [
    "CLOCK_DRIFT",
    "LEASE_S",
    "RENEW_S",
    "ActivationGate",
    "SettingsLease",
    "preset_to_follow",
]

LEASE_S = 1.5
RENEW_S = 0.5
CLOCK_DRIFT = 0.01


class SettingsLease:
    """The lease of one host.

    Parameters
    ----------
    lease_s : float
        Duration of the lease, in seconds.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._until_s = float("-inf")
        self._pending_renewals: list[tuple[int, float]] = []

    def renew(self, requested_s: float, index: int) -> None:
        """Record a reply that confirmed the state at an index as current.

        Parameters
        ----------
        requested_s : float
            When this host sent the request, in seconds.
        index : int
            The state at this index includes all commands agreed by the time of the
            request.
        """
        self._pending_renewals.append((index, requested_s + self._lease_s))

    def holds(self, now_s: float, index: int) -> bool:
        """Return whether the lease is valid for a host whose state is at an index."""
        for required_index, until_s in self._pending_renewals:
            if required_index <= index:
                self._until_s = max(self._until_s, until_s)
        self._pending_renewals = [
            (required_index, until_s)
            for required_index, until_s in self._pending_renewals
            if required_index > index and until_s > now_s
        ]
        return now_s < self._until_s


class ActivationGate:
    """Decides when no host can follow the earlier preset any more.

    Parameters
    ----------
    lease_s : float
        Duration of the hosts' leases, in seconds.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._wait_s = lease_s * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
        self._version = 0
        self._proposal_applied_s = 0.0
        self._acknowledged: set[HostId] = set()

    def note_proposal(self, version: int, now_s: float) -> None:
        """Record that this host has applied the proposal of a version."""
        if version != self._version:
            self._version = version
            self._proposal_applied_s = now_s
            self._acknowledged = set()

    def acknowledge(self, host: HostId, version: int) -> None:
        """Record that a host has applied the proposal of a version."""
        if version == self._version:
            self._acknowledged.add(host)

    def activation_reason(
        self, hosts: Collection[HostId], unsettled_removal: bool, now_s: float
    ) -> str | None:
        """Return why the proposed preset may be activated, None if it may not.

        Parameters
        ----------
        hosts : collection of HostId
            All registered hosts.
        unsettled_removal : bool
            Whether a removed or replaced host may still hold a lease.
        now_s : float
            The current time, by the clock passed to `note_proposal`.
        """
        unacknowledged = sorted(set(hosts) - self._acknowledged)
        if not unacknowledged and not unsettled_removal:
            return "all hosts acknowledged"
        if now_s - self._proposal_applied_s > self._wait_s:
            names = ", ".join(unacknowledged) or "hosts removed"
            return f"the leases have run out of {names}"
        return None


def preset_to_follow(
    image: StateImage, host: HostId, lease: SettingsLease, now_s: float
) -> VersionedPreset | None:
    """Return the preset that a host may follow now, None if only the floors apply."""
    if image.proposed is not None or host not in image.hosts:
        return None
    return image.active if lease.holds(now_s, image.index) else None
