"""Routes over HTTP, between relaying processes."""

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
    """Returns what a peer knows of the routes beyond a version.

    Args:
        address: IP address and port of the peer.
        since: Version in force here.
        with_former: Whether former services are wanted even if no route has
            changed.
        timeout_s: Deadline, seconds.

    Returns:
        The patch, None if there is nothing new or the peer did not answer.
    """
    path = f"{PATCH_PATH}?since={since}"
    if with_former:
        path += "&former=1"
    answer = await http_client.call(address, "GET", path, b"", timeout_s)
    if isinstance(answer, http_client.Response):
        match answer.status:
            case http_site.OK:
                return _decoded(answer.body, address)
            case http_site.NOT_MODIFIED:
                return None
    loguru.logger.debug("routes of {}: {}", address, answer)
    return None


def _decoded(
    body: bytes, address: tuple[str, int]
) -> route_patches.Patch | None:
    try:
        return route_patches.decode(body)
    except exceptions.MalformedMessageError as error:
        loguru.logger.warning("routes of {}: {}", address, error)
        return None
