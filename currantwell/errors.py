"""Every exception of the package."""

from .codes import ResultCode

__all__ = [
    "AgreementLost",
    "BodyMalformed",
    "BodyNotRead",
    "BodyTooLarge",
    "CurrantwellError",
    "Deposed",
    "EndpointUnreachable",
    "InvalidKey",
    "InvalidRequest",
    "JournalDamaged",
    "NotAuthorized",
    "PeerUnreachable",
    "RequestRefused",
    "ServiceMissing",
    "SettingsInvalid",
    "StorageFailed",
    "StreamRefused",
]


class CurrantwellError(Exception):
    """Base of all errors of the package."""


class InvalidRequest(CurrantwellError):
    """A request that a caller has to mend.

    Parameters
    ----------
    field : str
        The field at fault.
    reason : str
        What is wrong with it.
    """

    code = ResultCode.BAD_FIELD

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class InvalidKey(InvalidRequest):
    """A key or name that is malformed."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(field, reason)
        if field == "key":
            self.code = ResultCode.BAD_KEY


class BodyMalformed(InvalidRequest):
    """A body that is no JSON, or did not arrive whole in time."""

    code = ResultCode.BAD_BODY


class BodyTooLarge(InvalidRequest):
    """A body that is larger than any may be."""

    code = ResultCode.TOO_LARGE


class BodyNotRead(CurrantwellError):
    """A body for which there is no memory now; nothing is known of its key."""


class NotAuthorized(CurrantwellError):
    """A sender that may not do what it asked for."""


class SettingsInvalid(CurrantwellError):
    """Settings that can't be used.

    Parameters
    ----------
    problems : list of str
        Everything that is wrong, one line each.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class RequestRefused(CurrantwellError):
    """A request that a host refused.

    Parameters
    ----------
    code : ResultCode
        Why.
    detail : str
        What a person should know.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f"{code.name}: {detail}")
        self.code = code
        self.detail = detail


class ServiceMissing(CurrantwellError):
    """A service that no one registered under the name asked for."""


class StorageFailed(CurrantwellError):
    """A write or sync that the disk refused."""


class JournalDamaged(CurrantwellError):
    """A journal with a bad record before its tail."""


class PeerUnreachable(CurrantwellError):
    """A host that did not answer in time."""


class EndpointUnreachable(CurrantwellError):
    """An endpoint that did not answer in time."""


class StreamRefused(EndpointUnreachable):
    """A stream that the other side answered with an error status.

    Parameters
    ----------
    url : str
        What was asked for.
    status : int
        The HTTP status.
    """

    def __init__(self, url: str, status: int) -> None:
        super().__init__(f"{url}: status {status}")
        self.status = status


class Deposed(CurrantwellError):
    """A host that acts under a view which is no longer the newest."""


class AgreementLost(CurrantwellError):
    """A change that no majority of hosts has confirmed in time."""
