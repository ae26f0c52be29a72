"""Helpers shared by the commands that send requests to entry hosts."""

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

__all__ = ["as_json", "call_hosts", "connection", "echo_json", "fail"]

P = ParamSpec("P")
T = TypeVar("T")

as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def connection(command: Callable[..., None]) -> Callable[..., None]:
    """Add ``--url`` and ``--token`` to a command; it gets an `OperatorClient`."""

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
    def with_client(
        *arguments: Any, urls: tuple[str, ...], token: str | None, **options: Any
    ) -> None:
        command(OperatorClient(urls, token), *arguments, **options)

    return with_client


def call_hosts(
    client: Client,
    call: Callable[P, Awaitable[T]],
    *arguments: P.args,
    **options: P.kwargs,
) -> T:
    """Run an asynchronous call of the client and return its result.

    Exits with a message and the matching exit code if no entry host answers or the
    host refuses. The client is closed afterwards.
    """

    async def call_and_close() -> T:
        try:
            return await call(*arguments, **options)
        finally:
            await client.close()

    try:
        return trio.run(call_and_close)
    except EndpointUnreachable as error:
        fail(f"no entry host answers: {error}", ExitCode.UNKNOWN)
    except RequestRefused as error:
        fail(f"refused: {error}", exit_code(error.code))


def echo_json(value: Any) -> None:
    """Print a value as JSON."""
    click.echo(msgspec.json.encode(value).decode())


def fail(text: str, code: ExitCode) -> NoReturn:
    """Print an error message on stderr and exit."""
    click.echo(text, err=True)
    sys.exit(int(code))
