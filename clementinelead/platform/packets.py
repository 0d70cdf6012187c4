"""Packet format of the platform.

A packet is a 36-byte header and up to 1,200 bytes of data. Numbers in the
header are little-endian.
"""

import ipaddress
import struct

from clementinelead.relays import formats

__all__ = ["HEADER_BYTES", "PlatformFormat", "address_bytes", "service_text"]

HEADER_BYTES = 36
MAX_DATA_BYTES = 1_200

_SYN = 32
_ACK = 1
_FIN = 16
_RST = 8
_RETURNED = 4  # set by a target that returns a packet
_KNOWN_FLAGS = _SYN | _ACK | _FIN | _RST | _RETURNED

_PAD = slice(1, 6)
# flags, pad, len, sum, seq, ack, echo, dport, src, sport, dst
_HEADER = struct.Struct("<B5xHIIIIH4sH4s")
_LENGTH_OFFSET = 6
_KEY = slice(24, 36)  # dport, src, sport, dst: contiguous in the header
_DESTINATION_PORT = slice(24, 26)
_SOURCE_ADDRESS = slice(26, 30)
_SOURCE_PORT = slice(30, 32)
_DESTINATION_ADDRESS = slice(32, 36)


def address_bytes(host: str, port: int) -> bytes:
    """Returns the address and port of a service as they are in flow keys.

    Args:
        host: IPv4 address in dotted form.
        port: Port number.

    Raises:
        ValueError: The host is not an IPv4 address or the port is out of
            range.

    Examples:
        >>> address_bytes("198.18.0.1", 443).hex()
        'bb01010012c6'
    """
    # Addresses are numbers in the header, little-endian like its other fields.
    number = int(ipaddress.IPv4Address(host))
    try:
        return port.to_bytes(2, "little") + number.to_bytes(4, "little")
    except OverflowError as error:
        raise ValueError(f"port {port} is out of range") from error


def service_text(address: bytes) -> str:
    """Returns an address of ``address_bytes`` as text.

    Args:
        address: Port and IPv4 address as they are in flow keys.

    Examples:
        >>> service_text(address_bytes("198.18.0.1", 443))
        '198.18.0.1:443'
    """
    port = int.from_bytes(address[:2], "little")
    return f"{_address_text(address[2:])}:{port}"


def _address_text(address: bytes) -> str:
    """Returns an address of a header in dotted form."""
    return f"{address[3]}.{address[2]}.{address[1]}.{address[0]}"


class PlatformFormat:
    """Parses and builds packets in the format of the platform.

    Args:
        caller_port: UDP port on which all callers receive packets.
    """

    def __init__(self, caller_port: int):
        self._caller_port = caller_port

    def from_caller(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a caller's packet, None if it is malformed.

        Args:
            data: The packet.
        """
        return _segment(data, data[_KEY])

    def from_target(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a target's packet, None if it is malformed.

        A packet with the flag for returned packets was sent by a caller, so
        its key is read as that of a caller's packet.

        Args:
            data: The packet.
        """
        if data and data[0] & _RETURNED:
            return _segment(data, data[_KEY])
        key = (
            data[_SOURCE_PORT]
            + data[_DESTINATION_ADDRESS]
            + data[_DESTINATION_PORT]
            + data[_SOURCE_ADDRESS]
        )
        return _segment(data, key)

    def service_address(self, key: bytes) -> bytes:
        """Returns the address and port of the service in a flow key.

        Args:
            key: Flow key.
        """
        return key[0:2] + key[8:12]

    def caller_host(self, key: bytes) -> bytes:
        """Returns the address of a flow's caller, without the port.

        Args:
            key: Flow key.
        """
        return key[2:6]

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns the IP address and UDP port of the caller of a flow.

        Args:
            key: Flow key.
        """
        return _address_text(key[2:6]), self._caller_port

    def reset_packet(self, segment: formats.Segment) -> bytes:
        """Returns a packet from the service to the caller that resets the flow.

        Its checksum is 0.

        Args:
            segment: Header of the caller's packet.
        """
        key = segment.key
        service_port, caller_host = key[0:2], key[2:6]
        caller_port, service_host = key[6:8], key[8:12]
        # len, sum, seq, ack, echo
        numbers = struct.pack("<HIIII", 0, 0, segment.acknowledgement, 0, 0)
        addresses = caller_port + service_host + service_port + caller_host
        return bytes((_RST,)) + bytes(5) + numbers + addresses

    def original_packet(self, data: bytes) -> bytes:
        """Returns a returned packet with the flag for returned packets cleared.

        Args:
            data: The returned packet.
        """
        return bytes((data[0] & ~_RETURNED,)) + data[1:]

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key as text for logs: ``caller>service``.

        Args:
            key: Flow key.
        """
        caller_port = int.from_bytes(key[6:8], "little")
        service_port = int.from_bytes(key[0:2], "little")
        caller = f"{_address_text(key[2:6])}:{caller_port}"
        return f"{caller}>{_address_text(key[8:12])}:{service_port}"


def _segment(data: bytes, key: bytes) -> formats.Segment | None:
    """Returns the header of a packet, None if it is malformed.

    Args:
        data: The packet.
        key: Flow key of the packet.
    """
    size = len(data)
    if size < HEADER_BYTES or size > HEADER_BYTES + MAX_DATA_BYTES:
        return None
    flags, length, _, sequence, acknowledgement, _, _, _, _, _ = (
        _HEADER.unpack_from(data)
    )
    if length != size - HEADER_BYTES or flags & ~_KNOWN_FLAGS:
        return None
    syn = bool(flags & _SYN)
    ack = bool(flags & _ACK)
    return formats.Segment(
        key=key,
        opens=syn and not ack,
        # On an opening packet this field counts the copies sent before.
        copies=acknowledgement if syn and not ack else 0,
        accepts=syn and ack,
        closes=bool(flags & _FIN),
        resets=bool(flags & _RST),
        returned=bool(flags & _RETURNED),
        sequence=sequence,
        acknowledgement=acknowledgement,
        length=length,
    )
