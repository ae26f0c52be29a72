"""The dispatcher: the primary's service that runs the jobs of its data centre.

Invariants: nothing is sent to an endpoint, and nothing is told to a caller, before
the records that it rests on are committed; the job table changes as records are
put in the outbox, and whoever shows it to the outside waits for their commit.
A dispatcher that has stopped tells no one anything: whoever waits gets `Deposed`.
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
from .drains import DrainSource, NoDrains
from .endpoint_link import EndpointLink, MakeLink
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
from .jobs import Job, JobTable, Task
from .kernel import ServiceName
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
PAUSE_POLL_S = 0.02
FORGET_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherLimits:
    """Limits of a dispatcher.

    Parameters
    ----------
    endpoint_lease_s : float
        How long an endpoint may run on without a reply to its announcements.
    suspect_after_s : float
        After so long a silence an endpoint gets no new start.
    answer_kept_s : float
        How long after its deadline the answer of a job is kept.
    clock_drift : float
        By what share the clock of an endpoint may be slow.
    adopt_before_start : bool
        Whether an endpoint gets no start before its link says that it answers.
    """

    endpoint_lease_s: float = 8.0
    suspect_after_s: float = 5.0
    answer_kept_s: float = 86_400.0
    clock_drift: float = 0.01
    adopt_before_start: bool = False


@dataclasses.dataclass(slots=True)
class _Entry:
    """Records in the outbox and who waits for them."""

    records: list[Record]
    committed: trio.Event


class Dispatcher:
    """Accepts jobs, starts their tasks and collects their results.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre served.
    epoch : Epoch
        The epoch under which starts are sent; newer than that of any earlier
        dispatcher of the data centre.
    job_log : JobLog
        Where records are committed.
    scheduler : Scheduler
        Decides.
    calendar : CalendarClock
        For deadlines that outlast the process.
    limits : DispatcherLimits
        Limits.
    make_link : callable
        Makes the link to an incarnation of an endpoint.
    metrics : Metrics or None
        Where times go.
    drains : DrainSource or None
        Which endpoints operators have drained.
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
        make_link: MakeLink = EndpointLink,
        drains: DrainSource | None = None,
    ) -> None:
        self.data_centre = data_centre
        self.epoch = epoch
        self.table = JobTable()
        self.starts_sent = 0
        self.starts_refused = 0
        self._log = job_log
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
            make_link,
            self,
            self._lease_s,
        )
        self._outbox: list[_Entry] = []
        self._placed: list[PlacedTask] = []
        self._wake = trio.Event()
        self._accepted: dict[JobId, trio.Event] = {}
        self._answered: dict[JobId, trio.Event] = {}
        self._any_answered = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._shutting_down = False
        self._paused = False
        self._unanswered: set[AttemptRef] = set()
        self._moving: set[AttemptRef] = set()
        self._waiters: set[trio.CancelScope] = set()
        self._stopped = False
        self._forget_due_s = 0.0

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Recover, then dispatch until cancelled or deposed."""
        self._recover()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._finish_recovered()
                nursery.start_soon(self._tick_loop)
                task_status.started()
                await self._pump_loop()
        finally:
            self._stopped = True
            for scope in self._waiters:
                scope.cancel()

    async def drain(self) -> None:
        """Refuse new jobs and return once all accepted ones are answered."""
        self._shutting_down = True
        with suppress(Deposed), self._unless_stopped():
            for answered in list(self._answered.values()):
                await answered.wait()

    async def pause(self, timeout_s: float) -> None:
        """Send no more starts and return once endpoints have answered all sent."""
        self._paused = True
        with trio.move_on_after(timeout_s):
            while self._unanswered:
                await trio.sleep(PAUSE_POLL_S)

    def resume(self) -> None:
        """Send starts again."""
        self._paused = False
        self._wake.set()

    # What callers ask.

    async def submit(self, submission: Submission) -> Answer | Refusal:
        """Accept a job, or find the one that has the same key.

        Returns
        -------
        Answer or Refusal
            The state of the job, once its acceptance is durable; or why it was
            refused.

        Raises
        ------
        Deposed
            If the dispatcher stopped; whether the job was accepted is unknown.
        """
        job_key = job_id(submission.team, submission.key)
        digest = digest_of(submission)
        job = self.table.jobs.get(job_key)
        if job is None:
            refusal = self._check_new(job_key, submission)
            if refusal is not None:
                return await self._sure(refusal)
            self._accept(job_key, submission, digest)
        elif job.digest != digest:
            return Refusal(
                ResultCode.KEY_REUSED, "the key names a job with another body", "key"
            )
        with self._unless_stopped():
            await self._accepted[job_key].wait()
        return self._answer(job_key)

    async def wait(self, job: JobId, timeout_s: float) -> Answer | Refusal:
        """Return the answer of a job, or its state once the time is up."""
        if job not in self.table.jobs:
            return await self._sure(self._no_job(job))
        with self._unless_stopped():
            await self._accepted[job].wait()
            with trio.move_on_after(timeout_s):
                await self._answered[job].wait()
        return self._answer(job)

    def has_ended(self, job: JobId) -> bool:
        """Tell whether `wait` would return the answer of a job at once."""
        answered = self._answered.get(job)
        return answered is None or answered.is_set()

    async def wait_any_job_ended(self) -> None:
        """Return once any job has ended."""
        with self._unless_stopped():
            await self._any_answered.wait()

    async def cancel(self, job: JobId) -> Answer | Refusal:
        """Start nothing more of a job and stop what runs."""
        if job not in self.table.jobs:
            return self._no_job(job)
        with self._unless_stopped():
            await self._cancel(job, ResultCode.JOB_CANCELLED)
            await self._accepted[job].wait()
        return self._answer(job)

    async def tasks(self, job: JobId) -> tuple[TaskStatus, ...] | Refusal:
        """Return where each task of a job stands, once that is durable."""
        if job not in self.table.jobs:
            return self._no_job(job)
        statuses = self.table.jobs[job].statuses()
        with self._unless_stopped():
            await self._put([]).wait()
            await self._accepted[job].wait()
        return statuses

    async def explain(self, job: JobId) -> list[str] | Refusal:
        """Say why the tasks of a job stand where they stand."""
        lines = self._scheduler.explain(job)
        if not lines and job not in self.table.jobs:
            return self._no_job(job)
        return lines

    async def endpoints(self) -> list[Announcement] | Refusal:
        """Return what all known endpoints last said of themselves."""
        return [known.announcement for known in self._roster]

    def load(self) -> HostLoad:
        """Return what there is to do now."""
        said = [known.announcement for known in self._roster]
        states = [
            task.state
            for job in self.table.jobs.values()
            if job.code is None
            for task in job.tasks
        ]
        return HostLoad(
            self.starts_sent,
            self.starts_refused,
            len(said),
            sum(announcement.slots for announcement in said),
            states.count(TaskState.STARTED),
            states.count(TaskState.WAITING),
        )

    def free_capacity(self) -> FreeCapacity:
        """Return how much more could start."""
        return self._scheduler.free_capacity()

    def is_in_use(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Tell whether this incarnation of an endpoint is in use."""
        return self._roster.is_known(endpoint, incarnation)

    def announcement(self, endpoint: EndpointId) -> Announcement | None:
        """Return what an endpoint last said of itself, None if it is not in use."""
        known = self._roster.get(endpoint)
        return None if known is None else known.announcement

    async def announce(self, announcement: Announcement) -> AnnouncementReply | Refusal:
        """Take in an endpoint's announcement and grant it a lease."""
        assert self._nursery is not None
        told = self._roster.announce(announcement, self._nursery)
        self._wake.set()
        return told

    def _lease_s(self) -> float | None:
        """Return a lease that ends before a successor counts it over, if any."""
        lease_s = self._limits.endpoint_lease_s - self._log.confirmed_age_s()
        return None if lease_s <= 0 or self._stopped else lease_s

    # What links tell.

    async def batch_answered(
        self, endpoint: EndpointId, batch: StartBatch, reply: StartReply
    ) -> None:
        """Take in which starts of a batch the endpoint refused."""
        self.starts_refused += len(reply.refused)
        self._unanswered.difference_update(start.ref for start in batch.starts)
        ended = [AttemptEnded(refused.ref, refused.code) for refused in reply.refused]
        if ended:
            await self._end(ended, {})

    async def results_received(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        results: Sequence[ResultLine],
    ) -> None:
        """Return once the results are durable."""
        ended = [
            AttemptEnded(line.ref, line.code, line.value)
            for line in results
            if self._runs_at(line.ref, endpoint, incarnation)
        ]
        await self._end(ended, {line.ref: line.run_s for line in results})

    async def held_attempts_received(
        self, endpoint: EndpointId, held: AdoptReply
    ) -> None:
        """End the attempts that an adopted endpoint has never started."""
        known = set(held.attempts)
        ended = [
            AttemptEnded(ref, ResultCode.NOT_RUN_NO_PRIMARY)
            for ref, task in self._started_at(endpoint, held.incarnation)
            if ref not in known and task.epoch != self.epoch
        ]
        if ended:
            await self._end(ended, {})

    def heartbeat_received(
        self, endpoint: EndpointId, beat: Heartbeat
    ) -> LeaseGrant | None:
        """Take in a sign of life and return the lease granted, if any."""
        self._wake.set()
        return self._roster.beat(endpoint, beat)

    def progress_received(
        self, endpoint: EndpointId, progress: Mapping[AttemptRef, AttemptProgress]
    ) -> None:
        """Give up jobs that will miss their deadline by how far attempts have come.

        An attempt that is late only where it runs is stopped and started anew.
        """
        for ref, seen in progress.items():
            job = self.table.jobs.get(ref.job)
            if job is None or not job.submission.give_up_early or job.cannot_complete:
                continue
            if ref in self._moving:
                continue
            left_s = job.deadline_unix_s - self._calendar.unix_s()
            outlook = self._scheduler.estimate_restart(ref, seen)
            verdict = decide_attempt(ref.attempt, seen, outlook, left_s)
            if verdict is AttemptDecision.CONTINUE:
                continue
            event = events.ATTEMPT_MOVED
            if verdict is AttemptDecision.ABANDON_JOB:
                event = events.JOB_ABANDONED
            event.log(
                job=ref.job,
                task=ref.task,
                endpoint=endpoint,
                ground=verdict.value,
                run_s=round(seen.run_s, 3),
                left_s=round(seen.left_s, 3),
                if_long_s=round(outlook.if_long_s, 3),
                if_usual_s=round(outlook.if_usual_s, 3),
                deadline_left_s=round(left_s, 3),
            )
            if verdict is AttemptDecision.ABANDON_JOB:
                self._doom(job, ResultCode.DEADLINE_PASSED)
            else:
                self._start_anew(endpoint, ref, seen, verdict)

    def _start_anew(
        self,
        endpoint: EndpointId,
        ref: AttemptRef,
        seen: AttemptProgress,
        verdict: AttemptDecision,
    ) -> None:
        """Have an attempt stopped; its task is queued again once it is over."""
        self._moving.add(ref)
        if verdict is AttemptDecision.MOVE:
            self._scheduler.record_observed_run_time(ref, seen)
        else:
            self._scheduler.record_stall(ref, now_s())
        known = self._roster.get(endpoint)
        if known is not None:
            known.link.send((), (ref,))

    def endpoint_reachability_changed(
        self, endpoint: EndpointId, answers: bool
    ) -> None:
        """Note whether an endpoint answers."""
        self._scheduler.set_endpoint_reachable(endpoint, answers)
        if answers:
            self._wake.set()

    def newer_epoch_seen(self, endpoint: EndpointId) -> None:
        """Stop dispatching: another host has taken over."""
        events.DEPOSED.log(epoch=self.epoch, endpoint=endpoint)
        raise Deposed(f"{endpoint} serves a newer epoch than {self.epoch}")

    @contextmanager
    def _unless_stopped(self) -> Iterator[None]:
        """Raise `Deposed` if the dispatcher has stopped or stops in the body."""
        if self._stopped:
            raise Deposed(f"epoch {self.epoch} has ended")
        with trio.CancelScope() as scope:
            self._waiters.add(scope)
            try:
                yield
            finally:
                self._waiters.discard(scope)
        if self._stopped:
            raise Deposed(f"epoch {self.epoch} has ended")

    async def _sure(self, refusal: Refusal) -> Refusal:
        """Return a refusal once no newer dispatcher can have accepted the job."""
        with self._unless_stopped():
            await self._log.confirm_primary()
        return refusal

    # Jobs.

    def _no_job(self, job: JobId) -> Refusal:
        if job in self.table.forgotten:
            return Refusal(ResultCode.ANSWER_NOT_KEPT, "ended long ago", "key")
        return Refusal(ResultCode.JOB_NOT_FOUND, "no such job", "key")

    def _check_new(self, job: JobId, submission: Submission) -> Refusal | None:
        if job in self.table.forgotten:
            return self._no_job(job)
        if self._shutting_down:
            return Refusal(ResultCode.NOT_RUN_SHUTTING_DOWN, "host is shutting down")
        if self._log.second_copy_missing():
            detail = "no second host could hold the job"
            return Refusal(ResultCode.NOT_RUN_SECOND_COPY_MISSING, detail)
        return self._scheduler.check_admission(self._request(job, submission), now_s())

    def _accept(self, job: JobId, submission: Submission, digest: str) -> None:
        unix_s = self._calendar.unix_s()
        record = JobAccepted(
            job, digest, submission, unix_s, unix_s + submission.deadline_s
        )
        request = self._request(job, submission)
        self._accepted[job] = self._put([record])
        self._answered[job] = trio.Event()
        attempts = {index: 1 for index in range(len(submission.tasks))}
        self._scheduler.add(request, attempts, now_s())

    def _request(self, job: JobId, submission: Submission) -> JobRequest:
        held = self.table.jobs.get(job)
        start_by_s = math.inf
        begun_s = now_s()
        if held is not None:
            begun_s -= self._calendar.unix_s() - held.accepted_unix_s
        elif submission.start_within_s is not None:
            start_by_s = begun_s + submission.start_within_s
        aim_s = math.inf if submission.aim_s is None else begun_s + submission.aim_s
        return JobRequest(
            job,
            submission.team,
            submission.tasks,
            begun_s + submission.deadline_s,
            start_by_s,
            aim_s,
        )

    def _answer(self, job_key: JobId) -> Answer | Refusal:
        job = self.table.jobs.get(job_key)
        if job is None:
            return self._no_job(job_key)
        if job.code is not None and not self._answered[job_key].is_set():
            return Answer(job.submission.key, job.state, ResultCode.RUNNING)
        return job.answer()

    async def _cancel(self, job_key: JobId, code: ResultCode) -> None:
        job = self.table.jobs[job_key]
        if job.code is None and job.cancel_code is None:
            self._doom(job, code)
        await self._put([]).wait()

    def _doom(self, job: Job, code: ResultCode) -> None:
        """Start nothing more of a job, and stop what may be stopped."""
        self._put([JobCancelled(job.id, code)])
        self._scheduler.remove(job.id)
        stops: dict[EndpointId, list[AttemptRef]] = {}
        for index, task in enumerate(job.tasks):
            stoppable = task.spec.restart is not RestartRule.NEVER
            if task.state is TaskState.STARTED and task.endpoint and stoppable:
                ref = AttemptRef(job.id, index, task.attempt)
                stops.setdefault(task.endpoint, []).append(ref)
        for endpoint, refs in stops.items():
            known = self._roster.get(endpoint)
            if known is not None:
                known.link.send((), refs)
        self._close_if_over(job)

    def _close_if_over(self, job: Job) -> None:
        if job.open_tasks or job.code is not None:
            return
        code = ResultCode.COMPLETE
        if job.cannot_complete:
            code = job.cancel_code or ResultCode.JOB_FAILED
        committed = self._put([JobClosed(job.id, code)])
        assert self._nursery is not None
        self._nursery.start_soon(self._show_answer, job.id, committed)

    async def _show_answer(self, job: JobId, committed: trio.Event) -> None:
        await committed.wait()
        accepted_unix_s = self.table.jobs[job].accepted_unix_s
        self._metrics.observe(
            Timing.JOB_RESPONSE, self._calendar.unix_s() - accepted_unix_s
        )
        self._answered[job].set()
        self._any_answered.set()
        self._any_answered = trio.Event()

    # Attempts.

    def _runs_at(
        self, ref: AttemptRef, endpoint: EndpointId, incarnation: Incarnation
    ) -> bool:
        task = self.table.task(ref)
        place = (endpoint, incarnation)
        return task is not None and (task.endpoint, task.incarnation) == place

    async def _end(
        self, ended: Sequence[AttemptEnded], run_s: dict[AttemptRef, float]
    ) -> None:
        """Take in the ends of attempts and return once they are durable."""
        tasks: dict[JobId, list[int]] = {}
        for record in ended:
            task = self.table.task(record.ref)
            if task is None or task.state is not TaskState.STARTED:
                continue
            self._put([record])
            self._free(record, run_s.get(record.ref, 0.0))
            self._unanswered.discard(record.ref)
            self._moving.discard(record.ref)
            tasks.setdefault(record.ref.job, []).append(record.ref.task)
        for job, indices in tasks.items():
            self._after_ends(self.table.jobs[job], indices)
        await self._put([]).wait()

    def _free(self, record: AttemptEnded, run_s: float) -> None:
        self._scheduler.attempt_ended(record.ref, record.code, run_s, now_s())

    def _after_ends(self, job: Job, indices: Sequence[int]) -> None:
        """Queue tasks whose attempts have ended again, or close their job."""
        if job.cancel_code is None and job.cannot_complete:
            self._doom(job, ResultCode.JOB_FAILED)
            return
        again = {
            index: job.tasks[index].attempt + 1
            for index in indices
            if job.tasks[index].state is TaskState.WAITING
        }
        if again:
            self._scheduler.add(self._request(job.id, job.submission), again, now_s())
        self._close_if_over(job)

    def _started_at(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> list[tuple[AttemptRef, Task]]:
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
        while True:
            await trio.sleep(TICK_S)
            now = now_s()
            for endpoint, incarnation in self._roster.tick():
                await self._end_lost(endpoint, incarnation)
            self._forget_old()
            for job in self._scheduler.pop_expired_jobs(now):
                await self._cancel(job, ResultCode.DEADLINE_PASSED)
            self._stop_stragglers(now)
            if self._scheduler.waiting_task_count:
                self._wake.set()

    def _stop_stragglers(self, now: float) -> None:
        """Stop attempts that are better started anew, once they are over."""
        for ref in self._scheduler.stragglers(now):
            task = self.table.task(ref)
            known = self._roster.get(task.endpoint) if task else None
            if known is not None:
                known.link.send((), (ref,))

    async def _end_lost(self, endpoint: EndpointId, incarnation: Incarnation) -> None:
        """End the attempts of an incarnation whose lease has run out."""
        ended = [
            AttemptEnded(ref, ResultCode.UNKNOWN_ATTEMPT_LOST)
            for ref, _ in self._started_at(endpoint, incarnation)
        ]
        await self._end(ended, {})

    async def _pump_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            placed = [] if self._paused else self._scheduler.plan(now_s())
            for item in placed:
                self._metrics.observe(
                    Timing.QUEUE_WAIT, now_s() - item.task.queued_at_s
                )
            if placed:
                self._put([self._intent(item) for item in placed])
            entries, self._outbox = self._outbox, []
            records = [record for entry in entries for record in entry.records]
            if records:
                await self._log.commit(records)
            for entry in entries:
                entry.committed.set()
            self._send(placed)

    def _intent(self, placed: PlacedTask) -> AttemptStarted:
        return AttemptStarted(
            placed.ref, self.epoch, placed.endpoint, placed.incarnation
        )

    def _send(self, placed: Sequence[PlacedTask]) -> None:
        """Send committed starts; withdraw those overtaken during the commit."""
        starts: dict[EndpointId, list[Start]] = {}
        for item in placed:
            if self._overtaken(item):
                self._withdraw(item)
            else:
                starts.setdefault(item.endpoint, []).append(_start(item))
        for endpoint, items in starts.items():
            self.starts_sent += len(items)
            self._unanswered.update(start.ref for start in items)
            known = self._roster.get(endpoint)
            assert known is not None
            known.link.send(items)

    def _overtaken(self, item: PlacedTask) -> bool:
        task = self.table.task(item.ref)
        if task is None or task.state is not TaskState.STARTED:
            return True
        if not self._roster.is_known(item.endpoint, item.incarnation):
            return True
        job = self.table.jobs[item.ref.job]
        return self._paused or job.cancel_code is not None

    def _withdraw(self, item: PlacedTask) -> None:
        code = ResultCode.NOT_RUN_CANCELLED
        self._scheduler.attempt_ended(item.ref, code, 0.0, now_s())
        task = self.table.task(item.ref)
        if task is not None and task.state is TaskState.STARTED:
            self._put([AttemptWithdrawn(item.ref)])
            self._after_ends(self.table.jobs[item.ref.job], [item.ref.task])

    def _put(self, records: list[Record]) -> trio.Event:
        """Apply records and put them in the outbox; the event tells of the commit."""
        self.table.apply_all(records)
        entry = _Entry(records, trio.Event())
        self._outbox.append(entry)
        self._wake.set()
        return entry.committed

    def _recover(self) -> None:
        self.table.apply_all(self._log.recover())
        now = now_s()
        unconfirmed = self._log.unconfirmed_jobs()
        for job in self.table.jobs.values():
            sure = job.id not in unconfirmed
            self._accepted[job.id] = _set_event() if sure else trio.Event()
            self._answered[job.id] = (
                _set_event() if job.code is not None else trio.Event()
            )
            if job.code is None:
                self._requeue(job, now)

    def _finish_recovered(self) -> None:
        """Doom and close jobs whose dispatcher stopped before it did."""
        for job in list(self.table.jobs.values()):
            if job.code is not None:
                continue
            if job.cancel_code is None and job.cannot_complete:
                self._doom(job, ResultCode.JOB_FAILED)
            else:
                self._close_if_over(job)

    def _forget_old(self) -> None:
        """Forget answers that were kept long enough."""
        now = now_s()
        if now < self._forget_due_s:
            return
        self._forget_due_s = now + FORGET_INTERVAL_S
        before_unix_s = self._calendar.unix_s() - self._limits.answer_kept_s
        for job in list(self.table.jobs.values()):
            if not self._answered[job.id].is_set():
                continue
            if job.deadline_unix_s < before_unix_s:
                self._put([JobForgotten(job.id)])
                self._accepted.pop(job.id, None)
                self._answered.pop(job.id, None)

    def _requeue(self, job: Job, now: float) -> None:
        request = self._request(job.id, job.submission)
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
            held = WaitingTask(
                job.id,
                request.team,
                index,
                task.attempt,
                task.spec,
                request.deadline_s,
                now,
            )
            self._scheduler.add_running(ref, task.endpoint, held)
            if task.incarnation is not None:
                self._roster.expect(task.endpoint, task.incarnation)


def _set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


def _start(placed: PlacedTask) -> Start:
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
