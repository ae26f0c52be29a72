"""Messages between hosts and endpoints, as written down in docs/ENDPOINTS.md.

A primary has two long-lived requests open to each endpoint, whose bodies are lines of
JSON: ``POST /v1/starts`` carries `StartStreamLine`, the reply to ``GET /v1/results``
carries `ResultStreamLine`.
"""

import ipaddress
import re
from typing import Annotated, Any

import msgspec

from .codes import ResultCode
from .decoding import MAX_INTEGER, Count, Quantity
from .errors import InvalidRequest
from .ids import (
    DataCentre,
    EndpointId,
    Epoch,
    Incarnation,
    JobId,
    Rack,
    check_name,
)

__all__ = [
    "AdoptReply",
    "AdoptRequest",
    "Announcement",
    "AnnouncementReply",
    "AttemptRef",
    "Heartbeat",
    "LeaseGrant",
    "RefusedStart",
    "ResultLine",
    "ResultStreamLine",
    "Start",
    "StartBatch",
    "StartReply",
    "StartStreamLine",
    "check_announcement",
]

MAX_LABELS = 32
MAX_SLOTS = 10_000
MAX_PROCESSORS = 100_000.0
MAX_MEMORY_MB = 2**40
MAX_ACCELERATORS = 10_000
MAX_PORT = 65_535
_ENDPOINT_URL = re.compile(r"http://(?:([0-9.]+)|\[([0-9A-Fa-f:.]+)\]):([0-9]{1,5})/?")


class AttemptRef(msgspec.Struct, frozen=True, order=True):
    """Identifies one attempt at one task of a job."""

    job: JobId
    task: Count
    attempt: Count


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Registers an endpoint with its data centre; repeated to keep its lease.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint, which survives restarts.
    incarnation : str
        Id of the endpoint's process, new at each start.
    url : str
        Its base URL, by IP address, such as ``http://127.0.0.1:9000``.
    data_centre, rack : str
        Its location.
    slots : int
        Tasks that it runs at the same time.
    queue : int
        Starts that it accepts beyond its slots.
    processors : float
        Processor cores that it has.
    memory_mb : int
        Memory that it has.
    accelerators : int
        Accelerators that it has.
    running : int
        Tasks that it runs now.
    draining : bool
        Whether it accepts no new starts.
    used_processors : float
        Processor cores in use at the last measurement; lags behind the true value.
    pool : str or None
        The pool that it belongs to, if endpoints are divided into pools.
    labels : tuple of str
        Labels that tasks may require.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    url: str
    data_centre: DataCentre
    rack: Rack = Rack("")
    slots: int = 8
    queue: int = 0
    processors: float = 16.0
    memory_mb: int = 65_536
    accelerators: int = 0
    running: int = 0
    draining: bool = False
    used_processors: float = 0.0
    pool: str | None = None
    labels: tuple[str, ...] = ()


def check_announcement(announcement: Announcement) -> Announcement:
    """Check the values of an announcement.

    Raises
    ------
    InvalidRequest
        If a value is invalid; it names the first invalid field.
    """
    check_name("endpoint", announcement.endpoint)
    check_name("incarnation", announcement.incarnation)
    check_name("data_centre", announcement.data_centre)
    check_name("rack", announcement.rack or "none")
    if announcement.pool is not None:
        check_name("pool", announcement.pool)
    if len(announcement.labels) > MAX_LABELS:
        raise InvalidRequest("labels", f"are more than {MAX_LABELS}")
    for label in announcement.labels:
        check_name("labels", label)
    _check_endpoint_url(announcement.url)
    for field, low, high in (
        ("slots", 1, MAX_SLOTS),
        ("queue", 0, MAX_SLOTS),
        ("processors", 0, MAX_PROCESSORS),
        ("memory_mb", 0, MAX_MEMORY_MB),
        ("accelerators", 0, MAX_ACCELERATORS),
        ("running", 0, 2 * MAX_SLOTS),
        ("used_processors", 0, MAX_PROCESSORS),
    ):
        if not low <= getattr(announcement, field) <= high:
            raise InvalidRequest(field, f"is not between {low} and {high}")
    return announcement


def _check_endpoint_url(url: str) -> None:
    match = _ENDPOINT_URL.fullmatch(url)
    valid = match is not None and 1 <= int(match[3]) <= MAX_PORT
    if match is not None:
        try:
            ipaddress.ip_address(match[1] or match[2])
        except ValueError:
            valid = False
    if not valid:
        raise InvalidRequest("url", "is not http://<IP number>:<port>")


