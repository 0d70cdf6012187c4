"""Questions between relaying processes: members and routes over HTTP."""

import loguru
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.processes import http_client
from clementinelead.relays import routes

__all__ = ["MEMBERS_PATH", "ROUTES_PATH", "exchange_members", "fetch_routes"]

MEMBERS_PATH = "/peer/members"
ROUTES_PATH = "/peer/routes"

_OK = 200
_NOT_MODIFIED = 304


async def exchange_members(
    address: tuple[str, int], own: list[records.Record], timeout_s: float
) -> tuple[records.Record, ...] | None:
    """Tells a peer records and returns those that it knows.

    Args:
        address: IP address and port of the peer.
        own: Records to tell.
        timeout_s: Deadline, seconds.

    Returns:
        The peer's records, None if it did not answer usefully.
    """
    body = controls.encode_records(own)
    answer = await http_client.call(
        address, "POST", MEMBERS_PATH, body, timeout_s
    )
    if not isinstance(answer, http_client.Answer) or answer.status != _OK:
        loguru.logger.debug("members of {}: {}", address, answer)
        return None
    try:
        return controls.decode_records(answer.body)
    except exceptions.MalformedMessageError as error:
        loguru.logger.warning("members of {}: {}", address, error)
        return None


async def fetch_routes(
    address: tuple[str, int], since: int, timeout_s: float
) -> routes.RoutingTable | None:
    """Returns a peer's routes if their version is higher.

    Args:
        address: IP address and port of the peer.
        since: Version in force here.
        timeout_s: Deadline, seconds.

    Returns:
        The routes, None if they are not newer or the peer did not answer.
    """
    answer = await http_client.call(
        address, "GET", f"{ROUTES_PATH}?since={since}", b"", timeout_s
    )
    if not isinstance(answer, http_client.Answer) or answer.status != _OK:
        if getattr(answer, "status", None) != _NOT_MODIFIED:
            loguru.logger.debug("routes of {}: {}", address, answer)
        return None
    try:
        return msgspec.json.decode(answer.body, type=routes.RoutingTable)
    except msgspec.DecodeError as error:
        loguru.logger.warning("routes of {}: {}", address, error)
        return None
