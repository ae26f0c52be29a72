"""``currantwell bench``: measure the dispatch policies on seeded loads."""

import click

from ..bench import ABLATIONS, POLICIES, run_bench, table
from ..bench_capacity import byte_counts, memory_slopes, scheduler_cost
from ..bench_loads import LOADS
from ..presets import MAINTENANCE, ORDINARY, PEAK

__all__ = ["bench"]

PRESETS = {preset.name: preset for preset in (ORDINARY, PEAK, MAINTENANCE)}
CAPACITY_SIZES = (
    (13, 12, 300),
    (52, 12, 300),
    (208, 12, 300),
    (52, 300, 300),
    (52, 300, 3_000),
    (52, 300, 30_000),
    (620, 300, 3_000),
)
ALL = {**POLICIES, **ABLATIONS}


@click.group()
def bench() -> None:
    """Measure the dispatch decisions."""


@bench.command("run")
@click.argument("loads", nargs=-1, type=click.Choice(sorted(LOADS)))
@click.option("--policy", "names", multiple=True, type=click.Choice(list(ALL)))
@click.option("--seeds", default=3, show_default=True, help="How many seeds.")
@click.option("--seconds", default=30.0, show_default=True, help="Length of a load.")
@click.option("--preset", default="ordinary", type=click.Choice(sorted(PRESETS)))
def run(
    loads: tuple[str, ...],
    names: tuple[str, ...],
    seeds: int,
    seconds: float,
    preset: str,
) -> None:
    """Run LOADS, all if none is named, and print a table of each."""
    policies = {name: ALL[name] for name in names or POLICIES}
    for load in loads or tuple(LOADS):
        results = run_bench(load, policies, range(seeds), seconds, PRESETS[preset])
        click.echo(table(load, results) + "\n")


@bench.command("capacity")
@click.option("--starts", default=5_000, show_default=True, help="Starts to time.")
def capacity(starts: int) -> None:
    """Measure the slopes of docs/CAPACITY.md."""
    click.echo("| endpoints | teams | waiting | plan us | ended us | add us | all us |")
    click.echo("|---" * 7 + "|")
    for endpoints, teams, waiting in CAPACITY_SIZES:
        cost = scheduler_cost(endpoints, teams, waiting, starts)
        click.echo(
            f"| {endpoints} | {teams} | {waiting} | {cost.plan_us:.1f} "
            f"| {cost.ended_us:.1f} | {cost.add_us:.1f} | {cost.total_us:.1f} |"
        )
    for name, size_bytes in {**memory_slopes(), **byte_counts()}.items():
        click.echo(f"{name}: {size_bytes:.0f} bytes")
