import re

import trio

from currantwell.codes import ResultCode
from currantwell.metrics import (
    WINDOW_S,
    HostLoad,
    LoopMonitor,
    MeasuredJobLog,
    Metrics,
    Timing,
)

LINE = re.compile(r'currantwell_[a-z_]+(\{[a-z]+="[A-Z_a-z0-9.]+"\})? [0-9.e-]+')


def value(metrics, name):
    lines = metrics.text(HostLoad()).splitlines()
    (line,) = (line for line in lines if line.startswith(f"currantwell_{name} "))
    return float(line.split()[1])


def p99_s(metrics):
    return value(metrics, 'job_response_seconds{quantile="0.99"}')


def test_every_line_has_the_prometheus_text_format():
    metrics = Metrics()
    metrics.observe(Timing.COMMIT, 0.004)
    metrics.count_refusal(ResultCode.NOT_RUN_QUOTA)
    for line in metrics.text(HostLoad(starts=3)).splitlines():
        assert line.startswith(("# HELP ", "# TYPE ")) or LINE.fullmatch(line), line
    assert value(metrics, 'refusals_total{code="NOT_RUN_QUOTA"}') == 1


def test_a_gauge_is_read_whenever_the_metrics_are():
    metrics = Metrics()
    values = iter([1, 0])
    metrics.add_gauge("agreement_hears_leader", "Whether.", lambda: next(values))
    text = metrics.text(HostLoad())
    assert "# TYPE currantwell_agreement_hears_leader gauge" in text.splitlines()
    assert "currantwell_agreement_hears_leader 1" in text.splitlines()
    assert value(metrics, "agreement_hears_leader") == 0


def test_counters_with_a_label_are_read_whenever_the_metrics_are():
    metrics = Metrics()
    counts = {"ping": 3}
    metrics.add_counters("sent_total", "Sent by kind.", "kind", lambda: counts)
    assert value(metrics, 'sent_total{kind="ping"}') == 3
    counts["ping"] = 5
    assert value(metrics, 'sent_total{kind="ping"}') == 5


def test_quantiles_exclude_values_older_than_two_windows():
    metrics = Metrics()
    for time_s in (1.0, 1e9, 0.0):
        metrics.observe(Timing.JOB_RESPONSE, time_s)
    metrics.rotate()
    metrics.observe(Timing.JOB_RESPONSE, 0.1)
    assert p99_s(metrics) > 3000
    metrics.rotate()
    assert 0.09 < p99_s(metrics) < 0.11
    assert value(metrics, "job_response_seconds_count") == 4


async def test_loop_lag_is_measured_and_windows_rotate(autojump_clock):
    metrics = Metrics()
    metrics.observe(Timing.JOB_RESPONSE, 1.0)
    async with trio.open_nursery() as nursery:
        await nursery.start(LoopMonitor(metrics).run)
        await trio.sleep(2.5 * WINDOW_S)
        nursery.cancel_scope.cancel()
    assert value(metrics, "loop_lag_seconds_count") > 20 * WINDOW_S
    assert p99_s(metrics) == 0


async def test_commit_durations_are_measured(autojump_clock):
    class SlowLog:
        async def commit(self, records):
            await trio.sleep(0.005)

    metrics = Metrics()
    await MeasuredJobLog(SlowLog(), metrics).commit([])
    assert 0.0049 < value(metrics, 'commit_seconds{quantile="0.5"}') < 0.0051
