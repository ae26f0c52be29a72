"""Signals, start, drain and end of a process that runs a host.

Invariant: from `held_signals` until the process ends no signal that it handles has its
default action, which would end the process at once and cut off all requests.
"""

import enum
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import FrameType

import trio

from . import events
from ._early_signals import HANDLED_SIGNALS
from .errors import leaf_errors
from .kernel import Kernel

__all__ = ["HANDLED_SIGNALS", "HostState", "held_signals", "run_until_stopped"]


class HostState(enum.Enum):
    """What a host does when a signal arrives."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


@contextmanager
def held_signals() -> Iterator[None]:
    """Hold signals back for `run_until_stopped`, and ignore them after the block.

    The block is the whole rest of the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    for number in HANDLED_SIGNALS:
        signal.signal(number, _discard)
    try:
        yield
    finally:
        # Python restores the default action of any other handler as it exits.
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def _discard(number: int, frame: FrameType | None) -> None:
    pass


async def run_until_stopped(
    host: str,
    kernel: Kernel,
    *,
    run: Callable[[trio.TaskStatus[None]], Awaitable[bool]],
    announce: Callable[[], None],
    drain: Callable[[], Awaitable[None]],
    reload: Callable[[], None] | None = None,
) -> bool:
    """Run the services of a host until SIGTERM or SIGINT.

    Signals are received before the first service starts and until the last one has
    stopped. A repeated SIGTERM changes nothing. SIGHUP is only logged, unless there is
    a ``reload``.

    Parameters
    ----------
    host : str
        Name of the host in the log.
    kernel : Kernel
        The services.
    run : callable
        Runs the kernel, possibly after it has registered the services.
    announce : callable
        Called once all services have started.
    drain : callable
        Called to prepare a stop; the kernel is stopped when it returns.
    reload : callable or None
        Called on SIGHUP while the host serves.

    Returns
    -------
    bool
        Whether all services drained in time.
    """
    host_run = _HostRun(host, kernel, run, announce, drain, reload)
    try:
        with _received_signals() as signals:
            drained = await host_run.run(signals)
    except Exception as error:
        kinds = sorted({type(each).__name__ for each in leaf_errors(error)})
        events.HOST_FAILED.log(host=host, state=host_run.state.value, errors=kinds)
        raise
    events.HOST_STOPPED.log(host=host, drained=drained)
    return drained


@contextmanager
def _received_signals() -> Iterator[AsyncIterator[int]]:
    with trio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        mask = signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        try:
            yield signals
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)


class _HostRun:
    """Runs the services of a host once; see `run_until_stopped`."""

    def __init__(
        self,
        host: str,
        kernel: Kernel,
        run: Callable[[trio.TaskStatus[None]], Awaitable[bool]],
        announce: Callable[[], None],
        drain: Callable[[], Awaitable[None]],
        reload: Callable[[], None] | None,
    ) -> None:
        self.state = HostState.STARTING
        self._host = host
        self._kernel = kernel
        self._run_services = run
        self._announce = announce
        self._drain = drain
        self._reload = reload
        self._stop = trio.Event()
        self._drained = False

    async def run(self, signals: AsyncIterator[int]) -> bool:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, signals)
            async with trio.open_nursery() as services:
                await services.start(self._serve)
                if self.state is HostState.STARTING:
                    self.state = HostState.SERVING
                    self._announce()
                    await self._stop.wait()
                    events.HOST_DRAINING.log(host=self._host)
                    await self._drain()
                    self._kernel.stop()
            nursery.cancel_scope.cancel()
        return self._drained

    async def _serve(self, task_status: trio.TaskStatus[None]) -> None:
        self._drained = await self._run_services(task_status)

    async def _receive(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            stops = number != signal.SIGHUP and self.state is not HostState.STOPPING
            serving = self.state is HostState.SERVING
            reload = self._reload if serving and number == signal.SIGHUP else None
            action = "stop" if stops else "reload" if reload is not None else "none"
            events.SIGNAL_RECEIVED.log(
                host=self._host,
                signal=signal.Signals(number).name,
                state=self.state.value,
                action=action,
            )
            if reload is not None:
                reload()
            if stops:
                if self.state is HostState.STARTING:
                    self._kernel.stop()
                self.state = HostState.STOPPING
                self._stop.set()
