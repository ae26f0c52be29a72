"""``currantwell load``: put a load on running hosts."""

import click
import trio

from ..ids import Team
from ..load import LoadSettings, run_load

__all__ = ["load"]


@click.command()
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    envvar="CURRANTWELL_URL",
    help="Entry hosts, used in turn.",
)
@click.option("--token", envvar="CURRANTWELL_TOKEN", help="Token of the team.")
@click.option("--duration-s", default=5.0, help="For how long to submit.")
@click.option("--callers", default=8, help="Jobs under way at the same time.")
@click.option("--tasks", default=8, help="Tasks in a job.")
@click.option("--sleep-s", default=0.0, help="Run time of a task.")
@click.option("--team", default="load", help="The team that submits.")
def load(
    urls: tuple[str, ...],
    token: str | None,
    duration_s: float,
    callers: int,
    tasks: int,
    sleep_s: float,
    team: str,
) -> None:
    """Submit jobs for a while and print how they fared."""
    settings = LoadSettings(
        urls, duration_s, callers, tasks, sleep_s, Team(team), token
    )
    click.echo(trio.run(run_load, settings).text())
