"""Claims the ids of an entry host's jobs with the dispatchers that keep claims.

Invariants: a job starts only while its id is claimed for it; the claim is released only
when none of its attempts is running. Once no majority of the keepers could be reached
for as long as a channel may be silent, as on the smaller side of a partition, the grant
of those that can is enough: a data centre that is cut off goes on serving its callers.
"""

import dataclasses
import random
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Protocol

import trio

from .. import events
from ..clock import now_s
from ..ids import DataCentre, Incarnation, Team
from ..job_history import JobStep, job_history
from ..kernel import ServiceName
from .channel import SILENCE_TIMEOUT_S
from .fleet_state import Ownership
from .groups import EndpointGroup
from .job_claims import ClaimState, RunningParts, keeper_in, keepers_of
from .job_router import RETRY_AFTER_S, JobDone, JobIncomplete, JobNotRun
from .lease_times import LEASE_EXPIRY_WAIT_S, START_TOGETHER_S
from .messages import ClaimJob

__all__ = ["Claimant", "HeldClaim", "KeeperLinks"]

# Pause before a claim that was not granted is repeated; it grows with each attempt.
RETRY_PAUSE_S = (0.005, 0.02)
MAX_PAUSE_GROWTH = 4.0
PAUSE_GROWTH = 1.3


class KeeperLinks(Protocol):
    """The part of `DispatcherLinks` that is used here."""

    on_owners_change: Callable[[], None]

    def keeper_counts(self) -> dict[DataCentre, int]:
        """Return the number of groups of each data centre that has dispatchers."""

    def owner_of(self, group: EndpointGroup) -> Ownership | None:
        """Return the latest ownership of a group, if it has one."""

    def silent_for_s(self, group: EndpointGroup) -> float:
        """Return the time since the dispatcher of a group was last heard."""

    def claim(
        self, message: ClaimJob, on_reply: Callable[[ClaimState | None], None]
    ) -> None:
        """Ask the dispatcher of a group for the claim of a job."""

    def release(self, group: EndpointGroup, job: str, token: str, done: bool) -> None:
        """Tell the dispatcher of a group that a claim ends."""


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """The claim of a job that this host runs.

    Parameters
    ----------
    job : str
        The caller's id of the job.
    team : Team
        The team that submitted it.
    token : str
        Identifies the submission.
    ends_s : float
        Time by which all attempts of the submission are over.
    keepers : dict
        The groups whose dispatchers were asked, with their ownership then, None for
        those that did not grant the claim.
    running : RunningParts
        The parts of the job of which attempts may be running.
    contended : bool
        Whether another submission of the id held the claim before.
    """

    job: str
    team: Team
    token: str
    ends_s: float
    keepers: dict[EndpointGroup, Ownership | None]
    running: RunningParts = dataclasses.field(default_factory=RunningParts)
    contended: bool = False

    def message(self, group: EndpointGroup, restored: bool = False) -> ClaimJob:
        """Return the message that asks the dispatcher of a group for the claim."""
        lasts_s = max(0.0, self.ends_s - now_s())
        return ClaimJob(group, self.job, self.team, self.token, lasts_s, restored)


class _Round:
    """The replies to one attempt to claim a job.

    Parameters
    ----------
    keepers : iterable of EndpointGroup
        The groups whose dispatchers are asked.
    majority : int
        How many have to grant the claim.
    """

    def __init__(self, keepers: Iterable[EndpointGroup], majority: int) -> None:
        self.unanswered = set(keepers)
        self.unreached: list[EndpointGroup] = []
        self.decided = trio.Event()
        self.majority = majority
        self._states: list[ClaimState | None] = []

    def count(self, state: ClaimState) -> int:
        """Return how many keepers gave a reply."""
        return self._states.count(state)

    @property
    def reached(self) -> int:
        """How many keepers replied."""
        return len(self._states) - self._states.count(None)

    def is_granted(self) -> bool:
        """Return whether a majority has granted the claim."""
        return self.count(ClaimState.GRANTED) >= self.majority

    def note(self, group: EndpointGroup, state: ClaimState | None) -> None:
        """Record a reply, None for a keeper that can't be reached."""
        self._states.append(state)
        if state is None:
            self.unreached.append(group)
        self.unanswered.discard(group)
        if not self.unanswered or state is ClaimState.DONE or self.is_granted():
            self.decided.set()


