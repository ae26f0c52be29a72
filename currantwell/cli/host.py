"""``currantwell host``: run an entry host."""

import sys
from pathlib import Path

import click
import trio

from ..errors import SettingsInvalid
from ..exit_codes import ExitCode
from ..host import run_host
from ..settings import load_settings

__all__ = ["host"]


@click.group()
def host() -> None:
    """Run and look after entry hosts."""


@host.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="INI file.",
)
def run(path: Path) -> None:
    """Run an entry host until SIGTERM."""
    try:
        settings = load_settings(path)
    except SettingsInvalid as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        sys.exit(int(ExitCode.USAGE))
    drained = trio.run(run_host, settings)
    sys.exit(0 if drained else int(ExitCode.FAILED))
