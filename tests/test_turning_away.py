"""Which jobs of a full queue are refused before their start limit."""

import math

import pytest

from currantwell.ids import JobId, Team
from currantwell.scheduler_types import QueuedJob, WaitingTask
from currantwell.submission import TaskSpec
from currantwell.turning_away import jobs_without_prospect

NOW_S = 10.0


def a_job(name, tasks=1, estimate_s=0.2, start_within_s=0.6, attempt=1, **queued):
    job = QueuedJob(
        JobId(name), Team("crew"), NOW_S, start_by_s=NOW_S + start_within_s, **queued
    )
    return [
        WaitingTask(
            job.job,
            job.team,
            index,
            attempt,
            TaskSpec("work"),
            NOW_S + 1.5,
            NOW_S,
            estimate_s,
            False,
            job,
        )
        for index in range(tasks)
    ]


def refused(*jobs, capacity=4.0):
    return jobs_without_prospect([t for job in jobs for t in job], capacity, NOW_S)


def test_a_job_behind_more_work_than_is_done_by_its_limit_is_refused():
    crest = [a_job(f"job-{number}") for number in range(20)]
    # Four of 0.2 s at a time: 12 of them are done in 0.6 s.
    assert refused(*crest) == [JobId(f"job-{number}") for number in range(13, 20)]


def test_the_work_of_a_refused_job_is_not_ahead_of_others():
    crest = [a_job(f"job-{number}") for number in range(12)]
    large = a_job("large", tasks=50, start_within_s=0.1)
    patient = a_job("patient", start_within_s=0.7)
    assert refused(*crest, large, patient) == [JobId("large")]


@pytest.mark.parametrize(
    "started",
    [{"expected_end_s": NOW_S + 0.1}, {"attempt": 2}, {"start_within_s": math.inf}],
    ids=str,
)
def test_a_job_that_has_started_or_has_no_limit_is_not_refused(started):
    crest = [a_job(f"job-{number}", start_within_s=9.0) for number in range(40)]
    assert refused(*crest, a_job("started", **started)) == []


def test_nothing_is_refused_while_no_endpoint_is_in_use():
    crest = [a_job(f"job-{number}") for number in range(40)]
    assert refused(*crest, capacity=0.0) == []


def test_with_capacity_for_all_nothing_is_refused():
    crest = [a_job(f"job-{number}") for number in range(12)]
    assert refused(*crest) == []
