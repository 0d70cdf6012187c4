"""Refusals and resets as callers parse them."""

import dpkt

from clementinelead.packets import headers
from clementinelead.packets import replies
from clementinelead.packets.tests import test_headers


def test_refusal_quotes_the_flow_and_has_the_retry_time():
    packet = test_headers.tcp_packet()
    prohibited, reset = replies.refusal_packets(packet, 250)
    assert replies.parse_retry_after_ms(prohibited) == 250
    assert replies.quoted_flow_key(prohibited) == headers.flow_key(packet)
    assert replies.parse_retry_after_ms(reset) is None


def test_refusal_checksums_are_valid():
    prohibited, _ = replies.refusal_packets(test_headers.tcp_packet(), 250)
    assert dpkt.in_cksum(prohibited[:20]) == 0
    assert dpkt.in_cksum(prohibited[20:]) == 0


def test_reset_in_reply_to_a_syn_acknowledges_it():
    segment = dpkt.ip.IP(replies.reset_packet(test_headers.tcp_packet())).data
    assert segment.flags == headers.RST | headers.ACK
    assert (segment.sport, segment.dport) == (43, 1025)
    assert segment.ack == 0xDEADBEF0  # one above dpkt's default sequence


def test_reset_in_reply_to_data_has_no_acknowledgement():
    packet = test_headers.tcp_packet(headers.ACK, b"data")
    segment = dpkt.ip.IP(replies.reset_packet(packet)).data
    assert segment.flags == headers.RST
    assert segment.ack == 0
