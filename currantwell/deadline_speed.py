"""The endpoint speed at which a task is safe from its job's deadline.

A task that needs more than the usual speed can end in time on some endpoints only.
"""

import math
import statistics
from collections.abc import Sequence

__all__ = [
    "CALLS_S",
    "SIMILAR_SPEED_SHARE",
    "attainable_speed_for_deadline",
    "speed_for_deadline",
    "usual_speed",
]

# Allows for run times that exceed their estimates.
RUN_TIME_MARGIN_FACTOR = 1.5
# Endpoints above this share of the highest speed count as equally fast, since estimated
# speeds vary.
SIMILAR_SPEED_SHARE = 0.8
# A start and the report of its end, on a busy host.
CALLS_S = 0.02


def usual_speed(speeds: Sequence[float]) -> float:
    """Return the speed that half of the endpoints have at least.

    Parameters
    ----------
    speeds : sequence of float
        Speeds of the usable endpoints.

    Returns
    -------
    float
        The speed; 1 if there are no endpoints.
    """
    return statistics.median(speeds) if speeds else 1.0


def speed_for_deadline(estimate_s: float, deadline_s: float, now_s: float) -> float:
    """Return the lowest speed of an endpoint that is likely to end a task in time.

    Parameters
    ----------
    estimate_s : float
        Estimated run time at speed 1, in seconds.
    deadline_s, now_s : float
        The deadline and the current time, on the runtime's clock.

    Returns
    -------
    float
        The speed; infinite if the deadline is too near for any endpoint.
    """
    left_s = deadline_s - now_s - CALLS_S
    if left_s <= 0:
        return math.inf
    return RUN_TIME_MARGIN_FACTOR * estimate_s / left_s


def attainable_speed_for_deadline(
    estimate_s: float, deadline_s: float, now_s: float, fastest: float
) -> float:
    """Return the lowest speed worth waiting for, given the speed of the fastest.

    A task that even the fastest endpoints are not sure to end in time, but that they
    end in time if its estimate is right, needs one of these.

    Parameters
    ----------
    estimate_s, deadline_s, now_s : float
        As in `speed_for_deadline`.
    fastest : float
        Speed of the fastest endpoint.
    """
    speed = speed_for_deadline(estimate_s, deadline_s, now_s)
    if speed / RUN_TIME_MARGIN_FACTOR > fastest:
        return speed
    return min(speed, SIMILAR_SPEED_SHARE * fastest)
