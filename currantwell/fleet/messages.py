"""Messages that the hosts of a fleet exchange over channels."""

from typing import Annotated

import msgspec

from ..codes import ResultCode
from ..decoding import MAX_INTEGER, Count
from ..endpoint_protocol import Announcement, check_announcement
from ..errors import InvalidRequest
from ..ids import (
    DataCentre,
    EndpointId,
    Epoch,
    HostId,
    Incarnation,
    Team,
    check_name,
)
from ..submission import Submission
from .fleet_state import Ownership
from .groups import EndpointGroup
from .job_claims import ClaimState
from .routes import ServiceId

__all__ = [
    "CancelJob",
    "CapacityReport",
    "CapacityRequest",
    "ClaimJob",
    "ClaimReply",
    "ConfigurationAnnouncement",
    "ConfigurationPart",
    "ConfigurationRequest",
    "ControlHostsUpdate",
    "Departure",
    "EndpointHeartbeats",
    "EndpointReport",
    "EndpointReports",
    "EndpointsLeft",
    "EntryHostsChange",
    "EntryHostsUpdate",
    "HostHello",
    "JobEnded",
    "Message",
    "OwnershipsUpdate",
    "Ping",
    "ReleaseJob",
    "RunJob",
    "RunsEnded",
    "check_report",
]

# Far above the intervals in use; a peer that announces more is not waited for.
MAX_PING_INTERVAL_S = 60.0
# Above the uptime of any machine.
MAX_CLOCK_S = 1e10
# Above the deadline of any job.
MAX_CLAIM_S = 7_200.0

ClockTime = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CLOCK_S)]


class EndpointReport(msgspec.Struct, frozen=True):
    """The content of an endpoint's heartbeat to a control host.

    Parameters
    ----------
    announcement : Announcement
        Address, capacity and state of the endpoint.
    service : ServiceId
        The pool that the endpoint belongs to.
    born_unix_ms : int
        Start time of the endpoint's process; distinguishes successive processes that
        use the same endpoint id.
    sequence : int
        Number of the heartbeat within the process, from 1.
    """

    announcement: Announcement
    service: ServiceId
    born_unix_ms: int
    sequence: int

    def sort_key(self) -> tuple[int, int]:
        """Return a key that is higher for later reports of the same endpoint."""
        return self.born_unix_ms, self.sequence


