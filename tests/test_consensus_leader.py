"""What a leader sends to a member."""

from types import SimpleNamespace

import pytest

from currantwell.consensus_leader import LeaderState, RaftTiming
from currantwell.consensus_messages import AppendReply, AppendRequest

COMMAND_BYTES = 1_900_000


class OneEntryLog:
    """A log of two voters with one entry."""

    last_index = 1
    membership = SimpleNamespace(
        members=("a", "b"), voters=("a", "b"), nonvoters=(), majority=2
    )

    def term_at(self, index):
        return 1

    def slice(self, first, last):
        entry = SimpleNamespace(command=bytes(COMMAND_BYTES))
        return [entry] if first <= 1 <= last else []


@pytest.mark.parametrize("reply_s", [0.1, 0.5, 1.0, 1.9])
def test_a_large_entry_is_sent_once_while_its_reply_is_outstanding(reply_s):
    """Else a slow disk or link gets the same megabytes again and again."""
    leader = LeaderState("a", OneEntryLog(), RaftTiming(), 0.0, 1)
    sent_bytes = 0
    for step in range(int(reply_s * 100)):
        for _, request in leader.due_requests(1, 0, step / 100):
            if isinstance(request, AppendRequest):
                sent_bytes += sum(len(entry.command) for entry in request.entries)
    assert sent_bytes <= COMMAND_BYTES


def test_a_large_entry_that_was_lost_is_sent_again():
    """The reply to a later request shows the loss; an earlier one shows nothing."""
    leader = LeaderState("a", OneEntryLog(), RaftTiming(), 0.0, 1)
    sent_rounds = []
    for step in range(300):
        for member, request in leader.due_requests(1, 0, step / 100):
            if request.entries:
                sent_rounds.append(request.round)
            elif sent_rounds and step < 200:
                earlier = AppendReply(1, sent_rounds[0] - 1, True, 0)
                leader.record_reply(member, earlier, step / 100)
            elif sent_rounds:
                later = AppendReply(1, request.round, True, 0)
                leader.record_reply(member, later, step / 100)
    assert len(sent_rounds) >= 2
    assert sent_rounds[1] > sent_rounds[0] + 1
