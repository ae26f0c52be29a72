"""Proposals applied once each, however often they were sent.

Each start of a member numbers its proposals. The state that all hosts share holds
the results of those whose proposer may still ask; a proposal of an earlier start, of
a former member, or one whose proposer has given up is not applied any more.
"""

import dataclasses

import msgspec

from .agreement import StateMachine
from .consensus_messages import MemberId, Membership

__all__ = ["Proposal", "ProposalTable", "decode_proposal", "encode_proposal"]


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A command with what tells it from all others.

    Parameters
    ----------
    member : MemberId
        The proposer.
    start : int
        Which start of the proposer's process.
    number : int
        Counts the proposals of that start.
    oldest : int
        The oldest number that the proposer still waits for.
    command : bytes
        What to apply.
    """

    member: MemberId
    start: int
    number: int
    oldest: int
    command: bytes


class _Session(msgspec.Struct, array_like=True):
    """Results of one proposer."""

    start: int
    oldest: int = 0
    results: dict[int, bytes] = {}


class _Shared(msgspec.Struct, array_like=True):
    """The state of a snapshot."""

    sessions: dict[MemberId, _Session]
    state: bytes


_NEVER_NUMBER = 2**62
_encoder = msgspec.msgpack.Encoder()
_proposals = msgspec.msgpack.Decoder(Proposal)
_shared = msgspec.msgpack.Decoder(_Shared)


def encode_proposal(proposal: Proposal) -> bytes:
    """Encode a proposal as the command of an entry."""
    return _encoder.encode(proposal)


def decode_proposal(data: bytes) -> Proposal:
    """Decode what `encode_proposal` made."""
    return _proposals.decode(data)


@dataclasses.dataclass(slots=True)
class ProposalTable:
    """Applies each proposal once.

    Parameters
    ----------
    state : StateMachine
        What proposals change.
    """

    state: StateMachine
    _sessions: dict[MemberId, _Session] = dataclasses.field(default_factory=dict)
    _members: frozenset[MemberId] = frozenset()

    def follow_membership(self, membership: Membership) -> None:
        """Take no more proposals of former members.

        What tells their proposals apart is kept, so that one which arrives late is
        not applied when the member takes part again.
        """
        self._members = frozenset(membership.members)
        for member, session in self._sessions.items():
            if member not in self._members:
                self._forget(session, _NEVER_NUMBER)

    def apply(self, index: int, proposal: Proposal) -> bytes | None:
        """Apply a proposal, or return its result if it was applied before.

        Returns
        -------
        bytes or None
            The result; None if no one can be waiting for it any more.
        """
        session = self._session(proposal)
        if session is None or proposal.number < session.oldest:
            return None
        if proposal.number not in session.results:
            result = self.state.apply(index, proposal.command)
            session.results[proposal.number] = result
        self._forget(session, proposal.oldest)
        return session.results[proposal.number]

    def snapshot(self) -> bytes:
        """Return the state with all results."""
        return _encoder.encode(_Shared(self._sessions, self.state.snapshot()))

    def restore(self, data: bytes, membership: Membership) -> None:
        """Put a snapshot in the place of the state."""
        shared = _shared.decode(data)
        self._sessions = shared.sessions
        self.state.restore(shared.state)
        self.follow_membership(membership)

    def _session(self, proposal: Proposal) -> _Session | None:
        if proposal.member not in self._members:
            return None
        session = self._sessions.get(proposal.member)
        if session is None or session.start < proposal.start:
            session = _Session(proposal.start)
            self._sessions[proposal.member] = session
        return session if session.start == proposal.start else None

    def _forget(self, session: _Session, oldest: int) -> None:
        session.oldest = max(session.oldest, oldest)
        for number in [n for n in session.results if n < session.oldest]:
            del session.results[number]
