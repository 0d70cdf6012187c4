"""Packet codec of callers and targets, independent of the product's codec."""

import dataclasses
import struct

__all__ = ["ACK", "FIN", "RETURNED", "RST", "SYN", "Packet", "decode", "encode"]

SYN, ACK, FIN, RST, RETURNED = 32, 1, 16, 8, 4
_HEADER = struct.Struct("<B5sHIIIIHIHI")


@dataclasses.dataclass(frozen=True)
class Packet:
    """A packet.

    Attributes:
        flags: Bitwise or of the flags of this module.
        seq: Sequence number.
        ack: Acknowledgement number.
        src: IPv4 address of the sender, as a number.
        sport: Port of the sender.
        dst: IPv4 address of the receiver, as a number.
        dport: Port of the receiver.
        data: Data after the header.
    """

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
        """Address and port of the sender, then those of the receiver."""
        return self.src, self.sport, self.dst, self.dport


def _checksum(packet: Packet) -> int:
    """Returns a checksum of all fields that must arrive unchanged."""
    content = (packet.flow, packet.seq, packet.ack, packet.data)
    flags = packet.flags & ~RETURNED
    return hash((flags, content)) & 0xFFFF_FFFF


def encode(packet: Packet) -> bytes:
    """Returns a packet as bytes, with its checksum."""
    header = _HEADER.pack(
        packet.flags,
        bytes(5),
        len(packet.data),
        _checksum(packet),
        packet.seq,
        packet.ack,
        0,
        packet.dport,
        packet.src,
        packet.sport,
        packet.dst,
    )
    return header + packet.data


def decode(data: bytes) -> tuple[Packet, bool]:
    """Returns a packet and whether its checksum matches.

    Args:
        data: Bytes of the packet.
    """
    flags, _, _, checksum, seq, ack, _, dport, src, sport, dst = (
        _HEADER.unpack_from(data)
    )
    packet = Packet(
        flags, seq, ack, src, sport, dst, dport, data[_HEADER.size :]
    )
    return packet, checksum == _checksum(packet)
