"""Envelopes of the packet path: a route and a caller's packet."""

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
    """What the receiver of an envelope is asked to do."""

    PLACE = 0
    SEARCH = 1
    SEARCHED = 2
    ACCEPT = 3
    FINAL = 4
    OWNED = 5


_PHASES = tuple(Phase)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A side process that may hold or accept a flow.

    Attributes:
        id: Hash of the target's identifier.
        address: IP address and UDP port of its packet path.
    """

    id: int
    address: tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The candidates of a bucket, in rank order.

    Attributes:
        service: Name of the service.
        revision: Configuration revision of the sender.
        candidates: Targets that may accept a new flow.
        previous: Targets that were candidates in the previous view only.
        encoded: The message that the route was decoded from.
    """

    service: str
    revision: int
    candidates: tuple[Candidate, ...]
    previous: tuple[Candidate, ...]
    encoded: bytes = dataclasses.field(compare=False, default=b"")

    @property
    def visiting_order(self) -> tuple[Candidate, ...]:
        """All candidates that may hold a flow, in visiting order."""
        return self.candidates + self.previous


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded datagram of the packet path."""

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
    """Returns the number that stands for a target in routes."""
    return int(xxhash.xxh64_intdigest(identifier.encode()))


def _address_number(address: str) -> int:
    octets = [int(part) for part in address.split(".")]
    return int.from_bytes(bytes(octets), "big")


def _address_text(number: int) -> str:
    return ".".join(str(octet) for octet in number.to_bytes(4, "big"))


def _write(entries: object, candidates: tuple[Candidate, ...]) -> None:
    for entry, candidate in zip(entries, candidates, strict=True):  # type: ignore[call-overload]
        entry.id = candidate.id
        entry.address = _address_number(candidate.address[0])
        entry.port = candidate.address[1]


def _read(entries: typing.Any) -> tuple[Candidate, ...]:
    if len(entries) > _MAX_CANDIDATES:
        raise exceptions.MalformedMessageError(f"{len(entries)} candidates")
    return tuple(
        Candidate(entry.id, (_address_text(entry.address), entry.port))
        for entry in entries
    )


def encode_route(route: Route) -> bytes:
    """Returns the message of a route."""
    message = _SCHEMA.Route.new_message(
        service=route.service, revision=route.revision
    )
    _write(message.init("candidates", len(route.candidates)), route.candidates)
    _write(message.init("previous", len(route.previous)), route.previous)
    return bytes(message.to_bytes())


@functools.lru_cache(maxsize=_ROUTE_CACHE_ENTRIES)
def decode_route(data: bytes) -> Route:
    """Returns the route that a message holds.

    Few distinct routes exist, so decoded ones are cached by their bytes.

    Raises:
        exceptions.MalformedMessageError: The bytes are not a usable route.
    """
    try:
        with _SCHEMA.Route.from_bytes(data) as message:
            route = Route(
                service=message.service,
                revision=message.revision,
                candidates=_read(message.candidates),
                previous=_read(message.previous),
                encoded=data,
            )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error
    if not route.candidates or len(route.visiting_order) > _MAX_CANDIDATES:
        raise exceptions.MalformedMessageError("number of candidates")
    return route


def encode_placement(route: bytes, packet: bytes) -> bytes:
    """Returns the envelope that a balancer sends; all else is default."""
    message = _new_envelope()
    message.route = route
    message.packet = packet
    return message.to_bytes()


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the message of an envelope."""
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
    """Returns only the packet of an envelope: the path of held flows.

    Raises:
        exceptions.MalformedMessageError: The bytes are not an envelope.
    """
    try:
        with _envelope_from_bytes(data) as message:
            return message.packet
    except (capnp.KjException, ValueError) as error:
        raise exceptions.MalformedMessageError(str(error)) from error


def decode_envelope(data: bytes) -> Envelope:
    """Returns the envelope that a datagram holds.

    Raises:
        exceptions.MalformedMessageError: The bytes are not an envelope.
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
