"""What the members of the agreement say to each other and keep on disk.

A member is a host together with its incarnation, which is new whenever its disk was
empty: a host that lost its disk is another member, and no one counts the promises
of the earlier one as its own.
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
    """Return the id of an incarnation of a host."""
    return MemberId(f"{host}{_SEPARATOR}{incarnation}")


def host_of(member: MemberId) -> HostId:
    """Return the host of a member."""
    return HostId(member.partition(_SEPARATOR)[0])


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who takes part.

    Parameters
    ----------
    voters : tuple of MemberId
        The members whose majority decides.
    joining : tuple of MemberId
        Learners that become voters once they hold everything.
    followers : tuple of MemberId
        Learners that stay so.
    """

    voters: tuple[MemberId, ...] = ()
    joining: tuple[MemberId, ...] = ()
    followers: tuple[MemberId, ...] = ()

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All voters and learners."""
        return self.voters + self.joining + self.followers

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    def without_host(self, host: HostId) -> "Membership":
        """Return the membership without any member of a host."""

        def keep(members: tuple[MemberId, ...]) -> tuple[MemberId, ...]:
            return tuple(member for member in members if host_of(member) != host)

        return Membership(keep(self.voters), keep(self.joining), keep(self.followers))

    def with_learner(self, member: MemberId, votes: bool) -> "Membership":
        """Return the membership with a learner in the place of its host's members."""
        others = self.without_host(host_of(member))
        if votes:
            joining = (*others.joining, member)
            return msgspec.structs.replace(others, joining=joining)
        followers = (*others.followers, member)
        return msgspec.structs.replace(others, followers=followers)

    def with_promoted(self, member: MemberId) -> "Membership":
        """Return the membership with a joining member as voter."""
        joining = tuple(other for other in self.joining if other != member)
        return Membership((*self.voters, member), joining, self.followers)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log: a command, a new membership, or neither.

    Parameters
    ----------
    index : int
        Its place, from 1.
    term : int
        The term of the leader that made it.
    command : bytes or None
        What to apply.
    membership : Membership or None
        Who takes part from this entry on.
    """

    index: int
    term: int
    command: bytes | None = None
    membership: Membership | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that the entries up to an index have led to."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What a member must never forget.

    Parameters
    ----------
    cluster : ClusterId or None
        The cluster that it belongs to; set once.
    term : int
        The newest term that it has seen.
    vote : MemberId or None
        Whom it voted for in that term.
    """

    cluster: ClusterId | None = None
    term: int = 0
    vote: MemberId | None = None


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Asks for a vote; a trial only asks whether it would be granted."""

    term: int
    last_index: int
    last_term: int
    trial: bool


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    """Answers `VoteRequest`; ``asked_term`` is the term of the request."""

    term: int
    asked_term: int
    trial: bool
    granted: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Entries to append, and the leader's heartbeat.

    Parameters
    ----------
    term : int
        The leader's term.
    round : int
        Counts the leader's requests; the reply repeats it.
    previous_index, previous_term : int
        The entry that the first of ``entries`` follows.
    entries : tuple of Entry
        What to append.
    commit : int
        Index up to which entries are committed.
    """

    term: int
    round: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """Answers `AppendRequest` and `InstallRequest`.

    Parameters
    ----------
    term : int
        The member's term.
    round : int
        That of the request.
    ok : bool
        Whether the entries fit.
    match : int
        Index up to which the member holds what the leader holds; if they did not
        fit, where the leader should try next.
    """

    term: int
    round: int
    ok: bool
    match: int


class InstallRequest(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """A snapshot in place of entries that the leader no longer holds."""

    term: int
    round: int
    snapshot: Snapshot


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | InstallRequest


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with whom it is from and to."""

    cluster: ClusterId
    sender: MemberId
    to: MemberId
    message: Message
