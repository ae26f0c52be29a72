"""Checks scheduling decisions against the design targets on short seeded loads."""

import dataclasses
import functools

from click.testing import CliRunner

from currantwell.bench import (
    ABLATIONS,
    POLICIES,
    ideals_s,
    measure,
    run_bench,
    run_once,
    summary,
    table,
)
from currantwell.bench_capacity import scheduler_cost
from currantwell.bench_loads import make_load
from currantwell.cli import main
from currantwell.presets import ORDINARY, PEAK

OWN = {"currantwell": POLICIES["currantwell"]}


@functools.cache
def own(load, preset=ORDINARY):
    return run_bench(load, OWN, (0,), 20.0, preset)["currantwell"]


def mean(measures, field):
    return summary(measures, field).mean


def test_response_is_near_the_ideal():
    measures = run_bench("steady", OWN, (0, 1, 2), 30.0)["currantwell"]
    assert mean(measures, "ratio_mean") <= 1.3
    assert mean(measures, "wasted") <= 0.02


def test_response_is_ahead_of_every_baseline():
    results = run_bench("steady", POLICIES, (0,), 20.0)
    means = {name: mean(measures, "ratio_mean") for name, measures in results.items()}
    assert means.pop("currantwell") < min(means.values())
    assert "| currantwell |" in table("steady", results)


def test_accepted_work_meets_its_deadline_at_the_crest():
    assert mean(own("crest"), "in_time") >= 0.95
    assert mean(own("crest"), "wasted") <= 0.02


def test_goodput_does_not_fall_past_saturation():
    twice, capacity = mean(own("twice"), "goodput"), mean(own("capacity"), "goodput")
    assert twice >= 0.95 * capacity


def test_long_tasks_do_not_hold_up_short_ones_at_the_peak():
    mixed = mean(own("mixed", preset=PEAK), "short_wait_p99_s")
    assert mixed <= 1.2 * mean(own("short", preset=PEAK), "short_wait_p99_s")


def test_workers_that_fail_all_get_few_starts():
    load = make_load("failing", 0, 20.0)
    figures = run_once(load, POLICIES["currantwell"], ORDINARY, 0)
    assert figures.failed_starts <= 0.02 * figures.useful
    assert measure(load, figures, ideals_s(load)).in_time >= 0.95


def test_a_run_with_the_same_seed_is_the_same():
    runs = [run_bench("crest", OWN, (3,), 11.0) for _ in range(2)]
    assert runs[0] == runs[1]


def test_each_ablation_runs():
    load = make_load("straggling", 0, 11.0)
    load = dataclasses.replace(load, jobs=load.jobs[:20])
    for make in ABLATIONS.values():
        assert run_once(load, make, ORDINARY, 0).useful


def test_the_scheduler_leaves_a_core_time_for_5000_starts_a_second():
    cost = scheduler_cost(endpoints=52, teams=300, waiting=3_000, starts=2_000)
    assert cost.total_us <= 1e6 / 5_000


def test_the_command_line_prints_tables():
    runner = CliRunner()
    short = ["--seeds", "1", "--seconds", "10.5"]
    bench_run = runner.invoke(main, ["bench", "run", "crest", *short])
    assert "| two-choices |" in bench_run.output
    bench_capacity = runner.invoke(main, ["bench", "capacity", "--starts", "100"])
    assert "AttemptStarted: " in bench_capacity.output
