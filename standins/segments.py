"""Builds and parses the IPv4 packets that callers and targets exchange."""

import dataclasses
import ipaddress

import dpkt

__all__ = [
    "ACK",
    "FIN",
    "RST",
    "SEQUENCE_SPACE",
    "SYN",
    "TCP",
    "UDP",
    "Segment",
    "build",
    "parse",
]

FIN = dpkt.tcp.TH_FIN
SYN = dpkt.tcp.TH_SYN
RST = dpkt.tcp.TH_RST
ACK = dpkt.tcp.TH_ACK
TCP = dpkt.ip.IP_PROTO_TCP
UDP = dpkt.ip.IP_PROTO_UDP
SEQUENCE_SPACE = 1 << 32
"""Number of TCP sequence numbers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A TCP segment or UDP datagram with its addresses.

    Attributes:
        protocol: ``TCP`` or ``UDP``.
        source: Address and port of the sender.
        destination: Address and port of the receiver.
        flags: TCP flags, 0 for UDP.
        sequence: TCP sequence number, 0 for UDP.
        acknowledgement: TCP acknowledgement number, 0 for UDP.
        payload: The data.
    """

    protocol: int
    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    sequence: int
    acknowledgement: int
    payload: bytes


def build(segment: Segment) -> bytes:
    """Returns a segment as an IPv4 packet.

    Args:
        segment: The segment; sequence numbers may exceed ``SEQUENCE_SPACE``.
    """
    data: dpkt.Packet
    if segment.protocol == TCP:
        data = dpkt.tcp.TCP(
            sport=segment.source[1],
            dport=segment.destination[1],
            seq=segment.sequence % SEQUENCE_SPACE,
            ack=segment.acknowledgement % SEQUENCE_SPACE,
            flags=segment.flags,
            data=segment.payload,
        )
    else:
        data = dpkt.udp.UDP(
            sport=segment.source[1],
            dport=segment.destination[1],
            data=segment.payload,
        )
        data.ulen = len(data)
    packet = dpkt.ip.IP(
        src=ipaddress.IPv4Address(segment.source[0]).packed,
        dst=ipaddress.IPv4Address(segment.destination[0]).packed,
        p=segment.protocol,
        ttl=64,
        data=data,
    )
    packet.len = len(packet)
    return bytes(packet)


def parse(packet: bytes) -> Segment | None:
    """Returns the segment in an IPv4 packet.

    None if the packet can't be parsed or is neither TCP nor UDP.

    Args:
        packet: The packet.
    """
    try:
        ip_packet = dpkt.ip.IP(packet)
    except dpkt.UnpackError:
        return None
    transport_packet = ip_packet.data
    if ip_packet.p not in (TCP, UDP) or isinstance(transport_packet, bytes):
        return None
    tcp = ip_packet.p == TCP
    return Segment(
        protocol=ip_packet.p,
        source=(
            str(ipaddress.IPv4Address(ip_packet.src)),
            transport_packet.sport,
        ),
        destination=(
            str(ipaddress.IPv4Address(ip_packet.dst)),
            transport_packet.dport,
        ),
        flags=transport_packet.flags if tcp else 0,
        sequence=transport_packet.seq if tcp else 0,
        acknowledgement=transport_packet.ack if tcp else 0,
        payload=bytes(transport_packet.data),
    )
