"""``currantwell quota``: see and change the quotas of teams."""

import click

from ..admin_protocol import ChangeRequest
from ..ids import Team
from ..operator_client import OperatorClient
from ..quotas import DEFAULT_QUOTA, Quota
from .change import change_options, finish_change, stale_note
from .session import as_json, ask_hosts, connection, echo_json

__all__ = ["quota"]


@click.group()
def quota() -> None:
    """See and change quotas of teams."""


@quota.command("list")
@as_json
@connection
def list_quotas(client: OperatorClient, as_json: bool) -> None:
    """List the quotas that differ from the default."""
    told = ask_hosts(client, client.quotas)
    if as_json:
        echo_json(told)
        return
    stale_note(told.current)
    click.echo(f"default: {_line(told.default)}")
    for team, each in sorted(told.quotas.items()):
        click.echo(f"{team}: {_line(each)}")
    click.echo(f"version {told.version}")


@quota.command("set")
@click.argument("team", type=Team)
@click.option("--weight", default=DEFAULT_QUOTA.weight, help="Share of the slots.")
@click.option(
    "--max-waiting", default=DEFAULT_QUOTA.max_waiting, help="Most tasks that wait."
)
@change_options
@as_json
@connection
def set_quota(
    client: OperatorClient,
    team: Team,
    weight: float,
    max_waiting: int,
    change: ChangeRequest,
    as_json: bool,
) -> None:
    """Give a team a quota."""
    chosen = Quota(weight, max_waiting)
    told = ask_hosts(client, client.set_quota, team, chosen, change)
    finish_change(told, change, as_json)


def _line(each: Quota) -> str:
    return f"weight {each.weight}, at most {each.max_waiting} tasks waiting"
