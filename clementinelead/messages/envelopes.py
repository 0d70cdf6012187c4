"""Codec of envelopes, the datagrams of the packet path.

An envelope carries a caller's packet and the route of its flow.
"""

import dataclasses
import enum
import functools
import pathlib
import typing

import capnp
import xxhash

from clementinelead import exceptions

__all__ = [
    "Candidate",
    "Envelope",
    "Phase",
    "Route",
    "candidate_id",
    "decode_envelope",
    "decode_route",
    "encode_envelope",
    "encode_placement",
    "encode_route",
]

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name("envelope.capnp")), imports=[]
)
_ROUTE_CACHE_ENTRIES = 65_536
_MAX_CANDIDATES = 64

_new_envelope = _SCHEMA.Envelope.new_message
_envelope_from_bytes = _SCHEMA.Envelope.from_bytes


class Phase(enum.IntEnum):
    """What the receiver of an envelope is requested to do.

    Attributes:
        PLACE: Place the flow; sent by a balancer to its first candidate.
        SEARCH: Find the owner of the flow, by visiting candidates in turn.
        SEARCHED: Conclude a search that has found no owner; sent back to the
            origin.
        ACCEPT: Accept the flow or pass it to the next candidate.
        FINAL: Accept or refuse the flow; sent to the least loaded candidate.
        OWNED: Process the packet as the owner of the flow.
    """

    PLACE = 0
    SEARCH = 1
    SEARCHED = 2
    ACCEPT = 3
    FINAL = 4
    OWNED = 5


_PHASES = tuple(Phase)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A side process whose target may own or accept a flow.

    Attributes:
        id: 64-bit hash of the target's identifier.
        address: IP address and UDP port that packets are sent to.
    """

    id: int
    address: tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The candidates of a bucket, in rank order.

    Attributes:
        service: Name of the service.
        revision: Configuration revision in force at the sender.
        candidates: Candidates that may accept a new flow, in rank order.
        previous: Candidates of the previous view only.
        encoded: Message that the route was decoded from, empty if none.
    """

    service: str
    revision: int
    candidates: tuple[Candidate, ...]
    previous: tuple[Candidate, ...]
    encoded: bytes = dataclasses.field(compare=False, default=b"")

    @property
    def visiting_order(self) -> tuple[Candidate, ...]:
        """All candidates that may own a flow, in the order of a search."""
        return self.candidates + self.previous


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded datagram of the packet path.

    Indices refer to the route's visiting order.

    Attributes:
        phase: What the receiver is requested to do.
        position: Index of the receiver.
        hops: Passes between side processes so far.
        origin: Index of the side process that started the search.
        least_loaded: Index of the least loaded candidate so far.
        least_load_ms: Its expected time to completion, milliseconds.
        origin_may_place: Whether the origin may place the flow after a search
            without an owner.
        route: Encoded route.
        packet: The caller's IPv4 packet.
        attempt: Number of the origin's placement attempt that the search is
            for, 0 for none.
    """

    phase: Phase
    position: int
    hops: int
    origin: int
    least_loaded: int
    least_load_ms: int
    origin_may_place: bool
    route: bytes
    packet: bytes
    attempt: int = 0


def candidate_id(identifier: str) -> int:
    """Returns the 64-bit hash that identifies a target in routes.

    Args:
        identifier: Identifier of the target.
    """
    return int(xxhash.xxh64_intdigest(identifier.encode()))


def _address_number(address: str) -> int:
    octets = [int(part) for part in address.split(".")]
    return int.from_bytes(bytes(octets), "big")


def _address_text(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def _write_candidates(
    entries: object, candidates: tuple[Candidate, ...]
) -> None:
    for entry, candidate in zip(entries, candidates, strict=True):  # type: ignore[call-overload]
        entry.id = candidate.id
        entry.address = _address_number(candidate.address[0])
        entry.port = candidate.address[1]


def _read_candidates(entries: typing.Any) -> tuple[Candidate, ...]:
    if len(entries) > _MAX_CANDIDATES:
        raise exceptions.MalformedMessageError(
            f"route has {len(entries)} candidates, more than {_MAX_CANDIDATES}"
        )
    return tuple(
        Candidate(entry.id, (_address_text(entry.address), entry.port))
        for entry in entries
    )


def encode_route(route: Route) -> bytes:
    """Returns a route as bytes.

    Args:
        route: The route.
    """
    message = _SCHEMA.Route.new_message(
        service=route.service, revision=route.revision
    )
    _write_candidates(
        message.init("candidates", len(route.candidates)), route.candidates
    )
    _write_candidates(
        message.init("previous", len(route.previous)), route.previous
    )
    return bytes(message.to_bytes())


@functools.lru_cache(maxsize=_ROUTE_CACHE_ENTRIES)
def decode_route(data: bytes) -> Route:
    """Returns the route in a message.

    Decoded routes are cached by their bytes, as there are few distinct ones.

    Args:
        data: Bytes of the message.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a valid route, or
            it has no candidate or too many.
    """
    try:
        with _SCHEMA.Route.from_bytes(data) as message:
            route = Route(
                service=message.service,
                revision=message.revision,
                candidates=_read_candidates(message.candidates),
                previous=_read_candidates(message.previous),
                encoded=data,
            )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error
    if not route.candidates or len(route.visiting_order) > _MAX_CANDIDATES:
        raise exceptions.MalformedMessageError(
            f"route has no candidate or more than {_MAX_CANDIDATES} in total"
        )
    return route


def encode_placement(route: bytes, packet: bytes) -> bytes:
    """Returns the envelope that a balancer sends, as bytes.

    Its phase is PLACE; all other fields have their default.

    Args:
        route: Encoded route.
        packet: The caller's IPv4 packet.
    """
    message = _new_envelope()
    message.route = route
    message.packet = packet
    return message.to_bytes()


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns an envelope as bytes.

    Args:
        envelope: The envelope.
    """
    message = _new_envelope(
        phase=int(envelope.phase),
        position=envelope.position,
        hops=envelope.hops,
        origin=envelope.origin,
        least=envelope.least_loaded,
        leastLoad=envelope.least_load_ms,
        decides=envelope.origin_may_place,
        route=envelope.route,
        packet=envelope.packet,
        attempt=envelope.attempt,
    )
    return bytes(message.to_bytes())


def decode_packet(data: bytes) -> bytes:
    """Returns only the packet in an envelope.

    This is the fast path for packets of flows that the target already owns.

    Args:
        data: Bytes of the datagram.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a valid envelope.
    """
    try:
        with _envelope_from_bytes(data) as message:
            return message.packet
    except (capnp.KjException, ValueError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope in a datagram.

    Args:
        data: Bytes of the datagram.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a valid envelope.
    """
    try:
        with _envelope_from_bytes(data) as message:
            return Envelope(
                phase=_PHASES[message.phase.raw],
                position=message.position,
                hops=message.hops,
                origin=message.origin,
                least_loaded=message.least,
                least_load_ms=message.leastLoad,
                origin_may_place=message.decides,
                route=message.route,
                packet=message.packet,
                attempt=message.attempt,
            )
    except (capnp.KjException, ValueError, IndexError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error
