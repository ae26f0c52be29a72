"""What hosts ask each other for the agreement, and what they answer."""

from .consensus_messages import ClusterId, Envelope, MemberId, Membership
from .ids import HostId
from .peers import PeerMessage

__all__ = [
    "ConfirmAnswered",
    "ConfirmAsked",
    "EnvelopesAnswered",
    "EnvelopesSent",
    "JoinAnswered",
    "JoinAsked",
    "MemberAnswered",
    "MemberAsked",
    "ProposalAnswered",
    "ProposalSent",
    "RemovalAnswered",
    "RemovalAsked",
]


class EnvelopesSent(PeerMessage, frozen=True):
    """Messages between members."""

    envelopes: tuple[Envelope, ...]


class EnvelopesAnswered(PeerMessage, frozen=True):
    """Messages that go back on the same way."""

    envelopes: tuple[Envelope, ...]


class ProposalSent(PeerMessage, frozen=True):
    """A proposal for the leader."""

    data: bytes


class ProposalAnswered(PeerMessage, frozen=True):
    """Whether the host leads and has appended the proposal."""

    taken: bool


class ConfirmAsked(PeerMessage, frozen=True):
    """Asks the leader which entry a state has to hold to be current."""


class ConfirmAnswered(PeerMessage, frozen=True):
    """The index of that entry, None if the host could not confirm that it leads."""

    index: int | None


class MemberAsked(PeerMessage, frozen=True):
    """Asks a host who it is."""


class MemberAnswered(PeerMessage, frozen=True):
    """Who a host is.

    Parameters
    ----------
    member : MemberId
        The host's member.
    cluster : ClusterId or None
        The cluster that it belongs to, None while it has met none.
    membership : Membership
        Who takes part, as far as it knows.
    """

    member: MemberId
    cluster: ClusterId | None
    membership: Membership


class JoinAsked(PeerMessage, frozen=True):
    """Asks the leader to take a member in."""

    member: MemberId
    votes: bool


class JoinAnswered(PeerMessage, frozen=True):
    """Whether the host leads and takes the member in."""

    taken: bool


class RemovalAsked(PeerMessage, frozen=True):
    """Asks the leader to take the members of a host out."""

    host: HostId


class RemovalAnswered(PeerMessage, frozen=True):
    """Whether the host leads and no member of that host takes part any more."""

    removed: bool
