"""Members of an agreement over a lossy wire, driven step by step and checked."""

import random

from currantwell.consensus import Consensus, Role
from currantwell.consensus_leader import RaftTiming
from currantwell.consensus_messages import (
    ClusterId,
    Membership,
    host_of,
    member_id,
)
from currantwell.journal import MemoryJournal
from currantwell.raft_storage import RaftStorage
from tests.builders import ListState

TIMING = RaftTiming()
SNAPSHOT_EVERY = 6
EXCHANGES = 50


def at_once(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waits")


class Node:
    """A member with its disk; `pending` is an output whose sync is under way."""

    def __init__(self, group, host, incarnation, journal):
        self.group, self.host, self.incarnation = group, host, incarnation
        self.journal = journal
        self.storage = RaftStorage(journal)
        fresh = member_id(host, str(incarnation))
        self.id = at_once(self.storage.begin(fresh))
        stored = self.storage
        self.core = group.kind(
            self.id, stored.hard_state, stored.snapshot, stored.entries, TIMING
        )
        self.core.tick(group.now_s, group.random.random())
        self.state = ListState()
        self.applied = stored.snapshot.index
        if self.applied:
            self.state.restore(stored.snapshot.data)
        self.pending = None
        self.reads = {}
        self.frozen = False

    def carry_out(self):
        """Take an output up to its sync, or from its sync on; tell if there was one."""
        output, self.pending = self.pending, None
        if output is not None:
            at_once(self.storage.save(output))
            self.core.saved(output)
            self._finish(output)
            return True
        output = self.core.take_output()
        self.group.send(output.messages)
        if output.needs_sync:
            self.pending = output
        elif output:
            self._finish(output)
        return bool(output)

    def _finish(self, output):
        self.group.send(output.replies)
        if output.snapshot is not None:
            self.state.restore(output.snapshot.data)
            self.applied = output.snapshot.index
        for entry in output.committed:
            self.group.check_committed(self, entry)
            if entry.command is not None:
                self.state.apply(entry.index, entry.command)
            self.applied = entry.index
        for read in output.reads:
            assert read.index >= self.reads.pop(read.number), "a stale read"
        for read in output.lost_reads:
            del self.reads[read.number]
        if self.applied - self.storage.snapshot.index >= SNAPSHOT_EVERY:
            snapshot = self.core.compact(self.applied, self.state.snapshot())
            self.storage.compact(snapshot)


class Group:
    """All members, the wire between them, and what must hold."""

    def __init__(self, count, kind=Consensus, forgetful=False, seed=0, voters=None):
        self.kind, self.forgetful = kind, forgetful
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.wire = []
        self.late = []
        self.cuts = set()
        self.committed = {}
        self.terms = {}
        self.checked = None
        self.leaders = {}
        self.proposed = 0
        self.hosts = [f"host-{i}" for i in range(count)]
        self.nodes = {h: Node(self, h, 1, MemoryJournal()) for h in self.hosts}
        first = tuple(node.id for node in self.nodes.values())[:voters]
        self.nodes["host-0"].core.form(ClusterId("c"), Membership(first))

    # What may happen.

    def send(self, envelopes):
        self.wire.extend(envelopes)

    def deliver(self, place, keep=False):
        """Deliver the message at a place of the wire; keep it to deliver it twice."""
        envelope = self.wire[place] if keep else self.wire.pop(place)
        sender, to = host_of(envelope.sender), host_of(envelope.to)
        node = self.nodes[to]
        if (sender, to) in self.cuts or node.frozen:
            return
        node.core.receive(envelope, self.now_s)
        self.check()

    def pass_time(self, seconds):
        self.now_s += seconds
        for node in self.nodes.values():
            if not node.frozen:
                node.core.tick(self.now_s, self.random.random())
        self.check()

    def carry_out(self, host):
        node = self.nodes[host]
        if node.frozen or not node.carry_out():
            return False
        self.check()
        return True

    def propose(self, host):
        """Propose a command of its own to a member, which takes it if it leads."""
        node = self.nodes[host]
        command = str(self.proposed + 1)
        if not node.frozen and node.core.propose(command.encode()):
            self.proposed += 1

    def read_barrier(self, host):
        node = self.nodes[host]
        number = None if node.frozen else node.core.read_barrier()
        if number is not None:
            node.reads[number] = max(self.committed, default=0)

    def crash(self, host, written=False):
        """Restart a member; an unfinished sync may have been written or not."""
        node = self.nodes[host]
        if written and node.pending is not None:
            at_once(node.storage.save(node.pending))
        self.nodes[host] = Node(self, host, node.incarnation, node.journal)

    def lose_disk(self, host):
        """Restart a member with nothing, if all the others still hold theirs."""
        if not self.intact():
            return
        node = self.nodes[host]
        incarnation = node.incarnation + (not self.forgetful)
        self.nodes[host] = Node(self, host, incarnation, MemoryJournal())

    def join(self, host, votes=True):
        leader = self.leader()
        if leader is not None:
            leader.core.join(self.nodes[host].id, votes)

    def remove(self, host):
        leader = self.leader()
        if leader is not None and len(leader.core.membership.voters) > 3:
            leader.core.remove(host)

    def settle(self, seconds=0.5):
        """Let the wire carry everything in order for a while."""
        for _ in range(round(seconds / 0.1)):
            self.pass_time(0.1)
            self._exchange()

    def _exchange(self):
        """Let all go on until nothing is left to do, which must come soon."""
        for _ in range(EXCHANGES):
            busy = any([self.carry_out(host) for host in self.hosts])
            if not busy and not self.wire:
                return
            while self.wire:
                self.deliver(0)
        wrong = self.forgetful or self.kind is not Consensus
        assert wrong, "the members never come to rest"

    def heal(self):
        self.cuts.clear()
        for node in self.nodes.values():
            node.frozen = False

    def storm(self, seed, steps):
        """Take steps by chance, of members and of the wire, beside one failure."""
        self.random.seed(seed)
        self.random.choice(self._FAILURES)(self)
        for _ in range(steps):
            step = self.random.choices(self._steps, self._weights)[0]
            step(self)
        if self.random.random() < 0.7:
            self.heal()

    def _any(self):
        return self.random.choice(self.hosts)

    def _victim(self):
        """Return a host, often the leader."""
        leader = self.leader()
        often = leader is not None and self.random.random() < 0.5
        return leader.host if often else self._any()

    def _deliver_any(self):
        if self.wire:
            in_order = self.random.random() < 0.7
            place = 0 if in_order else self.random.randrange(len(self.wire))
            self.deliver(place, keep=self.random.random() < 0.05)

    def _lose_any(self):
        if self.wire:
            self.wire.pop(self.random.randrange(len(self.wire)))

    def propose_to_leaders(self):
        for host in self.hosts:
            self.propose(host)

    def confirm_at_leaders(self):
        for host in self.hosts:
            self.read_barrier(host)

    def join_all(self):
        for host in self.hosts:
            self.join(host)

    def cut_off(self, host=None):
        host = host or self._victim()
        self.cuts |= {(host, other) for other in self.hosts}
        self.cuts |= {(other, host) for other in self.hosts}

    def _freeze_one(self):
        host = self._victim()
        for node in self.nodes.values():
            node.frozen = node.host == host

    def _pass_some_time(self):
        leader = self.leader()
        led = leader is not None and not leader.frozen
        paces_s = (0.01, 0.05, 0.1, 0.1, 0.4) if led else (0.1, 0.5, 0.5, 1.6)
        self.pass_time(self.random.choice(paces_s))

    def _hold_back(self):
        if self.wire:
            self.late.append(self.wire.pop(self.random.randrange(len(self.wire))))

    def _bring_late(self):
        if self.late:
            place = self.random.randrange(len(self.late))
            self.wire.insert(0, self.late.pop(place))

    def _carry_out_any(self):
        """Have a member go on; its disk is often slow."""
        host = self._any()
        if self.nodes[host].pending is None or self.random.random() < 0.4:
            self.carry_out(host)

    def crash_all(self):
        for host in self.hosts:
            self.crash(host, written=self.random.random() < 0.2)

    def contest(self):
        """Let several stand for election at once, with crashes meanwhile."""
        self.pass_time(TIMING.election_timeout_s)
        self.pass_time(TIMING.election_jitter_s / 2)
        for _ in range(60):
            self._deliver_any()
            self._carry_out_any()
            if self.random.random() < 0.08:
                self._crash_any()

    def freeze_for_long(self):
        self._freeze_one()
        for seconds in (2.0, 0.1):
            self.settle(seconds)
            self.propose_to_leaders()
        self.heal()

    def _crash_any(self):
        """Restart a member, often one that waits for its disk."""
        waiting = [n.host for n in self.nodes.values() if n.pending is not None]
        host = self.random.choice(waiting) if waiting else self._victim()
        self.crash(host, written=self.random.random() < 0.3)

    def _cut_one_way(self):
        victim = self._victim()
        self.cuts |= {(victim, other) for other in self.hosts}

    def _quick_round(self):
        for host in self.hosts:
            self.carry_out(host)
        for _ in range(len(self.wire)):
            self.deliver(0)

    _FAILURES = (heal, cut_off, _cut_one_way, _freeze_one)
    _STEPS = (
        (40, _deliver_any),
        (40, _carry_out_any),
        (2, _lose_any),
        (2, _hold_back),
        (2, _bring_late),
        (6, _pass_some_time),
        (6, _quick_round),
        (6, propose_to_leaders),
        (6, confirm_at_leaders),
        (2, join_all),
        (1, _crash_any),
        (0.5, crash_all),
        (0.5, contest),
        (0.7, freeze_for_long),
        (0.5, lambda self: self.lose_disk(self._victim())),
        (0.2, lambda self: self.remove(self._any())),
        (1.5, lambda self: self.settle(self.random.choice((0.1, 0.5, 2.0)))),
    )
    _weights, _steps = zip(*_STEPS, strict=True)

    # What must hold.

    def leader(self):
        """Return the leader of the newest term, if any leads."""
        leading = [n for n in self.nodes.values() if n.core.role is Role.LEADER]
        return max(leading, key=lambda node: node.core.term, default=None)

    def intact(self):
        """Tell whether every voter still has its disk, as the leader sees it."""
        leader = self.leader()
        if leader is None or leader.core.commit < leader.core.log.membership_index:
            return False
        ids = {node.id for node in self.nodes.values()}
        membership = leader.core.membership
        return set(membership.voters) <= ids and not membership.joining

    def check_committed(self, node, entry):
        known = self.committed.setdefault(entry.index, entry)
        self.terms.setdefault(entry.index, node.core.term)
        assert known == entry, "two entries are committed at one index"
        assert entry.index == node.applied + 1

    def check(self):
        for node in self.nodes.values():
            if node.core.role is not Role.LEADER:
                continue
            first = self.leaders.setdefault(node.core.term, node.id)
            assert first == node.id, "two leaders in one term"
        leader = self.leader()
        if leader is None or self.checked == (leader.core, len(self.committed)):
            return
        self.checked = (leader.core, len(self.committed))
        for index, entry in self.committed.items():
            later = leader.core.term > self.terms[index]
            if later and index > leader.core.log.snapshot.index:
                term = leader.core.log.term_at(index)
                assert term == entry.term, "a leader lacks a committed entry"

    def check_serves_again(self):
        """Check that a command is applied by all soon after the last failure."""
        self.heal()
        for _ in range(6):
            self.settle(2.0)
            self.join_all()
        assert self.intact(), "the repair has not ended"
        proposed = self.proposed
        self.propose_to_leaders()
        self.settle(2.0)
        assert self.proposed > proposed, "no one leads"
        last = str(self.proposed)
        members = self.leader().core.membership.members
        for node in self.nodes.values():
            assert node.id not in members or node.state.commands[-1] == last
        self.check_alike()

    def check_alike(self):
        """Check that the applied commands of one are the first of another."""
        commands = [node.state.commands for node in self.nodes.values()]
        longest = max(commands, key=len)
        assert all(each == longest[: len(each)] for each in commands)
