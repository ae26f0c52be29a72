"""``currantwell quota``: see and change the quotas of teams."""

import click

from ..admin_protocol import ChangeRequest
from ..ids import Team
from ..operator_client import OperatorClient
from ..quotas import DEFAULT_QUOTA, Quota
from .change import change_options, finish_change, warn_if_stale
from .session import as_json, call_hosts, connection, echo_json

__all__ = ["quota"]


@click.group()
def quota() -> None:
    """See and change quotas of teams."""


@quota.command("list")
@as_json
@connection
def list_quotas(client: OperatorClient, as_json: bool) -> None:
    """List the quotas that differ from the default."""
    listing = call_hosts(client, client.quotas)
    if as_json:
        echo_json(listing)
        return
    warn_if_stale(listing.current)
    click.echo(f"default: {_quota_text(listing.default)}")
    for team, team_quota in sorted(listing.quotas.items()):
        click.echo(f"{team}: {_quota_text(team_quota)}")
    click.echo(f"version {listing.version}")


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
    reply = call_hosts(client, client.set_quota, team, chosen, change)
    finish_change(reply, change, as_json)


def _quota_text(team_quota: Quota) -> str:
    return f"weight {team_quota.weight}, at most {team_quota.max_waiting} tasks waiting"
