import msgspec
import pytest
import trio

from currantwell.answers import Answer, JobState, Refusal
from currantwell.client import Client
from currantwell.codes import ResultCode
from currantwell.errors import EndpointUnreachable, RequestRefused
from currantwell.http_reply import HttpReply
from currantwell.submission import Submission, TaskSpec

JOB = Submission("valdres:k1", "drivers", (TaskSpec("receipt"),))


class FakeHost:
    """Replies from a list and repeats the last reply; None means a timeout."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requests = []

    async def request(self, method, path, body=b"", timeout_s=5.0):
        self.requests.append(f"{method} {path.partition('?')[0]}")
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if reply is None:
            await trio.sleep(timeout_s)
            raise EndpointUnreachable("silent")
        code = getattr(reply, "code", ResultCode.COMPLETE)
        status = 403 if isinstance(reply, Refusal) else 200
        assert isinstance(code, ResultCode)
        return HttpReply(status, msgspec.json.encode(reply))


def client(*hosts):
    new_client = Client(["http://127.0.0.1:1"] * len(hosts))
    new_client._hosts = list(hosts)
    return new_client


def answer(code):
    return Answer(JOB.key, JobState.RUNNING, code)


RUNNING, COMPLETE = answer(ResultCode.RUNNING), answer(ResultCode.COMPLETE)
UNKNOWN = Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, "cut off")
NOT_RUN = Refusal(ResultCode.NOT_RUN_QUOTA, "quota")


async def test_an_unresponsive_host_is_skipped_and_the_next_is_kept(autojump_clock):
    unresponsive, good = FakeHost(None), FakeHost(RUNNING, RUNNING, COMPLETE)
    result = await client(unresponsive, good).run(JOB, 60.0)
    assert result.code is ResultCode.COMPLETE
    assert len(unresponsive.requests) == 1
    assert good.requests == ["POST /v1/jobs", *["GET /v1/jobs/valdres:k1"] * 2]
    assert trio.current_time() <= 5.0


async def test_an_unknown_outcome_is_asked_again_with_the_same_key(autojump_clock):
    host = FakeHost(UNKNOWN, None, COMPLETE)
    assert (await client(host).run(JOB, 60.0)).code is ResultCode.COMPLETE
    assert host.requests == ["POST /v1/jobs"] * 3


async def test_a_refusal_that_says_not_run_ends_the_asking(autojump_clock):
    host = FakeHost(NOT_RUN)
    assert await client(host, FakeHost(COMPLETE)).run(JOB, 60.0) == NOT_RUN
    assert len(host.requests) == 1


async def test_an_unknown_result_is_returned_in_time_if_no_host_replies(autojump_clock):
    result = await client(FakeHost(None), FakeHost(None)).run(JOB, 20.0)
    assert result.code is ResultCode.UNKNOWN_OWNER_UNREACHABLE
    assert trio.current_time() < 35.0


async def test_a_refusal_of_a_question_is_raised():
    with pytest.raises(RequestRefused, match="NOT_RUN_QUOTA: quota"):
        await client(FakeHost(NOT_RUN)).tasks(None, JOB.key)
