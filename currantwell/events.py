"""Numbered log events, written as one line of JSON each through `absl.logging`."""

import dataclasses
import enum
import json
from typing import Any

from absl import logging

__all__ = ["Event", "Level", "catalogue"]


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
        logging.log(self.level.value, "%s", json.dumps(line, default=str))


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
ENDPOINT_MET = _event(200, "endpoint_met", Level.INFO, "An endpoint announced itself.")
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
COPY_NOT_WHOLE = _event(
    704,
    "copy_not_whole",
    Level.ERROR,
    "The view names this host, but its disk does not hold what that takes; it waits.",
)
HANDED_OVER = _event(
    705, "handed_over", Level.INFO, "This host stops; its backup runs the jobs now."
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
JOIN_ASKED = _event(
    503,
    "join_asked",
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
ENDPOINT_DRAINED = _event(
    901,
    "endpoint_drained",
    Level.INFO,
    "An operator had an endpoint drained, or put back to use.",
)
JOURNAL_TAIL_CUT = _event(
    510,
    "journal_tail_cut",
    Level.INFO,
    "A crash had cut a write short that no one was told of; its rest is removed.",
)
