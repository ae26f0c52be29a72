"""Agreement: one order of commands that every host applies to the same state."""

from typing import Protocol

from .ids import HostId

__all__ = ["Agreement", "LocalAgreement", "StateMachine"]

PROPOSE_TIMEOUT_S = 3.0


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

    async def confirm(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return once this host's state holds all that was agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        ...


class LocalAgreement:
    """Agreement of a host with itself.

    Parameters
    ----------
    host : HostId
        The host.
    state : StateMachine
        What commands change.
    """

    def __init__(self, host: HostId, state: StateMachine) -> None:
        self._host = host
        self._state = state
        self._index = 0

    @property
    def leader(self) -> HostId | None:
        """The host itself."""
        return self._host

    async def propose(
        self, command: bytes, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> bytes:
        """Apply a command and return its result."""
        self._index += 1
        return self._state.apply(self._index, command)

    async def confirm(self, timeout_s: float = PROPOSE_TIMEOUT_S) -> None:
        """Return at once."""
