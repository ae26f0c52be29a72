"""The dispatcher: the service of the primary that runs its data centre's jobs.

Invariants: no start is sent to an endpoint and no reply to a caller before the
records that it depends on are committed. The job table changes as soon as records
enter the outbox, so a method that exposes the table's state first waits for their
commit. A stopped dispatcher sends no replies: its waiting callers get `Deposed`.
"""

import dataclasses
import math
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress

import trio

from . import events
from .answers import Answer, Refusal, TaskState, TaskStatus
from .clock import CalendarClock, now_s
from .codes import ResultCode
from .decisions import PlacementDecision
from .drains import DrainSource, NoDrains
from .endpoint_protocol import (
    AdoptReply,
    Announcement,
    AnnouncementReply,
    AttemptRef,
    Heartbeat,
    LeaseGrant,
    ResultLine,
    Start,
    StartBatch,
    StartReply,
)
from .endpoint_roster import EndpointRoster, RosterLimits
from .errors import Deposed
from .ids import DataCentre, EndpointId, Epoch, Incarnation, JobId, job_id
from .job_log import JobLog
from .job_outcomes import JobEnd
from .jobs import Job, JobTable, Task
from .kernel import ServiceName
from .link import MakeLink
from .metrics import HostLoad, Metrics, Timing
from .progress import AttemptDecision, AttemptProgress, decide_attempt
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
from .scheduler import FreeCapacity, Scheduler
from .scheduler_types import JobRequest, PlacedTask, WaitingTask
from .submission import RestartRule, Submission, digest_of

__all__ = ["Dispatcher", "DispatcherLimits"]

TICK_S = 0.1
# Jobs that expire within this time are cancelled together.
MIN_EXPIRY_INTERVAL_S = 0.01
# Half of the run time of a short task: the queue has hardly moved since.
PROSPECT_INTERVAL_S = 0.02
PAUSE_POLL_S = 0.02
# An event loop that is late by this much has paused for other reasons than its work.
PAUSE_S = 0.3
# Long enough to ask each endpoint once more.
CATCH_UP_S = 0.15
FORGET_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherLimits:
    """Limits of a dispatcher.

    Parameters
    ----------
    endpoint_lease_s : float
        How long an endpoint may keep running tasks without a reply to its
        announcements or heartbeats.
    suspect_after_s : float
        An endpoint without a heartbeat for this long gets no new starts.
    answer_kept_s : float
        How long the answer of a job is kept after the job's deadline.
    clock_drift : float
        Largest fraction by which the clock of an endpoint may be slow.
    adopt_before_start : bool
        Whether an endpoint gets starts only once its link reports it reachable.
    """

    endpoint_lease_s: float = 8.0
    suspect_after_s: float = 5.0
    answer_kept_s: float = 86_400.0
    clock_drift: float = 0.01
    adopt_before_start: bool = False


@dataclasses.dataclass(slots=True)
class _OutboxEntry:
    """Records in the outbox, and the event that is set once they are committed."""

    records: list[Record]
    committed: trio.Event


