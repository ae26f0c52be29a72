"""``currantwell preset``: see, plan and change the rules in force."""

import sys
from typing import BinaryIO

import click
import msgspec

from ..admin_protocol import ChangeRequest
from ..exit_codes import ExitCode
from ..operator_client import OperatorClient
from ..presets import Preset
from .change import change_options, finish_change, stale_note
from .session import as_json, ask_hosts, connection, echo_json, fail

__all__ = ["preset"]


@click.group()
def preset() -> None:
    """See and change the preset in force."""


@preset.command("list")
@as_json
@connection
def list_presets(client: OperatorClient, as_json: bool) -> None:
    """List the presets; an asterisk marks the one in force."""
    told = ask_hosts(client, client.presets)
    if as_json:
        echo_json(told)
        return
    stale_note(told.current)
    for each in told.presets:
        mark = "*" if each.name == told.active else " "
        coming = " (coming in force)" if each.name == told.proposed else ""
        click.echo(f"{mark} {each.name}{coming}")
    click.echo(f"version {told.version}; the asked host follows {told.followed}")


@preset.command()
@click.argument("name")
@as_json
@connection
def show(client: OperatorClient, name: str, as_json: bool) -> None:
    """Print the rules of a preset."""
    told = ask_hosts(client, client.presets)
    found = [each for each in told.presets if each.name == name]
    if not found:
        fail(f"no preset {name}", ExitCode.REFUSED)
    if as_json:
        echo_json(found[0])
        return
    stale_note(told.current)
    for rule, value in msgspec.to_builtins(found[0]).items():
        click.echo(f"{rule} = {value}")


@preset.command()
@click.argument("name")
@as_json
@connection
def plan(client: OperatorClient, name: str, as_json: bool) -> None:
    """Print what setting a preset would alter, and the version to set it against."""
    told = ask_hosts(client, client.plan_preset, name)
    if as_json:
        echo_json(told)
        return
    stale_note(told.current)
    click.echo(f"from {told.before} to {told.after}")
    for change in told.changes:
        click.echo(f"  {change.rule}: {change.before} -> {change.after}")
    if not told.changes:
        click.echo("  no rule differs")
    click.echo(f"version {told.version}")


@preset.command("set")
@click.argument("name")
@change_options
@as_json
@connection
def set_preset(
    client: OperatorClient, name: str, change: ChangeRequest, as_json: bool
) -> None:
    """Put a preset in force everywhere."""
    finish_change(ask_hosts(client, client.set_preset, name, change), change, as_json)


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
    told = ask_hosts(client, client.put_preset, defined, change)
    finish_change(told, change, as_json)
