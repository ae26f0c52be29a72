"""What the commands that change the agreed state share."""

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

__all__ = ["change_options", "finish_change", "local_time", "stale_note"]


def change_options(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command the options of a change, as one `ChangeRequest`."""

    @click.option("--version", required=True, type=int, help="Version planned against.")
    @click.option("--reason", required=True, help="Why; goes into the audit trail.")
    @click.option("--id", "change_id", help="Id of an earlier try of the same change.")
    @functools.wraps(command)
    def changing(
        *arguments: Any,
        version: int,
        reason: str,
        change_id: str | None,
        **options: Any,
    ) -> None:
        change = ChangeId(change_id) if change_id else new_change_id()
        request = ChangeRequest(change, reason, version)
        command(*arguments, change=request, **options)

    return changing


def finish_change(told: ChangeReply, change: ChangeRequest, as_json: bool) -> None:
    """Print what became of a change, and exit."""
    if as_json:
        echo_json(told)
    else:
        click.echo(_outcome(told, change))
    sys.exit(int(exit_code(told.code)))


def _outcome(told: ChangeReply, change: ChangeRequest) -> str:
    if told.code is ResultCode.COMPLETE:
        return f"in force; the version is now {told.version}"
    if told.code is ResultCode.ACCEPTED:
        return f"accepted as version {told.version}, not in force yet"
    lines = [f"{told.code.name}: {told.detail}"]
    if told.winner is not None:
        winner = told.winner
        lines.append(
            f"{winner.author} made version {winner.version} at "
            f"{local_time(winner.unix_s)}: {winner.reason}"
        )
    if told.code is ResultCode.UNKNOWN_NOT_CONFIRMED:
        lines.append(f"ask again with --id {change.id}")
    return "\n".join(lines)


def local_time(unix_s: float) -> str:
    """Return a time for people to read."""
    return datetime.fromtimestamp(unix_s).astimezone().isoformat(" ", "seconds")


def stale_note(current: bool) -> None:
    """Say so if a host told what it knew last."""
    if not current:
        click.echo("no majority of hosts confirms this; it may be stale", err=True)