def check_report(report: EndpointReport) -> EndpointReport:
    """Check the values of a report.

    Raises
    ------
    InvalidRequest
        If a value is invalid; it names the first invalid field.
    """
    check_announcement(report.announcement)
    check_name("service", report.service)
    for field in ("born_unix_ms", "sequence"):
        if not 0 <= getattr(report, field) <= MAX_INTEGER:
            raise InvalidRequest(field, f"is not between 0 and {MAX_INTEGER}")
    return report


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Keeps a channel alive and announces the interval until the next ping.

    Parameters
    ----------
    next_s : float
        Time until the sender will send again, in seconds.
    clock_s : float or None
        The sender's clock when it sent the message, in seconds.
    """

    next_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_PING_INTERVAL_S)]
    clock_s: ClockTime | None = None


class HostHello(msgspec.Struct, frozen=True, tag="hello"):
    """Identifies the sending host.

    The first message that a host sends on a channel that it opened; sent again when a
    field changes.

    Parameters
    ----------
    host : HostId
        Id of the host.
    incarnation : Incarnation
        Id of its process.
    data_centre : DataCentre
        Data centre of the host.
    address : str
        Address at which it accepts channels, such as ``10.1.0.13:7721``.
    dispatches : bool
        Whether it is an entry host, which may run dispatchers.
    draining : bool
        Whether it is about to stop and must not be given a dispatcher.
    cores : float
        Processor capacity in cores; hosts with more are preferred as dispatchers.
    """

    host: HostId
    incarnation: Incarnation
    data_centre: DataCentre
    address: str
    dispatches: bool = True
    draining: bool = False
    cores: float = 1.0


class EntryHostsUpdate(msgspec.Struct, frozen=True, tag="hosts"):
    """The entry hosts that are connected to the sending control host."""

    hosts: tuple[HostHello, ...]


class EntryHostsChange(msgspec.Struct, frozen=True, tag="hosts-change"):
    """What has changed since the last message about entry hosts on the channel.

    Parameters
    ----------
    connected : tuple of HostHello
        Hosts that are connected now, or have sent a changed hello.
    disconnected : tuple of HostId
        Hosts that are no longer connected.
    """

    connected: tuple[HostHello, ...]
    disconnected: tuple[HostId, ...]


class ControlHostsUpdate(msgspec.Struct, frozen=True, tag="controls"):
    """The addresses at which the control hosts accept channels."""

    addresses: tuple[str, ...]


class ConfigurationAnnouncement(msgspec.Struct, frozen=True, tag="version"):
    """The version of the configuration in force at the sending control host.

    Parameters
    ----------
    version : int
        The version, 0 if there is none.
    data_centre : str
        Data centre of the control host.
    """

    version: int
    data_centre: str


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests a part of the changes since the version that the sender holds.

    Parameters
    ----------
    held : int
        Version that the sender holds, 0 if none.
    base, version : int
        The transfer to continue, as named by its first part; 0 to begin one to the
        newest version.
    offset : int
        Number of bytes of the transfer that have arrived.
    """

    held: int
    base: int = 0
    version: int = 0
    offset: int = 0


class ConfigurationPart(msgspec.Struct, frozen=True, tag="part"):
    """The reply to `ConfigurationRequest`: a part of encoded changes.

    Parameters
    ----------
    base : int
        Version to which the changes apply, 0 for the whole configuration.
    version : int
        Version that results from them.
    offset : int
        Position of the part in the transfer, in bytes.
    total : int
        Length of the whole transfer, in bytes.
    data : bytes
        The part.
    """

    base: int
    version: int
    offset: int
    total: int
    data: bytes


class OwnershipsUpdate(msgspec.Struct, frozen=True, tag="ownerships"):
    """The ownerships of all groups, as last applied at the sending control host."""

    ownerships: tuple[Ownership, ...]


class EndpointReports(msgspec.Struct, frozen=True, tag="endpoints"):
    """Reports of endpoints that the sending control host received."""

    reports: tuple[EndpointReport, ...]


class EndpointHeartbeats(msgspec.Struct, frozen=True, tag="heard"):
    """Endpoints that sent a heartbeat to the control host since its last such message.

    Carries ids only: a changed report goes out at once in `EndpointReports`.
    """

    endpoints: tuple[EndpointId, ...]


class Departure(msgspec.Struct, frozen=True, tag="departure"):
    """An endpoint whose process announced that it is shutting down.

    Parameters
    ----------
    endpoint : EndpointId
        The endpoint.
    born_unix_ms : int
        Start time of the process; one that started later has not left.
    """

    endpoint: EndpointId
    born_unix_ms: Count


class EndpointsLeft(msgspec.Struct, frozen=True, tag="gone"):
    """Endpoints that announced that they are shutting down."""

    departures: tuple[Departure, ...]


