"""``currantwell status``: print the state of the system as one host sees it."""

import click

from ..client import Client
from ..endpoint_protocol import Announcement
from .session import as_json, call_hosts, connection, echo_json

__all__ = ["endpoint_line", "status"]


@click.command()
@as_json
@connection
def status(client: Client, as_json: bool) -> None:
    """Print hosts, endpoints, the preset in force, load and recent changes."""
    report = call_hosts(client, client.status)
    if as_json:
        echo_json(report)
        return
    load = report.load
    click.echo(f"host {report.host} in {report.data_centre}")
    click.echo(f"preset in force: {report.preset.name}")
    click.echo(
        f"load: {load.running} tasks running in {load.slots} slots, "
        f"{load.waiting} waiting; {load.starts} starts sent, {load.wasted} refused"
    )
    for host in report.hosts:
        role = f", {host.role}" if host.role else ""
        click.echo(f"host {host.host} in {host.data_centre}: {host.state}{role}")
    for endpoint in report.endpoints:
        click.echo(f"endpoint {endpoint_line(endpoint)}")
    for change in report.changes:
        click.echo(f"change {change.at} by {change.by}: {change.what} ({change.why})")


def endpoint_line(endpoint: Announcement) -> str:
    """Format an endpoint's announcement as one line."""
    state = "draining" if endpoint.draining else "serving"
    rack = f" in {endpoint.rack}" if endpoint.rack else ""
    busy = f"{endpoint.running} of {endpoint.slots} slots in use"
    return f"{endpoint.endpoint}{rack}: {state}, {busy}"
