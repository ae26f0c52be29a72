"""Exceptions of the package."""

from collections.abc import Iterator

from .codes import ResultCode

__all__ = [
    "AgreementLost",
    "BodyMalformed",
    "BodyNotRead",
    "BodyTooLarge",
    "CurrantwellError",
    "Deposed",
    "DiskUnavailable",
    "EndpointUnreachable",
    "InvalidKey",
    "InvalidRequest",
    "JournalDamaged",
    "MessageMalformed",
    "NotAuthorized",
    "PeerUnreachable",
    "RequestRefused",
    "ServiceMissing",
    "SettingsInvalid",
    "StorageFailed",
    "StreamRefused",
    "leaf_errors",
]


class CurrantwellError(Exception):
    """Base class of the exceptions of the package."""


class InvalidRequest(CurrantwellError):
    """A request has an invalid field, which the caller has to correct.

    Parameters
    ----------
    field : str
        Name of the invalid field.
    reason : str
        Why it is invalid.
    """

    code = ResultCode.BAD_FIELD

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidKey(InvalidRequest):
    """A request has a malformed key or name."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(field, reason)
        if field == "key":
            self.code = ResultCode.BAD_KEY


class BodyMalformed(InvalidRequest):
    """A request body is not JSON, or was not received completely in time."""

    code = ResultCode.BAD_BODY


class BodyTooLarge(InvalidRequest):
    """A request body exceeds the size limit."""

    code = ResultCode.TOO_LARGE


class BodyNotRead(CurrantwellError):
    """A request body was not read for lack of memory, so that its key is unknown."""


class MessageMalformed(CurrantwellError):
    """A message from outside the process can't be decoded."""


class NotAuthorized(CurrantwellError):
    """The sender of a request is not authorized for it."""


class SettingsInvalid(CurrantwellError):
    """The settings are invalid.

    Parameters
    ----------
    problems : list of str
        One line for each problem found.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class RequestRefused(CurrantwellError):
    """A host refused a request.

    Parameters
    ----------
    code : ResultCode
        Result code of the refusal.
    detail : str
        Explanation for a person.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f"{code.name}: {detail}")
        self.code = code
        self.detail = detail


class ServiceMissing(CurrantwellError):
    """No service is registered under the requested name."""


class StorageFailed(CurrantwellError):
    """A write to disk or a sync failed."""


class DiskUnavailable(StorageFailed):
    """The disk is full or reported another error; the same write may succeed later."""


class JournalDamaged(CurrantwellError):
    """A journal has a corrupt record before its tail."""


class PeerUnreachable(CurrantwellError):
    """A host did not answer in time."""


class EndpointUnreachable(CurrantwellError):
    """An endpoint did not answer in time."""


class StreamRefused(EndpointUnreachable):
    """A streaming request was answered with an error status.

    Parameters
    ----------
    url : str
        The requested URL.
    status : int
        HTTP status of the response.
    """

    def __init__(self, url: str, status: int) -> None:
        super().__init__(f"{url}: status {status}")
        self.status = status


class Deposed(CurrantwellError):
    """The host acts under a view that is no longer the newest."""


class AgreementLost(CurrantwellError):
    """No majority of hosts confirmed a change or a read in time."""


def leaf_errors(error: BaseException) -> Iterator[BaseException]:
    """Yield the leaf exceptions of an exception group, at any depth."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from leaf_errors(inner)
    else:
        yield error
