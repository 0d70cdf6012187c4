"""Packets that the load balancer itself sends to callers: refusals and resets.

A refusal is an ICMP "communication administratively prohibited" message that
quotes the caller's packet. An extension object of private use (RFC 4884,
sections 7 and 8) carries the time after which the caller should retry. TCP
callers are also sent a reset, since some networks filter ICMP.
"""

import struct

import dpkt

from clementinelead.packets import headers

__all__ = ["parse_retry_after_ms", "refusal_packets", "reset_packet"]

_ICMP_TYPE_UNREACHABLE = 3
_ICMP_CODE_PROHIBITED = 13
_QUOTED_BYTES = 128  # length of the padded original datagram (RFC 4884)
_QUOTED_WORDS = _QUOTED_BYTES // 4
_EXTENSION_VERSION = 0x20
_CLASS_RETRY_AFTER = 0xF7  # first class number for private use
_TYPE_MILLISECONDS = 1
_EXTENSION_OBJECT = struct.Struct("!HBBI")
_EXTENSION_HEADER = struct.Struct("!BBH")
_SEQUENCE_SPACE = 1 << 32


def _checksum(data: bytes) -> int:
    return int(dpkt.in_cksum(data))


def _ip_packet(
    source: bytes, destination: bytes, protocol: int, data: bytes
) -> bytes:
    packet = dpkt.ip.IP(
        src=source, dst=destination, p=protocol, ttl=64, data=data
    )
    packet.len = 20 + len(data)
    return bytes(packet)


def reset_packet(packet: bytes) -> bytes:
    """Returns the TCP reset in reply to a caller's packet.

    Args:
        packet: A TCP packet that has a flow key.
    """
    original = dpkt.ip.IP(packet)
    segment = original.data
    sequence_length = headers.tcp_payload_bytes(packet)
    sequence_length += int(bool(segment.flags & headers.SYN))
    sequence_length += int(bool(segment.flags & headers.FIN))
    acknowledged = bool(segment.flags & headers.ACK)
    tcp_reset = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack if acknowledged else 0,
        ack=0
        if acknowledged
        else (segment.seq + sequence_length) % _SEQUENCE_SPACE,
        flags=headers.RST if acknowledged else headers.RST | headers.ACK,
        win=0,
    )
    reply = dpkt.ip.IP(
        src=original.dst,
        dst=original.src,
        p=headers.PROTOCOL_TCP,
        ttl=64,
        data=tcp_reset,
    )
    reply.len = 40
    return bytes(reply)


def _prohibited_message(packet: bytes, retry_after_ms: int) -> bytes:
    """Returns the ICMP refusal of a caller's packet."""
    quoted = packet[:_QUOTED_BYTES].ljust(_QUOTED_BYTES, b"\0")
    retry_object = _EXTENSION_OBJECT.pack(
        _EXTENSION_OBJECT.size,
        _CLASS_RETRY_AFTER,
        _TYPE_MILLISECONDS,
        retry_after_ms,
    )
    header_without_checksum = _EXTENSION_HEADER.pack(_EXTENSION_VERSION, 0, 0)
    checksum = _checksum(header_without_checksum + retry_object)
    extension = (
        _EXTENSION_HEADER.pack(_EXTENSION_VERSION, 0, checksum) + retry_object
    )
    icmp_header = struct.pack(
        "!BBHBBH", 3, _ICMP_CODE_PROHIBITED, 0, 0, _QUOTED_WORDS, 0
    )
    checksum = _checksum(icmp_header + quoted + extension)
    icmp_header = struct.pack(
        "!BBHBBH", 3, _ICMP_CODE_PROHIBITED, checksum, 0, _QUOTED_WORDS, 0
    )
    return _ip_packet(
        packet[16:20], packet[12:16], dpkt.ip.IP_PROTO_ICMP,
        icmp_header + quoted + extension,
    )  # fmt: skip


def refusal_packets(packet: bytes, retry_after_ms: int) -> tuple[bytes, ...]:
    """Returns the packets that refuse a caller's new flow.

    The first is an ICMP message. For TCP a reset follows.

    Args:
        packet: The caller's first packet of the flow.
        retry_after_ms: Time after which the caller should retry, milliseconds.
    """
    prohibited = _prohibited_message(packet, retry_after_ms)
    if packet[9] == headers.PROTOCOL_TCP:
        return prohibited, reset_packet(packet)
    return (prohibited,)


def parse_retry_after_ms(packet: bytes) -> int | None:
    """Returns the time after which a refused caller should retry.

    Args:
        packet: An IPv4 packet that a caller has received.

    Returns:
        The time, milliseconds, or None if the packet is not a refusal.
    """
    if len(packet) < 20 or packet[9] != dpkt.ip.IP_PROTO_ICMP:
        return None
    message = packet[20:]
    if message[0:2] != bytes((_ICMP_TYPE_UNREACHABLE, _ICMP_CODE_PROHIBITED)):
        return None
    extension = message[8 + _QUOTED_BYTES :]
    if len(extension) < _EXTENSION_HEADER.size + _EXTENSION_OBJECT.size:
        return None
    _, class_number, type_number, retry_after_ms = (
        _EXTENSION_OBJECT.unpack_from(extension, _EXTENSION_HEADER.size)
    )
    if (class_number, type_number) != (_CLASS_RETRY_AFTER, _TYPE_MILLISECONDS):
        return None
    return int(retry_after_ms)


def quoted_flow_key(packet: bytes) -> bytes:
    """Returns the flow key of the packet that an ICMP refusal quotes.

    Args:
        packet: An IPv4 packet with a refusal.
    """
    quoted = packet[28:]
    start = (quoted[0] & 0x0F) * 4
    return bytes(quoted[12:20] + quoted[start : start + 4] + quoted[9:10])
