"""The ideal response time of a job: the time that it takes alone on free endpoints."""

import heapq
from collections.abc import Sequence

__all__ = ["ROUND_TRIP_S", "ideal_response_s"]

ROUND_TRIP_S = 0.001


def ideal_response_s(
    run_times_s: Sequence[float], speeds: Sequence[float], slots: int
) -> float:
    """Return the response time of a job that runs alone on the fastest endpoints.

    Tasks are placed longest first, each in the slot where it ends soonest.

    Parameters
    ----------
    run_times_s : sequence of float
        Run time of each task at speed 1, in seconds.
    speeds : sequence of float
        Speed of each endpoint; 1 is the usual speed.
    slots : int
        Number of slots of each endpoint.

    Returns
    -------
    float
        Time from submission to answer, one round trip included, in seconds.
    """
    free_slots = [(0.0, -speed) for speed in speeds for _ in range(slots)]
    free_slots = heapq.nsmallest(
        max(1, len(run_times_s)), free_slots, key=lambda slot: slot[1]
    )
    last_s = 0.0
    for run_time_s in sorted(run_times_s, reverse=True):
        index = min(
            range(len(free_slots)),
            key=lambda i: free_slots[i][0] - run_time_s / free_slots[i][1],
        )
        free_at_s, negative_speed = free_slots[index]
        end_s = free_at_s - run_time_s / negative_speed
        free_slots[index] = (end_s, negative_speed)
        last_s = max(last_s, end_s)
    return last_s + ROUND_TRIP_S
