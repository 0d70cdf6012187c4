"""Flow keys and header fields of IPv4 packets that carry TCP or UDP."""

import enum
import ipaddress
import struct

__all__ = [
    "DropCause",
    "FlowKey",
    "flow_key",
    "format_flow_key",
    "may_start_flow",
    "service_key",
    "service_key_of_flow",
    "tcp_flags",
    "tcp_sequence",
]

FlowKey = bytes
"""Source and destination address, both ports, protocol: 13 bytes."""

PROTOCOL_TCP = 6
PROTOCOL_UDP = 17
PROTOCOL_BY_NAME = {"tcp": PROTOCOL_TCP, "udp": PROTOCOL_UDP}

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

MAX_PACKET_BYTES = 8_000
_MIN_IP_HEADER_BYTES = 20
_TCP_HEADER_BYTES = 20
_UDP_HEADER_BYTES = 8
_FRAGMENT_MASK = 0x3FFF  # more-fragments bit and fragment offset
_FIRST_BYTE_WITHOUT_OPTIONS = 0x45  # version 4, header of 20 bytes

_unpack_prefix = struct.Struct("!BxHxxHxB").unpack_from


class DropCause(enum.Enum):
    """Cause for which a packet was dropped; the value is a metric label."""

    TRUNCATED = "truncated"
    NOT_IPV4 = "not_ipv4"
    FRAGMENT = "fragment"
    OVERSIZE = "oversize"
    PROTOCOL = "protocol"
    NO_SERVICE = "no_service"
    NO_TARGET = "no_target"
    ENVELOPE = "envelope"
    FOREIGN = "foreign"
    HOP_BUDGET = "hop_budget"
    NO_OWNER = "no_owner"
    DISTRUST = "distrust"
    RECOVERING = "recovering"
    OTHER_DECIDES = "other_decides"
    SYN_PAYLOAD = "syn_payload"


def flow_key(packet: bytes) -> FlowKey | DropCause:
    """Returns the flow key of a caller's packet, or the cause to drop it.

    Balancers and side processes call this for every packet, so it reads only
    the few fields that it needs and allocates one ``bytes`` object.

    Args:
        packet: A whole IPv4 packet.

    Examples:
        >>> flow_key(b"")
        <DropCause.TRUNCATED: 'truncated'>
    """
    size = len(packet)
    if size < _MIN_IP_HEADER_BYTES + _UDP_HEADER_BYTES:
        return DropCause.TRUNCATED
    first_byte, total_bytes, fragment, protocol = _unpack_prefix(packet)
    if first_byte == _FIRST_BYTE_WITHOUT_OPTIONS:
        header_bytes = _MIN_IP_HEADER_BYTES
    else:
        if first_byte >> 4 != 4 or first_byte & 0x0F < 5:
            return DropCause.NOT_IPV4
        header_bytes = (first_byte & 0x0F) * 4
    if size > MAX_PACKET_BYTES:
        return DropCause.OVERSIZE
    if total_bytes != size:
        return DropCause.TRUNCATED
    if fragment & _FRAGMENT_MASK:
        return DropCause.FRAGMENT
    if protocol == PROTOCOL_TCP:
        if size < header_bytes + _TCP_HEADER_BYTES:
            return DropCause.TRUNCATED
    elif protocol != PROTOCOL_UDP:
        return DropCause.PROTOCOL
    elif size < header_bytes + _UDP_HEADER_BYTES:
        return DropCause.TRUNCATED
    if header_bytes == _MIN_IP_HEADER_BYTES:
        return packet[12:24] + packet[9:10]
    return (
        packet[12:20] + packet[header_bytes : header_bytes + 4] + packet[9:10]
    )


def service_key(address: str, port: int, protocol: str) -> bytes:
    """Returns address, port and protocol of a service as they are in flow keys.

    Args:
        address: IPv4 address in dotted form.
        port: Port number.
        protocol: ``tcp`` or ``udp``.

    Raises:
        ValueError: The address is not an IPv4 address.
        OverflowError: The port is out of range.
        KeyError: The protocol is unknown.
    """
    packed = ipaddress.IPv4Address(address).packed
    number = PROTOCOL_BY_NAME[protocol]
    return packed + port.to_bytes(2, "big") + bytes((number,))


def service_key_of_flow(key: FlowKey) -> bytes:
    """Returns the service key of a flow: its destination and protocol.

    Args:
        key: Flow key.
    """
    return key[4:8] + key[10:13]


def format_flow_key(key: FlowKey) -> str:
    """Returns a flow key as text for logs.

    Args:
        key: Flow key.

    Examples:
        >>> format_flow_key(bytes([10, 0, 0, 1, 10, 9, 0, 1, 0, 80, 1, 0, 6]))
        'tcp 10.0.0.1:80>10.9.0.1:256'
    """
    name = "tcp" if key[12] == PROTOCOL_TCP else "udp"
    source = ipaddress.IPv4Address(key[0:4])
    destination = ipaddress.IPv4Address(key[4:8])
    source_port = int.from_bytes(key[8:10], "big")
    destination_port = int.from_bytes(key[10:12], "big")
    return f"{name} {source}:{source_port}>{destination}:{destination_port}"


def _header_bytes(packet: bytes) -> int:
    """Returns the length of the IPv4 header, bytes."""
    return (packet[0] & 0x0F) * 4


def tcp_flags(packet: bytes) -> int:
    """Returns the TCP flags of a packet.

    Args:
        packet: A TCP packet that has a flow key.
    """
    return packet[_header_bytes(packet) + 13]


def tcp_sequence(packet: bytes) -> int:
    """Returns the TCP sequence number of a packet.

    Args:
        packet: A TCP packet that has a flow key.
    """
    start = _header_bytes(packet) + 4
    return int.from_bytes(packet[start : start + 4], "big")


def tcp_payload_bytes(packet: bytes) -> int:
    """Returns the length of a TCP packet's payload, bytes.

    Args:
        packet: A TCP packet that has a flow key.
    """
    start = _header_bytes(packet)
    tcp_header_bytes = (packet[start + 12] >> 4) * 4
    return max(0, len(packet) - start - tcp_header_bytes)


def may_start_flow(packet: bytes, key: FlowKey) -> bool:
    """Returns whether a packet may be the first one of a flow.

    This is so for a TCP SYN without ACK, and for any UDP datagram, since UDP
    does not mark the first one.

    Args:
        packet: The packet.
        key: Its flow key.
    """
    if key[12] == PROTOCOL_UDP:
        return True
    return tcp_flags(packet) & (SYN | ACK) == SYN
