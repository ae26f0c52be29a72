"""Writes log lines without ever waiting for whoever reads them.

Invariants: a line is written whole or not at all; what is left out is counted and said
as soon as there is room again. The volume is bounded by a bucket of lines, of which
lines of the level INFO may use all but a reserve.
"""

import logging
import os
import time
from collections.abc import Callable

import msgspec
from absl import logging as absl_logging

__all__ = ["LineSink", "log_to"]

# A busy entry host writes two lines a job, 60 a second; the burst covers a restart.
LINES_PER_S = 400.0
BURST_LINES = 1_500.0
RESERVED_LINES = 300.0
# A pipe holds 64 KiB; as much again waits here.
MAX_UNWRITTEN_BYTES = 64 * 1024

_encode = msgspec.json.Encoder().encode


class LineSink(logging.Handler):
    """A handler that writes one JSON line a record to a file descriptor.

    Parameters
    ----------
    fd : int
        Where to; it is made non-blocking.
    clock : callable
        Returns seconds, for the bound on the volume.
    """

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self.dropped = 0
        self._fd = fd
        self._unwritten = bytearray()
        self._tokens = BURST_LINES
        self._clock = clock
        self._filled_s = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        if not self._take_token(record.levelno):
            self.dropped += 1
            return
        self._flush()
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            self._queue("WARNING", f'{{"lines_left_out": {self.dropped}}}')
            self.dropped = 0
        self._queue(record.levelname, record.getMessage())
        self._flush()

    def _queue(self, level: str, message: str) -> None:
        if not message.startswith("{"):
            message = _encode({"message": message}).decode()
        head = f'{{"unix_s": {time.time():.6f}, "level": "{level}", '
        self._unwritten += (head + message[1:] + "\n").encode()

    def _flush(self) -> None:
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it; the process has other work to do.
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _take_token(self, level: int) -> bool:
        now_s = self._clock()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_s = now_s
        least = RESERVED_LINES if level <= logging.INFO else 0.0
        if self._tokens <= least:
            return False
        self._tokens -= 1.0
        return True


def log_to(fd: int) -> LineSink:
    """Send all log lines of the process to a file descriptor."""
    sink = LineSink(fd)
    absl_logging.set_verbosity(absl_logging.INFO)
    logger = absl_logging.get_absl_logger()
    logger.handlers[:] = [sink]
    logger.propagate = False
    return sink
