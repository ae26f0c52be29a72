"""``currantwell preset``: see, plan and change the rules in force."""

import sys
from typing import BinaryIO

import click
import msgspec

from ..admin_protocol import ChangeRequest
from ..exit_codes import ExitCode
from ..operator_client import OperatorClient
from ..presets import Preset
from .change import change_options, finish_change, warn_if_stale
from .session import as_json, call_hosts, connection, echo_json, fail

__all__ = ["preset"]


@click.group()
def preset() -> None:
    """See and change the preset in force."""


@preset.command("list")
@as_json
@connection
def list_presets(client: OperatorClient, as_json: bool) -> None:
    """List the presets; an asterisk marks the one in force."""
    listing = call_hosts(client, client.presets)
    if as_json:
        echo_json(listing)
        return
    warn_if_stale(listing.current)
    for entry in listing.presets:
        mark = "*" if entry.name == listing.active else " "
        pending_note = " (coming in force)" if entry.name == listing.proposed else ""
        click.echo(f"{mark} {entry.name}{pending_note}")
    click.echo(f"version {listing.version}; the asked host follows {listing.followed}")


@preset.command()
@click.argument("name")
@as_json
@connection
def show(client: OperatorClient, name: str, as_json: bool) -> None:
    """Print the rules of a preset."""
    listing = call_hosts(client, client.presets)
    found = [entry for entry in listing.presets if entry.name == name]
    if not found:
        fail(f"no preset {name}", ExitCode.REFUSED)
    if as_json:
        echo_json(found[0])
        return
    warn_if_stale(listing.current)
    for rule, value in msgspec.to_builtins(found[0]).items():
        click.echo(f"{rule} = {value}")


@preset.command()
@click.argument("name")
@as_json
@connection
def plan(client: OperatorClient, name: str, as_json: bool) -> None:
    """Print what setting a preset would alter, and the version to set it against."""
    planned = call_hosts(client, client.plan_preset, name)
    if as_json:
        echo_json(planned)
        return
    warn_if_stale(planned.current)
    click.echo(f"from {planned.before} to {planned.after}")
    for change in planned.changes:
        click.echo(f"  {change.rule}: {change.before} -> {change.after}")
    if not planned.changes:
        click.echo("  no rule differs")
    click.echo(f"version {planned.version}")


@preset.command("set")
@click.argument("name")
@change_options
@as_json
@connection
def set_preset(
    client: OperatorClient, name: str, change: ChangeRequest, as_json: bool
) -> None:
    """Put a preset in force everywhere."""
    finish_change(call_hosts(client, client.set_preset, name, change), change, as_json)


@preset.command()
@click.argument("file", type=click.File("rb"))
@change_options
@as_json
@connection
def put(
    client: OperatorClient, file: BinaryIO, change: ChangeRequest, as_json: bool
) -> None:
    """Define the preset in a JSON file; this puts nothing in force."""
    try:
        defined = msgspec.json.decode(file.read(), type=Preset)
    except msgspec.DecodeError as error:
        click.echo(f"no preset: {error}", err=True)
        sys.exit(int(ExitCode.USAGE))
    reply = call_hosts(client, client.put_preset, defined, change)
    finish_change(reply, change, as_json)
