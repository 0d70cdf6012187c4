import json
import os
import time

import loguru
import pytest

from clementinelead.telemetry import structured


@pytest.fixture(name="pipe")
def _pipe():
    reading, writing = os.pipe()
    yield reading, writing
    loguru.logger.remove()
    os.close(reading)
    os.close(writing)


def test_lines_are_objects_with_their_fields(pipe):
    reading, writing = pipe
    structured.configure("node1", writing)
    loguru.logger.bind(flow="a>b", outcome="sent").info("placement")
    content = json.loads(os.read(reading, 4096))
    assert content["event"] == "placement"
    assert content["node"] == "node1"
    assert content["flow"] == "a>b"
    assert content["outcome"] == "sent"


def test_slow_reader_never_blocks_and_costs_lines_only(pipe):
    reading, writing = pipe
    writer = structured.LineWriter(writing)
    line = b"x" * 1_000 + b"\n"
    count = 3 * structured.MAX_WAITING_BYTES // len(line)
    begun = time.monotonic()
    for _ in range(count):
        writer.write(line)
    assert time.monotonic() - begun < 2.0
    assert 0 < writer.lost < count
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
    assert len(lines) - 1 == count - writer.lost


def test_closed_reader_is_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    writer = structured.LineWriter(writing)
    writer.write(b"line\n")
    assert writer.lost == 1
    os.close(writing)
