"""Copies of job records under crashes, lost disks, delays and changes of view."""

import dataclasses

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantwell.copy_messages import (
    AppendRecords,
    CopyOutcome,
    InstallChunk,
    RecordRun,
    StoreCreated,
    ViewJoined,
    ViewVouched,
    Vouch,
)
from currantwell.ids import DataCentre, Epoch, HostId, JobId, StoreId
from currantwell.job_copy import JobCopy
from currantwell.job_primary import JobPrimary
from currantwell.records import JobForgotten, decode_record, encode_record
from currantwell.views import View

HOSTS = [HostId(name) for name in "abc"]
DC = DataCentre("valdres")
TASKS = 4
host_ids = st.sampled_from(HOSTS)


def logged_tasks(copy):
    """Return the tasks whose start is in the copy's log."""
    rest = copy.runs_after(copy.applied.seq, 1 << 30)
    records = [decode_record(r) for run in rest for r in run.records if r]
    return copy.table.forgotten | {record.job for record in records}


@dataclasses.dataclass
class Node:
    """A host: its disk, and the state of its process while that runs."""

    id: HostId
    copy_type: type
    disk: list = dataclasses.field(default_factory=list)
    stores: int = 0
    copy: JobCopy | None = None
    view: View | None = None
    primary: JobPrimary | None = None
    ready: bool = False
    first_seq: int = 0
    pending_starts: dict = dataclasses.field(default_factory=dict)

    def boot(self):
        self.copy, self.primary, self.view = self.copy_type(), None, None
        self.ready, self.pending_starts = False, {}
        for change in self.disk:
            self.copy.apply(change)
        if not self.disk:
            self.stores += 1
            self.write(StoreCreated(StoreId(f"{self.id}{self.stores}")))

    def write(self, *changes):
        self.disk.extend(changes)
        for change in changes:
            self.copy.apply(change)

    def compact(self):
        self.disk = list(self.copy.snapshot_changes())


