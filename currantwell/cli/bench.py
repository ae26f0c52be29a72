"""``currantwell bench``: measure the dispatch policies on seeded loads."""

import click

from ..bench import ABLATIONS, POLICIES, run_bench, table
from ..bench_loads import LOADS
from ..presets import MAINTENANCE, ORDINARY, PEAK

__all__ = ["bench"]

PRESETS = {preset.name: preset for preset in (ORDINARY, PEAK, MAINTENANCE)}

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
