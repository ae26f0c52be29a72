"""``currantwell settings``: check and show settings, and make keys."""

import dataclasses
import json
import sys
from pathlib import Path

import click

from ..errors import SettingsInvalid
from ..exit_codes import ExitCode
from ..settings import load_settings, show_settings, write_key

__all__ = ["settings"]

_PATH = click.Path(path_type=Path)


@click.group()
def settings() -> None:
    """Check and show the settings of a host."""


@settings.command()
@click.argument("path", type=_PATH)
def check(path: Path) -> None:
    """List everything that is wrong with a settings file."""
    try:
        load_settings(path)
    except SettingsInvalid as error:
        _exit_with_problems(error)
    click.echo(f"{path}: good")


@settings.command()
@click.argument("path", type=_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def show(path: Path, as_json: bool) -> None:
    """Print the values in force, each with its origin."""
    try:
        values = show_settings(path)
    except SettingsInvalid as error:
        _exit_with_problems(error)
    if as_json:
        click.echo(json.dumps([dataclasses.asdict(value) for value in values]))
        return
    for value in values:
        name = f"[{value.section}] {value.key}"
        click.echo(f"{name} = {value.value}  ({value.origin}; {value.takes})")


@settings.command()
@click.argument("path", type=_PATH)
def key(path: Path) -> None:
    """Write a new key that all hosts are to share; an old one is kept."""
    try:
        write_key(path)
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
        sys.exit(int(ExitCode.USAGE))


def _exit_with_problems(error: SettingsInvalid) -> None:
    for problem in error.problems:
        click.echo(problem, err=True)
    sys.exit(int(ExitCode.USAGE))
