import json
import logging

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from currantwell.answers import Answer, JobState, TaskState, TaskStatus
from currantwell.auth import TokenAuthenticator, token_digest
from currantwell.codes import ResultCode
from currantwell.endpoint_protocol import AnnouncementReply
from currantwell.http_api import HttpApi, HttpParts
from currantwell.http_body import BODY_TIMEOUT_S, BodyBudget
from currantwell.ids import Operator, Team
from currantwell.router import Router, StaticDirectory
from currantwell.submission import MAX_BODY_BYTES
from tests.asgi import ask
from tests.builders import job_body

JOB = "/v1/jobs/valdres:k1"
SECRET = "top secret payload"


GOOD_ENDPOINT = {
    "endpoint": "e1",
    "incarnation": "i",
    "url": "http://127.0.0.1:9000",
    "data_centre": "valdres",
}


class FakeGateway:
    """Stores jobs and completes them immediately."""

    def __init__(self):
        self.jobs = {}
        self.error = None

    async def submit(self, submission):
        if self.error:
            raise self.error
        self.jobs[f"{submission.team}/{submission.key}"] = submission
        code = ResultCode.COMPLETE
        return Answer(submission.key, JobState.COMPLETE, code, results=(7,))

    async def wait(self, job, timeout_s):
        submission = self.jobs[job]
        return Answer(submission.key, JobState.COMPLETE, ResultCode.COMPLETE, (7,))

    async def cancel(self, job):
        return await self.wait(job, 0)

    async def tasks(self, job):
        return (TaskStatus(0, TaskState.DONE, ResultCode.COMPLETE),)

    async def explain(self, job):
        return ["why"]

    async def announce(self, announcement):
        return AnnouncementReply(8.0, 1)

    async def endpoints(self):
        return []


def build(**parts):
    gateway = FakeGateway()
    router = Router(StaticDirectory({"valdres": gateway}))
    http_parts = HttpParts(**parts)
    api = HttpApi("valdres", router, gateway, http_parts)
    return api.app(), gateway, http_parts


def bearer(token):
    return {"authorization": f"Bearer {token}"}


async def test_a_job_is_answered():
    app, gateway, parts = build()
    reply = await ask(app, "POST", "/v1/jobs", job_body())
    assert (reply.status, reply.json()["results"]) == (200, [7])
    assert list(gateway.jobs) == ["drivers/valdres:k1"]
    assert parts.budget.used_bytes == 0
    assert (await ask(app, "GET", f"{JOB}/tasks?team=drivers")).json()[0]["task"] == 0


async def test_a_single_request_is_a_job_of_one_task():
    app, gateway, _ = build()
    body = job_body(tasks=None, task={"kind": "receipt"})
    reply = await ask(app, "POST", "/v1/requests?wait_s=1", body)
    assert (reply.status, reply.json()["value"]) == (200, 7)
    (submission,) = gateway.jobs.values()
    assert len(submission.tasks) == 1


async def test_oversize_bodies_are_refused_whether_declared_or_not():
    app, gateway, parts = build()

    async def endless():
        while True:
            yield b"x" * 1_000_000

    async def unread():
        pytest.fail("the body was read")
        yield b""

    declared = {"content-length": str(MAX_BODY_BYTES + 1)}
    for headers, pieces in ((declared, unread()), ({}, endless())):
        reply = await ask(app, "POST", "/v1/jobs", headers=headers, pieces=pieces)
        assert (reply.status, reply.code) == (413, ResultCode.TOO_LARGE)
    assert not gateway.jobs
    assert parts.budget.used_bytes == 0


async def test_slow_and_half_sent_bodies_are_given_up(autojump_clock):
    app, gateway, parts = build()

    async def slow():
        yield job_body()[:10]
        await trio.sleep(3 * BODY_TIMEOUT_S)

    async def half():
        yield job_body()[:10]
        yield None

    for pieces in (slow(), half()):
        reply = await ask(app, "POST", "/v1/jobs", pieces=pieces)
        assert reply.code == ResultCode.BAD_BODY
    assert trio.current_time() < 2 * BODY_TIMEOUT_S
    assert not gateway.jobs
    assert parts.budget.used_bytes == 0


async def test_memory_for_bodies_is_bounded_for_each_caller_and_for_all():
    app, _, parts = build(budget=BodyBudget(4 * MAX_BODY_BYTES))
    done = trio.Event()

    async def hold():
        yield b" " * (MAX_BODY_BYTES - 10)
        await done.wait()

    async def send(address):
        return await ask(app, "POST", "/v1/jobs", job_body(), address=address)

    async with trio.open_nursery() as nursery:

        async def occupy(address):
            nursery.start_soon(
                lambda: ask(app, "POST", "/v1/jobs", pieces=hold(), address=address)
            )
            await trio.testing.wait_all_tasks_blocked()

        await occupy("c1")
        refused = await send("c1")
        assert (refused.status, refused.code) == (503, ResultCode.UNKNOWN_NOT_READ)
        assert refused.headers["retry-after"] == "1"
        assert (await send("c2")).status == 200
        for address in ("c2", "c3", "c4"):
            await occupy(address)
        assert (await send("c5")).code == ResultCode.UNKNOWN_NOT_READ
        done.set()
    assert parts.budget.used_bytes == 0
    assert (await send("c1")).status == 200


