"""The drain of an entry host: what it waits for, and for how long."""

import pytest
import trio

from currantwell.fleet.entry_drain import (
    ACCEPT_SHARE,
    COMPLETE_SHARE,
    MIN_DRAIN_S,
    POLL_S,
    drain_entry_host,
)

GRACE_S = 6.0


class Host:
    """The entry service, the server and the dispatchers of a host, in one."""

    def __init__(self, requests_s=0.0, jobs_s=0.0, dispatch_s=0.0):
        self.draining = self.stop_announced = False
        self.jobs_cut_off = 0
        self.handed_over_s = self.closed_s = self.jobs_end_by_s = None
        self.started_s = trio.current_time()
        self.until_s = {"requests": requests_s, "jobs": jobs_s, "dispatch": dispatch_s}

    @property
    def closing(self):
        return self.closed_s is not None

    @closing.setter
    def closing(self, closing):
        self.closed_s = trio.current_time() - self.started_s

    def _lasts(self, what):
        return trio.current_time() < self.started_s + self.until_s[what]

    @property
    def in_progress(self):
        return int(self._lasts("requests"))

    @property
    def in_flight(self):
        return int(self._lasts("jobs"))

    def end_jobs_by(self, stop_s):
        assert self.jobs_end_by_s is None
        self.jobs_end_by_s = stop_s - self.started_s

    def announce_stop(self):
        self.stop_announced = True

    async def drain(self):
        await trio.sleep_until(self.started_s + self.until_s["dispatch"])

    def hand_over(self):
        self.handed_over_s = trio.current_time() - self.started_s

    async def run(self):
        """Return the duration of the drain in seconds."""
        await drain_entry_host(self, self, self, self.hand_over, GRACE_S)
        assert self.draining and self.closing and self.stop_announced
        assert self.jobs_end_by_s == pytest.approx(COMPLETE_SHARE * GRACE_S)
        return trio.current_time() - self.started_s


async def test_a_host_without_work_is_drained_when_the_load_balancer_knows(
    autojump_clock,
):
    host = Host()
    assert await host.run() == pytest.approx(MIN_DRAIN_S)
    assert host.handed_over_s == 0.0


async def test_requests_are_accepted_until_those_in_progress_have_ended(autojump_clock):
    host = Host(requests_s=3.0, jobs_s=3.0)
    assert 3.0 <= await host.run() <= 3.0 + 2 * POLL_S


@pytest.mark.parametrize("busy", ["requests_s", "jobs_s", "dispatch_s"])
async def test_jobs_are_refused_in_time_whatever_else_lasts(autojump_clock, busy):
    # Nothing that lasts may delay the time from which requests are refused.
    host = Host(**{busy: 60.0})
    await host.run()
    assert host.closed_s == pytest.approx(ACCEPT_SHARE * GRACE_S, abs=2 * POLL_S)


@pytest.mark.parametrize("busy", ["jobs_s", "dispatch_s"])
async def test_the_drain_ends_before_the_process_is_killed(autojump_clock, busy):
    host = Host(**{busy: 60.0})
    assert await host.run() <= COMPLETE_SHARE * GRACE_S + POLL_S


async def test_jobs_that_were_accepted_early_may_take_most_of_the_grace_time(
    autojump_clock,
):
    host = Host(jobs_s=0.85 * GRACE_S, dispatch_s=0.85 * GRACE_S)
    assert 0.85 * GRACE_S <= await host.run() <= 0.85 * GRACE_S + 2 * POLL_S
    assert host.handed_over_s == pytest.approx(0.85 * GRACE_S)
