"""Entry hosts: waves of tasks, and the outcome of a job that stops between waves."""

from types import SimpleNamespace

import pytest
import trio

from currantwell.fleet.entry_service import START_BY_SHARE, EntryService
from currantwell.fleet.job_router import JobDone, JobFailed, JobIncomplete, JobNotRun
from currantwell.metrics import Metrics
from currantwell.submission import TaskSpec
from tests.fleet.builders import a_route

REFUSED = JobNotRun("no room", 1.0)
WAVES = [[TaskSpec("crew")] * 2, [TaskSpec("crew")]]


class Router:
    """Returns the given outcomes, one for each wave."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.orders = []

    async def run(self, order):
        self.orders.append(order)
        return self.outcomes.pop(0)


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ([JobDone(), JobDone()], JobDone()),
        ([REFUSED], REFUSED),
        ([JobDone(), REFUSED], JobIncomplete("no room")),
        ([JobFailed("task 0")], JobFailed("task 0")),
        ([JobIncomplete("late")], JobIncomplete("late")),
    ],
)
async def test_a_wave_starts_when_the_one_before_it_is_done(outcomes, expected):
    router = Router(outcomes)
    entry = EntryService(None, None, router, Metrics())
    now = trio.current_time()
    assert await entry.run("5c0e", a_route(), WAVES, now + 1.5) == expected
    assert [len(order.tasks) for order in router.orders] == [2, 1][: len(outcomes)]
    assert entry.in_flight == 0


async def test_a_closing_host_refuses_jobs_without_running_them():
    router = Router([])
    entry = EntryService(None, None, router, Metrics())
    entry.closing = True
    outcome = await entry.run("5c0e", a_route(), WAVES, trio.current_time() + 1.5)
    assert isinstance(outcome, JobNotRun)
    assert not router.orders


@pytest.mark.parametrize(("after_s", "configured"), [(0.3, True), (9.0, False)])
async def test_a_host_without_a_configuration_waits_for_it_part_of_a_callers_time(
    after_s, configured, autojump_clock
):
    view = SimpleNamespace(configuration=SimpleNamespace(version=0))

    async def wait_configured():
        await trio.sleep(after_s)
        view.configuration.version = 1

    view.wait_configured = wait_configured
    entry = EntryService(view, None, None, Metrics())
    began_s = trio.current_time()
    assert await entry.wait_configured(1.0) is configured
    waited_s = trio.current_time() - began_s
    assert waited_s == pytest.approx(after_s if configured else START_BY_SHARE)
