"""``currantwell job``: submit jobs and ask after them."""

import sys
from pathlib import Path

import click
import msgspec
import trio

from ..answers import Answer, Refusal
from ..client import Client
from ..codes import ResultCode, is_not_run, is_unknown
from ..ids import JobKey, Team
from ..submission import Submission, TaskSpec

__all__ = ["job"]

EXIT_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_BAD_REQUEST = 5
EXIT_RUNNING = 6


class JobFile(msgspec.Struct, forbid_unknown_fields=True):
    """A job in a file, which has no key yet."""

    team: Team
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 60.0


@click.group()
def job() -> None:
    """Submit jobs and ask after them."""


@job.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
@click.option("--url", required=True, help="An entry host.")
@click.option("--key", help="Key of an earlier submission of the same job.")
@click.option("--wait-s", default=60.0, help="How long to wait for the answer.")
def submit(path: Path, url: str, key: str | None, wait_s: float) -> None:
    """Submit the job in a JSON file and print its answer."""
    told = trio.run(_submit, path, url, key, wait_s)
    _finish(told)


@job.command()
@click.argument("key")
@click.option("--url", required=True, help="An entry host.")
@click.option("--team", required=True, help="The team that submitted.")
@click.option("--wait-s", default=10.0, help="How long to wait for the answer.")
def wait(key: str, url: str, team: str, wait_s: float) -> None:
    """Print the answer of a job."""

    async def ask() -> Answer | Refusal:
        client = Client(url)
        told = await client.wait(Team(team), JobKey(key), wait_s)
        await client.close()
        return told

    _finish(trio.run(ask))


async def _submit(
    path: Path, url: str, key: str | None, wait_s: float
) -> Answer | Refusal:
    job_file = msgspec.json.decode(path.read_bytes(), type=JobFile)
    client = Client(url)
    job_key = JobKey(key) if key else await client.new_key()
    click.echo(f"key {job_key}", err=True)
    submission = Submission(job_key, job_file.team, job_file.tasks, job_file.deadline_s)
    told = await client.run(submission, wait_s)
    await client.close()
    return told


def _finish(told: Answer | Refusal) -> None:
    click.echo(msgspec.json.encode(told).decode())
    sys.exit(_exit_code(told.code))


def _exit_code(code: ResultCode) -> int:
    if code is ResultCode.COMPLETE:
        return 0
    if code is ResultCode.RUNNING:
        return EXIT_RUNNING
    if is_not_run(code):
        return EXIT_NOT_RUN
    if is_unknown(code):
        return EXIT_UNKNOWN
    return EXIT_FAILED if code >= ResultCode.TASK_FAILED else EXIT_BAD_REQUEST
