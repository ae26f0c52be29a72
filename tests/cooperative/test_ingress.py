"""The interface to clients: odd headers and paths get a reply like any others."""

import json

import pytest
import trio

from cooperative.ingress import Ingress
from currantwell.fleet.job_router import JobDone
from tests.fleet.builders import a_route

JOB = json.dumps({"best_effort": True, "steps": [{"count": 1}]}).encode()


class Entry:
    """An entry service that completes each job and records its deadline."""

    ready = configured = True
    max_body_bytes = 262_144

    def __init__(self):
        self.deadlines_s = []

    def route(self, host, path):
        return a_route()

    async def run(self, identifier, route, waves, deadline_s):
        self.deadlines_s.append(deadline_s)
        return JobDone()

    def record_outcome(self, identifier, team, outcome, arrived_s):
        pass


async def submit(entry, deadline_ms, identifier="5c0e"):
    """Submit a job with a deadline; return the status of the reply."""
    sent, bodies = [], [JOB]

    async def receive():
        if not bodies:
            await trio.sleep_forever()
        return {"type": "http.request", "body": bodies.pop(), "more_body": False}

    async def send(event):
        sent.append(event)

    headers = [(b"host", b"board.example"), (b"currantwell-deadline-ms", deadline_ms)]
    path = f"{a_route().path_prefix}{identifier}"
    scope = {"type": "http", "method": "POST", "path": path, "headers": headers}
    await Ingress(entry)(scope, receive, send)
    return sent[0]["status"]


@pytest.mark.parametrize(
    "deadline_ms",
    [b"9" * 5_000, b"9" * 4_000, b"9" * 400, b"\xb2", b"-5", b"1e5", b"nan", b""],
    ids=lambda text: text[:4].decode("latin-1"),
)
async def test_an_odd_deadline_counts_as_the_timeout_of_the_queue(
    deadline_ms, autojump_clock
):
    """It was answered with 500, and sent again."""
    entry = Entry()
    assert await submit(entry, deadline_ms) == 200
    usual = Entry()
    assert await submit(usual, b"3600000") == 200
    assert entry.deadlines_s == pytest.approx(usual.deadlines_s, abs=0.1)


async def test_a_deadline_shortens_the_timeout_of_the_queue(autojump_clock):
    entry = Entry()
    assert await submit(entry, b"500") == 200
    assert await submit(entry, b"0000000500") == 200
    assert await submit(entry, b"1500") == 200
    short_s, padded_s, whole_s = entry.deadlines_s
    assert (whole_s - short_s, padded_s) == pytest.approx((1.0, short_s), abs=0.1)


class StartingEntry(Entry):
    """An entry service that receives its first configuration after some time."""

    configured = False

    def __init__(self, configured_after_s):
        super().__init__()
        self.configured_after_s = configured_after_s
        self.timeouts_s = []

    async def wait_configured(self, timeout_s):
        self.timeouts_s.append(timeout_s)
        with trio.move_on_after(timeout_s):
            await trio.sleep(self.configured_after_s)
            self.configured = True
        return self.configured


@pytest.mark.parametrize(("after_s", "status"), [(0.4, 200), (9.0, 503)])
async def test_a_request_just_after_a_restart_waits_for_the_configuration(
    after_s, status, autojump_clock
):
    entry = StartingEntry(after_s)
    began_s = trio.current_time()
    assert await submit(entry, b"1500") == status
    assert entry.timeouts_s == [1.5]
    assert all(deadline_s <= began_s + 1.5 for deadline_s in entry.deadlines_s)
