"""A load on a running host: many jobs at the same time, and how they fared."""

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
    """What to submit.

    Parameters
    ----------
    urls : tuple of str
        Entry hosts, used in turn.
    duration_s : float
        For how long to submit.
    callers : int
        Jobs under way at the same time.
    tasks : int
        Tasks in a job.
    sleep_s : float
        Run time of a task.
    team : Team
        The team that submits.
    token : str or None
        Its token.
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
    """How the jobs fared; response times in microseconds."""

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
    """Submit jobs, each caller one after the other, and wait for every answer.

    Parameters
    ----------
    settings : LoadSettings
        What to submit.

    Returns
    -------
    LoadReport
        How the jobs fared.
    """
    report = LoadReport(0.0, HdrHistogram(1, MAX_RESPONSE_US, 3))
    begun_s = now_s()
    async with trio.open_nursery() as nursery:
        for number in range(settings.callers):
            url = settings.urls[number % len(settings.urls)]
            nursery.start_soon(_call, settings, url, begun_s, report)
    report.seconds = now_s() - begun_s
    return report


async def _call(
    settings: LoadSettings, url: str, begun_s: float, report: LoadReport
) -> None:
    client = Client(url, settings.token)
    payload = {"sleep_s": settings.sleep_s}
    spec = TaskSpec("load", payload, settings.sleep_s, processors=0.0)
    while now_s() - begun_s < settings.duration_s:
        key = await client.new_key()
        submission = Submission(key, settings.team, (spec,) * settings.tasks)
        sent_s = now_s()
        told = await client.run(submission, ANSWER_TIMEOUT_S)
        _count(report, told, now_s() - sent_s, settings.tasks)
    await client.close()


def _count(
    report: LoadReport, told: Answer | Refusal, response_s: float, tasks: int
) -> None:
    report.codes[told.code] = report.codes.get(told.code, 0) + 1
    if told.code is ResultCode.COMPLETE:
        report.complete += 1
        report.tasks_complete += tasks
        report.responses_us.record_value(max(1, round(response_s * MICROSECONDS)))
