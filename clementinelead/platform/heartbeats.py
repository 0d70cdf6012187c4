"""HTTP handlers for the heartbeats of the target beside a side process."""

import typing

import loguru
import msgspec

from clementinelead import decoding
from clementinelead.processes import http_site
from clementinelead.processes import relay_side
from clementinelead.relays import announcements

__all__ = ["INSTANCES_PREFIX", "HeartbeatHandlers", "TargetPlace", "decode"]

INSTANCES_PREFIX = "/instances/"

_MS_PER_S = 1000.0
_DRAINING = "draining"
_REFUSED = (
    announcements.UpdateResult.STALE,
    announcements.UpdateResult.OTHER_SERVICE,
)


_MAX_CAPACITY = 2**31 - 1
_MAX_WARMUP_MS = 86_400_000.0  # one day


class _Heartbeat(msgspec.Struct):
    service: str
    address: str  # IP address and port at which the target receives packets
    zone: str
    version: str  # of the target's software
    # Largest number of concurrent requests.
    capacity: typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_CAPACITY)]
    state: typing.Literal["ready", "draining"]
    sequence: decoding.Count
    born: decoding.Count  # start of the incarnation, milliseconds since 1970
    warmup_left_ms: typing.Annotated[float, msgspec.Meta(le=_MAX_WARMUP_MS)]


class _Departure(msgspec.Struct):
    born: decoding.Count | None = None


class TargetPlace(msgspec.Struct, frozen=True):
    """Where the target of a side process runs.

    Attributes:
        endpoint: IP address and UDP port where it receives packets.
        zone: Its availability zone.
    """

    endpoint: tuple[str, int]
    zone: str


def decode(
    identifier: str, body: bytes, place: TargetPlace
) -> announcements.Heartbeat:
    """Returns the heartbeat that a request of the target carries.

    A negative warm-up time counts as 0.

    Args:
        identifier: Identifier of the target, from the path of the request.
        body: JSON body of the request.
        place: Where the target runs.

    Raises:
        ValueError: The body is malformed, a field is missing or out of range,
            the identifier is empty, or the sender runs elsewhere.
    """
    heartbeat = decoding.decode_json(body, _Heartbeat)
    if not identifier:
        raise ValueError("empty identifier")
    host, port = place.endpoint
    if heartbeat.address != f"{host}:{port}" or heartbeat.zone != place.zone:
        raise ValueError(
            f"sender at {heartbeat.address} in zone {heartbeat.zone}"
            f" is not the target at {host}:{port} in zone {place.zone}"
        )
    return announcements.Heartbeat(
        id=identifier,
        started_ms=heartbeat.born,
        sequence=heartbeat.sequence,
        service=heartbeat.service,
        slots=heartbeat.capacity,
        draining=heartbeat.state == _DRAINING,
        warmup_s=max(0.0, heartbeat.warmup_left_ms) / _MS_PER_S,
    )


class HeartbeatHandlers:
    """Handles heartbeats and departures of the target of a side process.

    Responses have status 400 if a request is malformed, 409 if it is stale or
    for another service, and 200 otherwise.
    """

    def __init__(self, side: relay_side.RelaySide, place: TargetPlace):
        """Creates the handlers of a side process.

        Args:
            side: The side process.
            place: Where its target runs.
        """
        self._side = side
        self._place = place

    def register_routes(self, site: http_site.HttpSite) -> None:
        """Registers the handlers of the target's requests.

        Args:
            site: Site that receives the requests.
        """
        site.add_handler("PUT", INSTANCES_PREFIX, self._on_heartbeat)
        site.add_handler("DELETE", INSTANCES_PREFIX, self._on_departure)

    def _on_heartbeat(self, request: http_site.Request) -> http_site.Response:
        try:
            heartbeat = decode(_identifier(request), request.body, self._place)
        except ValueError as error:
            loguru.logger.bind(
                target=_identifier(request), reason=str(error)
            ).warning("heartbeat refused")
            return http_site.Response(http_site.BAD_REQUEST, b"{}")
        return _response(self._side.on_heartbeat(heartbeat))

    def _on_departure(self, request: http_site.Request) -> http_site.Response:
        started_ms = None
        if request.body:
            try:
                started_ms = decoding.decode_json(request.body, _Departure).born
            except ValueError as error:
                loguru.logger.bind(reason=str(error)).warning("leave refused")
                return http_site.Response(http_site.BAD_REQUEST, b"{}")
        departure = announcements.Departure(_identifier(request), started_ms)
        return _response(self._side.on_departure(departure))


def _identifier(request: http_site.Request) -> str:
    return request.path[len(INSTANCES_PREFIX) :]


def _response(result: announcements.UpdateResult) -> http_site.Response:
    return http_site.Response(
        http_site.CONFLICT if result in _REFUSED else http_site.OK, b"{}"
    )
