"""The decisions of members under all that a wire, a disk and a machine can do."""

import random
import re

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantwell.consensus import Consensus, Role
from currantwell.consensus_log import Log
from currantwell.consensus_messages import (
    AppendReply,
    Entry,
    HardState,
    Membership,
    Snapshot,
    VoteReply,
)
from tests.members import SNAPSHOT_EVERY, Group

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    stateful_step_count=15,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)

WALKS = 400
WALK_STEPS = 25
BROKEN_PROMISE = "two leaders|two entries|lacks a committed|would be lost|a stale read"
STORM_STEPS = 100
seeds = st.integers(0, 2**32)
places = st.integers(0, 4)


class Agreement(RuleBasedStateMachine):
    """Members over a wire that loses, doubles and reorders, with all failures."""

    kind = Consensus
    forgetful = False

    @initialize(count=st.sampled_from((3, 3, 4, 5)), seed=seeds)
    def begin(self, count, seed):
        self.group = Group(count, self.kind, self.forgetful, seed)
        self.group.settle(1.0)

    def host(self, place):
        return self.group.hosts[place % len(self.group.hosts)]

    @rule(some=st.lists(seeds, min_size=1, max_size=5))
    def storm(self, some):
        for seed in some:
            self.group.storm(seed, STORM_STEPS)

    @rule(some=st.lists(seeds, min_size=1, max_size=5))
    def contest(self, some):
        for seed in some:
            self.group.random.seed(seed)
            self.group.contest()
            self.group.settle(0.5)

    @rule()
    def freeze_for_long(self):
        self.group.freeze_for_long()

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0)))
    def settle(self, seconds):
        self.group.settle(seconds)

    @rule()
    def use_leaders(self):
        self.group.propose_to_leaders()
        self.group.confirm_at_leaders()

    @rule(place=places, written=st.booleans())
    def crash(self, place, written):
        self.group.crash(self.host(place), written)

    @rule(place=places)
    def lose_disk(self, place):
        self.group.lose_disk(self.host(place))
        self.group.join_all()

    @rule(place=places)
    def remove(self, place):
        self.group.remove(self.host(place))

    @rule()
    def heal(self):
        self.group.heal()

    @invariant()
    def applied_alike(self):
        if hasattr(self, "group"):
            self.group.check_alike()

    def teardown(self):
        """Whatever happened, the members serve again once nothing fails any more."""
        if hasattr(self, "group") and self.kind is Consensus and not self.forgetful:
            self.group.check_serves_again()


class NoTermCheck(Consensus):
    """Takes entries from a leader of an earlier term."""

    def _is_stale(self, term):
        return False

    def _become_follower(self, term, leader):
        super()._become_follower(term, leader)
        self._set_hard(HardState(self.cluster, term))


class EarlyVote(Consensus):
    """Tells its vote before that is synced."""

    def _reply(self, to, message):
        tell = self._send if isinstance(message, VoteReply) else super()._reply
        tell(to, message)


class EarlyAnswer(Consensus):
    """Says that it holds entries before they are synced."""

    def _reply(self, to, message):
        tell = self._send if isinstance(message, AppendReply) else super()._reply
        tell(to, message)


class UnconfirmedRead(Consensus):
    """Reads without asking a majority."""

    def take_output(self):
        output = super().take_output()
        if self._leadership is not None:
            output.reads = [*output.reads, *self._leadership.reads]
            self._leadership.reads = []
        return output


def machine(member_kind, forgets=False):
    class Variant(Agreement):
        kind = member_kind
        forgetful = forgets

    return Variant


def test_nothing_accepted_is_lost_under_any_failure():
    run_state_machine_as_test(Agreement, settings=SETTINGS)


@pytest.mark.parametrize(
    ("kind", "forgetful"),
    [
        (NoTermCheck, False),
        (EarlyVote, False),
        (EarlyAnswer, False),
        (UnconfirmedRead, False),
        (Consensus, True),
    ],
)
def test_the_machine_catches_a_wrong_variant(kind, forgetful):
    variant = machine(kind, forgetful)
    assert any(breaks_a_promise(variant, seed) for seed in range(WALKS))


def breaks_a_promise(variant, seed):
    """Tell whether a walk ends by a broken promise, and not just without rest."""
    try:
        walk(variant, seed)
    except AssertionError as error:
        return re.search(BROKEN_PROMISE, str(error)) is not None
    return False


