"""Numbered log events, written as one line of JSON each through `absl.logging`."""

import dataclasses
import enum
from typing import Any

import msgspec
from absl import logging

__all__ = ["Event", "Level", "catalogue"]


_encode = msgspec.json.Encoder(enc_hook=str).encode


class Level(enum.Enum):
    """How much an event matters."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log event.

    Parameters
    ----------
    number : int
        Its number, never reused.
    name : str
        Its name.
    level : Level
        How much it matters.
    meaning : str
        What it tells an operator.
    """

    number: int
    name: str
    level: Level
    meaning: str

    def log(self, **fields: Any) -> None:
        """Write the event with its fields; payloads and secrets have no place here."""
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
    """Return all events, by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]


HOST_STARTED = _event(100, "host_started", Level.INFO, "The host serves.")
HOST_DRAINING = _event(
    101, "host_draining", Level.INFO, "The host takes no new work and will stop."
)
HOST_STOPPED = _event(
    102, "host_stopped", Level.INFO, "The host has stopped; drained says how."
)
SETTINGS_RELOADED = _event(
    103, "settings_reloaded", Level.INFO, "The settings file was said to have changed."
)
ENDPOINT_REGISTERED = _event(
    200, "endpoint_registered", Level.INFO, "An endpoint announced itself."
)
ENDPOINT_LOST = _event(
    201,
    "endpoint_lost",
    Level.WARNING,
    "An endpoint is not used any more; its attempts are over at over_s.",
)
DEPOSED = _event(
    300, "deposed", Level.WARNING, "Another host has taken over this data centre."
)
STORAGE_FAILED = _event(
    400, "storage_failed", Level.ERROR, "A disk refused; the host stops."
)
PRIMARY_STARTED = _event(
    700, "primary_started", Level.INFO, "This host runs the jobs of a data centre."
)
TAKEOVER_PROPOSED = _event(
    701,
    "takeover_proposed",
    Level.WARNING,
    "The primary is silent; this host, its backup, proposes to take over.",
)
BACKUP_DROPPED = _event(
    702,
    "backup_dropped",
    Level.WARNING,
    "The backup is silent, leaves or lost its copy; the primary goes on without it.",
)
BACKUP_ADDED = _event(
    703, "backup_added", Level.INFO, "Another host holds a whole copy of all jobs."
)
COPY_INCOMPLETE = _event(
    704,
    "copy_incomplete",
    Level.ERROR,
    "The view names this host, but its disk does not hold what that takes; it waits.",
)
PRIMARY_HANDED_OVER = _event(
    705,
    "primary_handed_over",
    Level.INFO,
    "This host stops; its backup runs the jobs now.",
)
LEADER_CHANGED = _event(
    500, "leader_changed", Level.INFO, "This host follows another leader, or none."
)
CLUSTER_FORMED = _event(
    501, "cluster_formed", Level.INFO, "The first hosts began a cluster."
)
MEMBERSHIP_CHANGED = _event(
    502,
    "membership_changed",
    Level.WARNING,
    "Other members than before take part in the agreement.",
)
JOIN_REQUESTED = _event(
    503,
    "join_requested",
    Level.WARNING,
    "This host has no agreed state and asks to be taken in.",
)
PRESET_ACTIVATED = _event(
    600,
    "preset_activated",
    Level.INFO,
    "The proposed preset is in force; ground says why it may be.",
)
VIEW_REPAIRED = _event(
    601, "view_repaired", Level.WARNING, "A data centre passes over a lost host."
)
AGREEMENT_LOST = _event(
    602, "agreement_lost", Level.WARNING, "No majority of hosts confirmed in time."
)
REGISTRATION_REFUSED = _event(
    603, "registration_refused", Level.ERROR, "The hosts refuse to take this one in."
)
REQUEST_FAILED = _event(
    900, "request_failed", Level.ERROR, "A request met an unforeseen error."
)
JOURNAL_TAIL_TRUNCATED = _event(
    510,
    "journal_tail_truncated",
    Level.INFO,
    "A crash had cut a write short that no one was told of; its rest is removed.",
)
CONFIGURATION_PUT = _event(
    610,
    "configuration_put",
    Level.INFO,
    "A configuration was agreed on; result says whether it took effect.",
)
CONFIGURATION_APPLIED = _event(
    611, "configuration_applied", Level.INFO, "This host follows a newer configuration."
)
CONFIGURATION_REFUSED = _event(
    612, "configuration_refused", Level.WARNING, "A configuration is invalid."
)
OWNER_CHANGED = _event(
    613, "owner_changed", Level.WARNING, "Another process dispatches to a data centre."
)
ENDPOINT_REPORTED = _event(
    210, "endpoint_reported", Level.INFO, "An endpoint is new or said something new."
)
ENDPOINT_LEFT = _event(211, "endpoint_left", Level.INFO, "An endpoint says it ends.")
ENDPOINT_UNRESPONSIVE = _event(
    212,
    "endpoint_unresponsive",
    Level.WARNING,
    "No heartbeat of an endpoint came for long.",
)
HEARTBEAT_REFUSED = _event(
    213, "heartbeat_refused", Level.WARNING, "A heartbeat can't be read."
)
ENDPOINT_REQUEST_UNANSWERED = _event(
    220,
    "endpoint_request_unanswered",
    Level.WARNING,
    "An order to an endpoint got no answer; it may be carried out yet.",
)
START_REFUSED = _event(
    221, "start_refused", Level.WARNING, "An endpoint refused a start."
)
ATTEMPT_ENDED = _event(
    222, "attempt_ended", Level.WARNING, "An attempt ended other than done."
)
UNKNOWN_ATTEMPT_FOUND = _event(
    223,
    "unknown_attempt_found",
    Level.WARNING,
    "An endpoint runs what this dispatcher did not start; it is stopped.",
)
HINT_UNAVAILABLE = _event(
    401,
    "hint_unavailable",
    Level.WARNING,
    "What was kept to speed up a restart can't be read or written; it is not needed.",
)
HOST_CONNECTED = _event(110, "host_connected", Level.INFO, "A host opened a channel.")
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
    710, "dispatcher_started", Level.INFO, "This host dispatches to a data centre."
)
DISPATCHER_STOPPED = _event(
    711,
    "dispatcher_stopped",
    Level.INFO,
    "This host no longer dispatches to a data centre; ground says why.",
)
JOB_ROUTED = _event(800, "job_routed", Level.INFO, "A job went to a dispatcher.")
JOB_PART_ENDED = _event(
    808,
    "job_part_ended",
    Level.INFO,
    "A dispatcher has ended a job or part of one; where and how each task went.",
)
JOB_ANSWERED = _event(801, "job_answered", Level.INFO, "A job's caller got its answer.")
JOB_REFUSED = _event(
    802, "job_refused", Level.INFO, "A job was refused; nothing of it was started."
)
JOB_INCOMPLETE = _event(
    803,
    "job_incomplete",
    Level.WARNING,
    "A job can't be completed in time although some of it was started.",
)
JOB_RESENT = _event(
    804, "job_resent", Level.WARNING, "A job goes to another dispatcher."
)
CALLER_DISCONNECTED = _event(
    805,
    "caller_disconnected",
    Level.INFO,
    "The caller of a job left; the job is stopped.",
)
JOB_ABANDONED = _event(
    807,
    "job_abandoned",
    Level.INFO,
    "A job is stopped, since a task of it is seen to end after the deadline.",
)
ATTEMPT_MOVED = _event(
    809,
    "attempt_moved",
    Level.INFO,
    "An attempt that ends too late where it runs is stopped, to be started anew.",
)
REQUEST_MALFORMED = _event(
    806, "request_malformed", Level.WARNING, "A request can't be read."
)