class World(RuleBasedStateMachine):
    """Hosts that must start each task at most once, whatever faults occur."""

    copy_type = JobCopy
    syncs_before_reply = True

    def __init__(self):
        super().__init__()
        self.nodes = {host: Node(host, self.copy_type) for host in HOSTS}
        self.views = []
        self.network = []
        self.sent = set()
        self.actors = {}

    @property
    def newest(self):
        return self.views[-1]

    # What hosts do.

    @initialize()
    def begin(self):
        for node in self.nodes.values():
            node.boot()
        self.views.append(View(DC, Epoch(1), HostId("a"), HostId("b")))
        self.learn_views("a")
        self.go_on_alone("a")
        self.learn_views("a")
        self.start("a", 0)
        self.add_backup("a", "b")

    def learn_views(self, host):
        """Process all views up to the newest, one after another."""
        node = self.nodes[host]
        while node.copy is not None and node.view != self.newest:
            self.learn_next_view(node)

    def learn_next_view(self, node):
        if node.copy is None or node.view == self.newest:
            return
        view = self.views[node.view.number if node.view else 0]
        node.view, node.primary, node.ready = view, None, False
        node.pending_starts = {}
        alone = View(DC, Epoch(view.number + 1), node.id)
        named = node.id in (view.primary, view.backup)
        if view.number == 1 and named and self.is_confirmed(view):
            node.write(ViewVouched(alone))
        if node.copy.may_vouch_for_itself(view, node.id):
            node.write(ViewVouched(view))
        if node.id == view.primary and node.copy.may_serve_as_primary(view):
            node.write(ViewJoined(view.number))
            assert self.actors.setdefault(view.number, node.copy) is node.copy
            node.primary = JobPrimary(node.copy, view)
            node.first_seq = node.primary.add_barrier()
            self.sync_records(node)
        elif node.id == view.backup and node.copy.joined < view.number:
            node.write(ViewJoined(view.number))

    def is_confirmed(self, view):
        return view == self.newest

    def sync_records(self, node):
        """Sync new records, then execute what is committed."""
        primary = node.primary
        if primary is None:
            return
        if primary.deposed:
            return
        runs = primary.take_unwritten()
        node.write(*runs)
        primary.mark_synced(runs)
        self.send_committed_starts(node)

    def send_committed_starts(self, node):
        """Send the starts that are committed."""
        primary = node.primary
        if primary is None or primary.committed < node.first_seq:
            return
        node.ready = True
        for task, seq in list(node.pending_starts.items()):
            if seq > primary.committed:
                continue
            assert task not in self.sent, f"{task} is started twice"
            self.sent.add(task)
            del node.pending_starts[task]

    def send_message(self, host, to, message):
        if self.nodes[host].primary.deposed:
            return
        self.network.append((host, to, self.nodes[host].primary, message))

    def propose(self, node, backup):
        view = node.view
        if view is None:
            return
        alone = View(DC, Epoch(view.number + 1), node.id)
        if not node.copy.is_vouched_for(alone if view.number == 1 else view):
            return
        next_view = View(DC, Epoch(view.number + 1), node.id, backup)
        node.write(ViewVouched(next_view))
        if next_view.number == self.newest.number + 1:
            self.views.append(next_view)

    def deliver_message(self, packet):
        host, to, primary, message = packet
        target, sender = self.nodes[to], self.nodes[host]
        if target.copy is None:
            return
        decision = self.decide(target.copy, message)
        if not self.syncs_before_reply:
            for change in decision.changes:
                target.copy.apply(change)
            durable = [c for c in decision.changes if not isinstance(c, RecordRun)]
            target.disk.extend(durable)
        elif decision.replaces:
            target.disk = []
            target.write(*decision.changes)
        else:
            target.write(*decision.changes)
        target.copy.apply_to_table(decision.committed)
        reply = target.copy.reply(decision.outcome)
        joined = [c.number for c in target.disk if isinstance(c, ViewJoined)]
        if reply.outcome is not CopyOutcome.REFUSED:
            assert message.view >= max(joined, default=0), (
                "endpoint leases rely on this"
            )
        if sender.primary is primary is not None:
            primary.on_reply(to, message, reply)
            if primary.deposed:
                sender.primary = None
            elif isinstance(message, Vouch) and reply.outcome is CopyOutcome.ACCEPTED:
                self.propose(sender, message.following.backup)
            self.send_committed_starts(sender)

    @staticmethod
    def decide(copy, message):
        if isinstance(message, AppendRecords):
            return copy.on_append(message)
        if isinstance(message, InstallChunk):
            return copy.on_chunk(message)
        return copy.on_vouch(message)

    # Rules.

    @rule(host=host_ids)
    def host_learns(self, host):
        self.learn_views(host)

    @rule(host=host_ids)
    def host_learns_one(self, host):
        self.learn_next_view(self.nodes[host])

    @rule(primary=st.booleans())
    def passed_over(self, primary):
        """The other hosts agree on a view without one of the two members."""
        view = self.newest
        if view.backup is not None and view.number > 1:
            remaining = view.backup if primary else view.primary
            self.views.append(View(DC, Epoch(view.number + 1), remaining))

    def start(self, host, task):
        """Start a task unless its start is in the log."""
        node, job = self.nodes[host], JobId(str(task))
        if node.primary is None or not node.ready or job in logged_tasks(node.copy):
            return
        if job not in node.pending_starts:
            node.pending_starts[job] = node.primary.add(
                [encode_record(JobForgotten(job))]
            )

    def sync(self, host):
        if self.nodes[host].copy is not None:
            self.sync_records(self.nodes[host])

    @rule(host=host_ids, to=host_ids)
    def send(self, host, to):
        primary = self.nodes[host].primary
        if primary is not None and to in primary.followers:
            self.send_message(host, to, primary.message_for(to))

    @precondition(lambda self: self.network)
    @rule(index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, index, keep):
        """Deliver a message late, out of order, and possibly more than once."""
        index %= len(self.network)
        packet = self.network[index] if keep else self.network.pop(index)
        self.deliver_message(packet)

    @rule(host=host_ids, to=host_ids)
    def exchange(self, host, to):
        """Bring a copy up to date without delay."""
        primary = self.nodes[host].primary
        for _ in range(8):
            if primary is None or primary.deposed or to not in primary.followers:
                return
            packet = (host, to, primary, primary.message_for(to))
            self.deliver_message(packet)
            primary = self.nodes[host].primary

    @rule(host=host_ids, task=st.integers(0, TASKS - 1))
    def do_task(self, host, task):
        """Start a task and replicate its start to the backup."""
        node = self.nodes[host]
        self.start(host, task)
        self.sync(host)
        if node.primary is not None and node.view.backup is not None:
            self.exchange(host, node.view.backup)

    @rule(task=st.integers(0, TASKS - 1), stale=st.booleans())
    def take_over(self, task, stale):
        """The backup takes over; the old primary may not have learned of it."""
        host = self.newest.backup
        node = self.nodes[host] if host else None
        if node is None or node.copy is None:
            return
        old = self.newest.primary
        self.learn_views(host)
        self.propose(node, None)
        self.learn_views(host)
        self.do_task(host, task)
        if stale:
            self.do_task(old, (task + 1) % TASKS)
            self.do_task(host, (task + 1) % TASKS)

    @rule(to=host_ids)
    def repair(self, to):
        """The newest primary adds a backup, and all messages arrive in time."""
        host = self.newest.primary
        if self.nodes[to].copy is None:
            self.restart(to)
        self.learn_views(host)
        self.exchange(host, to)
        self.add_backup(host, to)
        if self.network:
            self.deliver_message(self.network.pop())
        self.learn_views(host)
        self.learn_views(to)
        self.exchange(host, to)

    @rule(host=host_ids)
    def go_on_alone(self, host):
        """Drop the backup, or get a new view number after a restart."""
        node = self.nodes[host]
        if node.copy is not None and node.view and node.view.primary == host:
            self.propose(node, None)

    @rule(host=host_ids, to=host_ids)
    def add_backup(self, host, to):
        node = self.nodes[host]
        if node.primary is None or host == to or node.view.backup is not None:
            return
        node.primary.follow(to)
        self.exchange(host, to)
        self.sync_records(node)
        self.exchange(host, to)
        primary = node.primary
        if primary and primary.is_synced_to(to, primary.require(to)):
            next_view = View(DC, Epoch(node.view.number + 1), host, to)
            self.send_message(host, to, primary.vouch(to, next_view))

    @rule(host=host_ids)
    def crash(self, host):
        self.nodes[host].copy = self.nodes[host].primary = None

    @rule(host=host_ids)
    def restart(self, host):
        if self.nodes[host].copy is None:
            self.nodes[host].boot()

    @rule(host=host_ids)
    def lose_disk(self, host):
        """Lose one disk, as long as another copy that counts remains."""
        view = self.newest
        if host in (view.primary, view.backup):
            others = {view.primary, view.backup} - {host, None}
            if not any(ViewVouched(view) in self.nodes[o].disk for o in others):
                return
        self.crash(host)
        self.nodes[host].disk = []
        self.nodes[host].boot()

    @rule(host=host_ids)
    def compact(self, host):
        node = self.nodes[host]
        if node.copy is not None and not node.copy._incoming_chunks:
            node.compact()
            primary = node.primary
            node.copy.trim(primary.keep_from() if primary else node.copy.applied.seq)

    @invariant()
    def a_host_that_may_act_knows_all_that_was_sent(self):
        view = self.newest if self.views else None
        for node in self.nodes.values():
            if node.copy is not None and view and node.copy.is_vouched_for(view):
                assert self.sent <= logged_tasks(node.copy), f"{node.id} has forgotten"


