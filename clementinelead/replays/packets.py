"""The packet format of simulations: a header without payload.

The header has the flow key (caller and service address), flags, sequence and
acknowledgement numbers and the length of the data, which is not transmitted.
"""

import struct

from clementinelead.relays import formats

__all__ = [
    "ACCEPTS",
    "CALLER_ADDRESS",
    "CLOSES",
    "FLOWS_PER_CALLER",
    "OPENS",
    "RESETS",
    "RETURNED",
    "Format",
    "build_packet",
    "flow_key",
    "mark_returned",
]

CALLER_ADDRESS = ("caller", 1)
"""Address of all callers; they are distinguished by the flow key."""

FLOWS_PER_CALLER = 3
"""Flows that a caller opens for a request, one after the other."""

OPENS, ACCEPTS, CLOSES, RESETS, RETURNED = 1, 2, 4, 8, 16
"""Flags of the header, one bit each."""

_HEADER = struct.Struct("<4s2sBIIH")
_FLAGS_OFFSET = 6


class Format:
    """Parses and builds the packets of simulations."""

    def from_caller(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a packet, None if it is too short.

        Args:
            data: The packet.
        """
        if len(data) < _HEADER.size:
            return None
        caller, address, flags, sequence, acknowledgement, length = (
            _HEADER.unpack_from(data)
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
        """Returns the service address of a flow.

        Args:
            key: Flow key.
        """
        return key[4:]

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns the address of the callers, the same for all flows.

        Args:
            key: Flow key, ignored.
        """
        return CALLER_ADDRESS

    def caller_host(self, key: bytes) -> bytes:
        """Returns the number of a flow's caller, encoded.

        Args:
            key: Flow key.
        """
        number = int.from_bytes(key[:4], "big") // FLOWS_PER_CALLER
        return number.to_bytes(4, "big")

    def reset_packet(self, segment: formats.Segment) -> bytes:
        """Returns the reset of a flow.

        Args:
            segment: Header of a caller's packet of the flow.
        """
        return build_packet(segment.key, RESETS)

    def original_packet(self, data: bytes) -> bytes:
        """Returns a packet without its ``RETURNED`` flag.

        Args:
            data: The packet that a target has returned.
        """
        flags = bytes((data[_FLAGS_OFFSET] & ~RETURNED,))
        return data[:_FLAGS_OFFSET] + flags + data[_FLAGS_OFFSET + 1 :]

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key in hexadecimal, for logs.

        Args:
            key: Flow key.
        """
        return key.hex()


def build_packet(
    key: bytes,
    flags: int = 0,
    sequence: int = 0,
    acknowledgement: int = 0,
    length: int = 0,
) -> bytes:
    """Returns a packet.

    Args:
        key: Flow key.
        flags: Sum of flags.
        sequence: Sequence number of the first byte of data.
        acknowledgement: Sequence number of the next byte that the sender
            expects; in an opening packet the number of copies sent before.
        length: Bytes of data.
    """
    return _HEADER.pack(
        key[:4], key[4:], flags, sequence, acknowledgement, length
    )


def mark_returned(data: bytes) -> bytes:
    """Returns a packet with the ``RETURNED`` flag.

    Targets return packets of flows that they don't have.

    Args:
        data: The packet.
    """
    flags = bytes((data[_FLAGS_OFFSET] | RETURNED,))
    return data[:_FLAGS_OFFSET] + flags + data[_FLAGS_OFFSET + 1 :]


def flow_key(number: int, address: bytes) -> bytes:
    """Returns the flow key of a simulated flow.

    Args:
        number: Number of the flow, below 2 ** 32.
        address: Service address, two bytes.
    """
    return number.to_bytes(4, "big") + address
