"""Presets: named sets of dispatch rules, exactly one of which is in force.

Each rule has a floor, the most conservative value that any preset may have. A host
that can't determine which preset is in force follows the floors, which comply with
every preset.
"""

from typing import Protocol

import msgspec

from .errors import InvalidRequest
from .ids import check_name

__all__ = [
    "FLOOR",
    "MAINTENANCE",
    "ORDINARY",
    "PEAK",
    "FixedPreset",
    "Preset",
    "PresetSource",
    "check_preset",
]

MIN_QUEUE_S = 0.5
MAX_QUEUE_S = 60.0
MIN_LONG_SHARE = 0.25
MAX_WAIT_FASTER_S = 5.0


class Preset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of dispatch rules.

    Parameters
    ----------
    name : str
        Name of the preset.
    queue_s : float
        Upper bound of admitted waiting work per slot, in seconds.
    long_share : float
        Maximum share of slots that long tasks may occupy, so that short ones can start.
    wait_faster_s : float
        Maximum time that a task waits for a faster endpoint while another has free
        capacity, in seconds.
    restarts_share : float
        Restarts and retries allowed per useful start.
    """

    name: str
    queue_s: float
    long_share: float
    wait_faster_s: float
    restarts_share: float


FLOOR = Preset("floor", MIN_QUEUE_S, MIN_LONG_SHARE, 0.0, 0.0)
ORDINARY = Preset("ordinary", 10.0, 0.75, 0.03, 0.1)
PEAK = Preset("peak", 4.0, 0.5, 0.0, 0.02)
MAINTENANCE = Preset("maintenance", 1.0, 0.5, 0.0, 0.0)


def check_preset(preset: Preset) -> Preset:
    """Check that each rule of a preset is within its bounds, and return the preset.

    Raises
    ------
    InvalidRequest
        If a rule is out of bounds; names the first such rule.
    """
    check_name("name", preset.name)
    if not MIN_QUEUE_S <= preset.queue_s <= MAX_QUEUE_S:
        raise InvalidRequest(
            "queue_s", f"is not between {MIN_QUEUE_S} and {MAX_QUEUE_S}"
        )
    if not MIN_LONG_SHARE <= preset.long_share <= 1.0:
        raise InvalidRequest("long_share", f"is not between {MIN_LONG_SHARE} and 1")
    if not 0.0 <= preset.wait_faster_s <= MAX_WAIT_FASTER_S:
        raise InvalidRequest(
            "wait_faster_s", f"is not between 0 and {MAX_WAIT_FASTER_S}"
        )
    if not 0.0 <= preset.restarts_share <= 1.0:
        raise InvalidRequest("restarts_share", "is not between 0 and 1")
    return preset


class PresetSource(Protocol):
    """Provides the preset in force."""

    def preset(self) -> Preset:
        """Return the preset in force, or the floors if it can't be determined."""
        ...


class FixedPreset:
    """Provides a preset that never changes."""

    def __init__(self, preset: Preset = ORDINARY) -> None:
        self._preset = preset

    def preset(self) -> Preset:
        """Return the preset."""
        return self._preset