class Claimant:
    """The service that claims jobs, restores claims and releases them.

    Parameters
    ----------
    incarnation : Incarnation
        The process of this host.
    home : DataCentre
        Its data centre.
    data_centres : iterable of DataCentre
        All data centres, the same at all hosts.
    links : KeeperLinks
        Connections to the dispatchers.
    source : random.Random or None
        Draws the pauses between attempts.
    """

    name = ServiceName("claims")

    def __init__(
        self,
        incarnation: Incarnation,
        home: DataCentre,
        data_centres: Iterable[DataCentre],
        links: KeeperLinks,
        source: random.Random | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._home = home
        self._data_centres = tuple(data_centres)
        self._links = links
        self._random = source or random.Random()
        self._started_s = now_s()
        self._tokens = 0
        self._held: dict[str, HeldClaim] = {}
        self._silent_since_s: dict[EndpointGroup, float] = {}
        self._unreached_since_s: dict[EndpointGroup, float] = {}
        self._nursery: trio.Nursery | None = None
        links.on_owners_change = self._restore_claims

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Release claims when their jobs have ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def drain(self) -> None:
        """Return once all claims are released, or would have ended by themselves."""
        with trio.move_on_after(LEASE_EXPIRY_WAIT_S):
            while self._held:
                await trio.sleep(RETRY_PAUSE_S[1])

    async def acquire(
        self, job: str, team: Team, deadline_s: float, start_by_s: float
    ) -> HeldClaim | JobDone | JobIncomplete | JobNotRun:
        """Claim a job; wait while another submission of its id holds the claim.

        Parameters
        ----------
        job : str
            The caller's id of the job.
        team : Team
            The team that submitted it.
        deadline_s : float
            Time after which no attempt of the job is started or goes on.
        start_by_s : float
            Time at which a job is refused for which no keeper was reached.

        Returns
        -------
        HeldClaim or JobDone or JobIncomplete or JobNotRun
            The claim, to be given to `release`; or the outcome of the job, if another
            submission has completed it or may still be running, or no keeper could be
            reached.
        """
        ends_s = deadline_s + LEASE_EXPIRY_WAIT_S
        claim = HeldClaim(job, team, self._next_token(), ends_s, {})
        outcome: JobIncomplete | JobNotRun = JobNotRun(
            "no keeper of claims is reached", RETRY_AFTER_S
        )
        growth = 1.0
        try:
            with trio.move_on_at(deadline_s):
                while not isinstance(outcome, JobNotRun) or now_s() < start_by_s:
                    replies = await self._ask(claim)
                    if replies.count(ClaimState.DONE):
                        return JobDone()
                    if replies.count(ClaimState.HELD):
                        if isinstance(outcome, JobNotRun):
                            events.JOB_CLAIM_HELD.log(job=job, claimant=claim.token)
                            job_history.record(job, JobStep.CLAIM_HELD, claim.token)
                        self._give_back(claim, done=False)
                        # A release that comes late must not end the next claim.
                        claim.token = self._next_token()
                        claim.contended = True
                        outcome = JobIncomplete("another submission may be running")
                    elif self._may_start(replies, claim):
                        self._held[claim.token] = claim
                        self._restore(claim)
                        job_history.record(job, JobStep.CLAIMED, claim.token)
                        return claim
                    await trio.sleep(growth * self._random.uniform(*RETRY_PAUSE_S))
                    growth = min(MAX_PAUSE_GROWTH, growth * PAUSE_GROWTH)
        finally:
            if claim.token not in self._held:
                self._give_back(claim, done=False)
        return outcome

    def _next_token(self) -> str:
        self._tokens += 1
        return f"{self._incarnation}.{self._tokens}"

    def release(self, claim: HeldClaim, done: bool) -> None:
        """Release a claim once no attempt of its job is running.

        Parameters
        ----------
        claim : HeldClaim
            The claim.
        done : bool
            Whether the job is complete.
        """
        if self._nursery is not None:
            self._nursery.start_soon(self._release_when_ended, claim, done)

    async def _release_when_ended(self, claim: HeldClaim, done: bool) -> None:
        with trio.move_on_at(claim.ends_s):
            await claim.running.wait_ended()
        del self._held[claim.token]
        job_history.record(claim.job, JobStep.RELEASED, claim.token)
        self._give_back(claim, done)

    def _give_back(self, claim: HeldClaim, done: bool) -> None:
        """Release a claim.

        That a job is done has to be known to one keeper only; the others hold its
        claim until it ends by itself.
        """
        groups = list(claim.keepers)
        if done:
            near = [group for group in groups if group.data_centre == self._home]
            groups = near if near and claim.keepers[near[0]] is not None else groups
        for group in groups:
            self._links.release(group, claim.job, claim.token, done)

    async def _ask(self, claim: HeldClaim) -> _Round:
        """Ask the keepers of a job, until a majority has granted it or all replied.

        If none can be reached, that of this data centre is asked.
        """
        counts = self._links.keeper_counts()
        keepers = keepers_of(claim.job, self._data_centres, counts)
        present = [group for group in keepers if group is not None]
        replies = await self._ask_groups(claim, present, len(keepers) // 2 + 1)
        if not replies.reached and self._home in counts:
            own = keeper_in(self._home, claim.job, counts[self._home])
            if own not in present:
                replies = await self._ask_groups(claim, [own], 1)
        return replies

    async def _ask_groups(
        self, claim: HeldClaim, groups: Sequence[EndpointGroup], majority: int
    ) -> _Round:
        replies = _Round(groups, majority)
        asked_s = now_s()

        def note(group: EndpointGroup, state: ClaimState | None) -> None:
            if state is not ClaimState.GRANTED:
                claim.keepers[group] = None
            if group in replies.unanswered:
                self._note_reached(group, state is not None, asked_s)
                replies.note(group, state)

        for group in groups:
            claim.keepers[group] = self._links.owner_of(group)
            self._links.claim(claim.message(group), partial(note, group))
            if self._is_silent(group):
                # The claim was sent all the same, to be known once the keeper goes on.
                note(group, None)
        if not groups:
            return replies
        with trio.move_on_after(SILENCE_TIMEOUT_S):
            await replies.decided.wait()
        if not replies.decided.is_set():
            for group in list(replies.unanswered):
                self._silent_since_s[group] = asked_s
                self._note_reached(group, False, asked_s)
                replies.note(group, None)
        return replies

    def _may_start(self, replies: _Round, claim: HeldClaim) -> bool:
        """Return whether the replies allow the job to start."""
        if replies.is_granted():
            return True
        granted = replies.count(ClaimState.GRANTED)
        if not granted or replies.reached >= replies.majority:
            return False
        since_s = max(
            (self._unreached_since_s[group] for group in replies.unreached),
            default=self._started_s,
        )
        settled_s = max(since_s + SILENCE_TIMEOUT_S, self._started_s + START_TOGETHER_S)
        if now_s() < settled_s:
            return False
        events.JOB_CLAIM_UNCONFIRMED.log(
            job=claim.job, granted=granted, majority=replies.majority
        )
        return True

    def _note_reached(
        self, group: EndpointGroup, reached: bool, asked_s: float
    ) -> None:
        """Record whether a keeper replied, and since when it did not."""
        if reached:
            self._unreached_since_s.pop(group, None)
        else:
            self._unreached_since_s.setdefault(group, asked_s)

    def _is_silent(self, group: EndpointGroup) -> bool:
        """Return whether a keeper that left a claim unanswered was not heard since."""
        since_s = self._silent_since_s.get(group)
        if since_s is None:
            return False
        if now_s() - self._links.silent_for_s(group) <= since_s:
            return True
        del self._silent_since_s[group]
        return False

    def _restore_claims(self) -> None:
        """Tell all claims to keepers that may not know them."""
        for claim in self._held.values():
            self._restore(claim)

    def _restore(self, claim: HeldClaim) -> None:
        """Tell a claim to new keepers, and to those that did not grant it."""
        for group, asked in claim.keepers.items():
            owner = self._links.owner_of(group)
            if owner is not None and owner != asked:
                claim.keepers[group] = owner
                self._links.claim(
                    claim.message(group, restored=True),
                    partial(_note_restored, claim, group),
                )


def _note_restored(
    claim: HeldClaim, group: EndpointGroup, state: ClaimState | None
) -> None:
    """Record that a claim has to be told again unless it was granted."""
    if state is not ClaimState.GRANTED:
        claim.keepers[group] = None
