"""Datagrams between balancers and side processes about callers' flows.

A fixed head and, after it, a flow key and a packet. They are written with
``struct``, not Cap'n Proto: each packet of a caller is one of them.
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
    """What a datagram asks or says."""

    PACKET = 1  # balancer: a packet of a flow that the receiver holds
    PLACE = 2  # balancer: an opening packet that the receiver is to accept
    PROBE = 3  # balancer: a packet of a flow that the receiver may hold
    QUERY_LOAD = 4  # balancer: what would a flow with this objective cost?
    LOAD = 5  # side process: expected completion, milliseconds
    ACCEPTED = 6  # side process: its target has answered an opening packet
    REFUSED = 7  # side process: the target can't take the flow
    NOT_HELD = 8  # side process: returns a packet of a flow not held
    QUERY_HELD = 9  # balancer: which of these flows are held there?
    HELD = 10  # side process: these flows are
    ABSENT = 11  # side process: these flows are not
    UNSURE = 12  # side process: its target may hold these flows
    BUSY = 13  # side process: as LOAD, but a new flow had better wait
    DEFERRED = 14  # side process: an opening packet has to wait; not handed on


NOT_ACCEPTING = 0xFFFF_FFFF
"""Load of a target that takes no new flow."""

MAX_KEYS_PER_FRAME = (
    64  # keys in a datagram, so that it fits into an Ethernet frame
)

_MAGIC = 0xC1
_HEAD = struct.Struct("<BBBBQI")  # magic, kind, reserved, key bytes, ...
_HEAD_BYTES = _HEAD.size
_KINDS = {int(kind): kind for kind in Kind}


class Frame(msgspec.Struct, frozen=True):
    """A decoded datagram.

    Attributes:
        kind: What it asks or says.
        service: Number of the service, see ``service_number``.
        value: Load or latency objective, milliseconds, or the sequence number
            that a target chose, depending on ``kind``.
        key: Flow key.
        payload: Packet, or several keys.
    """

    kind: Kind
    service: int
    value: int
    key: bytes
    payload: bytes


def service_number(name: str) -> int:
    """Returns the number that stands for a service in datagrams.

    Examples:
        >>> service_number("whois") == service_number("whois")
        True
    """
    return int(xxhash.xxh3_64_intdigest(name.encode()))


def encode(
    kind: Kind, service: int, key: bytes, payload: bytes = b"", value: int = 0
) -> bytes:
    """Returns a datagram.

    Args:
        kind: What it asks or says.
        service: Number of the service.
        key: Flow key, at most 255 bytes.
        payload: Packet, or several keys.
        value: Load or sequence number, 32 bits.
    """
    head = _HEAD.pack(_MAGIC, kind, 0, len(key), service, value)
    return head + key + payload


def decode(data: bytes) -> Frame | None:
    """Returns the content of a datagram, None if it is malformed.

    Examples:
        >>> decode(encode(Kind.LOAD, 7, b"key", value=12)).value
        12
        >>> decode(b"anything")
    """
    if len(data) < _HEAD_BYTES:
        return None
    magic, number, _, key_bytes, service, value = _HEAD.unpack_from(data)
    kind = _KINDS.get(number)
    if magic != _MAGIC or kind is None:
        return None
    end = _HEAD_BYTES + key_bytes
    if len(data) < end:
        return None
    return Frame(kind, service, value, data[_HEAD_BYTES:end], data[end:])


def join_keys(keys: list[bytes]) -> bytes:
    """Returns the payload that holds several keys of equal length."""
    return b"".join(keys)


def split_keys(payload: bytes, key_bytes: int) -> list[bytes] | None:
    """Returns the keys of a payload, None if it is malformed.

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
