"""No moment has two presets: a model of clocks, partitions, restarts and leaders."""

import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from currantwell.agreed_state import AgreedState
from currantwell.changes import ActivatePreset, RemoveHost, encode_command
from currantwell.settings_lease import (
    LEASE_S,
    ActivationGate,
    SettingsLease,
    preset_to_follow,
)
from tests.builders import change, registration, set_preset

HOSTS = ("h-1", "h-2")
RATES = (0.99, 1.01)
STEPS_S = (0.02, LEASE_S / 2, LEASE_S * 1.001, LEASE_S * 1.1)
WALKS = 20_000
WALK_STEPS = 20
WALK_RULES = {
    "advance": (STEPS_S,),
    "finish": (HOSTS, (False, True)),
    "refresh": (HOSTS, (False, True)),
    "catch_up": (HOSTS,),
    "lead": (),
    "propose": (),
    "activate": (),
    "restart": (HOSTS, (0, 1, 2, 3)),
    "remove": (HOSTS, (False, True)),
}
hosts = st.sampled_from(HOSTS)


class Node:
    """A host of the model: its clock, its prefix of the log and its lease."""

    lease_type = SettingsLease
    gate_type = ActivationGate

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.lease = self.lease_type()
        self.gate = self.gate_type()
        self.state = AgreedState()
        self.request = (float("-inf"), 0, 0)

    def restart(self):
        self.__init__(self.name, self.rate)

    def apply_to(self, log, index):
        while self.state.image.index < min(index, len(log)):
            position = self.state.image.index
            self.state.apply(position + 1, log[position])


class Presets(RuleBasedStateMachine):
    """Rules run in any order; a message not delivered is lost in a partition."""

    node_type = Node

    def __init__(self):
        super().__init__()
        self.real_s = 0.0
        self.newest = 0
        self.leader = HOSTS[1]
        self.log = []
        self.truth = AgreedState()
        self.nodes = {
            name: self.node_type(name, rate)
            for name, rate in zip(HOSTS, RATES, strict=True)
        }
        for name in HOSTS:
            self.agree(registration(name))
        for name in HOSTS:
            self.refresh(name, True)

    def agree(self, command):
        self.log.append(encode_command(command))
        self.truth.apply(len(self.log), self.log[-1])

    def clock(self, node):
        return self.real_s * node.rate

    @rule(step_s=st.sampled_from(STEPS_S))
    def advance(self, step_s):
        self.real_s += step_s

    def send_request(self, name):
        node = self.nodes[name]
        node.request = (self.clock(node), node.state.proposed_version, len(self.log))

    @rule(name=hosts, catches_up=st.booleans())
    def finish(self, name, catches_up):
        """Deliver the reply to the latest request, as of the time of that request."""
        node, leader = self.nodes[name], self.nodes[self.leader]
        requested_s, proposed, index = node.request
        leader.apply_to(self.log, len(self.log))
        self.note_proposal(leader)
        leader.gate.acknowledge(name, proposed)
        self.apply_reply(node, requested_s, index)
        if catches_up:
            self.catch_up(name)
        self.send_request(name)

    def apply_reply(self, node, requested_s, index):
        node.lease.renew(requested_s, index)

    @rule(name=hosts, catches_up=st.booleans())
    def refresh(self, name, catches_up):
        self.send_request(name)
        self.finish(name, catches_up)

    @rule(name=hosts)
    def catch_up(self, name):
        self.nodes[name].apply_to(self.log, len(self.log))

    @rule()
    def lead(self):
        self.leader = HOSTS[1 - HOSTS.index(self.leader)]

    @rule()
    def propose(self):
        version = self.truth.image.versions["preset"]
        self.agree(set_preset("peak", version, f"c-{len(self.log)}"))
        self.catch_up(self.leader)
        self.note_proposal(self.nodes[self.leader])

    @rule()
    def activate(self):
        node = self.nodes[self.leader]
        self.note_proposal(node)
        image = node.state.image
        if image.proposed is None:
            return
        now_s = self.clock(node)
        if node.gate.activation_reason(image.hosts, image.unsettled_removal, now_s):
            self.agree(ActivatePreset(image.proposed.version, node.name, "", 0.0))
            self.refresh(node.name, True)

    def note_proposal(self, node):
        version = node.state.proposed_version
        if version:
            node.gate.note_proposal(version, self.clock(node))
            node.gate.acknowledge(node.name, version)

    @invariant()
    def one_preset_and_never_an_earlier(self):
        followed = [
            preset_to_follow(node.state.image, node.name, node.lease, self.clock(node))
            for node in self.nodes.values()
        ]
        versions = {chosen.version for chosen in followed if chosen is not None}
        assert len(versions) <= 1
        for version in versions:
            assert version >= self.newest
            self.newest = version


