"""``currantwell status``: what a host knows of the system."""

import click

from ..client import Client
from ..endpoint_protocol import Announcement
from .session import as_json, ask_hosts, connection, echo_json

__all__ = ["endpoint_line", "status"]


@click.command()
@as_json
@connection
def status(client: Client, as_json: bool) -> None:
    """Print hosts, endpoints, the preset in force, load and recent changes."""
    told = ask_hosts(client, client.status)
    if as_json:
        echo_json(told)
        return
    load = told.load
    click.echo(f"host {told.host} in {told.data_centre}")
    click.echo(f"preset in force: {told.preset.name}")
    click.echo(
        f"load: {load.running} tasks running in {load.slots} slots, "
        f"{load.waiting} waiting; {load.starts} starts sent, {load.wasted} refused"
    )
    for host in told.hosts:
        role = f", {host.role}" if host.role else ""
        click.echo(f"host {host.host} in {host.data_centre}: {host.state}{role}")
    for endpoint in told.endpoints:
        click.echo(f"endpoint {endpoint_line(endpoint)}")
    for change in told.changes:
        click.echo(f"change {change.at} by {change.by}: {change.what} ({change.why})")


def endpoint_line(endpoint: Announcement) -> str:
    """Return a line on an endpoint."""
    state = "draining" if endpoint.draining else "serving"
    rack = f" in {endpoint.rack}" if endpoint.rack else ""
    busy = f"{endpoint.running} of {endpoint.slots} slots in use"
    return f"{endpoint.endpoint}{rack}: {state}, {busy}"
