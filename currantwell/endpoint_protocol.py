"""Messages between hosts and endpoints, as written down in docs/ENDPOINTS.md.

Between a primary and an endpoint run two long-lived requests whose bodies are lines
of JSON: ``POST /v1/starts`` carries `StartStreamLine`, ``GET /v1/results`` answers
with `ResultStreamLine`.
"""

import ipaddress
import urllib.parse
from typing import Any

import msgspec

from .codes import ResultCode
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


class AttemptRef(msgspec.Struct, frozen=True, order=True):
    """Names one attempt at one task."""

    job: JobId
    task: int
    attempt: int


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an endpoint tells its data centre, again and again, to stay known.

    Parameters
    ----------
    endpoint : str
        Id of the endpoint, the same over restarts.
    incarnation : str
        New at each start of the endpoint's process.
    url : str
        Where it serves, by IP number, ``http://127.0.0.1:9000``.
    data_centre, rack : str
        Where it stands.
    slots : int
        Tasks it runs at the same time.
    queue : int
        Starts it accepts beyond its slots.
    processors : float
        Processor cores.
    memory_mb : int
        Memory.
    accelerators : int
        Accelerators.
    running : int
        Tasks it runs now.
    draining : bool
        Whether it wants no new start.
    used_processors : float
        Processor cores in use, as last measured; lags.
    pool : str or None
        The pool that it belongs to, if endpoints are divided into pools.
    labels : tuple of str
        What tasks may ask for.
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
        Naming the first field at fault.
    """
    check_name("endpoint", announcement.endpoint)
    check_name("incarnation", announcement.incarnation)
    check_name("rack", announcement.rack or "none")
    if len(announcement.labels) > MAX_LABELS:
        raise InvalidRequest("labels", f"are more than {MAX_LABELS}")
    for label in announcement.labels:
        check_name("labels", label)
    _check_url(announcement.url)
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


def _check_url(url: str) -> None:
    try:
        parts = urllib.parse.urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        good = parts.scheme == "http" and parts.port is not None
    except ValueError:
        good = False
    if not good:
        raise InvalidRequest("url", "is not http://<IP number>:<port>")


class AnnouncementReply(msgspec.Struct, frozen=True):
    """What the primary grants to an endpoint that announced itself.

    Parameters
    ----------
    lease_s : float
        How long after sending the announcement the endpoint may go on running
        tasks without another reply. 0 says that this incarnation is over: the
        endpoint stops all it runs and announces itself under a new one.
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
        Name of the work.
    payload : object
        JSON value from the caller.
    limit_s : float
        Seconds from receipt after which it must not be started any more.
    processors, memory_mb, accelerators
        What the task needs.
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
        Epoch of the primary; an endpoint that knows a newer one refuses all.
    starts : tuple of Start
        Tasks to start.
    stops : tuple of AttemptRef
        Attempts to stop.
    acked_seq : int
        Results up to this number are durable at the host and may be dropped.
    batch : int
        Counts up by one with each new batch of an epoch. An endpoint carries out a
        batch once: it answers the latest number again with the same reply, and
        ignores older numbers.
    """

    epoch: Epoch
    batch: int
    starts: tuple[Start, ...] = ()
    stops: tuple[AttemptRef, ...] = ()
    acked_seq: int = 0


class RefusedStart(msgspec.Struct, frozen=True):
    """A start that was not carried out and never will be."""

    ref: AttemptRef
    code: ResultCode


class StartReply(msgspec.Struct, frozen=True, tag="reply"):
    """What became of a batch, as one line of the result stream.

    Every start that is not refused was taken.
    """

    incarnation: Incarnation
    batch: int
    refused: tuple[RefusedStart, ...] = ()


class LeaseGrant(msgspec.Struct, frozen=True, tag="lease"):
    """The answer to a beat, as one line of the start stream.

    Parameters
    ----------
    beat : int
        The number of the beat answered.
    lease_s : float
        How long after sending that beat the endpoint may go on running tasks.
    acked_seq : int
        As in `StartBatch`; there may be no next batch.
    """

    beat: int
    lease_s: float
    acked_seq: int = 0


class AdoptRequest(msgspec.Struct, frozen=True):
    """A new primary taking over one incarnation of an endpoint."""

    epoch: Epoch
    incarnation: Incarnation


class AdoptReply(msgspec.Struct, frozen=True):
    """All attempts that an endpoint knows and whose end has not been acknowledged.

    An attempt that is not among them has not been started by the endpoint and, as
    it refuses starts of older epochs from now on, never will be.
    """

    incarnation: Incarnation
    epoch: Epoch
    attempts: tuple[AttemptRef, ...] = ()


class ResultLine(msgspec.Struct, frozen=True, tag="result"):
    """The end of one attempt.

    Parameters
    ----------
    seq : int
        Counts up by one in each incarnation.
    ref : AttemptRef
        The attempt.
    code : ResultCode
        ``COMPLETE``, ``TASK_FAILED``, ``TASK_STOPPED``, or a not-run code for one
        stopped or dropped before its start.
    value : object
        JSON value of a complete task, or the reason of a failure.
    run_s : float
        Time from start to end.
    queue_s : float
        Time spent waiting at the endpoint.
    """

    seq: int
    ref: AttemptRef
    code: ResultCode
    value: Any = None
    run_s: float = 0.0
    queue_s: float = 0.0


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """A sign of life on the result stream; its answer renews the lease.

    Parameters
    ----------
    beat : int
        Counts up by one in each incarnation.
    incarnation : str
        The endpoint's incarnation.
    running : int
        Tasks it runs now.
    draining : bool or None
        Whether it wants no new start; None if only announcements say that.
    used_processors : float
        Processor cores in use, as last measured; lags.
    """

    beat: int
    incarnation: Incarnation
    running: int
    draining: bool | None = False
    used_processors: float = 0.0


ResultStreamLine = ResultLine | StartReply | Heartbeat
StartStreamLine = StartBatch | LeaseGrant
