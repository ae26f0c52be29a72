"""``currantwell host``: run and look after entry hosts."""

import sys
from pathlib import Path

import click
import trio

from ..admin_protocol import ChangeRequest
from ..errors import JournalDamaged, SettingsInvalid, StorageFailed, leaf_errors
from ..exit_codes import ExitCode
from ..host import run_host
from ..ids import HostId
from ..log_sink import configure_logging
from ..operator_client import OperatorClient
from ..process import held_signals
from ..settings import load_settings
from .change import change_options, finish_change, warn_if_stale
from .session import as_json, call_hosts, connection, echo_json

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
    """Run an entry host until SIGTERM or SIGINT."""
    with held_signals():
        configure_logging(sys.stderr.fileno())
        sys.exit(int(_run(path)))


def _run(path: Path) -> ExitCode:
    try:
        settings = load_settings(path)
    except SettingsInvalid as error:
        for problem in error.problems:
            click.echo(problem, err=True)
        return ExitCode.USAGE
    drained = False
    try:
        drained = trio.run(run_host, settings)
    except* (JournalDamaged, StorageFailed, OSError) as errors:
        for reason in sorted({str(error) for error in leaf_errors(errors)}):
            click.echo(f"the host stops: {reason}", err=True)
    return ExitCode.DONE if drained else ExitCode.FAILED


@host.command("list")
@as_json
@connection
def list_hosts(client: OperatorClient, as_json: bool) -> None:
    """List the hosts and what they do."""
    listing = call_hosts(client, client.hosts)
    if as_json:
        echo_json(listing)
        return
    warn_if_stale(listing.current)
    for entry in listing.hosts:
        notes = [entry.role, "leader" if entry.leads else ""]
        notes.append("does not answer" if entry.suspected else "")
        line = ", ".join(note for note in notes if note)
        click.echo(f"{entry.host} in {entry.data_centre}: {line or 'serving'}")
    click.echo(f"version {listing.version}")


@host.command()
@click.argument("name", type=HostId)
@change_options
@as_json
@connection
def remove(
    client: OperatorClient, name: HostId, change: ChangeRequest, as_json: bool
) -> None:
    """Remove a host for good; it may come back with an empty data folder only."""
    finish_change(call_hosts(client, client.remove_host, name, change), change, as_json)
