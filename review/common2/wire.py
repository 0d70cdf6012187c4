"""Packet codec of requesters and servers, after PROTOCOL.md, *Packets*."""

import ipaddress
import struct
import typing
import zlib

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 16, 8, 4
HEADER = struct.Struct("<B5sHIIIIHIHI")


class Packet(typing.NamedTuple):
    """A packet; addresses are numbers."""

    flags: int
    seq: int
    ack: int
    src: int
    sport: int
    dst: int
    dport: int
    data: bytes = b""

    @property
    def flow(self) -> tuple[int, int, int, int]:
        """Flow as its sender sees it."""
        return self.src, self.sport, self.dst, self.dport


def number(host: str) -> int:
    """Returns an IPv4 address as a number."""
    return int(ipaddress.IPv4Address(host))


def checksum(packet: Packet) -> int:
    """Sum over all fields except echo, pad and BOUNCED; never 0."""
    fields = (packet.flags & ~BOUNCED, *packet[1:7], packet.data)
    return zlib.crc32(repr(fields).encode()) or 1


def encode(packet: Packet) -> bytes:
    """Returns a packet as bytes."""
    head = HEADER.pack(
        packet.flags,
        bytes(5),
        len(packet.data),
        checksum(packet),
        packet.seq,
        packet.ack,
        0,
        packet.dport,
        packet.src,
        packet.sport,
        packet.dst,
    )
    return head + packet.data


def decode(data: bytes) -> tuple[Packet, int]:
    """Returns a packet and the sum in its header."""
    fields = HEADER.unpack_from(data)
    flags, _, _, total, seq, ack, _, dport, src, sport, dst = fields
    packet = Packet(flags, seq, ack, src, sport, dst, dport, data[36:])
    return packet, total
