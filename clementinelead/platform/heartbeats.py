"""Heartbeats of the target on this machine."""

import loguru
import msgspec

from clementinelead.processes import http_site
from clementinelead.processes import relay_side
from clementinelead.relays import announcements

__all__ = ["PREFIX", "HeartbeatHandlers", "decode"]

PREFIX = "/instances/"

_MS_PER_S = 1000.0
_DRAINING = "draining"
_STATES = ("ready", _DRAINING)
_REFUSED = (
    announcements.UpdateResult.STALE,
    announcements.UpdateResult.OTHER_SERVICE,
)


class _Heartbeat(msgspec.Struct):
    service: str
    capacity: int  # requests that it works on at once
    state: str
    sequence: int
    born: int  # start of the incarnation, milliseconds since 1970
    warmup_left_ms: float = 0.0


class _Leave(msgspec.Struct):
    born: int | None = None


def decode(identifier: str, body: bytes) -> announcements.Heartbeat:
    """Returns the announcement that a heartbeat makes.

    Args:
        identifier: Identifier of the target, from the path.
        body: Body of the call.

    Raises:
        ValueError: It names no target to use.
    """
    beat = msgspec.json.decode(body, type=_Heartbeat)
    if beat.state not in _STATES or not identifier or beat.capacity < 1:
        raise ValueError("unknown state, no identifier or no capacity")
    return announcements.Heartbeat(
        id=identifier,
        started_ms=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        slots=beat.capacity,
        draining=beat.state == _DRAINING,
        warmup_s=max(0.0, beat.warmup_left_ms) / _MS_PER_S,
    )


class HeartbeatHandlers:
    """Hands heartbeats to the side process."""

    def __init__(self, side: relay_side.RelaySide):
        self._side = side

    def add_to(self, site: http_site.HttpSite) -> None:
        """Serves the calls of the target."""
        site.add_handler("PUT", PREFIX, self._on_heartbeat)
        site.add_handler("DELETE", PREFIX, self._on_leave)

    def _on_heartbeat(self, request: http_site.Request) -> http_site.Response:
        try:
            announcement = decode(_identifier(request), request.body)
        except ValueError as error:
            loguru.logger.bind(reason=str(error)).warning("heartbeat refused")
            return http_site.Response(http_site.BAD_REQUEST, b"{}")
        return _answer(self._side.heartbeat(announcement))

    def _on_leave(self, request: http_site.Request) -> http_site.Response:
        born = None
        if request.body:
            try:
                born = msgspec.json.decode(request.body, type=_Leave).born
            except ValueError as error:
                loguru.logger.bind(reason=str(error)).warning("leave refused")
                return http_site.Response(http_site.BAD_REQUEST, b"{}")
        departure = announcements.Departure(_identifier(request), born)
        return _answer(self._side.depart(departure))


def _identifier(request: http_site.Request) -> str:
    return request.path[len(PREFIX) :]


def _answer(verdict: announcements.UpdateResult) -> http_site.Response:
    return http_site.Response(
        http_site.CONFLICT if verdict in _REFUSED else http_site.OK, b"{}"
    )
