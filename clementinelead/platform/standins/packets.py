"""Packets as callers and targets write them, apart from the product's code."""

import dataclasses
import struct

__all__ = ["ACK", "BOUNCED", "FIN", "RST", "SYN", "Packet", "decode", "encode"]

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 16, 8, 4
_HEAD = struct.Struct("<B5sHIIIIHIHI")


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
    def flow(self) -> tuple[int, int, int, int]:
        """The sender's and the receiver's address and port."""
        return self.src, self.sport, self.dst, self.dport


def _sum(packet: Packet) -> int:
    """Returns a checksum over all that must arrive as it was sent."""
    content = (packet.flow, packet.seq, packet.ack, packet.data)
    flags = packet.flags & ~BOUNCED
    return hash((flags, content)) & 0xFFFF_FFFF


def encode(packet: Packet) -> bytes:
    """Returns the bytes of a packet."""
    head = _HEAD.pack(
        packet.flags,
        bytes(5),
        len(packet.data),
        _sum(packet),
        packet.seq,
        packet.ack,
        0,
        packet.dport,
        packet.src,
        packet.sport,
        packet.dst,
    )
    return head + packet.data


def decode(data: bytes) -> tuple[Packet, bool]:
    """Returns a packet and whether it is as its sender wrote it."""
    flags, _, _, checksum, seq, ack, _, dport, src, sport, dst = (
        _HEAD.unpack_from(data)
    )
    packet = Packet(flags, seq, ack, src, sport, dst, dport, data[_HEAD.size :])
    return packet, checksum == _sum(packet)
