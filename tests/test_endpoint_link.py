"""The link to an endpoint: what the endpoint sends may be odd."""

import json

import pytest
import trio

from currantwell.codes import ResultCode
from currantwell.endpoint_link import EndpointLink
from currantwell.http_server import HttpServer, bind
from currantwell.ids import Epoch
from tests.test_emulator import Handler

PATIENCE_S = 20.0
ADOPTED = b'{"incarnation":"a","epoch":1,"attempts":[]}'
REF = {"job": "a/b:c", "task": 0, "attempt": 1}
RESULT = {"type": "result", "seq": 1, "ref": REF, "code": 0, "value": 7}
DEEP = b'{"x":' + b"[" * 100_000
ODD_LINES = [
    DEEP,
    b'{"type":"beat","beat":%d,"incarnation":"a","running":0}' % 2**70,
    b'{"type":"other"}',
    b"\xff",
]


class Endpoint:
    """Adopts and streams with odd bodies first, and with good ones from then on."""

    def __init__(self, adopted=(), lines=()):
        self.adopted = [*adopted, ADOPTED]
        self.lines = [*lines, json.dumps(RESULT).encode()]

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        body = b""
        if scope["path"] == "/v1/adopt":
            body = self.adopted.pop(0)
        elif scope["path"] == "/v1/results" and self.lines:
            body = self.lines.pop(0) + b"\n"
        await send({"type": "http.response.body", "body": body})


async def results_of(endpoint):
    """Return the results that a link to an endpoint reports."""
    handler = Handler()
    server = HttpServer(endpoint, bind("127.0.0.1", 0), graceful_s=0.1)
    url = f"http://127.0.0.1:{server.address[1]}"
    with trio.fail_after(PATIENCE_S):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.run)
            link = EndpointLink("e1", "a", url, Epoch(1), handler)
            nursery.start_soon(link.run)
            while not handler.results:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    return handler.results


@pytest.mark.parametrize("odd", [DEEP, b'{"incarnation":"a","epoch":-1}', b"", b"[]"])
async def test_an_odd_reply_to_an_adoption_counts_as_none(odd):
    """It ended the dispatcher, and its next one."""
    (result,) = await results_of(Endpoint(adopted=[odd]))
    assert result.value == 7


@pytest.mark.parametrize("odd", ODD_LINES, ids=lambda line: str(line)[:20])
async def test_an_odd_line_ends_the_stream_of_results_only(odd):
    (result,) = await results_of(Endpoint(lines=[odd]))
    assert result.value == 7


@pytest.mark.parametrize("value", [2**70, [[{"a": -(2**64)}]]])
async def test_a_result_whose_value_can_not_be_stored_counts_as_failed(value):
    line = json.dumps({**RESULT, "value": value}).encode()
    (result,) = await results_of(Endpoint(lines=[line]))
    assert result.code is ResultCode.TASK_FAILED
