"""``currantwell endpoint``: list endpoints and run emulated ones."""

import json

import click
import msgspec
import trio

from ..client import Client
from ..emulator import EmulatorSettings, Faults, run_emulator
from ..ids import DataCentre, EndpointId, Rack

__all__ = ["endpoint"]


@click.group()
def endpoint() -> None:
    """Look after endpoints."""


@endpoint.command("list")
@click.option("--url", required=True, help="An entry host.")
def list_endpoints(url: str) -> None:
    """List the endpoints of a host's data centre."""

    async def ask() -> None:
        client = Client(url)
        for announcement in await client.endpoints():
            click.echo(msgspec.json.encode(announcement).decode())
        await client.close()

    trio.run(ask)


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
    )

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            url = await nursery.start(run_emulator, settings, Faults(speed=speed))
            click.echo(json.dumps({"url": url}))

    trio.run(serve)
