"""Requests and replies between hosts for the agreement."""

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
    "ReleaseAnswered",
    "ReleaseAsked",
    "RemovalAnswered",
    "RemovalAsked",
]


class EnvelopesSent(PeerMessage, frozen=True):
    """Carries consensus messages to the members of a host."""

    envelopes: tuple[Envelope, ...]


class EnvelopesAnswered(PeerMessage, frozen=True):
    """Reply to `EnvelopesSent`: consensus messages to the sender of the request."""

    envelopes: tuple[Envelope, ...]


class ProposalSent(PeerMessage, frozen=True):
    """Sends a proposal to the leader."""

    data: bytes


class ProposalAnswered(PeerMessage, frozen=True):
    """Reply to `ProposalSent`; ``taken`` if the host led and appended the proposal."""

    taken: bool


class ConfirmAsked(PeerMessage, frozen=True):
    """Requests the read index from the leader."""


class ConfirmAnswered(PeerMessage, frozen=True):
    """Reply to `ConfirmAsked`.

    Parameters
    ----------
    index : int or None
        The entry that a state must include to be current; None if the host could not
        confirm that it leads.
    """

    index: int | None


class MemberAsked(PeerMessage, frozen=True):
    """Requests a host's member id, cluster and membership."""


class MemberAnswered(PeerMessage, frozen=True):
    """Reply to `MemberAsked`.

    Parameters
    ----------
    member : MemberId
        Member id of the host.
    cluster : ClusterId or None
        Cluster that the host belongs to, None if it has not joined one yet.
    membership : Membership
        Newest membership that the host has.
    """

    member: MemberId
    cluster: ClusterId | None
    membership: Membership


class JoinAsked(PeerMessage, frozen=True):
    """Requests the leader to add a member.

    Parameters
    ----------
    member : MemberId
        The member.
    votes : bool
        Whether it is to become a voter.
    """

    member: MemberId
    votes: bool


class JoinAnswered(PeerMessage, frozen=True):
    """Reply to `JoinAsked`; ``taken`` if the host leads and has added the member."""

    taken: bool


class ReleaseAsked(PeerMessage, frozen=True):
    """Tells the leader that a member stops, so that another may vote in its place."""

    member: MemberId


class ReleaseAnswered(PeerMessage, frozen=True):
    """Reply to `ReleaseAsked`; ``released`` if the member's vote is not needed."""

    released: bool


class RemovalAsked(PeerMessage, frozen=True):
    """Requests the leader to remove the members of a host."""

    host: HostId


class RemovalAnswered(PeerMessage, frozen=True):
    """Reply to `RemovalAsked`; ``removed`` if the host leads and none is left."""

    removed: bool