def tokens():
    return TokenAuthenticator(
        {token_digest("d"): Team("drivers"), token_digest("c"): Team("classers")},
        {token_digest("k"): Operator("kari")},
        {token_digest("e"): "shed"},
    )


async def test_a_caller_reaches_the_jobs_of_its_own_team_alone():
    app, gateway, _ = build(authenticator=tokens())
    for headers in (bearer("c"), bearer("k"), {}):
        reply = await ask(app, "POST", "/v1/jobs", job_body(), headers)
        assert (reply.status, reply.code) == (403, ResultCode.NOT_AUTHORIZED)
    assert not gateway.jobs
    assert (await ask(app, "POST", "/v1/jobs", job_body(), bearer("d"))).status == 200
    for method, path in (
        ("GET", JOB),
        ("DELETE", JOB),
        ("GET", f"{JOB}/tasks"),
        ("GET", f"{JOB}/explain"),
    ):
        path = f"{path}?team=drivers"
        assert (await ask(app, method, path, headers=bearer("d"))).status == 200
        for headers in (bearer("c"), {}):
            assert (await ask(app, method, path, headers=headers)).status == 403


async def test_operators_and_endpoints_have_routes_of_their_own():
    app, _, _ = build(authenticator=tokens())
    announcement = msgspec.json.encode(GOOD_ENDPOINT)
    for method, path, body, right in (
        ("GET", "/v1/endpoints", b"", "k"),
        ("POST", "/v1/endpoints", announcement, "e"),
    ):
        for token in "dke":
            reply = await ask(app, method, path, body, bearer(token))
            assert (reply.status == 200) == (token == right), (path, token)
    assert (await ask(app, "GET", "/status", headers=bearer("d"))).status == 401


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("endpoint", "a b"),
        ("data_centre", "oslo"),
        ("url", "http://shed.example:9000"),
        ("url", "http://127.0.0.1"),
        ("slots", 0),
        ("processors", -1.0),
        ("running", 10**9),
    ],
)
async def test_a_bad_announcement_is_refused_with_its_field(field, value):
    app, _, _ = build()
    body = msgspec.json.encode(GOOD_ENDPOINT | {field: value})
    reply = await ask(app, "POST", "/v1/endpoints", body)
    assert (reply.status, reply.json()["field"]) == (400, field)


async def test_an_unforeseen_error_shows_no_traceback_and_no_payload(caplog):
    app, gateway, _ = build()
    gateway.error = ZeroDivisionError(SECRET)
    body = job_body(tasks=[{"kind": "receipt", "payload": SECRET}])
    with caplog.at_level(logging.DEBUG):
        reply = await ask(app, "POST", "/v1/jobs", body)
    assert (reply.status, reply.code) == (500, ResultCode.INTERNAL)
    assert SECRET not in reply.body.decode() + caplog.text
    lines = [json.loads(record.getMessage()) for record in caplog.records]
    assert 900 in [line["event"] for line in lines]
    metrics = (await ask(app, "GET", "/metrics")).body.decode()
    assert 'currantwell_refusals_total{code="INTERNAL"} 1' in metrics


@pytest.mark.parametrize(
    ("path", "field"),
    [
        *((f"/v1/jobs?wait_s={text}", "wait_s") for text in ("nan", "-1", "x", "31")),
        ("/v1/jobs/k1?team=drivers", "key"),
        (f"{JOB}?team=a%2Fb", "team"),
    ],
)
async def test_bad_names_and_times_are_refused(path, field):
    app, gateway, _ = build()
    method = "POST" if "wait_s" in path else "GET"
    reply = await ask(app, method, path, job_body())
    assert (reply.status, reply.json()["field"]) == (400, field)
    assert not gateway.jobs


async def test_routes_that_are_none_are_refused():
    app, _, _ = build()
    assert (await ask(app, "GET", "/nothing")).code == ResultCode.NOT_FOUND
    assert (await ask(app, "PUT", "/v1/jobs")).status == 405


ROUTES = ("/v1/keys", "/v1/jobs", "/v1/requests", "/v1/endpoints", JOB, f"{JOB}/tasks")
TEXT = st.text(max_size=6) | st.sampled_from(["team=drivers", "wait_s=1", "wait_s=é"])
BODIES = st.binary(max_size=60) | st.just(job_body())


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.sampled_from(["GET", "POST", "DELETE"]), st.sampled_from(ROUTES), TEXT, BODIES
)
def test_any_request_gets_an_answer_or_a_numbered_refusal(method, route, query, body):
    app, gateway, parts = build()
    trio.run(gateway.submit, msgspec.json.decode(job_body(), type=_Named))
    reply = trio.run(ask, app, method, f"{route}?{query}", body)
    assert reply.status < 500
    if reply.status >= 400:
        assert ResultCode(reply.code) is not ResultCode.INTERNAL
    assert parts.budget.used_bytes == 0


class _Named(msgspec.Struct):
    key: str
    team: str
