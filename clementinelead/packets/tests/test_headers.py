"""Flow keys, and packets without one."""

import dpkt
import hypothesis
from hypothesis import strategies
import pytest

from clementinelead.packets import headers


def tcp_packet(flags=headers.SYN, payload=b"", options=b""):
    segment = dpkt.tcp.TCP(sport=1025, dport=43, flags=flags, data=payload)
    packet = dpkt.ip.IP(
        src=b"\x0a\x00\x00\x01", dst=b"\x0a\x09\x00\x01", p=6, data=segment
    )
    packet.opts = options
    packet.hl = 5 + len(options) // 4
    packet.len = 20 + len(options) + 20 + len(payload)
    return bytes(packet)


def test_key_contains_addresses_ports_and_protocol():
    key = headers.flow_key(tcp_packet())
    assert headers.format_flow_key(key) == "tcp 10.0.0.1:1025>10.9.0.1:43"
    assert headers.service_key_of_flow(key) == headers.service_key(
        "10.9.0.1", 43, "tcp"
    )


def test_options_do_not_change_the_key():
    with_options = tcp_packet(options=b"\x01\x01\x01\x00")
    assert headers.flow_key(with_options) == headers.flow_key(tcp_packet())


@pytest.mark.parametrize(
    ("packet", "cause"),
    [
        (b"", headers.DropCause.TRUNCATED),
        (tcp_packet()[:-1], headers.DropCause.TRUNCATED),
        (b"\x60" + tcp_packet()[1:], headers.DropCause.NOT_IPV4),
        (
            tcp_packet()[:6] + b"\x20\x00" + tcp_packet()[8:],
            headers.DropCause.FRAGMENT,
        ),
        (
            tcp_packet()[:9] + b"\x2f" + tcp_packet()[10:],
            headers.DropCause.PROTOCOL,
        ),
        (tcp_packet(payload=b"x" * 9000), headers.DropCause.OVERSIZE),
    ],
)
def test_unusable_packet_has_a_drop_cause(packet, cause):
    assert headers.flow_key(packet) is cause


@hypothesis.given(strategies.binary(max_size=120))
@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
def test_any_bytes_have_a_key_or_a_drop_cause(data):
    key = headers.flow_key(data)
    assert isinstance(key, headers.DropCause) or len(key) == 13


def test_only_a_syn_without_ack_may_start_a_tcp_flow():
    key = headers.flow_key(tcp_packet())
    assert headers.may_start_flow(tcp_packet(), key)
    assert not headers.may_start_flow(
        tcp_packet(headers.SYN | headers.ACK), key
    )
    assert not headers.may_start_flow(tcp_packet(headers.ACK), key)
