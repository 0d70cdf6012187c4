import hypothesis
from hypothesis import strategies
import pytest

from clementinelead.platform import packets

# A SYN from 100.64.0.7:40001 to 198.18.0.1:443, as callers send it.
OPENING = bytes.fromhex(
    "2000000000000000d5c3b2a14433221100000000000000"
    "00bb010700406441 9c010012c6".replace(" ", "")
)
FORMAT = packets.PlatformFormat(8172)


def _answer(flags, sequence=7):
    """Returns a packet of the target in the flow of ``OPENING``."""
    head = bytearray(36)
    head[0] = flags
    head[12:16] = sequence.to_bytes(4, "little")
    head[24:26] = OPENING[30:32]
    head[26:30] = OPENING[32:36]
    head[30:32] = OPENING[24:26]
    head[32:36] = OPENING[26:30]
    return bytes(head)


def test_opening_packet_is_read():
    segment = FORMAT.from_caller(OPENING)
    assert segment.opens
    assert not segment.accepts
    assert segment.sequence == 0x11223344
    assert FORMAT.flow_text(segment.key) == "100.64.0.7:40001>198.18.0.1:443"
    assert FORMAT.caller_address(segment.key) == ("100.64.0.7", 8172)


def test_both_directions_have_one_key():
    answer = FORMAT.from_target(_answer(33))
    assert answer.accepts
    assert answer.key == FORMAT.from_caller(OPENING).key


def test_returned_packet_keeps_its_callers_key():
    returned = bytes((OPENING[0] | 4,)) + OPENING[1:]
    segment = FORMAT.from_target(returned)
    assert segment.returned
    assert segment.key == FORMAT.from_caller(OPENING).key
    assert FORMAT.original_packet(returned) == OPENING


def test_key_names_the_address_of_the_route():
    key = FORMAT.from_caller(OPENING).key
    address = packets.address_bytes("198.18.0.1", 443)
    assert FORMAT.service_address(key) == address


def test_reset_goes_the_way_back():
    segment = FORMAT.from_caller(OPENING)
    expected = "08" + "00" * 23 + "419c010012c6bb0107004064"
    assert FORMAT.reset_packet(segment).hex() == expected


def test_reset_carries_the_callers_acknowledgement():
    head = bytearray(OPENING)
    head[0] = 1
    head[16:20] = (123_456).to_bytes(4, "little")
    reset = FORMAT.reset_packet(FORMAT.from_caller(bytes(head)))
    assert int.from_bytes(reset[12:16], "little") == 123_456


@pytest.mark.parametrize(
    "data",
    [
        b"",
        OPENING[:35],
        OPENING + b"x",
        OPENING + bytes(1_201),
        b"\xff" + OPENING[1:],
    ],
)
def test_malformed_packets_are_none(data):
    assert FORMAT.from_caller(data) is None
    assert FORMAT.from_target(data) is None


@hypothesis.given(strategies.binary(max_size=1_400))
def test_any_bytes_are_read_or_refused(data):
    for read in (FORMAT.from_caller, FORMAT.from_target):
        segment = read(data)
        assert segment is None or len(segment.key) == 12


@pytest.mark.parametrize("host", ["", "::1", "300.1.1.1", "a.b"])
def test_other_hosts_are_refused(host):
    with pytest.raises(ValueError):
        packets.address_bytes(host, 443)


def test_port_out_of_range_is_refused():
    with pytest.raises(ValueError):
        packets.address_bytes("10.0.0.1", 70_000)
