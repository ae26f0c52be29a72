"""Claims of job ids: at most one submission of an id runs at a time.

A job is claimed before its first start and released when all of its attempts have
ended. The claims of an id are kept by one dispatcher in each of up to three data
centres, and a majority of them has to grant a claim, so that two hosts never both hold
one. Without a release a claim ends when no attempt of its job can be left: every
attempt is over by the job's deadline and the end of the last lease.

No I/O and no clock: the caller passes in the current time.
"""

import dataclasses
import enum
import zlib
from collections.abc import Iterable, Mapping

import trio

from ..ids import DataCentre, Team
from .groups import EndpointGroup

__all__ = [
    "MAX_KEEPERS",
    "MAX_KEEPER_GROUPS",
    "ClaimState",
    "ClaimTable",
    "RunningParts",
    "keeper_in",
    "keepers_of",
]

# A majority of three outlives the loss of any one.
MAX_KEEPERS = 3
# Bounds the channels of a host to dispatchers that keep claims.
MAX_KEEPER_GROUPS = 4
# Interval at which ended claims are removed.
SWEEP_INTERVAL_S = 1.0


class ClaimState(enum.Enum):
    """The reply of a keeper to a claim.

    ``GRANTED``: the submission holds the claim. ``HELD``: another submission of the id
    does. ``DONE``: another submission has completed the job. ``UNSETTLED``: the keeper
    may not know of claims that an earlier keeper granted.
    """

    GRANTED = "granted"
    HELD = "held"
    DONE = "done"
    UNSETTLED = "unsettled"


def keepers_of(
    job: str, data_centres: Iterable[DataCentre], counts: Mapping[DataCentre, int]
) -> list[EndpointGroup | None]:
    """Return the groups whose dispatchers keep the claims of a job.

    Every host that knows the same data centres returns the same ones.

    Parameters
    ----------
    job : str
        The caller's id of the job.
    data_centres : iterable of DataCentre
        All data centres.
    counts : mapping
        Number of groups of each data centre that has dispatchers.

    Returns
    -------
    list of EndpointGroup or None
        One group of each of the `MAX_KEEPERS` data centres that rank highest by a hash
        of the job and their name; None for one that has no dispatcher yet.
    """
    digest = zlib.crc32(job.encode())
    ranked = sorted(
        data_centres, key=lambda name: (zlib.crc32(name.encode(), digest), name)
    )
    return [
        keeper_in(name, job, counts[name]) if name in counts else None
        for name in ranked[:MAX_KEEPERS]
    ]


def keeper_in(data_centre: DataCentre, job: str, count: int) -> EndpointGroup:
    """Return the group of a data centre whose dispatcher keeps the claims of a job.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    job : str
        The caller's id of the job.
    count : int
        Number of groups of the data centre.
    """
    index = zlib.crc32(job.encode()) % min(count, MAX_KEEPER_GROUPS)
    return EndpointGroup(data_centre, index, count)


@dataclasses.dataclass(slots=True)
class _Claim:
    """A granted claim.

    ``token`` identifies the submission that holds it.
    """

    team: Team
    token: str
    ends_s: float
    done: bool = False


class ClaimTable:
    """The claims that one process keeps, by the caller's id of the job.

    The id alone counts, since endpoints know the tasks of a job by it; the outcome of
    a job is told to its own team only.
    """

    def __init__(self) -> None:
        self._claims: dict[str, _Claim] = {}
        self._next_sweep_s = 0.0

    def __len__(self) -> int:
        return len(self._claims)

    def claim(
        self,
        job: str,
        team: Team,
        token: str,
        ends_s: float,
        now_s: float,
        settled: bool = True,
    ) -> ClaimState:
        """Grant a claim unless another submission holds it.

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
        now_s : float
            Current time on the runtime's clock.
        settled : bool
            Whether all claims that an earlier keeper granted are known or have ended.
        """
        self._sweep(now_s)
        held = self._claims.get(job)
        if held is not None and held.ends_s > now_s:
            if held.token == token:
                held.ends_s = max(held.ends_s, ends_s)
                return ClaimState.GRANTED
            if not held.done:
                return ClaimState.HELD
            if held.team == team:
                return ClaimState.DONE
        if not settled:
            return ClaimState.UNSETTLED
        self._claims[job] = _Claim(team, token, ends_s)
        return ClaimState.GRANTED

    def restore(
        self, job: str, team: Team, token: str, ends_s: float, now_s: float
    ) -> None:
        """Enter a claim that an earlier keeper granted, unless one is held."""
        held = self._claims.get(job)
        if held is None or held.ends_s <= now_s:
            self._claims[job] = _Claim(team, token, ends_s)

    def release(self, job: str, token: str, done: bool) -> None:
        """End a claim; that of a completed job tells so for as long as it lasts."""
        held = self._claims.get(job)
        if held is None or held.token != token:
            return
        if done:
            held.done = True
        else:
            del self._claims[job]

    def _sweep(self, now_s: float) -> None:
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + SWEEP_INTERVAL_S
        self._claims = {
            job: claim for job, claim in self._claims.items() if claim.ends_s > now_s
        }


class RunningParts:
    """Counts the parts of a job of which attempts may be running."""

    def __init__(self) -> None:
        self._open = 0
        self._all_ended = trio.Event()
        self._all_ended.set()

    def begin(self) -> None:
        """Count a part that is about to be sent."""
        if not self._open:
            self._all_ended = trio.Event()
        self._open += 1

    def end(self) -> None:
        """Stop counting a part, all of whose attempts are over."""
        self._open -= 1
        if not self._open:
            self._all_ended.set()

    async def wait_ended(self) -> None:
        """Return once no attempt can be running."""
        await self._all_ended.wait()
