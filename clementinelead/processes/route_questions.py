"""Routes over HTTP, between relaying processes."""

import typing

import loguru
import msgspec

from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.relays import route_patches
from clementinelead.relays import routes

__all__ = [
    "PATCH_PATH",
    "ROUTES_PATH",
    "fetch_routes",
]

PATCH_PATH = "/peer/route-patch"
ROUTES_PATH = "/peer/routes"

_T = typing.TypeVar("_T")


async def fetch_routes(
    address: tuple[str, int], table: routes.RoutingTable, timeout_s: float
) -> routes.RoutingTable | None:
    """Returns a peer's routes if their version is higher.

    Args:
        address: IP address and port of the peer.
        table: Routes in force here.
        timeout_s: Deadline of each of up to two calls, seconds.

    Returns:
        The routes, None if they are not newer or the peer did not answer.
    """
    if table.version:
        path = f"{PATCH_PATH}?since={table.version}"
        body = await _fetch(address, path, timeout_s)
        if body is None:
            return None
        if body:
            patch = _decoded(body, route_patches.Patch, address)
            return route_patches.patched(table, patch) if patch else None
    path = f"{ROUTES_PATH}?since={table.version}"
    body = await _fetch(address, path, timeout_s)
    return _decoded(body, routes.RoutingTable, address) if body else None


async def _fetch(
    address: tuple[str, int], path: str, timeout_s: float
) -> bytes | None:
    """Returns what a peer has.

    Returns:
        The body, empty if the peer has nothing of that kind; None if nothing
        is newer or the peer did not answer.
    """
    answer = await http_client.call(address, "GET", path, b"", timeout_s)
    if isinstance(answer, http_client.Answer):
        match answer.status:
            case http_site.OK:
                return answer.body
            case http_site.NOT_FOUND:
                return b""
            case http_site.NOT_MODIFIED:
                return None
    loguru.logger.debug("routes of {}: {}", address, answer)
    return None


def _decoded(
    body: bytes, kind: type[_T], address: tuple[str, int]
) -> _T | None:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        loguru.logger.warning("routes of {}: {}", address, error)
        return None
