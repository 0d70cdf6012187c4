"""The platform's packets: a 36-byte header and up to 1,200 bytes of data."""

import ipaddress
import struct

from clementinelead.relays import formats

__all__ = ["HEADER_BYTES", "PlatformFormat"]

HEADER_BYTES = 36
MAX_DATA_BYTES = 1_200

_SYN = 32
_ACK = 1
_FIN = 16
_RST = 8
_BOUNCED = 4  # set by a target that returns a packet
_KNOWN = _SYN | _ACK | _FIN | _RST | _BOUNCED

_PAD = slice(1, 6)
# flags, pad, len, sum, seq, ack, echo, dport, src, sport, dst
_HEADER = struct.Struct("<B5xHIIIIH4sH4s")
_LENGTH_OFFSET = 6
_KEY = slice(24, 36)  # dport, src, sport, dst: contiguous in the header
_DPORT = slice(24, 26)
_SRC = slice(26, 30)
_SPORT = slice(30, 32)
_DST = slice(32, 36)


def address_bytes(host: str, port: int) -> bytes:
    """Returns a service's address as flow keys spell it.

    Args:
        host: IPv4 address as text.
        port: Port number.

    Raises:
        ValueError: The host is no IPv4 address or the port out of range.

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


def _host(raw: bytes) -> str:
    return f"{raw[3]}.{raw[2]}.{raw[1]}.{raw[0]}"


class PlatformFormat:
    """Reads and writes these packets.

    Args:
        caller_port: UDP port at which all callers take packets.
    """

    def __init__(self, caller_port: int):
        self._caller_port = caller_port

    def from_caller(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a caller's packet, None if malformed."""
        return _segment(data, data[_KEY])

    def from_target(self, data: bytes) -> formats.Segment | None:
        """Returns the header of a target's packet, None if malformed.

        A returned packet is a caller's and keeps the caller's direction.
        """
        if data and data[0] & _BOUNCED:
            return _segment(data, data[_KEY])
        key = data[_SPORT] + data[_DST] + data[_DPORT] + data[_SRC]
        return _segment(data, key)

    def service_address(self, key: bytes) -> bytes:
        """Returns the part of a flow key that names the service's address."""
        return key[0:2] + key[8:12]

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns where packets for a flow's caller are sent."""
        return _host(key[2:6]), self._caller_port

    def reset_packet(self, segment: formats.Segment) -> bytes:
        """Returns a reset in the service's name, with the checksum 0."""
        key = segment.key
        dport, src, sport, dst = key[0:2], key[2:6], key[6:8], key[8:12]
        numbers = struct.pack("<HIIII", 0, 0, segment.acknowledgement, 0, 0)
        return b"\x08" + bytes(5) + numbers + sport + dst + dport + src

    def original_packet(self, data: bytes) -> bytes:
        """Returns a returned packet without the mark of its return."""
        return bytes((data[0] & ~_BOUNCED,)) + data[1:]

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key as logs show it."""
        caller_port = int.from_bytes(key[6:8], "little")
        service_port = int.from_bytes(key[0:2], "little")
        caller = f"{_host(key[2:6])}:{caller_port}"
        return f"{caller}>{_host(key[8:12])}:{service_port}"


def _segment(data: bytes, key: bytes) -> formats.Segment | None:
    size = len(data)
    if size < HEADER_BYTES or size > HEADER_BYTES + MAX_DATA_BYTES:
        return None
    flags, length, _, sequence, acknowledgement, _, _, _, _, _ = (
        _HEADER.unpack_from(data)
    )
    if length != size - HEADER_BYTES or flags & ~_KNOWN:
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
        returned=bool(flags & _BOUNCED),
        sequence=sequence,
        acknowledgement=acknowledgement,
        length=length,
    )
