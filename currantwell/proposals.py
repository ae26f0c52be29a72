"""Exactly-once application of proposals that may be sent several times.

Each process of a member numbers its proposals, and counts as started again once the
member has rejoined. The replicated state keeps the results of those that the proposer
may still send again. A proposal of an earlier process, of a former member, or one that
its proposer no longer waits for is not applied.
"""

import dataclasses

import msgspec

from .agreement import StateMachine
from .consensus_messages import MemberId, Membership

__all__ = ["Proposal", "ProposalTable", "decode_proposal", "encode_proposal"]


class Proposal(msgspec.Struct, frozen=True, array_like=True):
    """A command with the data that identifies it.

    Parameters
    ----------
    member : MemberId
        The proposer.
    start : int
        Number of the proposer's process, counted from 1 at each start.
    number : int
        Number of the proposal within that process.
    oldest : int
        Lowest number that the proposer still waits for.
    command : bytes
        The command for the state machine.
    """

    member: MemberId
    start: int
    number: int
    oldest: int
    command: bytes


class _Session(msgspec.Struct, array_like=True):
    """Results of one proposer's process."""

    start: int
    oldest: int = 0
    results: dict[int, bytes] = {}


class _TableSnapshot(msgspec.Struct, array_like=True):
    """Snapshot of the sessions and of the state machine."""

    sessions: dict[MemberId, _Session]
    state: bytes


_MAX_NUMBER = 2**62
_encoder = msgspec.msgpack.Encoder()
_proposal_decoder = msgspec.msgpack.Decoder(Proposal)
_snapshot_decoder = msgspec.msgpack.Decoder(_TableSnapshot)


def encode_proposal(proposal: Proposal) -> bytes:
    """Encode a proposal as the command of an entry."""
    return _encoder.encode(proposal)


def decode_proposal(data: bytes) -> Proposal:
    """Decode a proposal that `encode_proposal` encoded."""
    return _proposal_decoder.decode(data)


@dataclasses.dataclass(slots=True)
class ProposalTable:
    """Applies each proposal at most once.

    Parameters
    ----------
    state : StateMachine
        State machine that the commands are applied to.
    """

    state: StateMachine
    _sessions: dict[MemberId, _Session] = dataclasses.field(default_factory=dict)
    _members: frozenset[MemberId] = frozenset()

    def set_membership(self, membership: Membership) -> None:
        """Accept proposals of these members only.

        The sessions of former members are kept without their results, so that a late
        proposal is not applied after the member has rejoined.
        """
        self._members = frozenset(membership.members)
        for member, session in self._sessions.items():
            if member not in self._members:
                self._discard_results(session, _MAX_NUMBER)

    def apply(self, index: int, proposal: Proposal) -> bytes | None:
        """Apply a proposal, or return its stored result if it was applied before.

        Returns
        -------
        bytes or None
            The result; None if the proposal is obsolete, which is then not applied.
        """
        session = self._session(proposal)
        if session is None or proposal.number < session.oldest:
            return None
        if proposal.number not in session.results:
            result = self.state.apply(index, proposal.command)
            session.results[proposal.number] = result
        self._discard_results(session, proposal.oldest)
        return session.results[proposal.number]

    def is_closed(self, member: MemberId, start: int) -> bool:
        """Return whether a member was removed since a start of its process.

        Its proposals of that start are obsolete, also after it has rejoined.
        """
        session = self._sessions.get(member)
        if session is None or session.start != start:
            return False
        return session.oldest == _MAX_NUMBER

    def snapshot(self) -> bytes:
        """Return the state of the state machine with all sessions."""
        return _encoder.encode(_TableSnapshot(self._sessions, self.state.snapshot()))

    def restore(self, data: bytes, membership: Membership) -> None:
        """Replace the state and the sessions by those of a snapshot."""
        snapshot = _snapshot_decoder.decode(data)
        self._sessions = snapshot.sessions
        self.state.restore(snapshot.state)
        self.set_membership(membership)

    def _session(self, proposal: Proposal) -> _Session | None:
        if proposal.member not in self._members:
            return None
        session = self._sessions.get(proposal.member)
        if session is None or session.start < proposal.start:
            session = _Session(proposal.start)
            self._sessions[proposal.member] = session
        return session if session.start == proposal.start else None

    def _discard_results(self, session: _Session, oldest: int) -> None:
        session.oldest = max(session.oldest, oldest)
        for number in [n for n in session.results if n < session.oldest]:
            del session.results[number]