class PresetsAndMembers(Presets):
    """The same model with restarts, removals and replacements of hosts."""

    @rule(name=hosts, forgotten=st.integers(0, 3))
    def restart(self, name, forgotten):
        node = self.nodes[name]
        applied = node.state.image.index
        node.restart()
        node.apply_to(self.log, applied - forgotten)

    @rule(name=hosts, comes_back=st.booleans())
    def remove(self, name, comes_back):
        version = self.truth.image.versions["host"]
        self.agree(RemoveHost(change(version, f"c-{len(self.log)}"), name))
        if comes_back:
            self.agree(registration(name, disk=f"d-{len(self.log)}"))


class UnstoppedLease(SettingsLease):
    def holds(self, now_s, index):
        return super().holds(now_s, index) or self._until_s > 0


class LeaseFromAnUnappliedReply(SettingsLease):
    def renew(self, requested_s, index):
        super().renew(requested_s, 0)


class GateWithoutWaiting(ActivationGate):
    def activation_reason(self, hosts, unsettled_removal, now_s):
        return "at once"


class GateThatForgetsRemovals(ActivationGate):
    def activation_reason(self, hosts, unsettled_removal, now_s):
        return super().activation_reason(hosts, False, now_s)


class GateWithoutDrift(ActivationGate):
    def __init__(self):
        super().__init__()
        self._wait_s = LEASE_S


class GateOfKnownHosts(ActivationGate):
    """A new leader that waits only for hosts that have acknowledged to it."""

    def activation_reason(self, hosts, unsettled_removal, now_s):
        return super().activation_reason(self._acknowledged, unsettled_removal, now_s)


class LeaseFromTheReply(Presets):
    def apply_reply(self, node, requested_s, index):
        super().apply_reply(node, self.clock(node), index)


def explore(machine, examples):
    chosen = settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=examples,
        stateful_step_count=16,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    run_state_machine_as_test(machine, settings=chosen)


def machine_with(base=Presets, **parts):
    node_type = type("WrongNode", (Node,), parts)
    return type("WrongPresets", (base,), {"node_type": node_type})


def test_there_is_no_moment_with_two_presets():
    explore(PresetsAndMembers, 800)


@pytest.mark.parametrize(
    "machine",
    [
        machine_with(lease_type=UnstoppedLease),
        machine_with(lease_type=LeaseFromAnUnappliedReply),
        machine_with(gate_type=GateWithoutWaiting),
        machine_with(PresetsAndMembers, gate_type=GateThatForgetsRemovals),
        machine_with(gate_type=GateWithoutDrift),
        machine_with(gate_type=GateOfKnownHosts),
        LeaseFromTheReply,
    ],
    ids=[
        "acts after its lease",
        "acts before it applied",
        "activates without waiting",
        "forgets removed hosts",
        "no drift",
        "new leader does not wait",
        "lease counted from the answer",
    ],
)
def test_a_wrong_variant_is_caught(machine):
    with pytest.raises(AssertionError):
        for seed in range(WALKS):
            walk(machine, seed)


def test_the_same_walks_find_no_fault_in_the_right_one():
    for seed in range(WALKS // 10):
        walk(PresetsAndMembers, seed)


def walk(machine, seed):
    """Run the rules of a machine in an order that depends on the seed alone."""
    randomness = random.Random(seed)
    steps = machine()
    rules = [rule for rule in WALK_RULES if hasattr(steps, rule)]
    for _ in range(WALK_STEPS):
        rule = randomness.choice(rules)
        getattr(steps, rule)(*(randomness.choice(c) for c in WALK_RULES[rule]))
        steps.one_preset_and_never_an_earlier()
