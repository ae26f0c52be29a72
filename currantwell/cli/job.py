"""``currantwell job``: submit jobs and query them.

Answers are printed as JSON on standard output, messages for people on standard error.
"""

import sys
from pathlib import Path
from typing import NoReturn

import click
import msgspec
import trio

from ..answers import Answer, Refusal, TaskState, TaskStatus
from ..client import Client
from ..codes import ResultCode
from ..errors import EndpointUnreachable, RequestRefused
from ..exit_codes import ExitCode, exit_code
from ..ids import JobKey, Team
from ..submission import Submission, TaskSpec
from .session import as_json, call_hosts, connection, echo_json, fail

__all__ = ["job"]

PROGRESS_INTERVAL_S = 1.0
_team = click.option("--team", type=Team, help="The team, if no token names it.")
_key = click.argument("key", type=JobKey)


class JobFile(msgspec.Struct, forbid_unknown_fields=True):
    """Contents of a job file: a job without a key."""

    team: Team
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 60.0


@click.group()
def job() -> None:
    """Submit jobs and ask after them."""


@job.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
@click.option("--key", type=JobKey, help="Key of an earlier submission of the job.")
@click.option("--wait-s", default=60.0, help="How long to wait for the answer.")
@click.option("--progress", is_flag=True, help="Say how many tasks have ended.")
@connection
def submit(
    client: Client, path: Path, key: JobKey | None, wait_s: float, progress: bool
) -> None:
    """Submit the job in a JSON file and print its answer."""
    try:
        job_file = msgspec.json.decode(path.read_bytes(), type=JobFile)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        fail(f"{path}: {error}", ExitCode.REFUSED)
    show_progress = progress or sys.stderr.isatty()
    _print_and_exit(
        call_hosts(
            client, _submit_and_wait, client, job_file, key, wait_s, show_progress
        )
    )


@job.command()
@_key
@_team
@click.option("--wait-s", default=10.0, help="How long to wait for the answer.")
@connection
def wait(client: Client, key: JobKey, team: Team | None, wait_s: float) -> None:
    """Print the answer of a job."""
    _print_and_exit(call_hosts(client, client.wait, team, key, wait_s))


@job.command()
@_key
@_team
@connection
def cancel(client: Client, key: JobKey, team: Team | None) -> None:
    """Start nothing more of a job and stop what runs."""
    _print_and_exit(call_hosts(client, client.cancel, team, key))


@job.command()
@_key
@_team
@as_json
@connection
def tasks(client: Client, key: JobKey, team: Team | None, as_json: bool) -> None:
    """List the tasks of a job."""
    statuses = call_hosts(client, client.tasks, team, key)
    if as_json:
        echo_json(statuses)
        return
    for status in statuses:
        click.echo(_task_line(status))


@job.command()
@_key
@_team
@as_json
@connection
def explain(client: Client, key: JobKey, team: Team | None, as_json: bool) -> None:
    """Say why the tasks of a job stand where they stand."""
    lines = call_hosts(client, client.explain, team, key)
    if isinstance(lines, Refusal):
        _print_and_exit(lines)
    if as_json:
        echo_json(lines)
        return
    for line in lines:
        click.echo(line)


async def _submit_and_wait(
    client: Client,
    job_file: JobFile,
    key: JobKey | None,
    wait_s: float,
    show_progress: bool,
) -> Answer | Refusal:
    key = key or await client.new_key()
    click.echo(f"key {key}", err=True)
    submission = Submission(key, job_file.team, job_file.tasks, job_file.deadline_s)
    async with trio.open_nursery() as nursery:
        if show_progress:
            nursery.start_soon(_show_progress, client, submission)
        result = await client.run(submission, wait_s)
        nursery.cancel_scope.cancel()
    return result


async def _show_progress(client: Client, submission: Submission) -> None:
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        try:
            statuses = await client.tasks(submission.team, submission.key)
        except (EndpointUnreachable, RequestRefused):
            continue
        ended = sum(
            status.state not in (TaskState.WAITING, TaskState.STARTED)
            for status in statuses
        )
        click.echo(f"{ended} of {len(statuses)} tasks have ended", err=True)


def _task_line(status: TaskStatus) -> str:
    words = [
        f"task {status.task}: {status.state.value}",
        f"at {status.endpoint}" if status.endpoint else "",
        f"attempt {status.attempts}" if status.attempts else "",
        status.code.name if status.code is not ResultCode.ACCEPTED else "",
        status.detail,
    ]
    return ", ".join(word for word in words if word)


def _print_and_exit(result: Answer | Refusal) -> NoReturn:
    echo_json(result)
    if isinstance(result, Refusal):
        field = f" ({result.field})" if result.field else ""
        click.echo(f"{result.code.name}{field}: {result.detail}", err=True)
    sys.exit(int(exit_code(result.code)))
