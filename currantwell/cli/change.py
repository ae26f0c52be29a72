"""Helpers shared by the commands that change the agreed state."""

import functools
import sys
from collections.abc import Callable
from datetime import datetime
from typing import Any

import click

from ..admin_protocol import ChangeReply, ChangeRequest
from ..codes import ResultCode
from ..exit_codes import exit_code
from ..ids import ChangeId
from ..operator_client import new_change_id
from .session import echo_json

__all__ = ["change_options", "finish_change", "local_time", "warn_if_stale"]


def change_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of a change to a command; it gets a `ChangeRequest`."""

    @click.option("--version", required=True, type=int, help="Version planned against.")
    @click.option("--reason", required=True, help="Why; goes into the audit trail.")
    @click.option("--id", "change_id", help="Id of an earlier try of the same change.")
    @functools.wraps(command)
    def with_change(
        *arguments: Any,
        version: int,
        reason: str,
        change_id: str | None,
        **options: Any,
    ) -> None:
        change = ChangeId(change_id) if change_id else new_change_id()
        request = ChangeRequest(change, reason, version)
        command(*arguments, change=request, **options)

    return with_change


def finish_change(reply: ChangeReply, change: ChangeRequest, as_json: bool) -> None:
    """Print the result of a change and exit with its exit code."""
    if as_json:
        echo_json(reply)
    else:
        click.echo(_reply_text(reply, change))
    sys.exit(int(exit_code(reply.code)))


def _reply_text(reply: ChangeReply, change: ChangeRequest) -> str:
    if reply.code is ResultCode.COMPLETE:
        return f"in force; the version is now {reply.version}"
    if reply.code is ResultCode.ACCEPTED:
        return f"accepted as version {reply.version}, not in force yet"
    lines = [f"{reply.code.name}: {reply.detail}"]
    if reply.winner is not None:
        winner = reply.winner
        lines.append(
            f"{winner.author} made version {winner.version} at "
            f"{local_time(winner.unix_s)}: {winner.reason}"
        )
    if reply.code is ResultCode.UNKNOWN_NOT_CONFIRMED:
        lines.append(f"ask again with --id {change.id}")
    return "\n".join(lines)


def local_time(unix_s: float) -> str:
    """Format a Unix time in the local time zone."""
    return datetime.fromtimestamp(unix_s).astimezone().isoformat(" ", "seconds")


def warn_if_stale(current: bool) -> None:
    """Warn on stderr unless a majority of hosts confirmed the printed values."""
    if not current:
        click.echo("no majority of hosts confirms this; it may be stale", err=True)
