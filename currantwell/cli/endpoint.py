"""``currantwell endpoint``: list endpoints and run emulated ones."""

import json

import click
import trio

from ..admin_protocol import ChangeRequest
from ..client import Client
from ..emulator import EmulatorSettings, Faults, run_emulator
from ..ids import DataCentre, EndpointId, Rack
from ..operator_client import OperatorClient
from .change import change_options, finish_change, warn_if_stale
from .session import as_json, call_hosts, connection, echo_json
from .status import endpoint_line

__all__ = ["endpoint"]


@click.group()
def endpoint() -> None:
    """Look after endpoints."""


@endpoint.command("list")
@as_json
@connection
def list_endpoints(client: Client, as_json: bool) -> None:
    """List the endpoints of a host's data centre."""
    announcements = call_hosts(client, client.endpoints)
    if as_json:
        echo_json(announcements)
        return
    for announcement in announcements:
        click.echo(endpoint_line(announcement))


@endpoint.command()
@as_json
@connection
def drained(client: OperatorClient, as_json: bool) -> None:
    """List the drained endpoints, and the version to change the list against."""
    listing = call_hosts(client, client.drained)
    if as_json:
        echo_json(listing)
        return
    warn_if_stale(listing.current)
    for name in listing.drained:
        click.echo(name)
    click.echo(f"version {listing.version}")


@endpoint.command()
@click.argument("name", type=EndpointId)
@change_options
@as_json
@connection
def drain(
    client: OperatorClient, name: EndpointId, change: ChangeRequest, as_json: bool
) -> None:
    """Have an endpoint get no new starts; what runs there goes on."""
    reply = call_hosts(client, client.set_drained, name, True, change)
    finish_change(reply, change, as_json)


@endpoint.command()
@click.argument("name", type=EndpointId)
@change_options
@as_json
@connection
def resume(
    client: OperatorClient, name: EndpointId, change: ChangeRequest, as_json: bool
) -> None:
    """Have a drained endpoint get new starts again."""
    reply = call_hosts(client, client.set_drained, name, False, change)
    finish_change(reply, change, as_json)


@endpoint.command()
@click.option("--id", "name", required=True, help="Id of the endpoint.")
@click.option("--data-centre", required=True, help="Where it stands.")
@click.option("--entry", "entries", multiple=True, required=True, help="Entry hosts.")
@click.option("--rack", default="", help="Its rack.")
@click.option("--slots", default=8, help="Tasks it runs at the same time.")
@click.option("--queue", default=0, help="Starts it accepts beyond its slots.")
@click.option("--accelerators", default=0, help="Accelerators it has.")
@click.option("--speed", default=1.0, help="Divides run times.")
@click.option("--seed", default=0, help="Seed of its faults.")
@click.option("--port", default=0, help="Port; 0 lets the kernel pick one.")
@click.option("--token", envvar="CURRANTWELL_TOKEN", help="Token of an endpoint.")
@click.option("--public-url", help="URL that it announces, if not its own.")
def emulate(
    name: str,
    data_centre: str,
    entries: tuple[str, ...],
    rack: str,
    slots: int,
    queue: int,
    accelerators: int,
    speed: float,
    seed: int,
    port: int,
    token: str | None,
    public_url: str | None,
) -> None:
    """Run an emulated endpoint until it is stopped."""
    settings = EmulatorSettings(
        EndpointId(name),
        DataCentre(data_centre),
        entries,
        Rack(rack),
        slots=slots,
        queue=queue,
        accelerators=accelerators,
        seed=seed,
        port=port,
        public_url=public_url,
        token=token,
    )

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            url = await nursery.start(run_emulator, settings, Faults(speed=speed))
            click.echo(json.dumps({"url": url}))

    trio.run(serve)
