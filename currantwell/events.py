"""Numbered log events, written as one line of JSON each through `absl.logging`."""

import dataclasses
import enum
from typing import Any

import msgspec
from absl import logging

__all__ = ["Event", "Level", "catalogue"]


_encode = msgspec.json.Encoder(enc_hook=str).encode


class Level(enum.Enum):
    """Severity of a log event."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log event.

    Parameters
    ----------
    number : int
        Unique number, never reused.
    name : str
        Name, written into each log line.
    level : Level
        Severity.
    meaning : str
        Explanation for operators, printed in the reference.
    """

    number: int
    name: str
    level: Level
    meaning: str

    def log(self, **fields: Any) -> None:
        """Write the event with its fields, which must hold no payloads or secrets."""
        line = {"event": self.number, "name": self.name, **fields}
        logging.log(self.level.value, "%s", _encode(line).decode())


_CATALOGUE: dict[int, Event] = {}


def _event(number: int, name: str, level: Level, meaning: str) -> Event:
    event = Event(number, name, level, meaning)
    if number in _CATALOGUE:
        raise ValueError(f"event number {number} is taken")
    _CATALOGUE[number] = event
    return event


def catalogue() -> list[Event]:
    """Return all kinds of events, sorted by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]


HOST_STARTED = _event(100, "host_started", Level.INFO, "The host is ready to serve.")
HOST_DRAINING = _event(
    101,
    "host_draining",
    Level.INFO,
    "The host accepts no new work and is about to stop.",
)
HOST_STOPPED = _event(
    102,
    "host_stopped",
    Level.INFO,
    "The host has stopped; drained tells whether all jobs ended in time.",
)
SETTINGS_RELOADED = _event(
    103,
    "settings_reloaded",
    Level.INFO,
    "The host applied the settings file again, by a signal or since it has changed.",
)
SIGNAL_RECEIVED = _event(
    104,
    "signal_received",
    Level.INFO,
    "A signal arrived; state tells what the host was doing, action what it does now.",
)
HOST_FAILED = _event(
    105,
    "host_failed",
    Level.ERROR,
    "The host ends by unexpected errors; without this event and host_stopped, the "
    "process was killed.",
)
DRAIN_EXPIRED = _event(
    106,
    "drain_expired",
    Level.WARNING,
    "The host stops though jobs are in progress, since its time to stop runs out.",
)
SETTINGS_REFUSED = _event(
    107,
    "settings_refused",
    Level.ERROR,
    "A changed settings file can't be read; the settings in force stay.",
)
ENDPOINT_REGISTERED = _event(
    200,
    "endpoint_registered",
    Level.INFO,
    "An endpoint was registered with this dispatcher.",
)
ENDPOINT_LOST = _event(
    201,
    "endpoint_lost",
    Level.WARNING,
    "An endpoint was marked lost; its attempts have ended by over_s at the latest.",
)
DEPOSED = _event(
    300,
    "deposed",
    Level.WARNING,
    "Another host has taken over this data centre; this one stops dispatching to it.",
)
STORAGE_FAILED = _event(
    400, "storage_failed", Level.ERROR, "A write to disk failed; the host stops."
)
DISK_UNAVAILABLE = _event(
    402,
    "disk_unavailable",
    Level.ERROR,
    "A write to disk failed, for example since the disk is full. The host repeats it "
    "until it succeeds, and takes no part in the agreement meanwhile.",
)
DISK_USABLE = _event(
    403,
    "disk_usable",
    Level.INFO,
    "A write that had failed has succeeded; after_s tells how long it was repeated.",
)
COMPACTION_FAILED = _event(
    404,
    "compaction_failed",
    Level.WARNING,
    "There was no room to compact a journal; it is kept, and compacted later.",
)
ARCHIVE_FAILED = _event(
    405,
    "archive_failed",
    Level.WARNING,
    "There was no room for audit entries in the archive; they are kept, and archived "
    "later.",
)
PRIMARY_STARTED = _event(
    700,
    "primary_started",
    Level.INFO,
    "This host runs the jobs of a data centre as its primary.",
)
TAKEOVER_PROPOSED = _event(
    701,
    "takeover_proposed",
    Level.WARNING,
    "The primary is unresponsive; this host, its backup, proposes to take over.",
)
BACKUP_DROPPED = _event(
    702,
    "backup_dropped",
    Level.WARNING,
    "The backup is unresponsive, leaving or without its copy; the primary continues.",
)
BACKUP_ADDED = _event(
    703,
    "backup_added",
    Level.INFO,
    "Another host holds a complete copy of all jobs and is the backup.",
)
COPY_INCOMPLETE = _event(
    704,
    "copy_incomplete",
    Level.ERROR,
    "The view names this host, but its copy of the jobs is incomplete; it waits.",
)
PRIMARY_HANDED_OVER = _event(
    705,
    "primary_handed_over",
    Level.INFO,
    "This host stops; its backup has taken over the jobs.",
)
LEADER_CHANGED = _event(
    500,
    "leader_changed",
    Level.INFO,
    "The leader that this host follows has changed; it may be none.",
)
CLUSTER_FORMED = _event(
    501, "cluster_formed", Level.INFO, "The first hosts have formed a cluster."
)
MEMBERSHIP_CHANGED = _event(
    502,
    "membership_changed",
    Level.WARNING,
    "The members of the cluster that take part in the agreement have changed.",
)
JOIN_REQUESTED = _event(
    503,
    "join_requested",
    Level.WARNING,
    "This host has no agreed state and requests to join the cluster.",
)
VOTE_RELEASED = _event(
    504,
    "vote_released",
    Level.INFO,
    "This host stops and has asked the leader to let another one vote in its place; "
    "released says whether a majority is known to stay without it.",
)
PRESET_ACTIVATED = _event(
    600,
    "preset_activated",
    Level.INFO,
    "The proposed preset is in force; ground gives the reason why this is safe.",
)
VIEW_REPAIRED = _event(
    601,
    "view_repaired",
    Level.WARNING,
    "A lost host was removed from the view of a data centre.",
)
AGREEMENT_LOST = _event(
    602,
    "agreement_lost",
    Level.WARNING,
    "No majority of hosts confirmed a change or a read in time.",
)
REGISTRATION_REFUSED = _event(
    603,
    "registration_refused",
    Level.ERROR,
    "The cluster refused to register this host.",
)
ENDPOINT_REPORT_IGNORED = _event(
    640,
    "endpoint_report_ignored",
    Level.WARNING,
    "A report of an endpoint, from another host or a file, has an invalid value.",
)
ADDRESS_IGNORED = _event(
    641,
    "address_ignored",
    Level.WARNING,
    "Another host named a channel address that nothing can connect to.",
)
REQUEST_FAILED = _event(
    900, "request_failed", Level.ERROR, "A request failed with an unexpected error."
)
JOURNAL_TAIL_TRUNCATED = _event(
    510,
    "journal_tail_truncated",
    Level.INFO,
    "A crash cut a write short before it was acknowledged; the remains are removed.",
)
CONFIGURATION_PUT = _event(
    610,
    "configuration_put",
    Level.INFO,
    "A configuration was committed; result tells whether it took effect.",
)
CONFIGURATION_APPLIED = _event(
    611,
    "configuration_applied",
    Level.INFO,
    "This host uses a newer configuration; base is the version that the received "
    "changes apply to, 0 if all routes were received.",
)
CONFIGURATION_REFUSED = _event(
    612, "configuration_refused", Level.WARNING, "An invalid configuration was refused."
)
CONFIGURATION_TRANSFER_FAILED = _event(
    630,
    "configuration_transfer_failed",
    Level.WARNING,
    "A control host did not send a newer configuration, or one that can't be used; "
    "another one is asked.",
)
DRAIN_APPLIED = _event(
    650,
    "drain_applied",
    Level.INFO,
    "This dispatcher starts nothing more on an endpoint that drains; sequence is that "
    "of endpoint_reported, and after_s tells how long this host had the report.",
)
DRAIN_UNCONFIRMED = _event(
    651,
    "drain_unconfirmed",
    Level.WARNING,
    "No other control host confirmed in time that it knows of a drain, which is not "
    "acknowledged therefore.",
)
OWNER_CHANGED = _event(
    613,
    "owner_changed",
    Level.WARNING,
    "Another host process was made the dispatcher of a group of endpoints.",
)
ENDPOINT_REPORTED = _event(
    210,
    "endpoint_reported",
    Level.INFO,
    "An endpoint is new or has changed its announcement.",
)
ENDPOINT_LEFT = _event(
    211, "endpoint_left", Level.INFO, "An endpoint reported that it stops."
)
ENDPOINT_UNRESPONSIVE = _event(
    212,
    "endpoint_unresponsive",
    Level.WARNING,
    "An endpoint has sent no heartbeat for too long and is removed.",
)
HEARTBEAT_REFUSED = _event(
    213, "heartbeat_refused", Level.WARNING, "A heartbeat is malformed."
)
ENDPOINT_REQUEST_UNANSWERED = _event(
    220,
    "endpoint_request_unanswered",
    Level.WARNING,
    "A request to an endpoint got no reply; it may still be carried out.",
)
START_REFUSED = _event(
    221, "start_refused", Level.WARNING, "An endpoint refused a start."
)
ATTEMPT_ENDED = _event(
    222, "attempt_ended", Level.WARNING, "An attempt ended without success."
)
UNKNOWN_ATTEMPT_FOUND = _event(
    223,
    "unknown_attempt_found",
    Level.WARNING,
    "An endpoint runs an attempt that this dispatcher did not start; it is stopped.",
)
ATTEMPT_STOP_UNSENT = _event(
    224,
    "attempt_stop_unsent",
    Level.INFO,
    "A stop is not sent, since the endpoint does not have the attempt: its start was "
    "not sent yet and is withdrawn, or it has ended, as state tells.",
)
HINT_UNAVAILABLE = _event(
    401,
    "hint_unavailable",
    Level.WARNING,
    "The file that speeds up a restart can't be read or written; it is not required.",
)
HOST_CONNECTED = _event(
    110, "host_connected", Level.INFO, "A host opened a channel to this control host."
)
HOST_DISCONNECTED = _event(
    111, "host_disconnected", Level.WARNING, "The last channel of a host has closed."
)
CONTROL_DISCONNECTED = _event(
    112,
    "control_disconnected",
    Level.WARNING,
    "The channel to a control host has closed.",
)
CONTROL_CONNECTED = _event(
    113, "control_connected", Level.INFO, "A channel to a control host is open."
)
DISPATCHER_STARTED = _event(
    710,
    "dispatcher_started",
    Level.INFO,
    "This host started to dispatch to a group of endpoints.",
)
DISPATCHER_STOPPED = _event(
    711,
    "dispatcher_stopped",
    Level.INFO,
    "This host no longer dispatches to a group of endpoints; ground gives the reason.",
)
JOB_ROUTED = _event(
    800,
    "job_routed",
    Level.INFO,
    "A job was routed to a dispatcher; left_s is the time to its deadline, longest_s "
    "the longest run time that a task declares.",
)
JOB_PART_ENDED = _event(
    808,
    "job_part_ended",
    Level.INFO,
    "A job or a part of one ended at a dispatcher; tasks tells how and where each ran, "
    "placements for each attempt the task, its number, the endpoint, the reason, the "
    "wait, the estimated run time, the estimated speed of the endpoint and the "
    "processors that the task needs.",
)
JOB_ANSWERED = _event(
    801, "job_answered", Level.INFO, "A job is complete and its caller was answered."
)
JOB_REFUSED = _event(
    802, "job_refused", Level.INFO, "A job was refused; none of its tasks was started."
)
JOB_INCOMPLETE = _event(
    803,
    "job_incomplete",
    Level.WARNING,
    "A job can't be completed in time although some of its tasks were started.",
)
JOB_RESENT = _event(
    804,
    "job_resent",
    Level.WARNING,
    "A part of a job failed at a dispatcher and may be sent to another.",
)
CALLER_DISCONNECTED = _event(
    805,
    "caller_disconnected",
    Level.INFO,
    "The caller of a job disconnected; the job is stopped.",
)
JOB_ABANDONED = _event(
    807,
    "job_abandoned",
    Level.INFO,
    "A job is stopped, since one of its tasks would end after the deadline.",
)
ATTEMPT_MOVED = _event(
    809,
    "attempt_moved",
    Level.INFO,
    "An attempt that would end too late at its endpoint is stopped to be restarted.",
)
JOB_OUTCOMES = _event(
    812,
    "job_outcomes",
    Level.INFO,
    "Jobs and parts of jobs that ended at this host's dispatchers since it started: "
    "kind, upper bound of the work in core-seconds at speed 1, outcome and number.",
)
JOB_CLAIM_HELD = _event(
    813,
    "job_claim_held",
    Level.WARNING,
    "Another submission of the job's id may be running; the job waits for its end.",
)
JOB_CLAIM_UNCONFIRMED = _event(
    814,
    "job_claim_unconfirmed",
    Level.WARNING,
    "A job starts though fewer than a majority of the keepers of its claim are "
    "reached; a submission of its id elsewhere would not be noticed.",
)
REQUEST_MALFORMED = _event(
    806, "request_malformed", Level.WARNING, "A request or a reply is malformed."
)
UNEXPECTED_ERROR = _event(
    810,
    "unexpected_error",
    Level.ERROR,
    "An error in the code ended one connection, request or job; the host goes on.",
)
ENDPOINT_LEAVE_LATE = _event(
    811,
    "endpoint_leave_late",
    Level.INFO,
    "An endpoint's notice that it leaves is ignored, since it has started again.",
)
