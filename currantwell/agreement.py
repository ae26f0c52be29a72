"""Agreement: a totally ordered log of commands, applied on every host."""

from typing import Protocol

import msgspec
import trio

from . import events
from .errors import DiskUnavailable
from .ids import HostId
from .journal import Journal, MemoryJournal

__all__ = ["Agreement", "LocalAgreement", "StateMachine"]

PROPOSE_TIMEOUT_S = 3.0
SNAPSHOT_INTERVAL_COMMANDS = 1_000


class StateMachine(Protocol):
    """Deterministic state that is changed only by agreed commands."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at an index of the log and return its result.

        The result and the new state must depend only on the state, the index and the
        command.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        ...


class Agreement(Protocol):
    """Replicates commands in the same order on all hosts."""

    @property
    def leader(self) -> HostId | None:
        """Host of the current leader, None if it is unknown."""
        ...

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Replicate a command, apply it and return its result.

        May be called on any host, which forwards the command to the leader.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still be applied.
        """
        ...

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Wait until this host's state includes everything committed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        ...


class _Command(msgspec.Struct, frozen=True, tag="command", array_like=True):
    """Journal record of a command."""

    index: int
    command: bytes


class _Snapshot(msgspec.Struct, frozen=True, tag="snapshot", array_like=True):
    """Journal record of the state after all commands up to an index."""

    index: int
    state: bytes


_decoder: msgspec.msgpack.Decoder[_Command | _Snapshot] = msgspec.msgpack.Decoder(
    _Command | _Snapshot
)


class LocalAgreement:
    """Agreement of a single host, without replication.

    Parameters
    ----------
    host : HostId
        The host.
    state : StateMachine
        State machine that commands are applied to; still empty.
    journal : Journal or None
        Stores the commands, which are applied again at the next start; None keeps
        them in memory.
    snapshot_every : int
        Number of commands after which the journal is compacted.
    """

    def __init__(
        self,
        host: HostId,
        state: StateMachine,
        journal: Journal | None = None,
        snapshot_every: int = SNAPSHOT_INTERVAL_COMMANDS,
    ) -> None:
        self._host = host
        self._state = state
        self._journal = journal or MemoryJournal()
        self._snapshot_every = snapshot_every
        self._lock = trio.Lock()
        self._index = 0
        self._snapshot_index = 0
        self._recover()

    @property
    def leader(self) -> HostId | None:
        """The host itself."""
        return self._host

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Apply a command once it is durable, and return its result.

        Raises
        ------
        StorageFailed
            If the write fails; the command may still be applied after a restart, unless
            a later one succeeds before.
        """
        with trio.CancelScope(shield=True):
            async with self._lock:
                record = _Command(self._index + 1, command)
                await self._journal.append([msgspec.msgpack.encode(record)])
                self._index += 1
                result = self._state.apply(self._index, command)
                self._compact()
        return result

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return at once: the only host has every command."""

    def _recover(self) -> None:
        for data in self._journal.read():
            match _decoder.decode(data):
                case _Snapshot(index, state):
                    self._state.restore(state)
                    self._index = self._snapshot_index = index
                case _Command(index, command):
                    self._state.apply(index, command)
                    self._index = index

    def _compact(self) -> None:
        if self._index - self._snapshot_index >= self._snapshot_every:
            snapshot = _Snapshot(self._index, self._state.snapshot())
            try:
                self._journal.replace([msgspec.msgpack.encode(snapshot)])
            except DiskUnavailable as error:
                events.COMPACTION_FAILED.log(host=self._host, error=str(error))
                return
            self._snapshot_index = self._index
