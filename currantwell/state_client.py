"""StateClient of commands to the agreement, and confirms shared by many callers."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import trio

from . import events
from .agreement import Agreement
from .changes import Command, CommandResult, ProposeView, encode_command
from .clock import CalendarClock, now_s
from .codes import ResultCode
from .errors import AgreementLost
from .ids import HostId
from .views import View

__all__ = [
    "READ_BARRIER_TIMEOUT_S",
    "SharedReadBarrier",
    "StateClient",
    "log_agreement_lost",
]

READ_BARRIER_TIMEOUT_S = 0.35
READ_BARRIER_INTERVAL_S = 0.25


class StateClient:
    """Proposes commands and reads the verdicts.

    Parameters
    ----------
    agreement : Agreement
        The agreement.
    calendar : CalendarClock
        Stamps commands.
    """

    def __init__(self, agreement: Agreement, calendar: CalendarClock) -> None:
        self.agreement = agreement
        self.calendar = calendar

    async def propose(self, command: Command) -> CommandResult:
        """Have a command agreed and return its verdict.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        data = await self.agreement.propose(encode_command(command))
        return msgspec.msgpack.decode(data, type=CommandResult)

    async def propose_view(self, view: View, author: HostId, reason: str) -> bool:
        """Have a view agreed and tell whether it is now the newest.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        command = ProposeView(view, author, reason, self.calendar.unix_s())
        return (await self.propose(command)).code is ResultCode.ACCEPTED


class SharedReadBarrier:
    """Confirms for many callers at once; each joins one that starts after its call.

    They start `READ_BARRIER_INTERVAL_S` apart at least, since each costs a round of
    messages to all hosts.

    Parameters
    ----------
    agreement : Agreement
        The agreement.
    """

    def __init__(self, agreement: Agreement) -> None:
        self._agreement = agreement
        self._lock = trio.Lock()
        self._started = 0
        self._confirmed = 0
        self._next_s = float("-inf")

    async def read_barrier(self) -> None:
        """Return once the state holds all that was agreed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        earlier = self._started
        async with self._lock:
            if self._confirmed > earlier:
                return
            await trio.sleep(max(0.0, self._next_s - now_s()))
            self._next_s = now_s() + READ_BARRIER_INTERVAL_S
            self._started += 1
            await self._agreement.read_barrier(READ_BARRIER_TIMEOUT_S)
            self._confirmed = self._started


@contextmanager
def log_agreement_lost() -> Iterator[None]:
    """Log that an agreement was lost, for whoever tries again later."""
    try:
        yield
    except AgreementLost as error:
        events.AGREEMENT_LOST.log(cause=str(error))
