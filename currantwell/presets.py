"""Presets: the rules that dispatch follows, of which exactly one is in force.

Each rule has a floor, the most cautious value that any preset may have. A host that
can't know which preset is in force follows the floors, which every preset allows.
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
    """Rules of dispatch.

    Parameters
    ----------
    name : str
        Its name.
    queue_s : float
        Most seconds of waiting work per slot that admission lets in.
    long_share : float
        Largest share of slots that long tasks may hold while short ones wait.
    wait_faster_s : float
        Longest time that a task waits for a faster endpoint while another has room.
    restarts_share : float
        Restarts allowed per useful start.
    """

    name: str
    queue_s: float
    long_share: float
    wait_faster_s: float
    restarts_share: float


FLOOR = Preset("floor", MIN_QUEUE_S, MIN_LONG_SHARE, 0.0, 0.0)
ORDINARY = Preset("ordinary", 10.0, 0.75, 0.05, 0.1)
PEAK = Preset("peak", 4.0, 0.5, 0.0, 0.02)
MAINTENANCE = Preset("maintenance", 1.0, 0.5, 0.0, 0.0)


def check_preset(preset: Preset) -> Preset:
    """Check that a preset asks for nothing below a floor.

    Raises
    ------
    InvalidRequest
        Naming the first rule at fault.
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
    """Knows the preset in force."""

    def preset(self) -> Preset:
        """Return the rules to follow now; the floors if they can't be known."""
        ...


class FixedPreset:
    """A preset that never changes."""

    def __init__(self, preset: Preset = ORDINARY) -> None:
        self._preset = preset

    def preset(self) -> Preset:
        """Return the preset."""
        return self._preset
