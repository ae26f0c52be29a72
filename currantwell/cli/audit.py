"""``currantwell audit``: search and verify the audit trail."""

import sys
from datetime import datetime

import click

from ..audit import AuditQuery
from ..exit_codes import ExitCode
from ..operator_client import OperatorClient
from .change import local_time, warn_if_stale
from .session import as_json, call_hosts, connection, echo_json

__all__ = ["audit"]


@click.group()
def audit() -> None:
    """Search and verify the audit trail."""


@audit.command("list")
@click.option("--author", help="Only changes by this operator or host.")
@click.option("--kind", help="Only this kind, such as set_preset or view.")
@click.option("--since", type=click.DateTime(), help="Not before this time.")
@click.option("--until", type=click.DateTime(), help="Not after this time.")
@click.option("--limit", default=100, help="The newest so many.")
@click.option("--archive", is_flag=True, help="Search all that the host kept.")
@as_json
@connection
def list_entries(
    client: OperatorClient,
    author: str | None,
    kind: str | None,
    since: datetime | None,
    until: datetime | None,
    limit: int,
    archive: bool,
    as_json: bool,
) -> None:
    """List changes and repairs, newest first."""
    query = AuditQuery(author, kind, _unix_s(since), _unix_s(until), limit)
    listing = call_hosts(client, client.audit, query, archive)
    if as_json:
        echo_json(listing)
        return
    warn_if_stale(listing.current)
    for entry in listing.entries:
        click.echo(
            f"{entry.number} {local_time(entry.unix_s)} {entry.author} {entry.kind} "
            f"{entry.subject}: {entry.before or '-'} -> {entry.after} "
            f"[{entry.outcome.name}] {entry.reason}"
        )


@audit.command()
@as_json
@connection
def verify(client: OperatorClient, as_json: bool) -> None:
    """Verify the chain of hashes; the head is alike on all hosts."""
    report = call_hosts(client, client.verify_audit)
    if as_json:
        echo_json(report)
    else:
        state = "whole" if report.whole else f"BROKEN: {report.detail}"
        click.echo(f"entries {report.first} to {report.last}: {state}")
        click.echo(f"head {report.head}")
    sys.exit(int(ExitCode.DONE if report.whole else ExitCode.FAILED))


def _unix_s(time: datetime | None) -> float | None:
    return None if time is None else time.timestamp()
