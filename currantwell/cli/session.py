"""What the commands that talk to entry hosts share."""

import functools
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NoReturn, ParamSpec, TypeVar

import click
import msgspec
import trio

from ..client import Client
from ..errors import EndpointUnreachable, RequestRefused
from ..exit_codes import ExitCode, exit_code
from ..operator_client import OperatorClient

__all__ = ["as_json", "ask_hosts", "connection", "echo_json", "fail"]

P = ParamSpec("P")
T = TypeVar("T")

as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def connection(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command the options ``--url`` and ``--token``, as one `Connection`."""

    @click.option(
        "--url",
        "urls",
        multiple=True,
        required=True,
        envvar="CURRANTWELL_URL",
        help="An entry host; repeat it for hosts to try next.",
    )
    @click.option(
        "--token", envvar="CURRANTWELL_TOKEN", help="Token of a team or an operator."
    )
    @functools.wraps(command)
    def connected(
        *arguments: Any, urls: tuple[str, ...], token: str | None, **options: Any
    ) -> None:
        command(OperatorClient(urls, token), *arguments, **options)

    return connected


def ask_hosts(
    client: Client,
    question: Callable[P, Awaitable[T]],
    *arguments: P.args,
    **options: P.kwargs,
) -> T:
    """Return what a question that uses the client gives; exit if it can't be had."""

    async def ask() -> T:
        try:
            return await question(*arguments, **options)
        finally:
            await client.close()

    try:
        return trio.run(ask)
    except EndpointUnreachable as error:
        fail(f"no entry host answers: {error}", ExitCode.UNKNOWN)
    except RequestRefused as error:
        fail(f"refused: {error}", exit_code(error.code))


def echo_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(msgspec.json.encode(value).decode())


def fail(text: str, code: ExitCode) -> NoReturn:
    """Say in plain words what went wrong, and exit."""
    click.echo(text, err=True)
    sys.exit(int(code))
