"""Client of the agreed state: proposes commands and shares read barriers."""

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
    """Proposes commands and decodes their results.

    Parameters
    ----------
    agreement : Agreement
        The agreement.
    calendar : CalendarClock
        Source of the time in commands.
    """

    def __init__(self, agreement: Agreement, calendar: CalendarClock) -> None:
        self.agreement = agreement
        self.calendar = calendar

    async def propose(self, command: Command) -> CommandResult:
        """Propose a command and return its result.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        data = await self.agreement.propose(encode_command(command))
        return msgspec.msgpack.decode(data, type=CommandResult)

    async def propose_view(self, view: View, author: HostId, reason: str) -> bool:
        """Propose a view and return whether it is now the newest.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time; it may still take effect.
        """
        command = ProposeView(view, author, reason, self.calendar.unix_s())
        return (await self.propose(command)).code is ResultCode.ACCEPTED


class SharedReadBarrier:
    """Shares read barriers among callers; each caller waits for one that starts later.

    Barriers start at least `READ_BARRIER_INTERVAL_S` apart, since each takes a round of
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
        self._next_start_s = float("-inf")

    async def read_barrier(self) -> None:
        """Wait until the state includes everything committed before the call.

        Raises
        ------
        AgreementLost
            If no majority confirmed it in time.
        """
        started_before = self._started
        async with self._lock:
            if self._confirmed > started_before:
                return
            await trio.sleep(max(0.0, self._next_start_s - now_s()))
            self._next_start_s = now_s() + READ_BARRIER_INTERVAL_S
            self._started += 1
            await self._agreement.read_barrier(READ_BARRIER_TIMEOUT_S)
            self._confirmed = self._started


@contextmanager
def log_agreement_lost() -> Iterator[None]:
    """Log an `AgreementLost` error and suppress it, for callers that retry later."""
    try:
        yield
    except AgreementLost as error:
        events.AGREEMENT_LOST.log(cause=str(error))
