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


def _target_packet(flags, sequence=7):
    """Returns a packet from the target in the flow of ``OPENING``."""
    head = bytearray(36)
    head[0] = flags
    head[12:16] = sequence.to_bytes(4, "little")
    head[24:26] = OPENING[30:32]
    head[26:30] = OPENING[32:36]
    head[30:32] = OPENING[24:26]
    head[32:36] = OPENING[26:30]
    return bytes(head)


def test_opening_packet_is_parsed():
    segment = FORMAT.from_caller(OPENING)
    assert segment.opens
    assert not segment.accepts
    assert segment.sequence == 0x11223344
    assert FORMAT.flow_text(segment.key) == "100.64.0.7:40001>198.18.0.1:443"
    assert FORMAT.caller_address(segment.key) == ("100.64.0.7", 8172)


def test_both_directions_have_the_same_key():
    segment = FORMAT.from_target(_target_packet(33))
    assert segment.accepts
    assert segment.key == FORMAT.from_caller(OPENING).key


def test_returned_packet_has_the_key_of_the_callers_packet():
    returned = bytes((OPENING[0] | 4,)) + OPENING[1:]
    segment = FORMAT.from_target(returned)
    assert segment.returned
    assert segment.key == FORMAT.from_caller(OPENING).key
    assert FORMAT.original_packet(returned) == OPENING


def test_service_address_is_read_from_the_key():
    key = FORMAT.from_caller(OPENING).key
    address = packets.address_bytes("198.18.0.1", 443)
    assert FORMAT.service_address(key) == address


def test_reset_packet_goes_from_service_to_caller():
    segment = FORMAT.from_caller(OPENING)
    expected = "08" + "00" * 23 + "419c010012c6bb0107004064"
    assert FORMAT.reset_packet(segment).hex() == expected


def test_reset_packet_has_the_callers_acknowledgement_as_sequence():
    packet = bytearray(OPENING)
    packet[0] = 1
    packet[16:20] = (123_456).to_bytes(4, "little")
    reset = FORMAT.reset_packet(FORMAT.from_caller(bytes(packet)))
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
def test_malformed_packets_are_parsed_as_none(data):
    assert FORMAT.from_caller(data) is None
    assert FORMAT.from_target(data) is None


@hypothesis.given(strategies.binary(max_size=1_400))
def test_any_bytes_are_parsed_or_none(data):
    for parse in (FORMAT.from_caller, FORMAT.from_target):
        segment = parse(data)
        assert segment is None or len(segment.key) == 12


@pytest.mark.parametrize("host", ["", "::1", "300.1.1.1", "a.b"])
def test_invalid_host_raises_value_error(host):
    with pytest.raises(ValueError):
        packets.address_bytes(host, 443)


def test_port_out_of_range_raises_value_error():
    with pytest.raises(ValueError):
        packets.address_bytes("10.0.0.1", 70_000)


def test_caller_host_is_the_same_for_all_ports_of_a_caller():
    keys = [
        bytes((187, 1)) + b"host" + port.to_bytes(2, "little") + b"dest"
        for port in (1, 50000)
    ]
    assert [FORMAT.caller_host(key) for key in keys] == [b"host", b"host"]
