"""``currantwell reference``: tables of result codes and events."""

import click

from ..reference import event_table, result_code_table

__all__ = ["reference"]


@click.group()
def reference() -> None:
    """Print the tables of the documents."""


@reference.command()
def codes() -> None:
    """Print all result codes, with HTTP statuses and exit codes."""
    click.echo(result_code_table(), nl=False)


@reference.command()
def events() -> None:
    """Print all events of the log."""
    click.echo(event_table(), nl=False)
