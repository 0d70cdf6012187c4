"""Datagrams between balancers and side processes about callers' flows.

A datagram has a header of fixed size, a flow key and a payload. It is packed
with ``struct`` instead of Cap'n Proto for speed, because each packet of a
caller is sent in one.
"""

import enum
import struct

import msgspec
import xxhash

__all__ = [
    "MAX_KEYS_PER_FRAME",
    "NOT_ACCEPTING",
    "Frame",
    "Kind",
    "decode",
    "encode",
    "join_keys",
    "service_number",
    "split_keys",
]


class Kind(enum.IntEnum):
    """Kinds of datagrams; the comments name the sender and the meaning."""

    PACKET = 1  # balancer: packet of a flow that the target holds
    PLACE = 2  # balancer: opening packet for the target to accept
    PROBE = 3  # balancer: packet of a flow that the target may hold
    QUERY_LOAD = 4  # balancer: query for the load of a new flow
    LOAD = 5  # side process: load of the target, milliseconds
    ACCEPTED = 6  # side process: the target has accepted a flow
    REFUSED = 7  # side process: the target can't accept the flow
    NOT_HELD = 8  # side process: returned packet of a flow not held
    QUERY_HELD = 9  # balancer: query for the flows of a list that are held
    HELD = 10  # side process: the target holds these flows
    ABSENT = 11  # side process: the target does not hold these flows
    UNSURE = 12  # side process: the target may hold these flows; its age or 0
    BUSY = 13  # side process: as LOAD; a new flow should wait
    DEFERRED = 14  # side process: opening packet not sent to the busy target


NOT_ACCEPTING = 0xFFFF_FFFF
"""Load value of a target that accepts no new flows."""

MAX_KEYS_PER_FRAME = 64
"""Keys in a datagram, so that it fits into an Ethernet frame."""

_MAGIC = 0xC1
# Magic number, kind, reserved, length of the key, service, value.
_HEADER = struct.Struct("<BBBBQI")
_HEADER_BYTES = _HEADER.size
_KIND_BY_NUMBER = {int(kind): kind for kind in Kind}


class Frame(msgspec.Struct, frozen=True):
    """A decoded datagram.

    Attributes:
        kind: Kind of the datagram.
        service: Number of the service, see ``service_number``.
        value: Load, latency objective or age of a process, milliseconds, or
            the initial sequence number of a target, depending on ``kind``.
        key: Flow key.
        payload: Packet, or keys of several flows, see ``join_keys``.
    """

    kind: Kind
    service: int
    value: int
    key: bytes
    payload: bytes


def service_number(name: str) -> int:
    """Returns the number that identifies a service in datagrams.

    Args:
        name: Name of the service.

    Examples:
        >>> service_number("whois") == service_number("whois")
        True
    """
    return int(xxhash.xxh3_64_intdigest(name.encode()))


def encode(
    kind: Kind, service: int, key: bytes, payload: bytes = b"", value: int = 0
) -> bytes:
    """Encodes a datagram.

    Args:
        kind: Kind of the datagram.
        service: Number of the service.
        key: Flow key, at most 255 bytes.
        payload: Packet, or keys of several flows, see ``join_keys``.
        value: Load, latency objective, age or sequence number, 32 bits.
    """
    header = _HEADER.pack(_MAGIC, kind, 0, len(key), service, value)
    return header + key + payload


def decode(data: bytes) -> Frame | None:
    """Decodes a datagram.

    Args:
        data: The datagram.

    Returns:
        Its content, None if it is malformed.

    Examples:
        >>> decode(encode(Kind.LOAD, 7, b"key", value=12)).value
        12
        >>> decode(b"anything")
    """
    if len(data) < _HEADER_BYTES:
        return None
    magic, number, _, key_bytes, service, value = _HEADER.unpack_from(data)
    kind = _KIND_BY_NUMBER.get(number)
    if magic != _MAGIC or kind is None:
        return None
    end = _HEADER_BYTES + key_bytes
    if len(data) < end:
        return None
    return Frame(kind, service, value, data[_HEADER_BYTES:end], data[end:])


def join_keys(keys: list[bytes]) -> bytes:
    """Returns the payload that contains several keys.

    Args:
        keys: Flow keys of equal length, at most ``MAX_KEYS_PER_FRAME``.
    """
    return b"".join(keys)


def split_keys(payload: bytes, key_bytes: int) -> list[bytes] | None:
    """Returns the keys that a payload contains.

    Args:
        payload: Payload made by ``join_keys``.
        key_bytes: Length of a key, bytes.

    Returns:
        The keys, None if the payload is malformed.

    Examples:
        >>> split_keys(b"aabb", 2)
        [b'aa', b'bb']
        >>> split_keys(b"aab", 2)
    """
    if key_bytes <= 0 or len(payload) % key_bytes:
        return None
    if len(payload) > key_bytes * MAX_KEYS_PER_FRAME:
        return None
    return [
        payload[start : start + key_bytes]
        for start in range(0, len(payload), key_bytes)
    ]
