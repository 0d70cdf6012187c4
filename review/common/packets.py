"""Packets of the platform, as PROTOCOL.md gives their header."""

import dataclasses
import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 16, 8, 4
HEADER = struct.Struct("<B5sHIIIIHIHI")
SEQUENCE_MASK = 0xFFFF_FFFF
_KEY = b"known to requesters and servers only"


@dataclasses.dataclass(frozen=True)
class Packet:
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
    def from_requester(self) -> tuple[int, int, int, int]:
        """Key of the flow if a requester wrote the packet."""
        return self.src, self.sport, self.dst, self.dport

    @property
    def from_server(self) -> tuple[int, int, int, int]:
        """Key of the flow if a server wrote the packet."""
        return self.dst, self.dport, self.src, self.sport


def number(address: str) -> int:
    """Returns an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), "big")


def _sum(packet: Packet) -> int:
    text = repr(
        (
            packet.flags & ~BOUNCED,
            packet.seq,
            packet.ack,
            packet.from_requester,
            packet.data,
        )
    )
    return zlib.crc32(_KEY + text.encode())


def encode(packet: Packet) -> bytes:
    """Returns a packet as its sender writes it."""
    head = HEADER.pack(
        packet.flags,
        bytes(5),
        len(packet.data),
        _sum(packet),
        packet.seq & SEQUENCE_MASK,
        packet.ack & SEQUENCE_MASK,
        0,
        packet.dport,
        packet.src,
        packet.sport,
        packet.dst,
    )
    return head + packet.data


def decode(datagram: bytes) -> tuple[Packet, bool]:
    """Returns a packet, and whether it is as its sender wrote it."""
    flags, _, length, total, seq, ack, _, dport, src, sport, dst = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    packet = Packet(flags, seq, ack, src, sport, dst, dport, data)
    return packet, total == _sum(packet) and length == len(data)
