"""Log lines are complete, limited in rate, and never block the process."""

import errno
import json
import logging
import os

import pytest

from currantwell.log_sink import BURST_LINES, RESERVED_LINES, LineSink


def record(message, level=logging.INFO):
    return logging.LogRecord("test", level, "", 0, message, None, None)


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def lines_in(read):
    data = b""
    while True:
        try:
            part = os.read(read, 65_536)
        except BlockingIOError:
            return data.splitlines(keepends=True)
        data += part


def test_a_line_is_json_with_time_and_level(pipe):
    read, write = pipe
    LineSink(write).emit(record('{"event": 1}'))
    (line,) = lines_in(read)
    fields = json.loads(line)
    assert fields["event"] == 1
    assert fields["level"] == "INFO"
    assert fields["unix_s"] > 0


def test_a_stopped_reader_loses_lines_without_blocking(pipe):
    read, write = pipe
    sink = LineSink(write)
    for number in range(1_000):
        sink.emit(record(json.dumps({"number": number, "text": "x" * 500})))
    assert sink.dropped > 0
    parts = lines_in(read)
    for _ in range(2):
        sink.emit(record('{"event": 2}'))
        parts += lines_in(read)
    lines = b"".join(parts).splitlines()
    decoded = [json.loads(line) for line in lines]
    assert any(line.get("lines_left_out", 0) > 0 for line in decoded)
    assert decoded[-1]["event"] == 2


def test_the_rate_is_limited_and_warnings_have_a_reserve(tmp_path):
    with open(tmp_path / "log", "wb") as file:
        sink = LineSink(file.fileno(), clock=lambda: 0.0)
        for _ in range(2 * int(BURST_LINES)):
            sink.emit(record("{}"))
        dropped = sink.dropped
        sink.emit(record("{}", logging.WARNING))
    written = (tmp_path / "log").read_text().splitlines()
    assert dropped == BURST_LINES + RESERVED_LINES
    assert len(written) == BURST_LINES - RESERVED_LINES + 2
    assert '"WARNING"' in written[-1]


def test_a_closed_reader_raises_no_error(pipe):
    read, write = os.pipe()
    os.close(read)
    LineSink(write).emit(record("{}"))
    os.close(write)


def test_lines_that_a_full_disk_refused_are_counted(pipe, monkeypatch):
    read, write = pipe
    sink = LineSink(write)
    with monkeypatch.context() as patch:
        patch.setattr("os.write", refuse)
        sink.emit(record("refused"))
    assert sink.dropped == 1
    sink.emit(record("written"))
    left_out, written = map(json.loads, lines_in(read))
    assert left_out["lines_left_out"] == 1
    assert written["message"] == "written"


def refuse(*_):
    raise OSError(errno.ENOSPC, "injected failure")
