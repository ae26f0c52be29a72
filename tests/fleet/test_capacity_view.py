"""Whom a host asks for free capacity, under the loads that the rule is meant for."""

import random

import pytest

from currantwell.fleet.capacity_view import (
    FAR_CHOICES,
    MAX_FAR,
    NEAR_CHOICES,
    SILENT_S,
    CapacityView,
)
from currantwell.fleet.groups import EndpointGroup
from currantwell.fleet.messages import CapacityReport
from currantwell.ids import DataCentre, Epoch

HOME = DataCentre("aspen-parkland")
SLOTS = 22


def groups_of_fleet(data_centres, each):
    names = [HOME, *(DataCentre(f"far-{number}") for number in range(1, data_centres))]
    return [EndpointGroup(name, index, each) for name in names for index in range(each)]


def a_capacity(group, free, epoch=1, **changes):
    return CapacityReport(group, Epoch(epoch), True, free, SLOTS, **changes)


class Dispatchers:
    """Dispatchers with the given free capacity, which answer a host at once."""

    def __init__(self, data_centres=5, each=5, free=SLOTS, waiting_s=0.0):
        self.groups = groups_of_fleet(data_centres, each)
        self.free = dict.fromkeys(self.groups, free)
        self.waiting_s = waiting_s
        self.view = CapacityView(HOME, random.Random(1))
        self.asked = []

    def place(self, tasks, now_s):
        """Ask as a host does before it places a job; return the reports to use."""
        near = self.view.near_to_ask(tasks, self.groups, now_s)
        self.answer(near, now_s)
        connected = {group for group in self.asked if group.data_centre != HOME}
        more = self.view.more_to_ask(tasks, self.groups, connected, now_s)
        self.answer(more, now_s)
        return self.view.reports(self.groups, now_s)

    def answer(self, groups, now_s):
        for group in groups:
            self.asked.append(group)
            report = a_capacity(group, self.free[group], waiting_s=self.waiting_s)
            self.view.record(report, now_s)


def test_a_host_without_a_job_asks_nobody():
    assert Dispatchers().asked == []


def test_with_free_capacity_only_the_own_data_centre_is_asked():
    dispatchers = Dispatchers()
    for number in range(100):
        reports = dispatchers.place(2, now_s=number * 0.18)
        assert any(report.free >= 2 for report in reports.values())
    assert {group.data_centre for group in dispatchers.asked} == {HOME}
    assert len(dispatchers.asked) <= NEAR_CHOICES * 100
    assert len(set(dispatchers.asked)) == 5


@pytest.mark.parametrize(("data_centres", "each"), [(5, 5), (12, 13)])
def test_what_a_host_asks_when_all_is_full_does_not_grow_with_the_fleet(
    data_centres, each
):
    """A crest: 30 jobs a second on a host while every dispatcher has a backlog."""
    dispatchers = Dispatchers(data_centres, each, free=0, waiting_s=SLOTS * 0.4)
    for number in range(300):
        dispatchers.place(8, now_s=number / 30)
    per_job = NEAR_CHOICES + 1 + FAR_CHOICES
    assert len(dispatchers.asked) <= 300 * per_job
    # Of each dispatcher that is asked a backlog is trusted for 0.3 s.
    assert len(dispatchers.asked) <= 10.0 / 0.3 * (each + MAX_FAR + FAR_CHOICES) + 50
    far = {group for group in dispatchers.asked if group.data_centre != HOME}
    assert len(far) <= MAX_FAR + FAR_CHOICES


def test_a_full_data_centre_sends_its_jobs_elsewhere():
    dispatchers = Dispatchers()
    for group in dispatchers.groups:
        if group.data_centre == HOME:
            dispatchers.free[group] = 0
    reports = dispatchers.place(8, now_s=1.0)
    assert any(report.free >= 8 for report in reports.values())


def test_many_hosts_that_place_at_once_do_not_choose_the_same_dispatcher():
    """All hosts of a data centre get jobs in one instant, after a pause."""
    first_choices = set()
    for seed in range(20):
        view = CapacityView(HOME, random.Random(seed))
        groups = groups_of_fleet(5, 5)
        first_choices.update(view.near_to_ask(2, groups, 0.0))
    assert len(first_choices) == 5


def test_a_nearly_full_dispatcher_is_asked_again_sooner_than_an_empty_one():
    group = groups_of_fleet(1, 1)[0]

    def asked_after_s(free):
        view = CapacityView(HOME, random.Random(1))
        view.record(a_capacity(group, free), 0.0)
        return next(
            step / 100
            for step in range(1000)
            if view.near_to_ask(1, [group], step / 100)
        )

    assert asked_after_s(1) < asked_after_s(SLOTS // 2) < asked_after_s(SLOTS)
    assert asked_after_s(SLOTS) < 0.5


def test_tasks_that_were_just_sent_count_until_the_next_report():
    group = groups_of_fleet(1, 1)[0]
    view = CapacityView(HOME, random.Random(1))
    view.record(a_capacity(group, 4), 0.0)
    view.reserve(group, 3)
    assert view.reports([group], 0.01)[group].free == 1
    assert view.near_to_ask(2, [group], 0.2) == [group]
    view.record(a_capacity(group, 2), 0.02)
    assert view.reports([group], 0.03)[group].free == 2


def test_a_dispatcher_that_does_not_answer_is_left_alone_for_a_while():
    group = groups_of_fleet(1, 1)[0]
    view = CapacityView(HOME, random.Random(1))
    view.note_silence(group, 1.0)
    assert view.near_to_ask(1, [group], 1.0 + SILENT_S / 2) == []
    assert view.near_to_ask(1, [group], 1.0 + SILENT_S) == [group]
    view.note_silence(group, 2.0)
    view.record(a_capacity(group, 0), 2.01)
    assert view.near_to_ask(1, [group], 2.01 + SILENT_S / 2) == [group]


def test_an_earlier_epoch_and_a_stopped_dispatcher_count_for_nothing():
    group = groups_of_fleet(1, 1)[0]
    view = CapacityView(HOME, random.Random(1))
    view.record(a_capacity(group, 4, epoch=2), 0.0)
    view.record(a_capacity(group, 9, epoch=1), 0.0)
    assert view.reports([group], 0.0)[group].free == 4
    view.record(CapacityReport(group, Epoch(2), False), 0.01)
    assert view.reports([group], 0.01) == {}


def test_an_outdated_report_is_used_only_if_there_is_no_other():
    old, new = groups_of_fleet(1, 2)
    view = CapacityView(HOME, random.Random(1))
    view.record(a_capacity(old, SLOTS), 0.0)
    assert set(view.reports([old, new], 60.0)) == {old}
    view.record(a_capacity(new, 0), 60.0)
    assert set(view.reports([old, new], 60.0)) == {new}
    assert set(view.reports([old], 60.0)) == {old}
    assert view.reports([], 60.0) == {}
