"""Builders of test data."""

from currantwell.codes import ResultCode
from currantwell.endpoint_protocol import Announcement, AttemptRef
from currantwell.ids import DataCentre, EndpointId, Epoch, Incarnation, JobId, job_id
from currantwell.records import AttemptEnded, AttemptStarted, JobAccepted
from currantwell.submission import RestartRule, Submission, TaskSpec, digest_of

DATA_CENTRE = DataCentre("valdres")


def a_submission(
    name="a", tasks=1, restart=RestartRule.IF_NOT_RUN, deadline_s=60.0, sleep_s=0.0
):
    specs = tuple(
        TaskSpec("check_in", {"sleep_s": sleep_s, "value": index}, restart=restart)
        for index in range(tasks)
    )
    return Submission(f"{DATA_CENTRE}:{name}", "prairie", specs, deadline_s)


def a_job_id(submission) -> JobId:
    return job_id(submission.team, submission.key)


def accepted(submission, unix_s=1_000.0):
    return JobAccepted(
        a_job_id(submission),
        digest_of(submission),
        submission,
        unix_s,
        unix_s + submission.deadline_s,
    )


def started(job, task=0, attempt=1, endpoint="e-1", epoch=1):
    place = (EndpointId(endpoint), Incarnation(f"{endpoint}.1"))
    return AttemptStarted(AttemptRef(job, task, attempt), Epoch(epoch), *place)


def ended(job, task=0, attempt=1, code=ResultCode.COMPLETE, value=None):
    return AttemptEnded(AttemptRef(job, task, attempt), code, value)


def an_announcement(endpoint="e-1", incarnation=None, slots=4):
    return Announcement(
        EndpointId(endpoint),
        Incarnation(incarnation or f"{endpoint}.1"),
        "http://127.0.0.1:1",
        DATA_CENTRE,
        slots=slots,
    )
