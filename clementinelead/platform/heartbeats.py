"""HTTP handlers for the heartbeats of the target beside a side process."""

import loguru
import msgspec

from clementinelead.processes import http_site
from clementinelead.processes import relay_side
from clementinelead.relays import announcements

__all__ = ["INSTANCES_PREFIX", "HeartbeatHandlers", "decode"]

INSTANCES_PREFIX = "/instances/"

_MS_PER_S = 1000.0
_DRAINING = "draining"
_STATES = ("ready", _DRAINING)
_REFUSED = (
    announcements.UpdateResult.STALE,
    announcements.UpdateResult.OTHER_SERVICE,
)


class _Heartbeat(msgspec.Struct):
    service: str
    capacity: int  # largest number of concurrent requests
    state: str
    sequence: int
    born: int  # start of the incarnation, milliseconds since 1970
    warmup_left_ms: float = 0.0


class _Departure(msgspec.Struct):
    born: int | None = None


def decode(identifier: str, body: bytes) -> announcements.Heartbeat:
    """Returns the heartbeat that a request carries.

    A negative warm-up time counts as 0.

    Args:
        identifier: Identifier of the target, from the path of the request.
        body: JSON body of the request.

    Raises:
        ValueError: The body is malformed, the state is unknown, the identifier
            is empty or the capacity is below 1.
    """
    heartbeat = msgspec.json.decode(body, type=_Heartbeat)
    if (
        heartbeat.state not in _STATES
        or not identifier
        or heartbeat.capacity < 1
    ):
        raise ValueError("unknown state, empty identifier or capacity below 1")
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

    def __init__(self, side: relay_side.RelaySide):
        self._side = side

    def register_routes(self, site: http_site.HttpSite) -> None:
        """Registers the handlers of the target's requests.

        Args:
            site: Site that receives the requests.
        """
        site.add_handler("PUT", INSTANCES_PREFIX, self._on_heartbeat)
        site.add_handler("DELETE", INSTANCES_PREFIX, self._on_departure)

    def _on_heartbeat(self, request: http_site.Request) -> http_site.Response:
        try:
            heartbeat = decode(_identifier(request), request.body)
        except ValueError as error:
            loguru.logger.bind(reason=str(error)).warning("heartbeat refused")
            return http_site.Response(http_site.BAD_REQUEST, b"{}")
        return _response(self._side.on_heartbeat(heartbeat))

    def _on_departure(self, request: http_site.Request) -> http_site.Response:
        started_ms = None
        if request.body:
            try:
                started_ms = msgspec.json.decode(
                    request.body, type=_Departure
                ).born
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
