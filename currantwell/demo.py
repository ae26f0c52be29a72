"""Demonstration: jobs from a file on an embedded host with emulated endpoints."""

import dataclasses
import logging
from pathlib import Path

import click
import msgspec
import trio
from hdrh.histogram import HdrHistogram

from .answers import Answer, Refusal
from .client import Client
from .clock import now_s
from .codes import ResultCode
from .emulator import EmulatorSettings, Faults, run_emulator
from .host import Host
from .ideal_response import ideal_response_s
from .ids import DataCentre, EndpointId, HostId, Rack, Team
from .settings import HostSettings
from .submission import Submission, TaskSpec

__all__ = ["DemoFile", "DemoJob", "DemoReport", "run_demo"]

DEMO_DATA_CENTRE = DataCentre("aspen-parkland")
DEMO_SPEEDS = (1.0, 1.0, 1.5, 0.8, 1.2, 1.0)
DEMO_SLOTS = 8
ANSWER_TIMEOUT_S = 50.0
RATIO_SCALE = 1_000
MAX_RATIO = 1_000
ENDPOINT_POLL_S = 0.3


class DemoJob(msgspec.Struct, forbid_unknown_fields=True):
    """A job and its arrival time in seconds after the start."""

    at_s: float
    team: Team
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 30.0


class DemoFile(msgspec.Struct, forbid_unknown_fields=True):
    """Jobs that the demonstration runs."""

    jobs: tuple[DemoJob, ...]


@dataclasses.dataclass(slots=True)
class DemoReport:
    """Answers and figures of a demonstration run."""

    replies: list[Answer | Refusal]
    ratios: HdrHistogram
    starts: int
    wasted: int
    seconds: float

    @property
    def complete(self) -> bool:
        """Whether every job was answered completely."""
        return all(reply.code is ResultCode.COMPLETE for reply in self.replies)

    def text(self) -> str:
        """Return the figures as lines of text."""
        percentiles = (50, 90, 99, 100)
        ratios = ", ".join(
            f"p{p} {self.ratios.get_value_at_percentile(p) / RATIO_SCALE:.2f}"
            for p in percentiles
        )
        complete = sum(reply.code is ResultCode.COMPLETE for reply in self.replies)
        return "\n".join(
            [
                f"jobs complete: {complete} of {len(self.replies)}",
                f"response / ideal: {ratios}",
                f"starts: {self.starts}, wasted messages: {self.wasted}",
                f"seconds: {self.seconds:.1f}",
            ]
        )


async def run_demo(path: Path, endpoints: int) -> DemoReport:
    """Run the jobs of a file.

    Parameters
    ----------
    path : Path
        A JSON file that decodes as `DemoFile`.
    endpoints : int
        Number of emulated endpoints.

    Returns
    -------
    DemoReport
        Answers and figures.
    """
    logging.getLogger("absl").setLevel(logging.WARNING)
    demo_file = msgspec.json.decode(path.read_bytes(), type=DemoFile)
    host = Host(HostSettings(HostId("demo"), DEMO_DATA_CENTRE))
    async with trio.open_nursery() as nursery:
        await nursery.start(host.run)
        assert host.address is not None
        url = f"http://{host.address[0]}:{host.address[1]}"
        speeds = [DEMO_SPEEDS[i % len(DEMO_SPEEDS)] for i in range(endpoints)]
        for index, speed in enumerate(speeds):
            await nursery.start(
                run_emulator, _endpoint(index, url), Faults(speed=speed)
            )
        client = Client(url)
        while len(await client.endpoints()) < endpoints:
            await trio.sleep(ENDPOINT_POLL_S)
        report = await _run_jobs(demo_file, client, speeds)
        assert host.dispatcher is not None
        report.starts = host.dispatcher.starts_sent
        report.wasted = host.dispatcher.starts_refused
        await client.close()
        nursery.cancel_scope.cancel()
    return report


def _endpoint(index: int, url: str) -> EmulatorSettings:
    return EmulatorSettings(
        EndpointId(f"endpoint-{index + 1}"),
        DEMO_DATA_CENTRE,
        (url,),
        Rack(f"rack-{index // 2 + 1}"),
        slots=DEMO_SLOTS,
        seed=index,
    )


async def _run_jobs(
    demo_file: DemoFile, client: Client, speeds: list[float]
) -> DemoReport:
    ratios = HdrHistogram(1, MAX_RATIO * RATIO_SCALE, 3)
    report = DemoReport([], ratios, 0, 0, 0.0)
    started_s = now_s()

    async def run_one(job: DemoJob) -> None:
        await trio.sleep_until(started_s + job.at_s)
        key = await client.new_key()
        sent_s = now_s()
        submission = Submission(key, job.team, job.tasks, job.deadline_s)
        reply = await client.run(submission, ANSWER_TIMEOUT_S)
        response_s = now_s() - sent_s
        ideal_s = ideal_response_s(_run_times_s(job), speeds, DEMO_SLOTS)
        ratios.record_value(max(1, round(response_s / ideal_s * RATIO_SCALE)))
        report.replies.append(reply)
        click.echo(
            f"{len(report.replies)}/{len(demo_file.jobs)} {job.team}: "
            f"{len(job.tasks)} tasks, {reply.code.name}, {response_s:.3f} s"
        )

    async with trio.open_nursery() as nursery:
        for job in demo_file.jobs:
            nursery.start_soon(run_one, job)
    report.seconds = now_s() - started_s
    return report


def _run_times_s(job: DemoJob) -> list[float]:
    return [float(task.payload["sleep_s"]) for task in job.tasks]
