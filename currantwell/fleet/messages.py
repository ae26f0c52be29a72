"""Messages on the channels between the hosts of a fleet."""

import msgspec

from ..codes import ResultCode
from ..endpoint_protocol import Announcement
from ..ids import DataCentre, EndpointId, Epoch, HostId, Incarnation
from ..submission import Submission
from .fleet_state import Ownership
from .groups import EndpointGroup
from .routes import Configuration, ServiceId

__all__ = [
    "CancelJob",
    "CapacityReport",
    "ConfigurationUpdate",
    "ControlHostsUpdate",
    "EndpointHeartbeats",
    "EndpointReport",
    "EndpointReports",
    "EndpointsLeft",
    "EntryHostsUpdate",
    "HostHello",
    "JobEnded",
    "Message",
    "OwnershipsUpdate",
    "Ping",
    "RunJob",
]


class EndpointReport(msgspec.Struct, frozen=True):
    """What an endpoint last said of itself to a control host.

    Parameters
    ----------
    announcement : Announcement
        What dispatch needs.
    service : ServiceId
        The pool that it belongs to.
    born_unix_ms : int
        When its process began; tells two lives under one id apart.
    sequence : int
        Counts what the process said, from 1.
    """

    announcement: Announcement
    service: ServiceId
    born_unix_ms: int
    sequence: int

    def sort_key(self) -> tuple[int, int]:
        """Return what is higher for what was said later."""
        return self.born_unix_ms, self.sequence


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Says that the sender runs and the connection works.

    Parameters
    ----------
    next_s : float
        How soon the sender will say something again.
    """

    next_s: float


class HostHello(msgspec.Struct, frozen=True, tag="hello"):
    """Who a host is; the first message on its channels, sent anew on a change.

    Parameters
    ----------
    host : HostId
        The host.
    incarnation : Incarnation
        Its process.
    data_centre : DataCentre
        Where it stands.
    address : str
        Where it accepts channels, ``10.1.0.13:7721``.
    dispatches : bool
        Whether it is an entry host, which may dispatch.
    draining : bool
        Whether it is about to stop and should dispatch no longer.
    cores : float
        How much processor it has; the largest hosts dispatch.
    """

    host: HostId
    incarnation: Incarnation
    data_centre: DataCentre
    address: str
    dispatches: bool = True
    draining: bool = False
    cores: float = 1.0


class EntryHostsUpdate(msgspec.Struct, frozen=True, tag="hosts"):
    """The entry hosts that a control host hears."""

    hosts: tuple[HostHello, ...]


class ControlHostsUpdate(msgspec.Struct, frozen=True, tag="controls"):
    """Where the control hosts accept channels."""

    addresses: tuple[str, ...]


class ConfigurationUpdate(msgspec.Struct, frozen=True, tag="configuration"):
    """The configuration in force at a control host."""

    configuration: Configuration


class OwnershipsUpdate(msgspec.Struct, frozen=True, tag="ownerships"):
    """Who dispatches, as a control host knows it."""

    ownerships: tuple[Ownership, ...]


class EndpointReports(msgspec.Struct, frozen=True, tag="endpoints"):
    """Endpoints that a control host heard from."""

    reports: tuple[EndpointReport, ...]


class EndpointHeartbeats(msgspec.Struct, frozen=True, tag="heard"):
    """Endpoints whose heartbeats came, with nothing new in them."""

    endpoints: tuple[EndpointId, ...]


class EndpointsLeft(msgspec.Struct, frozen=True, tag="gone"):
    """Endpoints that have said that they end."""

    endpoints: tuple[EndpointId, ...]


class RunJob(msgspec.Struct, frozen=True, tag="run"):
    """A job, or a part of one, for the dispatcher of a data centre.

    Parameters
    ----------
    request : int
        Names the request on its channel.
    group : EndpointGroup
        The endpoints that are to run it.
    submission : Submission
        The work.
    """

    request: int
    group: EndpointGroup
    submission: Submission


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Nobody waits for the job of a request any longer."""

    request: int


class JobEnded(msgspec.Struct, frozen=True, tag="ended"):
    """What became of the job of a request.

    Parameters
    ----------
    request : int
        The request.
    code : ResultCode
        Codes of the 2000s say that nothing of it was started.
    detail : str
        What a person should know.
    retry_after_s : float
        When a refused job is worth sending again.
    """

    request: int
    code: ResultCode
    detail: str = ""
    retry_after_s: float = 0.0


class CapacityReport(msgspec.Struct, frozen=True, tag="dispatcher"):
    """How much room a dispatcher has.

    Parameters
    ----------
    group : EndpointGroup
        The endpoints that it uses.
    epoch : Epoch
        Under which epoch.
    serving : bool
        Whether it takes jobs.
    free : int
        How many more tasks of the usual size could start now.
    slots : int
        How many tasks of the usual size all its endpoints hold together.
    waiting_s : float
        Estimated run time of the waiting tasks together.
    """

    group: EndpointGroup
    epoch: Epoch
    serving: bool
    free: int = 0
    slots: int = 0
    waiting_s: float = 0.0


Message = (
    Ping
    | HostHello
    | EntryHostsUpdate
    | ControlHostsUpdate
    | ConfigurationUpdate
    | OwnershipsUpdate
    | EndpointReports
    | EndpointsLeft
    | EndpointHeartbeats
    | RunJob
    | CancelJob
    | JobEnded
    | CapacityReport
)