class Dispatcher:
    """Accepts jobs, starts their tasks and collects their results.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre whose jobs it runs.
    epoch : Epoch
        The epoch under which starts are sent; newer than that of any earlier
        dispatcher of the data centre.
    job_log : JobLog
        Commits the records of jobs.
    scheduler : Scheduler
        Admits jobs and places their tasks on endpoints.
    calendar : CalendarClock
        Wall clock for deadlines that must survive a restart of the process.
    limits : DispatcherLimits or None
        Timeouts and retention; None for the defaults.
    make_link : callable or None
        Makes the link to an incarnation of an endpoint; None for `EndpointLink`.
    metrics : Metrics or None
        Records response and queue times.
    drains : DrainSource or None
        Lists the endpoints that operators have drained.
    """

    name = ServiceName("dispatcher")

    def __init__(
        self,
        data_centre: DataCentre,
        epoch: Epoch,
        job_log: JobLog,
        scheduler: Scheduler,
        calendar: CalendarClock,
        limits: DispatcherLimits | None = None,
        metrics: Metrics | None = None,
        make_link: MakeLink | None = None,
        drains: DrainSource | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.table = JobTable()
        self.starts_sent = 0
        self.starts_refused = 0
        self._job_log = job_log
        self._scheduler = scheduler
        self._calendar = calendar
        self._limits = limits or DispatcherLimits()
        self._metrics = metrics or Metrics()
        self._roster = EndpointRoster(
            epoch,
            RosterLimits(
                self._limits.endpoint_lease_s,
                self._limits.suspect_after_s,
                self._limits.clock_drift,
                self._limits.adopt_before_start,
            ),
            scheduler,
            drains or NoDrains(),
            make_link or _default_make_link(),
            self,
            self._grantable_lease_s,
        )
        self._outbox: list[_OutboxEntry] = []
        self._placed: list[PlacedTask] = []
        self._work_available = trio.Event()
        self._acceptance_durable: dict[JobId, trio.Event] = {}
        self._answer_durable: dict[JobId, trio.Event] = {}
        self._any_answer_durable = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._shutting_down = False
        self._paused = False
        self._unanswered_starts: set[AttemptRef] = set()
        self._restarting: set[AttemptRef] = set()
        self._waiter_scopes: set[trio.CancelScope] = set()
        self._stopped = False
        self._next_forget_s = 0.0

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Recover, then dispatch until cancelled or deposed."""
        self._recover_jobs()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._finish_recovered()
                nursery.start_soon(self._tick_loop)
                task_status.started()
                await self._dispatch_loop()
        finally:
            self._stopped = True
            for scope in self._waiter_scopes:
                scope.cancel()

    async def drain(self) -> None:
        """Refuse new jobs and return once all accepted jobs have their answers."""
        self._shutting_down = True
        with suppress(Deposed), self._unless_stopped():
            for answered in list(self._answer_durable.values()):
                await answered.wait()

    async def pause(self, timeout_s: float) -> None:
        """Send no more starts; return once all sent starts are replied to.

        Parameters
        ----------
        timeout_s : float
            Return after this time in any case.
        """
        self._paused = True
        with trio.move_on_after(timeout_s):
            while self._unanswered_starts:
                await trio.sleep(PAUSE_POLL_S)

    def resume(self) -> None:
        """Resume sending starts after `pause`."""
        self._paused = False
        self._work_available.set()

    # Requests of callers, as `JobGateway` has them.

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or return the state of the job that has the same key.

        Returns
        -------
        Answer or Refusal
            The state of the job, once its acceptance is durable, or the reason why
            it was refused.

        Raises
        ------
        Deposed
            If the dispatcher stopped; whether the job was accepted is unknown.
        """
        identifier = job_id(submission.team, submission.key)
        digest = digest_of(submission)
        job = self.table.jobs.get(identifier)
        if job is None:
            refusal = self._check_new_job(identifier, submission)
            if refusal is not None:
                return await self._confirmed_refusal(refusal)
            self._accept(identifier, submission, digest)
        elif job.digest != digest:
            return Refusal(
                ResultCode.KEY_REUSED, "the key names a job with another body", "key"
            )
        with self._unless_stopped():
            await self._acceptance_durable[identifier].wait()
        return self._answer(identifier)

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state if the timeout passes first."""
        if job not in self.table.jobs:
            return await self._confirmed_refusal(self._job_not_found(job))
        with self._unless_stopped():
            await self._acceptance_durable[job].wait()
            with trio.move_on_after(timeout_s):
                await self._answer_durable[job].wait()
        return self._answer(job)

    def has_ended(self, job: JobId) -> bool:
        """Return whether a job needs no more waiting.

        True if its answer is durable, and for a job that is not in the table.
        """
        answered = self._answer_durable.get(job)
        return answered is None or answered.is_set()

    async def wait_any_job_ended(self) -> None:
        """Return once the answer of any job has become durable."""
        with self._unless_stopped():
            await self._any_answer_durable.wait()

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Cancel a job: start no more of its tasks and stop the running ones."""
        if job not in self.table.jobs:
            return self._job_not_found(job)
        with self._unless_stopped():
            await self._cancel_job(job, ResultCode.JOB_CANCELLED, JobEnd.CANCELLED)
            await self._acceptance_durable[job].wait()
        return self._answer(job)

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return the state of each task of a job, once that state is durable."""
        if job not in self.table.jobs:
            return self._job_not_found(job)
        statuses = self.table.jobs[job].task_statuses()
        with self._unless_stopped():
            await self._enqueue([]).wait()
            await self._acceptance_durable[job].wait()
        return statuses

    def current_tasks(self, job: JobId) -> tuple[TaskStatus, ...]:
        """Return the state of each task of a job as of now; it may not be durable.

        Empty if there is no such job.
        """
        known = self.table.jobs.get(job)
        return () if known is None else known.task_statuses()

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Return lines that explain the state of a job's tasks."""
        lines = self._scheduler.explain(job)
        if not lines and job not in self.table.jobs:
            return self._job_not_found(job)
        return lines

    def placements(self, job: JobId) -> list[PlacementDecision]:
        """Return the placements of a job's attempts, in their order."""
        return self._scheduler.placements(job)

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return the latest announcement of each registered endpoint."""
        return [registered.announcement for registered in self._roster]

    def load(self) -> HostLoad:
        """Return the current load, for the metrics."""
        announcements = [registered.announcement for registered in self._roster]
        states = [
            task.state
            for job in self.table.jobs.values()
            if job.code is None
            for task in job.tasks
        ]
        return HostLoad(
            self.starts_sent,
            self.starts_refused,
            len(announcements),
            sum(announcement.slots for announcement in announcements),
            states.count(TaskState.STARTED),
            states.count(TaskState.WAITING),
        )

    def free_capacity(self) -> FreeCapacity:
        """Return the free capacity of all endpoints in use."""
        return self._scheduler.free_capacity()

    def is_in_use(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Return whether this incarnation of an endpoint is in use."""
        return self._roster.is_registered(endpoint, incarnation)

    def announcement(self, endpoint: EndpointId) -> Announcement | None:
        """Return the latest announcement of an endpoint, None if not in use."""
        registered = self._roster.get(endpoint)
        return None if registered is None else registered.announcement

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Record an endpoint's announcement and grant it a lease."""
        assert self._nursery is not None
        reply = self._roster.announce(announcement, self._nursery)
        self._work_available.set()
        return reply

    def _grantable_lease_s(self) -> float | None:
        """Return the lease that may be granted now, None if none may be.

        It is shortened by the time since this dispatcher was last certain to be in
        charge, so that it ends before a successor considers it expired.
        """
        lease_s = self._limits.endpoint_lease_s - self._job_log.confirmed_age_s()
        return None if lease_s <= 0 or self._stopped else lease_s

    # Callbacks of links, as `LinkHandler` has them.

    async def batch_answered(
        self, endpoint: EndpointId, batch: StartBatch, reply: StartReply
    ) -> None:
        """Record the reply to a batch; the starts that it refuses have ended."""
        self.starts_refused += len(reply.refused)
        self._unanswered_starts.difference_update(start.ref for start in batch.starts)
        ended = [AttemptEnded(refused.ref, refused.code) for refused in reply.refused]
        if ended:
            await self._record_ends(ended, {})

    async def results_received(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        results: Sequence[ResultLine],
    ) -> None:
        """Record results of tasks and return once they are durable."""
        ended = [
            AttemptEnded(line.ref, line.code, line.value)
            for line in results
            if self._is_current_attempt(line.ref, endpoint, incarnation)
        ]
        await self._record_ends(ended, {line.ref: line.run_s for line in results})

    async def held_attempts_received(
        self, endpoint: EndpointId, reply: AdoptReply
    ) -> None:
        """End the attempts of earlier epochs that an adopted endpoint never started."""
        held = set(reply.attempts)
        ended = [
            AttemptEnded(ref, ResultCode.NOT_RUN_NO_PRIMARY)
            for ref, task in self._started_attempts(endpoint, reply.incarnation)
            if ref not in held and task.epoch != self.epoch
        ]
        if ended:
            await self._record_ends(ended, {})

    def heartbeat_received(
        self, endpoint: EndpointId, heartbeat: Heartbeat
    ) -> LeaseGrant | None:
        """Record a heartbeat and return the lease granted, if any."""
        self._plan_if_tasks_wait()
        return self._roster.record_heartbeat(endpoint, heartbeat)

    def progress_received(
        self, endpoint: EndpointId, progress: Mapping[AttemptRef, AttemptProgress]
    ) -> None:
        """Restart attempts that are going to miss the deadline, or abandon their jobs.

        An attempt that another start could still complete in time is stopped and
        started again; otherwise the job is abandoned. Applies only to jobs that
        allow it by `give_up_early`.
        """
        self._scheduler.record_progress(progress)
        for ref, report in progress.items():
            job = self.table.jobs.get(ref.job)
            if job is None or not job.submission.give_up_early or job.cannot_complete:
                continue
            if ref in self._restarting:
                continue
            left_s = job.deadline_unix_s - self._calendar.unix_s()
            estimate = self._scheduler.estimate_restart(ref, report)
            decision = decide_attempt(ref.attempt, report, estimate, left_s)
            if decision is AttemptDecision.CONTINUE:
                continue
            self._metrics.count_late_attempt(decision.name)
            event = events.ATTEMPT_MOVED
            if decision is AttemptDecision.ABANDON_JOB:
                event = events.JOB_ABANDONED
            event.log(
                job=ref.job,
                task=ref.task,
                endpoint=endpoint,
                ground=decision.value,
                run_s=round(report.run_s, 3),
                since_sent_s=round(report.since_sent_s, 3),
                left_s=round(report.left_s, 3),
                speed=round(self._scheduler.endpoint_speed(endpoint), 2),
                if_long_s=round(estimate.if_long_s, 3),
                if_usual_s=round(estimate.if_usual_s, 3),
                deadline_left_s=round(left_s, 3),
            )
            if decision is AttemptDecision.ABANDON_JOB:
                code = ResultCode.DEADLINE_PASSED
                self._cancel_remaining(job, code, JobEnd.LATE_ATTEMPT)
            else:
                self._restart_attempt(endpoint, ref, report, decision)

    def _restart_attempt(
        self,
        endpoint: EndpointId,
        ref: AttemptRef,
        report: AttemptProgress,
        decision: AttemptDecision,
    ) -> None:
        """Stop an attempt; its task is queued again once the attempt has ended."""
        self._restarting.add(ref)
        if decision is AttemptDecision.MOVE:
            self._scheduler.record_observed_run_time(ref, report)
        else:
            self._scheduler.record_stall(ref, now_s())
        registered = self._roster.get(endpoint)
        if registered is not None:
            registered.link.send((), (ref,))

    def endpoint_reachability_changed(
        self, endpoint: EndpointId, reachable: bool
    ) -> None:
        """Record whether an endpoint is reachable."""
        self._scheduler.set_endpoint_reachable(endpoint, reachable)
        if reachable:
            self._plan_if_tasks_wait()

    def _plan_if_tasks_wait(self) -> None:
        """Have the dispatch loop plan, unless there is nothing to place."""
        if self._scheduler.waiting_task_count:
            self._work_available.set()

    def newer_epoch_seen(self, endpoint: EndpointId) -> None:
        """Stop dispatching, since another host has taken over.

        Raises
        ------
        Deposed
            Always; it ends the dispatcher.
        """
        events.DEPOSED.log(epoch=self.epoch, endpoint=endpoint)
        raise Deposed(f"{endpoint} serves a newer epoch than {self.epoch}")

    @contextmanager
    def _unless_stopped(self) -> Iterator[None]:
        """Raise `Deposed` if the dispatcher has stopped, or stops within the block."""
        if self._stopped:
            raise Deposed(f"the dispatcher of epoch {self.epoch} has stopped")
        with trio.CancelScope() as scope:
            self._waiter_scopes.add(scope)
            try:
                yield
            finally:
                self._waiter_scopes.discard(scope)
        if self._stopped:
            raise Deposed(f"the dispatcher of epoch {self.epoch} has stopped")

    async def _confirmed_refusal(self, refusal: Refusal) -> Refusal:
        """Return a refusal once no newer dispatcher can have accepted the job.

        The read barrier proves that this dispatcher was in charge when it refused.
        """
        with self._unless_stopped():
            await self._job_log.confirm_primary()
        return refusal

    # Jobs.

    def _job_not_found(self, job: JobId) -> Refusal:
        if job in self.table.forgotten:
            return Refusal(ResultCode.ANSWER_NOT_KEPT, "ended long ago", "key")
        return Refusal(ResultCode.JOB_NOT_FOUND, "no such job", "key")

    def _check_new_job(self, job: JobId, submission: Submission) -> Refusal | None:
        """Return the reason to refuse a new job, None to accept it."""
        if job in self.table.forgotten:
            return self._job_not_found(job)
        if self._shutting_down:
            return Refusal(ResultCode.NOT_RUN_SHUTTING_DOWN, "host is shutting down")
        if self._job_log.second_copy_missing():
            detail = "no second host could hold the job"
            return Refusal(ResultCode.NOT_RUN_SECOND_COPY_MISSING, detail)
        refusal = self._scheduler.check_admission(
            self._job_request(job, submission), now_s()
        )
        if refusal is not None:
            tasks = submission.tasks
            work_core_s = self._scheduler.work_core_s(job, tasks)
            self._metrics.outcomes.record(tasks[0].kind, work_core_s, JobEnd.REFUSED)
        return refusal

    def _accept(self, job: JobId, submission: Submission, digest: str) -> None:
        unix_s = self._calendar.unix_s()
        record = JobAccepted(
            job, digest, submission, unix_s, unix_s + submission.deadline_s
        )
        request = self._job_request(job, submission)
        self._acceptance_durable[job] = self._enqueue([record])
        self._answer_durable[job] = trio.Event()
        attempts = {index: 1 for index in range(len(submission.tasks))}
        self._scheduler.add(request, attempts, now_s())

    def _job_request(self, job: JobId, submission: Submission) -> JobRequest:
        """Return a job for the scheduler, with its times on the runtime's clock."""
        recorded = self.table.jobs.get(job)
        start_by_s = math.inf
        accepted_s = now_s()
        if recorded is not None:
            accepted_s -= self._calendar.unix_s() - recorded.accepted_unix_s
        elif submission.start_within_s is not None:
            start_by_s = accepted_s + submission.start_within_s
        target_completion_s = (
            math.inf if submission.aim_s is None else accepted_s + submission.aim_s
        )
        return JobRequest(
            job,
            submission.team,
            submission.tasks,
            accepted_s + submission.deadline_s,
            start_by_s,
            target_completion_s,
        )

    def _answer(self, identifier: JobId) -> Answer | Refusal:
        """Return the answer of a job; running until the job's close is durable."""
        job = self.table.jobs.get(identifier)
        if job is None:
            return self._job_not_found(identifier)
        if job.code is not None and not self._answer_durable[identifier].is_set():
            return Answer(job.submission.key, job.state, ResultCode.RUNNING)
        return job.answer()

    async def _cancel_job(
        self, identifier: JobId, code: ResultCode, end: JobEnd
    ) -> None:
        job = self.table.jobs[identifier]
        if job.code is None and job.cancel_code is None:
            self._cancel_remaining(job, code, end)
        await self._enqueue([]).wait()

    def _cancel_remaining(self, job: Job, code: ResultCode, end: JobEnd) -> None:
        """Cancel what is left of a job.

        No more tasks are started. Running attempts are stopped, with one message to
        each endpoint, except those whose restart rule is `NEVER`.
        """
        self._record_job_end(job, end)
        self._enqueue([JobCancelled(job.id, code)])
        self._scheduler.remove(job.id)
        stops: dict[EndpointId, list[AttemptRef]] = {}
        for index, task in enumerate(job.tasks):
            stoppable = task.spec.restart is not RestartRule.NEVER
            if task.state is TaskState.STARTED and task.endpoint and stoppable:
                ref = AttemptRef(job.id, index, task.attempt)
                stops.setdefault(task.endpoint, []).append(ref)
        for endpoint, refs in stops.items():
            registered = self._roster.get(endpoint)
            if registered is not None:
                registered.link.send((), refs)
        self._close_if_finished(job)

    def _close_if_finished(self, job: Job) -> None:
        """Close a job that has no open tasks and publish its answer."""
        if job.open_tasks or job.code is not None:
            return
        code = ResultCode.COMPLETE
        if job.cannot_complete:
            code = job.cancel_code or ResultCode.JOB_FAILED
        if job.cancel_code is None:
            complete = code is ResultCode.COMPLETE
            self._record_job_end(job, JobEnd.COMPLETE if complete else JobEnd.FAILED)
        self._scheduler.forget_progress(job.id)
        self._enqueue([JobClosed(job.id, code)])

    def _record_job_end(self, job: Job, end: JobEnd) -> None:
        """Count a job by its outcome and by the work that it showed."""
        tasks = job.submission.tasks
        work_core_s = self._scheduler.work_core_s(job.id, tasks)
        self._metrics.outcomes.record(tasks[0].kind, work_core_s, end)

    def _publish_answer(self, job: JobId) -> None:
        """Wake the callers that wait for an answer whose record is committed."""
        accepted_unix_s = self.table.jobs[job].accepted_unix_s
        self._metrics.observe(
            Timing.JOB_RESPONSE, self._calendar.unix_s() - accepted_unix_s
        )
        self._answer_durable[job].set()
        self._any_answer_durable.set()
        self._any_answer_durable = trio.Event()

    # Attempts.

    def _is_current_attempt(
        self, ref: AttemptRef, endpoint: EndpointId, incarnation: Incarnation
    ) -> bool:
        """Return whether `ref` is the latest attempt and was started there."""
        task = self.table.task(ref)
        process = (endpoint, incarnation)
        return task is not None and (task.endpoint, task.incarnation) == process

    async def _record_ends(
        self, ended: Sequence[AttemptEnded], run_s: dict[AttemptRef, float]
    ) -> None:
        """Record the ends of attempts and return once they are durable.

        An attempt that has already ended, or is not the latest of its task, is
        ignored.

        Parameters
        ----------
        ended : sequence of AttemptEnded
            The ends to record.
        run_s : dict of AttemptRef to float
            Run time of each attempt, 0 for those that are missing.
        """
        tasks: dict[JobId, list[int]] = {}
        for record in ended:
            task = self.table.task(record.ref)
            if task is None or task.state is not TaskState.STARTED:
                continue
            self._enqueue([record])
            self._release_capacity(record, run_s.get(record.ref, 0.0))
            self._unanswered_starts.discard(record.ref)
            self._restarting.discard(record.ref)
            tasks.setdefault(record.ref.job, []).append(record.ref.task)
        for job, indices in tasks.items():
            self._requeue_or_close(self.table.jobs[job], indices)
        await self._enqueue([]).wait()

    def _release_capacity(self, record: AttemptEnded, run_s: float) -> None:
        self._scheduler.attempt_ended(record.ref, record.code, run_s, now_s())

    def _requeue_or_close(self, job: Job, indices: Sequence[int]) -> None:
        """Queue tasks that wait again after an attempt, or close the job."""
        if job.cancel_code is None and job.cannot_complete:
            self._cancel_remaining(job, ResultCode.JOB_FAILED, JobEnd.FAILED)
            return
        retries = {
            index: job.tasks[index].attempt + 1
            for index in indices
            if job.tasks[index].state is TaskState.WAITING
        }
        if retries:
            self._scheduler.add(
                self._job_request(job.id, job.submission), retries, now_s()
            )
        self._close_if_finished(job)

    def _started_attempts(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> list[tuple[AttemptRef, Task]]:
        """Return the attempts of open jobs that an incarnation may be running."""
        return [
            (AttemptRef(job.id, index, task.attempt), task)
            for job in self.table.jobs.values()
            if job.code is None
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.STARTED
            and task.endpoint == endpoint
            and task.incarnation == incarnation
        ]

    # Loops.

    async def _tick_loop(self) -> None:
        """Act on expired leases, answers and deadlines, and on stragglers."""
        while True:
            tick_s = now_s() + TICK_S
            await self._expire_jobs_until(tick_s)
            if now_s() - tick_s > PAUSE_S:
                # What has arrived during a pause of this process is handled first;
                # otherwise work that has ended would count as lost and run again.
                await trio.sleep(CATCH_UP_S)
            for endpoint, incarnation in self._roster.tick():
                await self._end_expired_attempts(endpoint, incarnation)
            self._forget_expired_jobs()
            self._stop_stragglers(now_s())
            self._plan_if_tasks_wait()

    async def _expire_jobs_until(self, end_s: float) -> None:
        """Cancel each job that expires before a time, or is certain to, at once."""
        while True:
            now = now_s()
            code = ResultCode.DEADLINE_PASSED
            for job in self._scheduler.pop_expired_jobs(now):
                await self._cancel_job(job, code, self._expiry_of(job))
            for job in self._scheduler.jobs_without_prospect(now):
                await self._cancel_job(job, code, JobEnd.NO_PROSPECT)
            if now >= end_s:
                return
            next_s = max(self._scheduler.next_expiry_s(), now + MIN_EXPIRY_INTERVAL_S)
            if self._scheduler.waiting_task_count:
                next_s = min(next_s, now + PROSPECT_INTERVAL_S)
            await trio.sleep_until(min(next_s, end_s))

    def _expiry_of(self, identifier: JobId) -> JobEnd:
        """Return which of its limits a waiting job has reached."""
        job = self.table.jobs[identifier]
        if self._calendar.unix_s() >= job.deadline_unix_s:
            return JobEnd.DEADLINE
        if all(task.attempt == 0 for task in job.tasks):
            return JobEnd.NOT_STARTED
        return JobEnd.LATE_MOVE

    def _stop_stragglers(self, now: float) -> None:
        """Stop straggling attempts; their tasks start again once they have ended."""
        for ref in self._scheduler.pick_stragglers(now):
            task = self.table.task(ref)
            registered = self._roster.get(task.endpoint) if task else None
            if registered is not None:
                registered.link.send((), (ref,))

    async def _end_expired_attempts(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> None:
        """End the attempts of an incarnation whose lease has expired."""
        ended = [
            AttemptEnded(ref, ResultCode.UNKNOWN_ATTEMPT_LOST)
            for ref, _ in self._started_attempts(endpoint, incarnation)
        ]
        await self._record_ends(ended, {})

    async def _dispatch_loop(self) -> None:
        """Place tasks, commit the outbox, then send the starts that are committed.

        Records that enter the outbox during a commit share the next one.
        """
        while True:
            await self._work_available.wait()
            self._work_available = trio.Event()
            placed = [] if self._paused else self._scheduler.plan(now_s())
            for item in placed:
                self._metrics.observe(
                    Timing.QUEUE_WAIT, now_s() - item.task.queued_at_s
                )
            if placed:
                self._enqueue([self._start_record(item) for item in placed])
            entries, self._outbox = self._outbox, []
            records = [record for entry in entries for record in entry.records]
            if records:
                await self._job_log.commit(records)
            for entry in entries:
                entry.committed.set()
            for record in records:
                if isinstance(record, JobClosed):
                    self._publish_answer(record.job)
            self._send_starts(placed)

    def _start_record(self, placed: PlacedTask) -> AttemptStarted:
        """Return the record that has to be durable before the start is sent."""
        return AttemptStarted(
            placed.ref, self.epoch, placed.endpoint, placed.incarnation
        )

    def _send_starts(self, placed: Sequence[PlacedTask]) -> None:
        """Send committed starts; withdraw those that became obsolete meanwhile."""
        starts: dict[EndpointId, list[Start]] = {}
        now = now_s()
        for item in placed:
            if self._is_obsolete(item, now):
                self._withdraw_start(item, now)
            else:
                starts.setdefault(item.endpoint, []).append(_start_message(item))
        for endpoint, items in starts.items():
            self.starts_sent += len(items)
            self._unanswered_starts.update(start.ref for start in items)
            registered = self._roster.get(endpoint)
            assert registered is not None
            registered.link.send(items)

    def _is_obsolete(self, item: PlacedTask, now: float) -> bool:
        """Return whether a start must no longer be sent after its commit.

        During the commit its attempt may have ended, its endpoint may have been lost or
        restarted, its job cancelled, its deadline passed or the dispatcher paused.
        """
        task = self.table.task(item.ref)
        if task is None or task.state is not TaskState.STARTED:
            return True
        if not self._roster.is_registered(item.endpoint, item.incarnation):
            return True
        job = self.table.jobs[item.ref.job]
        expired = item.task.deadline_s <= now
        return self._paused or expired or job.cancel_code is not None

    def _withdraw_start(self, item: PlacedTask, now: float) -> None:
        """Undo a placement whose start was not sent; an expired job is cancelled."""
        code = ResultCode.NOT_RUN_CANCELLED
        self._scheduler.attempt_ended(item.ref, code, 0.0, now)
        task = self.table.task(item.ref)
        if task is not None and task.state is TaskState.STARTED:
            self._enqueue([AttemptWithdrawn(item.ref)])
            job = self.table.jobs[item.ref.job]
            if job.cancel_code is None and item.task.deadline_s <= now:
                code = ResultCode.DEADLINE_PASSED
                self._cancel_remaining(job, code, JobEnd.DEADLINE)
            else:
                self._requeue_or_close(job, [item.ref.task])

    def _enqueue(self, records: list[Record]) -> trio.Event:
        """Apply records to the table and add them to the outbox.

        Returns
        -------
        trio.Event
            Set once these records, and all before them, are committed.
        """
        self.table.apply_all(records)
        entry = _OutboxEntry(records, trio.Event())
        self._outbox.append(entry)
        self._work_available.set()
        return entry.committed

    def _recover_jobs(self) -> None:
        """Rebuild the job table from the log and give open jobs to the scheduler."""
        self.table.apply_all(self._job_log.recover())
        now = now_s()
        unconfirmed = self._job_log.unconfirmed_jobs()
        for job in self.table.jobs.values():
            confirmed = job.id not in unconfirmed
            self._acceptance_durable[job.id] = (
                _event_already_set() if confirmed else trio.Event()
            )
            self._answer_durable[job.id] = (
                _event_already_set() if job.code is not None else trio.Event()
            )
            if job.code is None:
                self._restore_job(job, now)

    def _finish_recovered(self) -> None:
        """Cancel or close the jobs that an earlier dispatcher did not get to."""
        for job in list(self.table.jobs.values()):
            if job.code is not None:
                continue
            if job.cancel_code is None and job.cannot_complete:
                self._cancel_remaining(job, ResultCode.JOB_FAILED, JobEnd.FAILED)
            else:
                self._close_if_finished(job)

    def _forget_expired_jobs(self) -> None:
        """Remove answers whose retention time has passed."""
        now = now_s()
        if now < self._next_forget_s:
            return
        self._next_forget_s = now + FORGET_INTERVAL_S
        before_unix_s = self._calendar.unix_s() - self._limits.answer_kept_s
        for job in list(self.table.jobs.values()):
            if not self._answer_durable[job.id].is_set():
                continue
            if job.deadline_unix_s < before_unix_s:
                self._enqueue([JobForgotten(job.id)])
                self._acceptance_durable.pop(job.id, None)
                self._answer_durable.pop(job.id, None)

    def _restore_job(self, job: Job, now: float) -> None:
        """Give the open tasks of a recovered job to the scheduler.

        Waiting tasks are queued. Started ones count as running where they were
        started, until that endpoint reports their end, shows that it never started
        them, or its lease expires.
        """
        request = self._job_request(job.id, job.submission)
        attempts = {
            index: task.attempt + 1
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.WAITING
        }
        self._scheduler.add(request, attempts, now)
        for index, task in enumerate(job.tasks):
            if task.state is not TaskState.STARTED or task.endpoint is None:
                continue
            ref = AttemptRef(job.id, index, task.attempt)
            running = WaitingTask(
                job.id,
                request.team,
                index,
                task.attempt,
                task.spec,
                request.deadline_s,
                now,
            )
            self._scheduler.add_running(ref, task.endpoint, running)
            if task.incarnation is not None:
                self._roster.expect_incarnation(task.endpoint, task.incarnation)


def _event_already_set() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


def _start_message(placed: PlacedTask) -> Start:
    task = placed.task
    return Start(
        placed.ref,
        task.spec.kind,
        task.spec.payload,
        max(0.0, task.deadline_s - now_s()),
        task.spec.processors,
        task.spec.memory_mb,
        task.spec.accelerators,
    )


def _default_make_link() -> MakeLink:
    # Imported only if used, since it imports a complete HTTP client.
    from .endpoint_link import EndpointLink

    return EndpointLink