class AnnouncementReply(msgspec.Struct, frozen=True):
    """The lease that the primary grants in reply to an announcement.

    Parameters
    ----------
    lease_s : float
        How long after sending the announcement the endpoint may continue to run
        tasks without another reply. 0 ends this incarnation: the endpoint stops all
        its tasks and announces itself under a new one.
    epoch : int
        The epoch of the primary that granted the lease.
    """

    lease_s: float
    epoch: Epoch


class Start(msgspec.Struct, frozen=True):
    """A task to start.

    Parameters
    ----------
    ref : AttemptRef
        The attempt; a second start with the same ref has no effect.
    kind : str
        Name of the kind of work.
    payload : object
        JSON value from the caller.
    limit_s : float
        Seconds from receipt after which the endpoint must no longer start it.
    processors, memory_mb, accelerators
        Resources that the task needs.
    """

    ref: AttemptRef
    kind: str
    payload: Any
    limit_s: float
    processors: float = 1.0
    memory_mb: int = 0
    accelerators: int = 0


class StartBatch(msgspec.Struct, frozen=True, tag="batch"):
    """Starts and stops for one endpoint, as one line of the start stream.

    Parameters
    ----------
    epoch : int
        Epoch of the primary; an endpoint that has accepted a newer one refuses the
        whole batch.
    starts : tuple of Start
        Tasks to start.
    stops : tuple of AttemptRef
        Attempts to stop.
    acked_seq : int
        Results up to this number are durable at the primary; the endpoint may discard
        them.
    batch : int
        Number of the batch, increased by one for each new batch of an epoch. An
        endpoint processes a batch once: to a repetition of the latest number it sends
        the same reply again, and it ignores older numbers.
    """

    epoch: Epoch
    batch: int
    starts: tuple[Start, ...] = ()
    stops: tuple[AttemptRef, ...] = ()
    acked_seq: int = 0


class RefusedStart(msgspec.Struct, frozen=True):
    """A start that the endpoint has not carried out and never will."""

    ref: AttemptRef
    code: ResultCode


class StartReply(msgspec.Struct, frozen=True, tag="reply"):
    """The reply to a batch, as one line of the result stream.

    Every start that is not refused was accepted.
    """

    incarnation: Incarnation
    batch: Count
    refused: tuple[RefusedStart, ...] = ()


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease"):
    """The reply to a heartbeat, as one line of the start stream.

    Parameters
    ----------
    beat : int
        The number of the heartbeat that it replies to.
    lease_s : float
        How long after sending that heartbeat the endpoint may continue to run tasks.
    acked_seq : int
        As in `StartBatch`; also sent here since no further batch may follow.
    """

    beat: int
    lease_s: float
    acked_seq: int = 0


class AdoptRequest(msgspec.Struct, frozen=True):
    """The request of a new primary to take over one incarnation of an endpoint."""

    epoch: Epoch
    incarnation: Incarnation


class AdoptReply(msgspec.Struct, frozen=True):
    """The reply to `AdoptRequest`: the attempts whose end is not acknowledged yet.

    The endpoint has never started an attempt that is not among them, and never will,
    since it refuses starts of older epochs from now on.
    """

    incarnation: Incarnation
    epoch: Annotated[Epoch, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    attempts: tuple[AttemptRef, ...] = ()


class ResultLine(msgspec.Struct, frozen=True, tag="result"):
    """The end of one attempt.

    Parameters
    ----------
    seq : int
        Sequence number, increased by one for each result of an incarnation.
    ref : AttemptRef
        The attempt.
    code : ResultCode
        ``COMPLETE``, ``TASK_FAILED``, ``TASK_STOPPED``, or a not-run code for an
        attempt stopped or dropped before its start.
    value : object
        JSON value of a complete task, or the reason of a failure.
    run_s : float
        Time from start to end.
    queue_s : float
        Time spent in the queue of the endpoint.
    """

    seq: Count
    ref: AttemptRef
    code: ResultCode
    value: Any = None
    run_s: Quantity = 0.0
    queue_s: Quantity = 0.0


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """A heartbeat on the result stream; the reply to it renews the lease.

    Parameters
    ----------
    beat : int
        Its number, increased by one for each heartbeat of an incarnation.
    incarnation : str
        The endpoint's incarnation.
    running : int
        Tasks that it runs now.
    draining : bool or None
        Whether it accepts no new starts; None if only announcements carry that.
    used_processors : float
        Processor cores in use at the last measurement; lags behind the true value.
    """

    beat: Count
    incarnation: Incarnation
    running: Count
    draining: bool | None = False
    used_processors: Quantity = 0.0


ResultStreamLine = ResultLine | StartReply | Heartbeat
StartStreamLine = StartBatch | LeaseGrant