def test_the_same_walks_find_no_fault_in_the_right_one():
    for seed in range(WALKS // 4):
        walk(Agreement, seed)


WALK_RULES = (
    lambda steps, draw: steps.storm([draw]),
    lambda steps, draw: steps.contest([draw]),
    lambda steps, draw: steps.contest([draw]),
    lambda steps, draw: steps.use_leaders(),
    lambda steps, draw: steps.settle(0.5),
    lambda steps, draw: steps.crash(draw, draw % 2 == 0),
    lambda steps, draw: steps.lose_disk(draw),
    lambda steps, draw: steps.remove(draw),
    lambda steps, draw: steps.freeze_for_long(),
    lambda steps, draw: steps.heal(),
)


def walk(kind, seed):
    """Take the machine's steps in an order that the seed alone fixes.

    The order that hypothesis takes changes with the constants of the whole package,
    so that whether it comes upon a variant's fault would change with any module.
    """
    chance = random.Random(seed)
    steps = kind()
    steps.begin(chance.choice((3, 3, 4, 5)), seed)
    for _ in range(WALK_STEPS):
        step = chance.choice(WALK_RULES)
        step(steps, chance.getrandbits(32))
        steps.applied_alike()
    steps.teardown()


def group_of(count):
    group = Group(count)
    group.settle(1.0)
    return group, group.leader()


def followers(group):
    return [node for node in group.nodes.values() if node is not group.leader()]


def test_a_thawed_leader_accepts_nothing_and_confirms_no_read():
    group, former = group_of(3)
    former.frozen = True
    group.settle(3.0)
    group.propose_to_leaders()
    group.settle()
    former.frozen = False
    assert former.core.role is Role.LEADER
    group.propose(former.host)
    group.read_barrier(former.host)
    group.settle(1.0)
    assert not former.reads
    assert all(node.state.commands == ["1"] for node in group.nodes.values())


@pytest.mark.parametrize("deaf", [True, False])
def test_a_leader_that_hears_no_majority_steps_down(deaf):
    group, former = group_of(5)
    others = [host for host in group.hosts if host != former.host]
    group.cuts |= {(other, former.host) for other in others}
    if not deaf:
        group.cuts |= {(former.host, other) for other in others}
    group.propose(former.host)
    group.settle(1.2)
    assert former.core.role is not Role.LEADER
    group.settle(2.0)
    assert group.leader() is not former
    group.heal()
    group.settle(2.0)
    assert not any(node.state.commands for node in group.nodes.values()) or deaf
    group.check_alike()


def test_a_member_that_was_cut_off_disturbs_no_one():
    group, leader = group_of(3)
    term = leader.core.term
    away = followers(group)[0]
    group.cut_off(away.host)
    group.settle(10.0)
    group.heal()
    group.settle(2.0)
    assert (group.leader(), leader.core.term) == (leader, term)
    assert away.core.leader == leader.id


def test_a_rejoined_member_votes_only_once_it_holds_everything():
    group, leader = group_of(3)
    group.propose_to_leaders()
    group.settle()
    lost, other = followers(group)
    group.lose_disk(lost.host)
    again = group.nodes[lost.host]
    group.cuts.add((again.host, leader.host))
    group.join_all()
    group.settle(3.0)
    assert set(leader.core.membership.voters) == {leader.id, other.id}
    assert leader.core.membership.joining == (again.id,)
    group.heal()
    group.settle(3.0)
    assert again.id in leader.core.membership.voters
    assert again.state.commands == ["1"]


def test_a_second_disk_lost_right_after_a_repair_loses_nothing():
    group, _ = group_of(3)
    for _ in range(3):
        group.propose_to_leaders()
        group.lose_disk(group.leader().host)
        group.settle(3.0)
        group.join_all()
        while not group.intact():
            group.settle(0.1)
    group.check_serves_again()


def test_learners_that_follow_hold_everything_and_never_vote():
    group = Group(5, voters=3)
    group.settle(1.0)
    for host in group.hosts[3:]:
        group.join(host, votes=False)
        group.settle(1.0)
    group.propose_to_leaders()
    group.settle(2.0)
    assert all(node.state.commands == ["1"] for node in group.nodes.values())
    for host in group.hosts[:3]:
        group.cut_off(host)
    group.settle(5.0)
    assert group.leader() is None


def test_no_more_than_seven_vote():
    group = Group(8, voters=7)
    group.settle(1.0)
    group.join("host-7")
    group.settle(3.0)
    membership = group.leader().core.membership
    assert (len(membership.voters), len(membership.joining)) == (7, 1)


def test_a_removed_leader_hands_over():
    group, leader = group_of(4)
    group.remove(leader.host)
    group.settle(3.0)
    assert leader.id not in group.leader().core.membership.members
    group.propose_to_leaders()
    group.settle()
    assert group.leader().state.commands == ["1"]


def test_a_removal_that_was_not_committed_leaves_no_one_stuck():
    """Only the member that it removes has it, and no one is elected without that."""
    group, leader = group_of(4)
    group.remove(leader.host)
    group.carry_out(leader.host)
    group.carry_out(leader.host)
    group.wire.clear()
    group.crash(leader.host)
    followers(group)[-1].frozen = True
    group.settle(4.0)
    assert group.leader() is not None


def test_a_member_far_behind_gets_a_snapshot():
    group, _ = group_of(3)
    away = followers(group)[0]
    away.frozen = True
    for _ in range(300):
        group.propose_to_leaders()
        group.settle(0.1)
    away.frozen = False
    group.settle(2.0)
    assert away.applied > 300
    assert away.storage.snapshot.index > 0
    group.check_serves_again()


def test_all_restart_after_500_changes_with_bounded_journals():
    group, _ = group_of(3)
    for _ in range(500):
        group.propose_to_leaders()
        group.settle(0.1)
    group.crash_all()
    group.settle(3.0)
    expected = [str(number + 1) for number in range(500)]
    for node in group.nodes.values():
        assert node.state.commands == expected
        assert len(list(node.journal.read())) < 2 * SNAPSHOT_EVERY + 10


def test_a_snapshot_carries_the_membership_of_its_index():
    first, second = Membership(("a/1",)), Membership(("a/1",), ("b/1",))
    log = Log(Snapshot(), [Entry(1, 1, None, first), Entry(2, 1, None, second)])
    assert log.membership_at(1) == first
    log.compact(Snapshot(1, 1, log.membership_at(1)), 0)
    assert (log.membership_at(1), log.membership) == (first, second)