class EarlyReply(World):
    syncs_before_reply = False


class TakesOldViews(JobCopy):
    def on_append(self, message):
        return super().on_append(self._as_newest(message))

    def on_chunk(self, message):
        return super().on_chunk(self._as_newest(message))

    def _as_newest(self, message):
        view = max(message.view, self.joined)
        return msgspec.structs.replace(message, view=view)


class SameEpochAgain(JobCopy):
    def may_serve_as_primary(self, view):
        return self.is_vouched_for(view)


class Unconfirmed(World):
    def is_confirmed(self, view):
        return True


class EmptyCounts(JobCopy):
    def is_vouched_for(self, view):
        return True


def variant(copy_type):
    return type(copy_type.__name__, (World,), {"copy_type": copy_type})


def examples(count):
    return settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=count,
        stateful_step_count=25,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )


def test_nothing_sent_is_forgotten_or_sent_twice():
    run_state_machine_as_test(World, settings=examples(300))


@pytest.mark.parametrize(
    "wrong",
    [
        EarlyReply,
        Unconfirmed,
        variant(TakesOldViews),
        variant(SameEpochAgain),
        variant(EmptyCounts),
    ],
    ids=lambda wrong: wrong.__name__,
)
def test_a_wrong_variant_is_caught(wrong):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(wrong, settings=examples(1_000))


@pytest.mark.parametrize("trusting", [False, True])
def test_a_backup_that_lost_its_disk_proves_nothing(monkeypatch, trusting):
    """A deposed primary must not commit with a backup that lost its disk.

    Such a backup has forgotten the newer views that it joined, so its replies would let
    the primary, which has not learned of them, start a task for a second time.
    """
    if trusting:
        monkeypatch.setattr(JobPrimary, "rules_out_newer_view", lambda self, host: True)
    world = World()
    world.begin()
    world.deliver_message(world.network.pop())
    world.learn_views("a")
    world.learn_views("b")
    world.exchange("a", "b")
    world.take_over(2, False)
    world.repair("c")
    world.take_over(3, False)
    assert world.newest.primary == "c"
    assert {"2", "3"} <= world.sent
    world.lose_disk("b")
    if trusting:
        with pytest.raises(AssertionError, match="started twice"):
            world.do_task("a", 2)
    else:
        world.do_task("a", 2)
