"""Refusals and resets as callers read them."""

import dpkt

from clementinelead.packets import headers
from clementinelead.packets import replies
from clementinelead.packets.tests import test_headers


def test_refusal_quotes_the_flow_and_tells_when_to_come_back():
    packet = test_headers.tcp_packet()
    prohibited, reset = replies.refusals(packet, 250)
    assert replies.retry_after(prohibited) == 250
    assert replies.quoted_flow(prohibited) == headers.flow_key(packet)
    assert replies.retry_after(reset) is None


def test_refusal_checksums_are_valid():
    prohibited, _ = replies.refusals(test_headers.tcp_packet(), 250)
    assert dpkt.in_cksum(prohibited[:20]) == 0
    assert dpkt.in_cksum(prohibited[20:]) == 0


def test_reset_of_a_syn_acknowledges_it():
    answer = dpkt.ip.IP(replies.reset(test_headers.tcp_packet())).data
    assert answer.flags == headers.RST | headers.ACK
    assert (answer.sport, answer.dport) == (43, 1025)
    assert answer.ack == 0xDEADBEF0  # one above dpkt's default sequence


def test_reset_of_data_takes_the_acknowledged_sequence():
    packet = test_headers.tcp_packet(headers.ACK, b"data")
    answer = dpkt.ip.IP(replies.reset(packet)).data
    assert answer.flags == headers.RST
    assert answer.ack == 0
