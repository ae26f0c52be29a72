import json
import logging

import trio

from currantwell.job_outcomes import (
    MAX_KINDS,
    OTHER_KIND,
    REPORT_INTERVAL_S,
    JobEnd,
    JobOutcomes,
    OutcomeReporter,
)
from currantwell.metrics import HostLoad, Metrics


def test_jobs_are_counted_by_the_next_power_of_two_of_their_work():
    outcomes = JobOutcomes()
    for work_core_s in (2.0, 2.1, 4.0, 0.0):
        outcomes.record("notice", work_core_s, JobEnd.COMPLETE)
    sizes = {size: count for (_, size, _), count in outcomes.counts().items()}
    assert sizes == {2.0: 1, 4.0: 2, 0.25: 1}


def test_the_number_of_kinds_is_bounded():
    outcomes = JobOutcomes()
    for number in range(MAX_KINDS + 2):
        outcomes.record(str(number), 1.0, JobEnd.COMPLETE)
    assert len(outcomes.counts()) == MAX_KINDS + 1
    assert outcomes.counts()[OTHER_KIND, 1.0, JobEnd.COMPLETE] == 2


def test_the_metrics_show_the_counts():
    metrics = Metrics()
    metrics.outcomes.record("notice", 30.0, JobEnd.NO_PROSPECT)
    name = 'jobs_ended_total{kind="notice",core_s="32",outcome="NO_PROSPECT"} 1'
    assert f"currantwell_{name}" in metrics.text(HostLoad()).splitlines()


async def test_changed_counts_are_logged_in_intervals_and_at_the_end(
    autojump_clock, caplog
):
    outcomes = JobOutcomes()
    outcomes.record("notice", 1.0, JobEnd.COMPLETE)
    with caplog.at_level(logging.INFO):
        async with trio.open_nursery() as nursery:
            await nursery.start(OutcomeReporter(outcomes).run)
            await trio.sleep(2.5 * REPORT_INTERVAL_S)
            outcomes.record("notice", 1.0, JobEnd.COMPLETE)
            nursery.cancel_scope.cancel()
    lines = [json.loads(record.getMessage()) for record in caplog.records]
    counts = [line["counts"] for line in lines if line["name"] == "job_outcomes"]
    assert counts == [[["notice", 1.0, "COMPLETE", n]] for n in (1, 2)]
