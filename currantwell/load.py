"""Load generator: submits concurrent jobs to running hosts and reports results."""

import dataclasses

import trio
from hdrh.histogram import HdrHistogram

from .answers import Answer, Refusal
from .client import Client
from .clock import now_s
from .codes import ResultCode
from .ids import Team
from .submission import Submission, TaskSpec

__all__ = ["LoadReport", "LoadSettings", "run_load"]

MAX_RESPONSE_US = 120_000_000
ANSWER_TIMEOUT_S = 60.0
MICROSECONDS = 1_000_000
LOAD_TEAM = Team("load")


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Settings of the load generator.

    Parameters
    ----------
    urls : tuple of str
        URLs of entry hosts; callers are assigned to them in turn.
    duration_s : float
        Time in seconds during which jobs are submitted.
    callers : int
        Number of concurrent callers, each with one job at a time.
    tasks : int
        Number of tasks per job.
    sleep_s : float
        Run time of a task in seconds.
    team : Team
        The team that submits the jobs.
    token : str or None
        The team's token.
    """

    urls: tuple[str, ...]
    duration_s: float = 5.0
    callers: int = 8
    tasks: int = 8
    sleep_s: float = 0.0
    team: Team = LOAD_TEAM
    token: str | None = None


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Results of a load run; response times in microseconds."""

    seconds: float
    responses_us: HdrHistogram
    complete: int = 0
    tasks_complete: int = 0
    codes: dict[ResultCode, int] = dataclasses.field(default_factory=dict)

    def text(self) -> str:
        """Return the figures as lines of text."""
        codes = ", ".join(f"{code.name} {n}" for code, n in sorted(self.codes.items()))
        p50, p99 = (
            self.responses_us.get_value_at_percentile(p) / 1_000 for p in (50, 99)
        )
        return (
            f"jobs: {codes}\n"
            f"tasks a second: {self.tasks_complete / self.seconds:.0f}\n"
            f"response ms: p50 {p50:.1f}, p99 {p99:.1f}"
        )


async def run_load(settings: LoadSettings) -> LoadReport:
    """Submit jobs from concurrent callers and wait for every answer.

    Each caller submits its next job once the previous one is answered.

    Parameters
    ----------
    settings : LoadSettings
        Hosts, duration, and size of the load.

    Returns
    -------
    LoadReport
        Counts and response times of the jobs.
    """
    report = LoadReport(0.0, HdrHistogram(1, MAX_RESPONSE_US, 3))
    started_s = now_s()
    async with trio.open_nursery() as nursery:
        for number in range(settings.callers):
            url = settings.urls[number % len(settings.urls)]
            nursery.start_soon(_run_caller, settings, url, started_s, report)
    report.seconds = now_s() - started_s
    return report


async def _run_caller(
    settings: LoadSettings, url: str, started_s: float, report: LoadReport
) -> None:
    client = Client(url, settings.token)
    payload = {"sleep_s": settings.sleep_s}
    spec = TaskSpec("load", payload, settings.sleep_s, processors=0.0)
    while now_s() - started_s < settings.duration_s:
        key = await client.new_key()
        submission = Submission(key, settings.team, (spec,) * settings.tasks)
        sent_s = now_s()
        reply = await client.run(submission, ANSWER_TIMEOUT_S)
        _count(report, reply, now_s() - sent_s, settings.tasks)
    await client.close()


def _count(
    report: LoadReport, reply: Answer | Refusal, response_s: float, tasks: int
) -> None:
    report.codes[reply.code] = report.codes.get(reply.code, 0) + 1
    if reply.code is ResultCode.COMPLETE:
        report.complete += 1
        report.tasks_complete += tasks
        report.responses_us.record_value(max(1, round(response_s * MICROSECONDS)))
