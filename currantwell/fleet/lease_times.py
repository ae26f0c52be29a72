"""Leases of endpoints: their length, and how long those of a lost dispatcher last."""

from .channel import PING_INTERVAL_S

__all__ = [
    "LEASE_EXPIRY_WAIT_S",
    "MAX_LEASE_S",
    "SILENT_EXPIRY_WAIT_S",
    "START_TOGETHER_S",
    "endpoint_lease_s",
]

# Share of the longest lease that an endpoint grants. Short enough that tasks lost with
# an endpoint can be restarted within the timeout of a client, 1.5 s.
LEASE_SHARE = 0.6
# Longest lease of an endpoint.
MAX_LEASE_S = 0.6
# The longest lease, 2% for a slow clock, and 0.1 s until its expiry is noticed.
LEASE_EXPIRY_WAIT_S = 0.72
# The two ends of a channel that has gone silent notice it up to a ping interval apart.
SILENT_EXPIRY_WAIT_S = LEASE_EXPIRY_WAIT_S + PING_INTERVAL_S
# Hosts that start together have dispatchers, and know them all, by then.
START_TOGETHER_S = 2.0


def endpoint_lease_s(max_lease_s: float) -> float:
    """Return the lease to request of endpoints, in seconds.

    Parameters
    ----------
    max_lease_s : float
        Longest lease that an endpoint grants.
    """
    return min(LEASE_SHARE * max_lease_s, MAX_LEASE_S)
