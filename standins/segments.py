"""Builds and reads the IPv4 packets that callers and targets exchange."""

import dataclasses
import ipaddress

import dpkt

__all__ = ["ACK", "FIN", "RST", "SYN", "Segment", "build", "parse"]

FIN = dpkt.tcp.TH_FIN
SYN = dpkt.tcp.TH_SYN
RST = dpkt.tcp.TH_RST
ACK = dpkt.tcp.TH_ACK
TCP = dpkt.ip.IP_PROTO_TCP
UDP = dpkt.ip.IP_PROTO_UDP
SEQUENCE_SPACE = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class Segment:
    """A TCP segment or UDP datagram with its addresses."""

    protocol: int
    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    sequence: int
    acknowledgement: int
    payload: bytes


def build(segment: Segment) -> bytes:
    """Returns the IPv4 packet of a segment."""
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
    """Returns the segment of a packet, None if it is neither TCP nor UDP."""
    try:
        outer = dpkt.ip.IP(packet)
    except dpkt.UnpackError:
        return None
    inner = outer.data
    if outer.p not in (TCP, UDP) or isinstance(inner, bytes):
        return None
    tcp = outer.p == TCP
    return Segment(
        protocol=outer.p,
        source=(str(ipaddress.IPv4Address(outer.src)), inner.sport),
        destination=(str(ipaddress.IPv4Address(outer.dst)), inner.dport),
        flags=inner.flags if tcp else 0,
        sequence=inner.seq if tcp else 0,
        acknowledgement=inner.ack if tcp else 0,
        payload=bytes(inner.data),
    )
