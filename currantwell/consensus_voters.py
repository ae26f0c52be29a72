"""Choice of the members that vote, by what the leader knows of them.

As many members vote as are there and hold everything, so that a host that is to replace
another votes before the other is gone. A silent voter becomes a learner, which hears
the leader as soon as it is back; a learner that stays silent is removed.

Invariants: each step changes at most one voter; the voters are never fewer than the
minimum, so that whatever is committed is stored by a majority of that many; only a
learner that holds all committed entries becomes a voter. Once all steps are done, the
voters are of an odd number, since an even one bears no more losses than the odd one
below it, and a cut into halves leaves it without a majority.
"""

import dataclasses
from collections.abc import Sequence, Set

from .consensus_messages import MAX_VOTERS, MemberId, Membership, host_of

__all__ = ["MemberHealth", "VoterPolicy", "next_membership"]

# Share of the time in which a new host has to catch up. The rest of it is left for an
# election before the silence, and for the changes of the voters after it.
SILENT_SHARE = 0.25
# A learner that answers each second request is not silent.
MIN_SILENT_REQUESTS = 2
# Longer than a host takes to restart after a power failure of a few seconds.
REMOVE_AFTER_S = 5.0
# Share of the time to stop. Half of some seconds is longer than an election, a silence
# and the changes of the voters after it.
RELEASE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class VoterPolicy:
    """When the leader changes who votes.

    Parameters
    ----------
    min_voters : int
        Number of voters below which none is taken out.
    silent_after_s : float
        A member that has not replied for this long is silent. It exceeds the interval
        between requests to learners.
    remove_after_s : float
        A learner that has not replied for this long is removed.
    release_timeout_s : float
        A member that stops waits at most this long until others vote in its place.
    """

    min_voters: int
    silent_after_s: float
    remove_after_s: float
    release_timeout_s: float = 3.0

    @classmethod
    def for_bounds(
        cls,
        lost_hosts: int,
        catch_up_s: float,
        stop_timeout_s: float,
        learner_interval_s: float,
    ) -> "VoterPolicy":
        """Return the policy for the bounds of a deployment.

        Parameters
        ----------
        lost_hosts : int
            Number of hosts that may be lost at the same time, with their disks.
        catch_up_s : float
            Time after its start in which a host has to catch up with the others.
        stop_timeout_s : float
            Time within which a host that is told to stop has to end.
        learner_interval_s : float
            Interval between requests to learners.
        """
        return cls(
            min_voters=2 * lost_hosts + 1,
            silent_after_s=max(
                SILENT_SHARE * catch_up_s, MIN_SILENT_REQUESTS * learner_interval_s
            ),
            remove_after_s=REMOVE_AFTER_S,
            release_timeout_s=RELEASE_SHARE * stop_timeout_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class MemberHealth:
    """What the leader knows of the members of its cluster.

    Parameters
    ----------
    leader : MemberId
        The leader.
    responsive : set of MemberId
        Members that are neither silent nor about to stop; may include the leader.
    caught_up : set of MemberId
        Responsive members that hold all committed entries.
    silent : sequence of MemberId
        Members that are silent, the longest silent one first.
    lost : set of MemberId
        Silent members that are to be removed.
    """

    leader: MemberId
    responsive: Set[MemberId]
    caught_up: Set[MemberId]
    silent: Sequence[MemberId]
    lost: Set[MemberId]


def next_membership(
    membership: Membership, health: MemberHealth, min_voters: int
) -> Membership | None:
    """Return the next step towards the best set of voters; None if there is none.

    Parameters
    ----------
    membership : Membership
        Newest membership, committed.
    health : MemberHealth
        State of its members.
    min_voters : int
        Number of voters below which none is taken out.
    """
    voters = membership.voters
    learners = membership.joining + membership.nonvoters
    present = [voter for voter in voters if voter in health.responsive]
    ready = [learner for learner in learners if learner in health.caught_up]
    available = len(present) + len(ready)
    may_return = any(
        voter not in health.responsive and voter not in health.lost for voter in voters
    )
    count = _best_count(available, may_return, min_voters)
    if len(voters) > count:
        return _without_one_vote(membership, health)
    if len(present) < min(count, available):
        if len(voters) == MAX_VOTERS:
            return _without_one_vote(membership, health)
        return membership.with_voter(ready[0])
    for learner in learners:
        if learner in health.lost:
            return membership.without_host(host_of(learner))
    return None


def _best_count(available: int, may_return: bool, min_voters: int) -> int:
    """Return how many members are to vote, silent ones included.

    Parameters
    ----------
    available : int
        Number of members that can vote now.
    may_return : bool
        Whether there is a silent voter that is not lost. It may keep its vote if that
        makes the number odd, as it costs nothing.
    min_voters : int
        Lower bound.
    """
    count = available
    if available % 2 == 0:
        count += 1 if may_return else -1
    return min(max(count, min_voters), MAX_VOTERS)


def _without_one_vote(membership: Membership, health: MemberHealth) -> Membership:
    """Make a voter a learner, in the order of silent, about to stop, and newest.

    A member that is about to stop can still help to commit the changes that others make
    necessary, and one that fell silent of late is the most likely to be back. The
    leader comes last of those that stop, as nobody makes changes until another one is
    elected.
    """
    voters = membership.voters
    others = [voter for voter in voters if voter != health.leader]
    candidates = [voter for voter in health.silent if voter in voters]
    candidates += [voter for voter in others if voter not in health.responsive]
    candidates += {health.leader} - health.responsive
    candidates += reversed(others)
    return membership.with_learner(candidates[0], False)
