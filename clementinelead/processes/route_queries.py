"""HTTP client for the routes of a peer."""

import loguru

from clementinelead import exceptions
from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.relays import route_patches

__all__ = ["PATCH_PATH", "fetch_patch"]

PATCH_PATH = "/peer/route-patch"


async def fetch_patch(
    address: tuple[str, int], since: int, with_former: bool, timeout_s: float
) -> route_patches.Patch | None:
    """Fetches the changes of the routes since a version from a peer.

    Args:
        address: IP address and port of the peer.
        since: Version in force in this process.
        with_former: Whether to request former services even if no route has
            changed.
        timeout_s: Timeout of the HTTP request, seconds.

    Returns:
        The patch, None if there are no changes or the peer sent no usable
        reply.
    """
    path = f"{PATCH_PATH}?since={since}"
    if with_former:
        path += "&former=1"
    answer = await http_client.call(address, "GET", path, b"", timeout_s)
    if isinstance(answer, http_client.Response):
        match answer.status:
            case http_site.OK:
                return _decode(answer.body, address)
            case http_site.NOT_MODIFIED:
                return None
    loguru.logger.debug("routes of {}: {}", address, answer)
    return None


def _decode(
    body: bytes, address: tuple[str, int]
) -> route_patches.Patch | None:
    try:
        return route_patches.decode(body)
    except exceptions.MalformedMessageError as error:
        loguru.logger.warning("routes of {}: {}", address, error)
        return None
