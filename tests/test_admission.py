"""Admission refuses jobs early, with the right code and time to retry."""

import pytest

from currantwell.admission import SETTLE_S, DeadlineAdmission
from currantwell.backlog import Backlog
from currantwell.codes import ResultCode
from currantwell.estimates import DeclaredEstimates
from currantwell.presets import ORDINARY, FixedPreset
from currantwell.quotas import EqualQuotas
from currantwell.scheduler_types import JobRequest
from currantwell.submission import TaskSpec
from tests.builders import endpoint_load, waiting_task


@pytest.fixture
def admission():
    made = DeadlineAdmission(DeclaredEstimates(), FixedPreset(ORDINARY), EqualQuotas())
    made.membership_changed(0.0)
    return made


def request(team="a", deadline_s=1_000.0, **spec):
    return JobRequest("job", team, (TaskSpec("check-in", **spec),), deadline_s)


def backlog(tasks, team="a", run_s=1.0):
    made = Backlog()
    for index in range(tasks):
        made.add(waiting_task(team=team, task=index, estimate_s=run_s))
    return made


def check(admission, new_job, waiting=None, now_s=100.0, loads=None):
    loads = loads if loads is not None else [endpoint_load("e")]
    return admission.check(new_job, loads, waiting or Backlog(), now_s)


def test_a_job_is_admitted_when_nothing_waits(admission):
    assert check(admission, request()) is None


def test_the_queue_bound_refuses_with_the_time_to_retry(admission):
    slots = 8
    waiting = backlog(int(slots * (ORDINARY.queue_s + 2.0)))
    refusal = check(admission, request(), waiting)
    assert refusal.code is ResultCode.NOT_RUN_OVERLOADED
    assert refusal.retry_after_s == pytest.approx(2.0, abs=0.2)


def test_a_flooding_team_is_refused_and_another_admitted(admission):
    waiting = backlog(200, team="flooder")
    assert check(admission, request(team="flooder"), waiting) is not None
    assert check(admission, request(team="calm"), waiting) is None


def test_a_job_that_cannot_end_before_its_deadline_is_refused(admission):
    late = request(deadline_s=104.0, run_time_s=5.0)
    assert check(admission, late).code is ResultCode.NOT_RUN_DEADLINE
    assert check(admission, request(deadline_s=110.0, run_time_s=5.0)) is None


def test_the_quota_bounds_waiting_tasks(admission):
    waiting = backlog(5_000, run_s=0.0001)
    assert check(admission, request(), waiting).code is ResultCode.NOT_RUN_QUOTA


def test_a_job_is_refused_as_impossible_only_once_endpoints_have_settled(admission):
    new_job = request(accelerators=4)
    early = check(admission, new_job, now_s=SETTLE_S - 0.1)
    assert early.code is ResultCode.NOT_RUN_OVERLOADED
    assert early.retry_after_s
    late = check(admission, new_job, now_s=SETTLE_S + 0.1)
    assert late.code is ResultCode.NOT_RUN_IMPOSSIBLE


def test_a_job_is_not_impossible_while_an_endpoint_that_could_run_it_is_absent(
    admission,
):
    plain, able = endpoint_load("e"), endpoint_load("f", accelerators=4)
    new_job = request(accelerators=4)
    assert check(admission, new_job, loads=[plain, able]) is None
    refusal = check(admission, new_job, loads=[plain])
    assert refusal.code is ResultCode.NOT_RUN_OVERLOADED
