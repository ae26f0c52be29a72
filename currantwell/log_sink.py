"""Non-blocking log output: a slow reader never delays the process.

Invariants: a line is written completely or dropped. Dropped lines are counted, and the
count is logged as soon as there is buffer space again. A token bucket bounds the rate
of lines; lines of level INFO or below may not use its reserve.
"""

import logging
import os
import time
from collections.abc import Callable

import msgspec
from absl import logging as absl_logging

__all__ = ["LineSink", "configure_logging"]

# A busy entry host writes two lines per job, 60 per second; the burst covers a restart.
LINES_PER_S = 400.0
BURST_LINES = 1_500.0
RESERVED_LINES = 300.0
# A pipe holds 64 KiB; up to the same amount is buffered here.
MAX_UNWRITTEN_BYTES = 64 * 1024

_encode = msgspec.json.Encoder().encode


class LineSink(logging.Handler):
    """A handler that writes each record as one JSON line to a file descriptor.

    Parameters
    ----------
    fd : int
        The file descriptor to write to; it is made non-blocking.
    clock : callable
        Returns the time in seconds that refills the token bucket.
    """

    def __init__(self, fd: int, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        os.set_blocking(fd, False)
        self.dropped = 0
        self._fd = fd
        self._unwritten = bytearray()
        self._tokens = BURST_LINES
        self._clock = clock
        self._refilled_s = clock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
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
                # The reader is gone, or the disk is full; discard the lines.
                self.dropped += self._unwritten.count(b"\n")
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _take_token(self, level: int) -> bool:
        now_s = self._clock()
        new_tokens = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + new_tokens)
        self._refilled_s = now_s
        min_tokens = RESERVED_LINES if level <= logging.INFO else 0.0
        if self._tokens <= min_tokens:
            return False
        self._tokens -= 1.0
        return True


def configure_logging(fd: int) -> LineSink:
    """Route all log lines of the process to a file descriptor."""
    sink = LineSink(fd)
    absl_logging.set_verbosity(absl_logging.INFO)
    logger = absl_logging.get_absl_logger()
    logger.handlers[:] = [sink]
    logger.propagate = False
    return sink
