"""Proposals that arrive several times, late, or after a restart of the proposer."""

from currantwell.consensus_messages import MemberId, Membership
from currantwell.proposals import (
    Proposal,
    ProposalTable,
    decode_proposal,
    encode_proposal,
)
from tests.builders import ListState

MEMBER = MemberId("a/1")


def table_of(*members):
    table = ProposalTable(ListState())
    table.set_membership(Membership(members))
    return table


def offer(table, command, number, start=1, oldest=1, member=MEMBER):
    proposal = Proposal(member, start, number, oldest, command)
    return table.apply(number, decode_proposal(encode_proposal(proposal)))


def test_a_resend_is_applied_once_and_gets_the_first_result():
    table = table_of(MEMBER)
    assert [offer(table, b"x", 1), offer(table, b"x", 1)] == [b"1", b"1"]
    assert table.state.commands == ["x"]


def test_a_resend_is_known_after_a_snapshot():
    table = table_of(MEMBER)
    offer(table, b"x", 1)
    restored = ProposalTable(ListState())
    restored.restore(table.snapshot(), Membership((MEMBER,)))
    assert offer(restored, b"x", 1) == b"1"
    assert restored.state.commands == ["x"]


def test_a_proposal_that_was_given_up_is_not_applied_late():
    table = table_of(MEMBER)
    offer(table, b"second", 2, oldest=2)
    assert offer(table, b"first", 1) is None
    assert table.state.commands == ["second"]


def test_a_proposal_of_an_earlier_start_is_not_applied():
    table = table_of(MEMBER)
    assert offer(table, b"new", 1, start=2) == b"1"
    assert offer(table, b"old", 7, start=1) is None


def test_old_proposals_of_a_former_member_are_ignored_also_after_it_rejoins():
    table = table_of(MEMBER)
    offer(table, b"x", 1)
    table.set_membership(Membership())
    assert offer(table, b"y", 2) is None
    assert offer(table, b"y", 1, start=2) is None
    table.set_membership(Membership((MEMBER,)))
    assert offer(table, b"x", 1) is None
    assert offer(table, b"z", 1, start=2) == b"2"


def test_only_a_start_before_a_removal_is_closed():
    table = table_of(MEMBER)
    assert not table.is_closed(MEMBER, 1)
    offer(table, b"x", 1)
    assert not table.is_closed(MEMBER, 1)
    table.set_membership(Membership())
    table.set_membership(Membership((MEMBER,)))
    assert table.is_closed(MEMBER, 1)
    assert offer(table, b"y", 2) is None
    assert not table.is_closed(MEMBER, 2)
    assert offer(table, b"y", 1, start=2) == b"2"
    assert not table.is_closed(MEMBER, 2)


def test_results_are_kept_only_while_someone_may_ask():
    table = table_of(MEMBER)
    for number in range(1, 500):
        offer(table, b"x", number, oldest=number)
    assert len(table.snapshot()) < 5_000