class RunJob(msgspec.Struct, frozen=True, tag="run"):
    """Requests that the dispatcher of a group run a job or a part of one.

    Parameters
    ----------
    request : int
        Id of the request, unique on its channel.
    group : EndpointGroup
        The group of endpoints that is to run the job.
    submission : Submission
        The job; its times count from `clock_s`.
    clock_s : float or None
        The sender's clock when it sent the request, in seconds.
    """

    request: int
    group: EndpointGroup
    submission: Submission
    clock_s: ClockTime | None = None


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels the job of a request, since its caller no longer waits for it.

    Replied to with `RunsEnded`, unless `JobEnded` was sent before it was read.
    """

    request: int


class RunsEnded(msgspec.Struct, frozen=True, tag="over"):
    """Reports that no attempt of the job of a request is running any more.

    Sent after the job was cancelled, and after a `JobEnded` with ``running``.
    """

    request: int


class ClaimJob(msgspec.Struct, frozen=True, tag="claim"):
    """Claims the id of a job for a submission, see `ClaimTable`.

    Parameters
    ----------
    group : EndpointGroup
        The group whose dispatcher keeps the claim.
    job : str
        The caller's id of the job.
    team : Team
        The team that submitted it.
    token : str
        Identifies the submission.
    lasts_s : float
        Time until all attempts of the submission are over, in seconds.
    restored : bool
        Whether the claim was granted before by another keeper.
    request : int
        Id of the request, unique on its channel.
    """

    group: EndpointGroup
    job: str
    team: Team
    token: str
    lasts_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CLAIM_S)]
    restored: bool = False
    request: int = 0


class ClaimReply(msgspec.Struct, frozen=True, tag="claimed"):
    """The reply to `ClaimJob`.

    Parameters
    ----------
    request : int
        Id of the request.
    state : ClaimState or None
        Whether the claim is granted; None if the host does not dispatch to the group.
    """

    request: int
    state: ClaimState | None


class ReleaseJob(msgspec.Struct, frozen=True, tag="release"):
    """Ends a claim, since no attempt of its job is running any more.

    Parameters
    ----------
    job : str
        The caller's id of the job.
    token : str
        Identifies the submission.
    done : bool
        Whether the job is complete.
    """

    job: str
    token: str
    done: bool = False


class CapacityReport(msgspec.Struct, frozen=True, tag="dispatcher"):
    """The free capacity of a dispatcher.

    Parameters
    ----------
    group : EndpointGroup
        The group of endpoints that it dispatches to.
    epoch : Epoch
        Epoch of its ownership.
    serving : bool
        Whether it accepts jobs.
    free : int
        Number of tasks of the usual size that could start now.
    slots : int
        Number of tasks of the usual size that all its endpoints can run together.
    waiting_s : float
        Estimated run time of all waiting tasks, in seconds.
    """

    group: EndpointGroup
    epoch: Epoch
    serving: bool
    free: int = 0
    slots: int = 0
    waiting_s: float = 0.0


class CapacityRequest(msgspec.Struct, frozen=True, tag="ask"):
    """Requests the `CapacityReport` of the dispatcher of a group."""

    group: EndpointGroup


class JobEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The reply to `RunJob`: how the job ended.

    Parameters
    ----------
    request : int
        Id of the request.
    code : ResultCode
        Result of the job. Codes 2000 to 2999 mean that no task was started.
    detail : str
        Explanation for people.
    retry_after_s : float
        Delay after which a refused job may be submitted again, in seconds.
    elapsed_s : float
        Time that the dispatcher's host had the request, in seconds.
    capacity : CapacityReport or None
        The capacity of the dispatcher now, so that the receiver need not ask.
    running : bool
        Whether attempts of the job may still be running; `RunsEnded` follows.
    """

    request: int
    code: ResultCode
    detail: str = ""
    retry_after_s: float = 0.0
    elapsed_s: float = 0.0
    capacity: CapacityReport | None = None
    running: bool = False


Message = (
    Ping
    | HostHello
    | EntryHostsChange
    | EntryHostsUpdate
    | ControlHostsUpdate
    | ConfigurationAnnouncement
    | ConfigurationPart
    | ConfigurationRequest
    | OwnershipsUpdate
    | EndpointReports
    | EndpointsLeft
    | EndpointHeartbeats
    | RunJob
    | CancelJob
    | JobEnded
    | CapacityReport
    | CapacityRequest
    | ClaimJob
    | ClaimReply
    | ReleaseJob
    | RunsEnded
)
