"""Agreement: one order of commands that every host applies to the same state."""

from typing import Protocol

import msgspec
import trio

from .ids import HostId
from .journal import Journal, MemoryJournal

__all__ = ["Agreement", "LocalAgreement", "StateMachine"]

PROPOSE_TIMEOUT_S = 3.0
SNAPSHOT_EVERY = 1_000


class StateMachine(Protocol):
    """State that changes by agreed commands alone, alike on every host."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a command, the ``index``-th of the order, and return its result.

        It must depend on nothing but the state, the index and the command.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Put the state of a snapshot in the place of this one."""
        ...


class Agreement(Protocol):
    """Puts commands in one order among all hosts."""

    @property
    def leader(self) -> HostId | None:
        """The host that orders commands now, None if none is known."""
        ...

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Have a command ordered and applied, and return its result.

        May be called on any host; it passes the command on to the leader.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        ...

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return once this host's state holds all that was agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        ...


class _Command(msgspec.Struct, frozen=True, tag="command", array_like=True):
    """A command in the journal."""

    index: int
    command: bytes


class _Snapshot(msgspec.Struct, frozen=True, tag="snapshot", array_like=True):
    """The state after all commands up to an index."""

    index: int
    state: bytes


_decoder: msgspec.msgpack.Decoder[_Command | _Snapshot] = msgspec.msgpack.Decoder(
    _Command | _Snapshot
)


class LocalAgreement:
    """Agreement of a host with itself.

    Parameters
    ----------
    host : HostId
        The host.
    state : StateMachine
        What commands change; empty so far.
    journal : Journal or None
        Keeps the commands, which are applied again at the next start.
    snapshot_every : int
        Commands after which the journal is compacted.
    """

    def __init__(
        self,
        host: HostId,
        state: StateMachine,
        journal: Journal | None = None,
        snapshot_every: int = SNAPSHOT_EVERY,
    ) -> None:
        self._host = host
        self._state = state
        self._journal = journal or MemoryJournal()
        self._snapshot_every = snapshot_every
        self._order = trio.Lock()
        self._index = 0
        self._compacted = 0
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
            If the disk refuses; the command may be applied after a restart.
        """
        with trio.CancelScope(shield=True):
            async with self._order:
                record = _Command(self._index + 1, command)
                await self._journal.append([msgspec.msgpack.encode(record)])
                self._index += 1
                result = self._state.apply(self._index, command)
                self._compact()
        return result

    async def read_barrier(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return at once."""

    def _recover(self) -> None:
        for data in self._journal.read():
            match _decoder.decode(data):
                case _Snapshot(index, state):
                    self._state.restore(state)
                    self._index = self._compacted = index
                case _Command(index, command):
                    self._state.apply(index, command)
                    self._index = index

    def _compact(self) -> None:
        if self._index - self._compacted >= self._snapshot_every:
            snapshot = _Snapshot(self._index, self._state.snapshot())
            self._journal.replace([msgspec.msgpack.encode(snapshot)])
            self._compacted = self._index
