"""``currantwell demo``: run jobs on one embedded host with emulated endpoints."""

import sys
from pathlib import Path

import click
import trio

from ..demo import run_demo

__all__ = ["demo"]


@click.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
@click.option("--endpoints", default=6, help="How many emulated endpoints to run.")
def demo(path: Path, endpoints: int) -> None:
    """Run the jobs in a JSON file and print their figures."""
    report = trio.run(run_demo, path, endpoints)
    click.echo(report.text())
    sys.exit(0 if report.complete else 1)
