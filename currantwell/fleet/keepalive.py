"""Sends the pings of all channels of a process and detects silence, in one task.

A timer for each channel wakes the event loop once per channel and interval, which is
most of what a host with many channels does at rest. Here pings may be early or late by
a share of their interval, so that many are sent together. Silence is detected without
that delay.
"""

import math
from typing import Protocol

import trio

__all__ = ["Keepalive", "KeptAlive"]


class KeptAlive(Protocol):
    """A channel, as the keepalive task uses it."""

    def next_check_s(self) -> float:
        """Return the time by which a ping or a check for silence is due."""

    def ping_if_due(self) -> None:
        """Send a ping if its time has come."""

    def is_silent(self) -> bool:
        """Return whether the other end has missed its announced interval."""

    def close(self) -> None:
        """Close the channel."""


class Keepalive:
    """Keeps channels alive until they are removed; use `current` to get it."""

    def __init__(self) -> None:
        self._channels: dict[KeptAlive, None] = {}
        self._wake_s = math.inf
        self._wake = trio.Event()

    @classmethod
    def current(cls) -> "Keepalive":
        """Return the instance of this event loop, started by the first call."""
        keepalive = _current.get(None)
        if keepalive is None:
            keepalive = cls()
            _current.set(keepalive)
            trio.lowlevel.spawn_system_task(keepalive.run)
        return keepalive

    def add(self, channel: KeptAlive) -> None:
        """Keep a channel alive from now on."""
        self._channels[channel] = None
        self.check_by(channel.next_check_s())

    def remove(self, channel: KeptAlive) -> None:
        """Stop keeping a channel alive."""
        self._channels.pop(channel, None)

    def check_by(self, due_s: float) -> None:
        """Make sure that the channels are checked by a time."""
        if due_s < self._wake_s:
            self._wake_s = due_s
            self._wake.set()

    async def run(self) -> None:
        """Ping and check the channels until cancelled."""
        while True:
            self._wake = trio.Event()
            for channel in list(self._channels):
                channel.ping_if_due()
            await self._close_silent()
            self._wake_s = min(
                (channel.next_check_s() for channel in self._channels),
                default=math.inf,
            )
            with trio.move_on_at(self._wake_s):
                await self._wake.wait()

    async def _close_silent(self) -> None:
        silent = [channel for channel in self._channels if channel.is_silent()]
        if silent:
            # What has arrived by now is received first.
            await trio.lowlevel.checkpoint()
        for channel in silent:
            if channel.is_silent():
                channel.close()


_current: trio.lowlevel.RunVar["Keepalive | None"] = trio.lowlevel.RunVar(
    "keepalive", None
)
