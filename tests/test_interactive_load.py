"""A load of short and long interactive jobs near the endpoints' capacity."""

import pytest

from tests.interactive_load import (
    KINDS,
    RUN_TIME_FACTORS,
    InteractiveLoad,
    jobs_by_work,
    served_share,
)

SEEDS = range(4)
LENGTH_S = 60.0
# At this factor the load is 0.8 of the capacity.
LOAD_FACTOR = 1.5
OVERLOAD_FACTOR = 2.2
OVERLOAD_LENGTH_S = 20.0


@pytest.fixture(scope="module")
def jobs():
    played = []
    for seed in SEEDS:
        load = InteractiveLoad(seed, LENGTH_S, LOAD_FACTOR)
        load.play()
        played.extend(load.jobs.values())
    return played


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.name)
def test_largest_jobs_are_served_at_least_half_as_often_as_all(jobs, kind):
    ordered = jobs_by_work(job for job in jobs if job.kind is kind)
    tenth, fifth = len(ordered) // 10, len(ordered) // 5
    least = 0.5 * served_share(ordered)
    assert served_share(ordered[:tenth]) >= least
    assert served_share(ordered[tenth : tenth + fifth]) >= least


@pytest.mark.parametrize("seed", SEEDS)
def test_no_moved_task_starts_on_a_slow_endpoint_under_overload(seed):
    load = InteractiveLoad(seed, OVERLOAD_LENGTH_S, OVERLOAD_FACTOR)
    load.play()
    assert set(load.moved_to_factors) == {min(RUN_TIME_FACTORS)}
