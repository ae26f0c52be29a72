"""Encoding of HTTP replies and mapping of exceptions to refusals."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from . import events
from .answers import Answer, Refusal, SingleRequestAnswer
from .codes import ResultCode, http_status
from .errors import (
    AgreementLost,
    BodyNotRead,
    Deposed,
    InvalidRequest,
    NotAuthorized,
    PeerUnreachable,
    StorageFailed,
)
from .metrics import Metrics

__all__ = ["Guard", "Handler", "json_reply", "no_route", "reply", "text_reply"]

JSON_TYPE = "application/json"
RETRY_AFTER_S = 1.0
RESULT_CODE_HEADER = "x-result-code"
Handler = Callable[[Request], Awaitable[Response]]


class Guard:
    """Turns exceptions of handlers into refusals and counts all refusals.

    Parameters
    ----------
    metrics : Metrics
        Counts refusals by result code.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def wrap(self, handler: Handler) -> Handler:
        """Return a handler that replies with a refusal when the given one raises."""

        async def guarded(request: Request) -> Response:
            try:
                response = await handler(request)
            except Exception as error:
                response = reply(_refusal(error, handler))
            code = response.headers.get(RESULT_CODE_HEADER)
            if code is not None:
                self._metrics.count_refusal(ResultCode(int(code)))
            return response

        return guarded


def reply(result: Answer | SingleRequestAnswer | Refusal) -> Response:
    """Return the HTTP response for an answer or a refusal."""
    response = json_reply(http_status(result.code), result)
    if isinstance(result, Refusal):
        response.headers[RESULT_CODE_HEADER] = str(int(result.code))
        if result.retry_after_s is not None:
            response.headers["retry-after"] = str(max(1, round(result.retry_after_s)))
    return response


def json_reply(status: int, value: Any) -> Response:
    """Return a response with a JSON_TYPE body."""
    return Response(msgspec.json.encode(value), status, media_type=JSON_TYPE)


def text_reply(text: str, media_type: str) -> Response:
    """Return a response with a text body."""
    return Response(text, media_type=media_type)


async def no_route(request: Request, error: Exception) -> Response:
    """Return the response to a request that no route matches."""
    status = error.status_code if isinstance(error, HTTPException) else 500
    response = reply(Refusal(ResultCode.NOT_FOUND, "no such route or method"))
    response.status_code = status
    return response


def _refusal(error: Exception, handler: Handler) -> Refusal:
    match error:
        case InvalidRequest():
            return Refusal(error.code, error.reason, error.field)
        case NotAuthorized():
            return Refusal(ResultCode.NOT_AUTHORIZED, str(error))
        case BodyNotRead():
            code = ResultCode.UNKNOWN_NOT_READ
            return Refusal(code, str(error), retry_after_s=RETRY_AFTER_S)
        case PeerUnreachable():
            return Refusal(ResultCode.UNKNOWN_OWNER_UNREACHABLE, str(error))
        case AgreementLost() | Deposed() | StorageFailed():
            return Refusal(ResultCode.UNKNOWN_NOT_CONFIRMED, str(error))
        case _:
            name = getattr(handler, "__name__", "")
            events.REQUEST_FAILED.log(handler=name, error=type(error).__name__)
            return Refusal(ResultCode.INTERNAL, "an unforeseen error; see the log")
