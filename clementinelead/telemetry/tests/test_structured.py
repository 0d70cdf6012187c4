import json
import os
import time

import loguru
import pytest

from clementinelead.telemetry import structured


@pytest.fixture(name="pipe")
def _pipe(monkeypatch):
    # Later tests must not write to a descriptor that has been reused by then.
    monkeypatch.setattr(structured, "_output", None)
    reading, writing = os.pipe()
    yield reading, writing
    loguru.logger.remove()
    os.close(reading)
    os.close(writing)


def test_line_is_a_json_object_with_its_fields(pipe):
    reading, writing = pipe
    structured.configure("node1", writing)
    loguru.logger.bind(flow="a>b", outcome="sent").info("placement")
    content = json.loads(os.read(reading, 4096))
    assert content["event"] == "placement"
    assert content["node"] == "node1"
    assert content["flow"] == "a>b"
    assert content["outcome"] == "sent"


def test_write_event_writes_the_same_line_as_the_logger(pipe):
    reading, writing = pipe
    structured.configure("node1", writing)
    fields = {"flow": "a>b", "loads_ms": {"10.0.0.1": 3}, "tried": (1, None)}
    loguru.logger.bind(**fields).info("placement")
    structured.write_event("placement", fields)
    logged, written = map(json.loads, os.read(reading, 4096).splitlines())
    for content in (logged, written):
        assert content.pop("time").endswith("+00:00")
        assert content.pop("uptime_s") >= 0
    assert logged == written


def test_value_without_a_json_type_is_written_as_text(pipe):
    reading, writing = pipe
    structured.configure("node1", writing)
    structured.write_event("placement", {"cause": ValueError("odd")})
    assert json.loads(os.read(reading, 4096))["cause"] == "odd"


def test_error_line_has_the_exception_and_its_location(pipe):
    reading, writing = pipe
    structured.configure("node1", writing)
    try:
        {}["missing"]
    except KeyError as error:
        loguru.logger.opt(exception=error).error("unexpected error")
    content = json.loads(os.read(reading, 4096))
    assert content["error"] == "KeyError('missing')"
    assert "test_structured.py:" in content["at"]


def test_slow_reader_does_not_block_and_whole_lines_are_dropped(pipe):
    reading, writing = pipe
    writer = structured.LineWriter(writing)
    line = b"x" * 1_000 + b"\n"
    count = 3 * structured.MAX_BUFFERED_BYTES // len(line)
    began_s = time.monotonic()
    for _ in range(count):
        writer.write(line)
    assert time.monotonic() - began_s < 2.0
    assert 0 < writer.lost_lines < count
    os.set_blocking(reading, False)
    received = bytearray()
    for _ in range(count):
        try:
            received += os.read(reading, 65_536)
        except BlockingIOError:
            break
        writer.flush()
    lines = received.split(b"\n")
    assert all(len(part) in (0, 1_000) for part in lines)
    assert len(lines) - 1 == count - writer.lost_lines


def test_line_to_a_closed_reader_is_counted_as_lost():
    reading, writing = os.pipe()
    os.close(reading)
    writer = structured.LineWriter(writing)
    writer.write(b"line\n")
    assert writer.lost_lines == 1
    os.close(writing)
