"""``currantwell token``: make tokens for teams, operators and endpoints."""

import click

from ..auth import new_token, token_digest
from ..errors import InvalidKey
from ..ids import check_name

__all__ = ["token"]


@click.group()
def token() -> None:
    """Make tokens."""


@token.command()
@click.argument("name")
def new(name: str) -> None:
    """Print a new token for NAME and the line for the tokens file."""
    try:
        check_name("name", name)
    except InvalidKey as error:
        raise click.BadParameter(error.reason) from None
    fresh = new_token()
    click.echo(f"token: {fresh}")
    click.echo(f"line:  {name} = {token_digest(fresh)}")
