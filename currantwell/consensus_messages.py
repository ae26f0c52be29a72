"""Data types of the consensus protocol, as sent between members and kept on disk.

A member is a host together with an incarnation, which is chosen anew whenever the
host starts with an empty disk. A host that lost its disk is thus another member, and
votes and acknowledgements of the earlier member don't count as its own.
"""

from typing import NewType

import msgspec

from .ids import HostId

__all__ = [
    "AppendReply",
    "AppendRequest",
    "ClusterId",
    "Entry",
    "Envelope",
    "HardState",
    "InstallRequest",
    "MemberId",
    "Membership",
    "Message",
    "Snapshot",
    "VoteReply",
    "VoteRequest",
    "host_of",
    "member_id",
]

MemberId = NewType("MemberId", str)
ClusterId = NewType("ClusterId", str)

MAX_VOTERS = 7
_SEPARATOR = "/"


def member_id(host: HostId, incarnation: str) -> MemberId:
    """Return the member id of an incarnation of a host."""
    return MemberId(f"{host}{_SEPARATOR}{incarnation}")


def host_of(member: MemberId) -> HostId:
    """Return the host of a member."""
    return HostId(member.partition(_SEPARATOR)[0])


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Members of a cluster.

    Learners receive all entries but have no vote.

    Parameters
    ----------
    voters : tuple of MemberId
        Members that vote and count towards the majority.
    joining : tuple of MemberId
        Learners that become voters once they hold all committed entries.
    nonvoters : tuple of MemberId
        Learners that are not promoted on their own.
    """

    voters: tuple[MemberId, ...] = ()
    joining: tuple[MemberId, ...] = ()
    nonvoters: tuple[MemberId, ...] = msgspec.field(default=(), name="followers")

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All voters and learners."""
        return self.voters + self.joining + self.nonvoters

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def without_host(self, host: HostId) -> "Membership":
        """Return the membership without any member of a host."""

        def keep(members: tuple[MemberId, ...]) -> tuple[MemberId, ...]:
            return tuple(member for member in members if host_of(member) != host)

        return Membership(keep(self.voters), keep(self.joining), keep(self.nonvoters))

    def with_learner(self, member: MemberId, votes: bool) -> "Membership":
        """Return the membership with a learner that replaces its host's members.

        Parameters
        ----------
        member : MemberId
            The learner.
        votes : bool
            Whether it is to become a voter.
        """
        others = self.without_host(host_of(member))
        if votes:
            joining = (*others.joining, member)
            return msgspec.structs.replace(others, joining=joining)
        nonvoters = (*others.nonvoters, member)
        return msgspec.structs.replace(others, nonvoters=nonvoters)

    def with_voter(self, member: MemberId) -> "Membership":
        """Return the membership with a learner promoted to voter."""
        others = self.without_host(host_of(member))
        return msgspec.structs.replace(others, voters=(*others.voters, member))


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log: a command, a new membership, or neither.

    Parameters
    ----------
    index : int
        Its index in the log, from 1.
    term : int
        Term of the leader that created it.
    command : bytes or None
        Command for the state machine.
    membership : Membership or None
        Membership from this entry on.
    """

    index: int
    term: int
    command: bytes | None = None
    membership: Membership | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after all entries up to an index, with the membership at that index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Persistent state of a member besides log and snapshot.

    Parameters
    ----------
    cluster : ClusterId or None
        Cluster that the member belongs to; set once.
    term : int
        Newest term that the member has seen.
    vote : MemberId or None
        Candidate that the member voted for in that term.
    """

    cluster: ClusterId | None = None
    term: int = 0
    vote: MemberId | None = None


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Requests a vote; a ``pre_vote`` only asks whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = msgspec.field(name="trial")


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    """Reply to `VoteRequest`; ``request_term`` is the term of the request."""

    term: int
    request_term: int = msgspec.field(name="asked_term")
    pre_vote: bool = msgspec.field(name="trial")
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Entries to append; without entries it is the leader's heartbeat.

    Parameters
    ----------
    term : int
        The leader's term.
    round : int
        Number of the leader's round of requests; the reply repeats it.
    previous_index, previous_term : int
        Index and term of the entry before the first of ``entries``.
    entries : tuple of Entry
        Entries to append.
    commit_index : int
        Index up to which entries are committed.
    """

    term: int
    round: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int = msgspec.field(name="commit")


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """Reply to `AppendRequest` and `InstallRequest`.

    Parameters
    ----------
    term : int
        The member's term.
    round : int
        Round of the request.
    ok : bool
        Whether the member's log matched and the entries were appended.
    match_index : int
        Index up to which the member's log equals the leader's; if ``ok`` is false,
        the index after which the leader should try next.
    """

    term: int
    round: int
    ok: bool
    match_index: int = msgspec.field(name="match")


class InstallRequest(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Snapshot that replaces entries which the leader no longer holds."""

    term: int
    round: int
    snapshot: Snapshot


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | InstallRequest


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its cluster, sender and recipient."""

    cluster: ClusterId
    sender: MemberId
    to: MemberId
    message: Message
