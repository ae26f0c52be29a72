"""Log lines: whole, bounded, and never waited for."""

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


def test_a_line_is_json_with_its_time_and_level(pipe):
    read, write = pipe
    LineSink(write).emit(record('{"event": 1}'))
    (line,) = lines_in(read)
    said = json.loads(line)
    assert said["event"] == 1
    assert said["level"] == "INFO"
    assert said["unix_s"] > 0


def test_a_reader_that_stops_costs_lines_and_no_time(pipe):
    read, write = pipe
    sink = LineSink(write)
    for number in range(1_000):
        sink.emit(record(json.dumps({"number": number, "text": "x" * 500})))
    assert sink.dropped > 0
    parts = lines_in(read)
    for _ in range(2):
        sink.emit(record('{"event": 2}'))
        parts += lines_in(read)
    whole = b"".join(parts).splitlines()
    said = [json.loads(line) for line in whole]
    assert any(line.get("lines_left_out", 0) > 0 for line in said)
    assert said[-1]["event"] == 2


def test_the_volume_is_bounded_and_warnings_keep_a_reserve(tmp_path):
    with open(tmp_path / "log", "wb") as file:
        sink = LineSink(file.fileno(), clock=lambda: 0.0)
        for _ in range(2 * int(BURST_LINES)):
            sink.emit(record("{}"))
        left_out = sink.dropped
        sink.emit(record("{}", logging.WARNING))
    written = (tmp_path / "log").read_text().splitlines()
    assert left_out == BURST_LINES + RESERVED_LINES
    assert len(written) == BURST_LINES - RESERVED_LINES + 2
    assert '"WARNING"' in written[-1]


def test_a_closed_reader_is_borne(pipe):
    read, write = os.pipe()
    os.close(read)
    LineSink(write).emit(record("{}"))
    os.close(write)
