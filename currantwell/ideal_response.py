"""The ideal response time of a job: the same job alone on free endpoints."""

import heapq
from collections.abc import Sequence

__all__ = ["ROUND_TRIP_S", "ideal_response_s"]

ROUND_TRIP_S = 0.001


def ideal_response_s(
    run_times_s: Sequence[float], speeds: Sequence[float], slots: int
) -> float:
    """Return how long a job takes alone on the best free endpoints.

    Longest tasks first, each where it ends soonest.

    Parameters
    ----------
    run_times_s : sequence of float
        Run time of each task at speed 1, in seconds.
    speeds : sequence of float
        Speed of each endpoint.
    slots : int
        Slots of each endpoint.

    Returns
    -------
    float
        Time from submission to answer, one round trip included, in seconds.
    """
    lanes = [(0.0, -speed) for speed in speeds for _ in range(slots)]
    lanes = heapq.nsmallest(max(1, len(run_times_s)), lanes, key=lambda lane: lane[1])
    last_s = 0.0
    for run_time_s in sorted(run_times_s, reverse=True):
        index = min(
            range(len(lanes)), key=lambda i: lanes[i][0] - run_time_s / lanes[i][1]
        )
        free_s, negative_speed = lanes[index]
        end_s = free_s - run_time_s / negative_speed
        lanes[index] = (end_s, negative_speed)
        last_s = max(last_s, end_s)
    return last_s + ROUND_TRIP_S
