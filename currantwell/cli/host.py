"""``currantwell host``: run and look after entry hosts."""

import sys
from pathlib import Path

import click
import trio

from ..admin_protocol import ChangeRequest
from ..errors import SettingsInvalid
from ..exit_codes import ExitCode
from ..host import run_host
from ..ids import HostId
from ..operator_client import OperatorClient
from ..settings import load_settings
from .change import change_options, finish_change, stale_note
from .session import as_json, ask_hosts, connection, echo_json

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


@host.command("list")
@as_json
@connection
def list_hosts(client: OperatorClient, as_json: bool) -> None:
    """List the hosts and what they do."""
    told = ask_hosts(client, client.hosts)
    if as_json:
        echo_json(told)
        return
    stale_note(told.current)
    for each in told.hosts:
        notes = [each.role, "leader" if each.leads else ""]
        notes.append("does not answer" if each.suspected else "")
        line = ", ".join(note for note in notes if note)
        click.echo(f"{each.host} in {each.data_centre}: {line or 'serving'}")
    click.echo(f"version {told.version}")


@host.command()
@click.argument("name", type=HostId)
@change_options
@as_json
@connection
def remove(
    client: OperatorClient, name: HostId, change: ChangeRequest, as_json: bool
) -> None:
    """Remove a host for good; it may come back with an empty data folder only."""
    finish_change(ask_hosts(client, client.remove_host, name, change), change, as_json)
