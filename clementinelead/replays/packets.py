"""The packet format of replays: caller, service address, flags, numbers."""

import struct

from clementinelead.relays import formats

__all__ = [
    "ACCEPTS",
    "CALLER_ADDRESS",
    "CLOSES",
    "OPENS",
    "RESETS",
    "RETURNED",
    "Format",
    "build_packet",
    "flow_key",
    "mark_returned",
]

CALLER_ADDRESS = ("caller", 1)
"""Where all callers take packets; a flow's key tells which one it is for."""

OPENS, ACCEPTS, CLOSES, RESETS, RETURNED = 1, 2, 4, 8, 16

_HEAD = struct.Struct("<4s2sBIIH")
_FLAGS_AT = 6


class Format:
    """Reads and writes packets of a header alone; data is only counted."""

    def from_caller(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a packet, None if it is too short."""
        if len(data) < _HEAD.size:
            return None
        caller, address, flags, sequence, acknowledgement, length = (
            _HEAD.unpack_from(data)
        )
        return formats.Segment(
            key=caller + address,
            opens=bool(flags & OPENS),
            copies=acknowledgement if flags & OPENS else 0,
            accepts=bool(flags & ACCEPTS),
            closes=bool(flags & CLOSES),
            resets=bool(flags & RESETS),
            returned=bool(flags & RETURNED),
            sequence=sequence,
            acknowledgement=acknowledgement,
            length=length,
        )

    from_target = from_caller

    def service_address(self, key: bytes) -> bytes:
        """Returns the address that a caller of a flow has called."""
        return key[4:]

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns where packets for callers go."""
        return CALLER_ADDRESS

    def reset_packet(self, segment: formats.Segment) -> bytes:
        """Returns the packet that ends the flow of a caller's packet."""
        return build_packet(segment.key, RESETS)

    def original_packet(self, data: bytes) -> bytes:
        """Returns a returned packet as its sender wrote it."""
        flags = bytes((data[_FLAGS_AT] & ~RETURNED,))
        return data[:_FLAGS_AT] + flags + data[_FLAGS_AT + 1 :]

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key as logs show it."""
        return key.hex()


def build_packet(
    key: bytes,
    flags: int = 0,
    sequence: int = 0,
    acknowledgement: int = 0,
    length: int = 0,
) -> bytes:
    """Returns a packet of a flow.

    Args:
        key: Flow key.
        flags: Sum of the flags above.
        sequence: Number of the first byte of data.
        acknowledgement: Number of the next byte that the sender expects; in
            an opening packet the number of copies sent before.
        length: Bytes of data.
    """
    return _HEAD.pack(
        key[:4], key[4:], flags, sequence, acknowledgement, length
    )


def mark_returned(data: bytes) -> bytes:
    """Returns a packet as a target returns one that is not its own."""
    flags = bytes((data[_FLAGS_AT] | RETURNED,))
    return data[:_FLAGS_AT] + flags + data[_FLAGS_AT + 1 :]


def flow_key(number: int, address: bytes) -> bytes:
    """Returns a flow key.

    Args:
        number: Number of the flow, below 2 ** 32.
        address: Service address, two bytes.
    """
    return number.to_bytes(4, "big") + address
