"""The job table: the state of every job of a data centre, built from its records.

Invariants: only records change the table, so a backup or a restarted host that applies
the same records has the same table. The answer of a closed job is complete or failed
and never changes.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any

from .answers import Answer, JobState, TaskState, TaskStatus
from .codes import ResultCode, is_not_run
from .endpoint_protocol import AttemptRef
from .ids import EndpointId, Epoch, Incarnation, JobId
from .records import (
    AttemptEnded,
    AttemptStarted,
    AttemptWithdrawn,
    JobAccepted,
    JobCancelled,
    JobClosed,
    JobForgotten,
    Record,
)
from .submission import RestartRule, Submission, TaskSpec

__all__ = ["Job", "JobTable", "Task"]


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job and its latest attempt.

    ``in_doubt`` means that an earlier attempt may have run, so the task must not be
    reported as not run any more.
    """

    spec: TaskSpec
    state: TaskState = TaskState.WAITING
    code: ResultCode = ResultCode.ACCEPTED
    attempt: int = 0
    endpoint: EndpointId | None = None
    incarnation: Incarnation | None = None
    epoch: Epoch | None = None
    value: Any = None
    in_doubt: bool = False
    failures: int = 0

    @property
    def ended(self) -> bool:
        """Whether the task has reached a final state."""
        return self.state not in (TaskState.WAITING, TaskState.STARTED)


@dataclasses.dataclass(slots=True)
class Job:
    """A job and all its tasks."""

    id: JobId
    digest: str
    submission: Submission
    accepted_unix_s: float
    deadline_unix_s: float
    tasks: list[Task]
    open_tasks: int
    cancel_code: ResultCode | None = None
    code: ResultCode | None = None

    @property
    def state(self) -> JobState:
        """State of the job, running until the job is closed."""
        if self.code is None:
            return JobState.RUNNING
        if self.code is ResultCode.COMPLETE:
            return JobState.COMPLETE
        return JobState.FAILED

    @property
    def cannot_complete(self) -> bool:
        """Whether the job is cancelled or has a task that ended without success."""
        return self.cancel_code is not None or any(
            task.ended and task.state is not TaskState.DONE for task in self.tasks
        )

    def task_statuses(self) -> tuple[TaskStatus, ...]:
        """Return the state of each task."""
        return tuple(self._task_status(index) for index in range(len(self.tasks)))

    def _task_status(self, index: int) -> TaskStatus:
        task = self.tasks[index]
        detail = str(task.value) if task.state is TaskState.FAILED else ""
        return TaskStatus(
            index, task.state, task.code, task.endpoint, task.attempt, detail
        )

    def answer(self) -> Answer:
        """Return the answer for the caller as of now.

        It has the results of a complete job, or the task states of a failed one.
        """
        key = self.submission.key
        if self.code is None:
            return Answer(key, self.state, ResultCode.RUNNING)
        if self.code is ResultCode.COMPLETE:
            results = tuple(task.value for task in self.tasks)
            return Answer(key, self.state, self.code, results=results)
        return Answer(key, self.state, self.code, tasks=self.task_statuses())


