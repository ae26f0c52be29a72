"""The job table: answers are final, snapshots are complete, not-run is true."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from currantwell.answers import TaskState
from currantwell.codes import ResultCode, is_not_run
from currantwell.endpoint_protocol import AttemptRef
from currantwell.jobs import JobTable
from currantwell.records import AttemptWithdrawn, JobCancelled, JobClosed, JobForgotten
from currantwell.submission import RestartRule
from tests.builders import a_job_id, a_submission, accepted, ended, started

OUTCOMES = [
    ResultCode.COMPLETE,
    ResultCode.TASK_FAILED,
    ResultCode.NOT_RUN_OVERLOADED,
    ResultCode.UNKNOWN_ATTEMPT_LOST,
    ResultCode.ACCEPTED,
    None,
]
TASKS = 3


class TableMachine(RuleBasedStateMachine):
    """Applies records that a dispatcher may write about one job, in any order."""

    def __init__(self):
        super().__init__()
        self.table = JobTable()
        self.maybe_ran = set()
        self.attempts = 0
        self.final_answer = None

    @initialize(restart=st.sampled_from(RestartRule))
    def accept(self, restart):
        submission = a_submission(tasks=TASKS, restart=restart)
        self.id = a_job_id(submission)
        self.table.apply(accepted(submission))

    def task(self, index):
        job = self.table.jobs[self.id]
        return job.tasks[index] if job.code is None else None

    @rule(index=st.integers(0, TASKS - 1), outcome=st.sampled_from(OUTCOMES))
    def attempt(self, index, outcome):
        self.attempts += 1
        task = self.task(index)
        if task is not None and task.state is TaskState.WAITING:
            self.table.apply(started(self.id, index, task.attempt + 1))
        if task is None or task.state is not TaskState.STARTED or outcome is None:
            return
        record = ended(self.id, index, task.attempt, outcome)
        if outcome is ResultCode.ACCEPTED:
            record = AttemptWithdrawn(AttemptRef(self.id, index, task.attempt))
        elif not is_not_run(outcome):
            self.maybe_ran.add(index)
        self.table.apply(record)
        self.close()

    @precondition(lambda self: self.attempts > 1)
    @rule()
    def cancel(self):
        self.table.apply(JobCancelled(self.id, ResultCode.JOB_CANCELLED))
        self.close()

    def close(self):
        job = self.table.jobs[self.id]
        if not job.open_tasks and job.code is None:
            code = ResultCode.JOB_FAILED if job.cannot_complete else ResultCode.COMPLETE
            self.table.apply(JobClosed(self.id, code))
            self.final_answer = job.answer()

    @invariant()
    def a_snapshot_rebuilds_the_table(self):
        restored = JobTable()
        restored.apply_all(self.table.snapshot())
        assert restored.jobs == self.table.jobs

    @invariant()
    def replay_changes_nothing(self):
        before = list(self.table.snapshot())
        self.table.apply_all(before)
        assert list(self.table.snapshot()) == before

    @invariant()
    def not_run_is_true(self):
        for job in self.table.jobs.values():
            for index, task in enumerate(job.tasks):
                assert not (task.state is TaskState.NOT_RUN and index in self.maybe_ran)

    @invariant()
    def an_answer_never_changes(self):
        if self.final_answer is not None:
            assert self.table.jobs[self.id].answer() == self.final_answer


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=12
)


def test_a_forgotten_job_is_not_accepted_again():
    table = JobTable()
    first = accepted(a_submission())
    table.apply_all([first, JobForgotten(first.job), first])
    assert not table.jobs
    restored = JobTable()
    restored.apply_all(table.snapshot())
    assert first.job in restored.forgotten
