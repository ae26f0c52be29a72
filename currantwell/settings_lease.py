"""Leases on settings: no two hosts act by different presets at any moment.

A host acts by the active preset only while it knows of no proposal and holds a lease.
It holds one for `LEASE_S`, by its own clock, from the moment that it asked whether
its state was current, once it has applied all that was agreed when the answer was
made. So after a proposal is committed, each host has either learnt of it, or acts by
the earlier preset for `LEASE_S` at most. The gate counts that time from when its own
host applied the proposal, which is never before the commit; thus a new leader needs
to know nothing of the leases of earlier ones. A process that restarts holds no lease.
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
        How long it lasts.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._lease_s = lease_s
        self._until_s = float("-inf")
        self._unapplied: list[tuple[int, float]] = []

    def renew(self, asked_s: float, index: int) -> None:
        """Take in the answer that the state was current at an index.

        Parameters
        ----------
        asked_s : float
            When this host asked.
        index : int
            The state at this index held all that was agreed when it asked.
        """
        self._unapplied.append((index, asked_s + self._lease_s))

    def holds(self, now_s: float, index: int) -> bool:
        """Tell whether the lease holds for a host whose state is at an index."""
        for needed, until_s in self._unapplied:
            if needed <= index:
                self._until_s = max(self._until_s, until_s)
        self._unapplied = [
            (needed, until_s)
            for needed, until_s in self._unapplied
            if needed > index and until_s > now_s
        ]
        return now_s < self._until_s


class ActivationGate:
    """Decides when no host can act by the earlier preset any more.

    Parameters
    ----------
    lease_s : float
        How long the leases of hosts last.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self._wait_s = lease_s * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
        self._version = 0
        self._seen_s = 0.0
        self._stopped: set[HostId] = set()

    def note_proposal(self, version: int, now_s: float) -> None:
        """Note that this host has applied the proposal of a version."""
        if version != self._version:
            self._version = version
            self._seen_s = now_s
            self._stopped = set()

    def acknowledge(self, host: HostId, version: int) -> None:
        """Note that a host has applied the proposal of a version."""
        if version == self._version:
            self._stopped.add(host)

    def activation_reason(
        self, hosts: Collection[HostId], unsettled_removal: bool, now_s: float
    ) -> str | None:
        """Return why the proposed preset may be activated, None if it may not.

        Parameters
        ----------
        hosts : collection of HostId
            All hosts that registered.
        unsettled_removal : bool
            Whether another host may still hold a lease.
        now_s : float
            The time, by the clock that `note_proposal` was given.
        """
        silent = sorted(set(hosts) - self._stopped)
        if not silent and not unsettled_removal:
            return "all hosts acknowledged"
        if now_s - self._seen_s > self._wait_s:
            names = ", ".join(silent) or "hosts removed"
            return f"the leases have run out of {names}"
        return None


def preset_to_follow(
    image: StateImage, host: HostId, lease: SettingsLease, now_s: float
) -> VersionedPreset | None:
    """Return the preset that a host may act by now, None for the floors alone."""
    if image.proposed is not None or host not in image.hosts:
        return None
    return image.active if lease.holds(now_s, image.index) else None