class JobTable:
    """All jobs of a data centre, and the ids of jobs whose answers were removed."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.forgotten: set[JobId] = set()

    def apply(self, record: Record) -> None:
        """Apply one record.

        A record of a job or attempt that is no longer in the table has no effect.
        """
        match record:
            case JobAccepted():
                self._accept(record)
            case AttemptStarted():
                self._start_attempt(record)
            case AttemptEnded():
                self._end_attempt(record)
            case AttemptWithdrawn():
                self._withdraw_start(record)
            case JobCancelled(job=job_id, code=code):
                self._cancel(job_id, code)
            case JobClosed(job=job_id, code=code):
                self._close(job_id, code)
            case JobForgotten(job=job_id):
                self.jobs.pop(job_id, None)
                self.forgotten.add(job_id)

    def apply_all(self, records: Iterable[Record]) -> None:
        """Apply records in order."""
        for record in records:
            self.apply(record)

    def task(self, ref: AttemptRef) -> Task | None:
        """Return the task whose latest attempt is `ref`, None if there is none."""
        job = self.jobs.get(ref.job)
        if job is None or not 0 <= ref.task < len(job.tasks):
            return None
        task = job.tasks[ref.task]
        return task if task.attempt == ref.attempt else None

    def snapshot(self) -> Iterator[Record]:
        """Iterate over records that rebuild the table when applied in order.

        The table must not change during the iteration.
        """
        yield from (JobForgotten(job) for job in self.forgotten)
        for job in self.jobs.values():
            yield from self._job_records(job)

    def _job_records(self, job: Job) -> Iterable[Record]:
        """Yield the records that rebuild a job.

        The cancellation precedes the ends, since a task of a cancelled job is not
        queued again when its attempt ends.
        """
        yield JobAccepted(
            job.id,
            job.digest,
            job.submission,
            job.accepted_unix_s,
            job.deadline_unix_s,
        )
        refs = [AttemptRef(job.id, i, t.attempt) for i, t in enumerate(job.tasks)]
        for ref, task in zip(refs, job.tasks, strict=True):
            yield from _attempt_records(ref, task)
        if job.cancel_code is not None:
            yield JobCancelled(job.id, job.cancel_code)
        for ref, task in zip(refs, job.tasks, strict=True):
            if task.ended:
                yield AttemptEnded(ref, task.code, task.value)
        if job.code is not None:
            yield JobClosed(job.id, job.code)

    def _accept(self, record: JobAccepted) -> None:
        if record.job in self.jobs or record.job in self.forgotten:
            return
        tasks = [Task(spec) for spec in record.submission.tasks]
        self.jobs[record.job] = Job(
            record.job,
            record.digest,
            record.submission,
            record.accepted_unix_s,
            record.deadline_unix_s,
            tasks,
            len(tasks),
        )

    def _start_attempt(self, record: AttemptStarted) -> None:
        job = self.jobs.get(record.ref.job)
        if job is None:
            return
        task = job.tasks[record.ref.task]
        if task.state is not TaskState.WAITING or record.ref.attempt <= task.attempt:
            return
        task.state = TaskState.STARTED
        task.attempt = record.ref.attempt
        task.endpoint = record.endpoint
        task.incarnation = record.incarnation
        task.epoch = record.epoch

    def _end_attempt(self, record: AttemptEnded) -> None:
        job = self.jobs.get(record.ref.job)
        task = self.task(record.ref)
        if job is None or task is None or task.ended:
            return
        if record.code is ResultCode.COMPLETE:
            self._set_final_state(job, task, TaskState.DONE, record)
        elif record.code in (ResultCode.TASK_FAILED, ResultCode.TASK_STOPPED):
            self._end_failed(job, task, record)
        elif is_not_run(record.code):
            self._end_not_run(job, task, record)
        elif self._may_restart(job, task, RestartRule.IF_OVER):
            task.state = TaskState.WAITING
            task.in_doubt = True
        else:
            self._set_final_state(job, task, TaskState.UNKNOWN, record)

    def _end_failed(self, job: Job, task: Task, record: AttemptEnded) -> None:
        started = task.state is TaskState.STARTED
        if started and record.code is ResultCode.TASK_FAILED:
            task.failures += 1
        has_retries_left = task.failures < task.spec.max_failures
        if has_retries_left and self._may_restart(job, task, RestartRule.IF_OVER):
            task.state = TaskState.WAITING
            task.in_doubt = True
        else:
            self._set_final_state(job, task, TaskState.FAILED, record)

    def _withdraw_start(self, record: AttemptWithdrawn) -> None:
        job = self.jobs.get(record.ref.job)
        task = self.task(record.ref)
        if job is None or task is None or task.state is not TaskState.STARTED:
            return
        if job.cancel_code is None:
            task.state = TaskState.WAITING
        else:
            self._set_not_run(job, task, ResultCode.NOT_RUN_CANCELLED)

    def _may_restart(self, job: Job, task: Task, *rules: RestartRule) -> bool:
        return job.cancel_code is None and task.spec.restart in rules

    def _end_not_run(self, job: Job, task: Task, record: AttemptEnded) -> None:
        rules = (RestartRule.IF_NOT_RUN, RestartRule.IF_OVER)
        if self._may_restart(job, task, *rules):
            task.state = TaskState.WAITING
        else:
            self._set_not_run(job, task, record.code)

    def _set_not_run(self, job: Job, task: Task, code: ResultCode) -> None:
        """Set a task to not run, or to unknown if an earlier attempt may have run."""
        task.state, task.code = TaskState.NOT_RUN, code
        if task.in_doubt:
            task.state, task.code = TaskState.UNKNOWN, ResultCode.UNKNOWN_ATTEMPT_LOST
        task.in_doubt = False
        task.failures = 0
        job.open_tasks -= 1

    def _set_final_state(
        self, job: Job, task: Task, state: TaskState, record: AttemptEnded
    ) -> None:
        task.state = state
        task.code = record.code
        task.value = record.value
        task.in_doubt = False
        if state is not TaskState.FAILED:
            task.failures = 0
        job.open_tasks -= 1

    def _cancel(self, job_id: JobId, code: ResultCode) -> None:
        job = self.jobs.get(job_id)
        if job is None or job.cancel_code is not None:
            return
        job.cancel_code = code
        for task in job.tasks:
            if task.state is TaskState.WAITING:
                self._set_not_run(job, task, ResultCode.NOT_RUN_JOB_FAILED)

    def _close(self, job_id: JobId, code: ResultCode) -> None:
        job = self.jobs.get(job_id)
        if job is not None and job.code is None:
            job.code = code


def _attempt_records(ref: AttemptRef, task: Task) -> Iterable[Record]:
    """Yield the records that rebuild a task up to the start of its latest attempt.

    Earlier attempts are represented by as many failed ones as the task has failures,
    or by one lost attempt if the task is in doubt without a failure. The end of the
    latest attempt follows if the task waits again.
    """
    if task.endpoint is None or task.incarnation is None:
        return
    epoch = task.epoch if task.epoch is not None else Epoch(0)
    waiting = task.state is TaskState.WAITING
    latest_failed = task.failures > 0 and (
        waiting or task.code is ResultCode.TASK_FAILED
    )
    earlier_ends = task.failures - latest_failed
    code = ResultCode.TASK_FAILED
    if not earlier_ends and task.in_doubt and task.state is TaskState.STARTED:
        earlier_ends, code = 1, ResultCode.UNKNOWN_ATTEMPT_LOST
    for attempt in range(ref.attempt - earlier_ends, ref.attempt):
        earlier = AttemptRef(ref.job, ref.task, attempt)
        yield AttemptStarted(earlier, epoch, task.endpoint, task.incarnation)
        yield AttemptEnded(earlier, code)
    yield AttemptStarted(ref, epoch, task.endpoint, task.incarnation)
    if not waiting:
        return
    if latest_failed:
        yield AttemptEnded(ref, ResultCode.TASK_FAILED)
    elif task.in_doubt:
        yield AttemptEnded(ref, ResultCode.UNKNOWN_ATTEMPT_LOST)
    else:
        yield AttemptWithdrawn(ref)
