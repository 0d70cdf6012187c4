"""Packets that the system itself sends to a caller: refusals and resets.

A refusal is an ICMP "communication administratively prohibited" message that
quotes the caller's packet. It carries the time after which the caller should
come back in an extension object of private use (RFC 4884, section 7 and 8);
TCP callers get a reset besides, since some networks filter ICMP.
"""

import struct

import dpkt

from clementinelead.packets import headers

__all__ = ["parse_retry_after_ms", "refusal_packets", "reset_packet"]

_ICMP_UNREACHABLE = 3
_ICMP_PROHIBITED = 13
_QUOTED_BYTES = 128  # RFC 4884: the original datagram, padded
_QUOTED_WORDS = _QUOTED_BYTES // 4
_EXTENSION_VERSION = 0x20
_CLASS_RETRY_AFTER = 0xF7  # first class number of private use
_TYPE_MILLISECONDS = 1
_OBJECT = struct.Struct("!HBBI")
_EXTENSION_HEADER = struct.Struct("!BBH")
_SEQUENCE_SPACE = 1 << 32


def _checksum(data: bytes) -> int:
    return int(dpkt.in_cksum(data))


def _ip(source: bytes, destination: bytes, protocol: int, data: bytes) -> bytes:
    packet = dpkt.ip.IP(
        src=source, dst=destination, p=protocol, ttl=64, data=data
    )
    packet.len = 20 + len(data)
    return bytes(packet)


def reset_packet(packet: bytes) -> bytes:
    """Returns the TCP reset that answers a caller's packet.

    Args:
        packet: A TCP packet that ``headers.flow_key`` accepted.
    """
    original = dpkt.ip.IP(packet)
    segment = original.data
    length = headers.tcp_payload_bytes(packet)
    length += int(bool(segment.flags & headers.SYN))
    length += int(bool(segment.flags & headers.FIN))
    acknowledged = bool(segment.flags & headers.ACK)
    answer = dpkt.tcp.TCP(
        sport=segment.dport,
        dport=segment.sport,
        seq=segment.ack if acknowledged else 0,
        ack=0 if acknowledged else (segment.seq + length) % _SEQUENCE_SPACE,
        flags=headers.RST if acknowledged else headers.RST | headers.ACK,
        win=0,
    )
    reply = dpkt.ip.IP(
        src=original.dst,
        dst=original.src,
        p=headers.PROTOCOL_TCP,
        ttl=64,
        data=answer,
    )
    reply.len = 40
    return bytes(reply)


def _prohibited(packet: bytes, retry_after_ms: int) -> bytes:
    quoted = packet[:_QUOTED_BYTES].ljust(_QUOTED_BYTES, b"\0")
    hint = _OBJECT.pack(
        _OBJECT.size, _CLASS_RETRY_AFTER, _TYPE_MILLISECONDS, retry_after_ms
    )
    blank = _EXTENSION_HEADER.pack(_EXTENSION_VERSION, 0, 0)
    checksum = _checksum(blank + hint)
    extension = _EXTENSION_HEADER.pack(_EXTENSION_VERSION, 0, checksum) + hint
    head = struct.pack("!BBHBBH", 3, _ICMP_PROHIBITED, 0, 0, _QUOTED_WORDS, 0)
    checksum = _checksum(head + quoted + extension)
    head = struct.pack(
        "!BBHBBH", 3, _ICMP_PROHIBITED, checksum, 0, _QUOTED_WORDS, 0
    )
    return _ip(
        packet[16:20], packet[12:16], dpkt.ip.IP_PROTO_ICMP,
        head + quoted + extension,
    )  # fmt: skip


def refusal_packets(packet: bytes, retry_after_ms: int) -> tuple[bytes, ...]:
    """Returns the packets that tell a caller that its flow was not run.

    Args:
        packet: The caller's first packet of the flow.
        retry_after_ms: When the caller should come back, milliseconds.
    """
    prohibited = _prohibited(packet, retry_after_ms)
    if packet[9] == headers.PROTOCOL_TCP:
        return prohibited, reset_packet(packet)
    return (prohibited,)


def parse_retry_after_ms(packet: bytes) -> int | None:
    """Returns the wait that a refusal tells, in milliseconds.

    Args:
        packet: An IPv4 packet that a caller received.

    Returns:
        The wait, or None if the packet is not a refusal.
    """
    if len(packet) < 20 or packet[9] != dpkt.ip.IP_PROTO_ICMP:
        return None
    message = packet[20:]
    if message[0:2] != bytes((_ICMP_UNREACHABLE, _ICMP_PROHIBITED)):
        return None
    extension = message[8 + _QUOTED_BYTES :]
    if len(extension) < _EXTENSION_HEADER.size + _OBJECT.size:
        return None
    _, kind, form, wait = _OBJECT.unpack_from(extension, _EXTENSION_HEADER.size)
    if (kind, form) != (_CLASS_RETRY_AFTER, _TYPE_MILLISECONDS):
        return None
    return int(wait)


def quoted_flow_key(packet: bytes) -> bytes:
    """Returns the flow key that an ICMP refusal quotes."""
    quoted = packet[28:]
    start = (quoted[0] & 0x0F) * 4
    return bytes(quoted[12:20] + quoted[start : start + 4] + quoted[9:10])
