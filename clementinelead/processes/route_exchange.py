"""Routes in force in a process and their exchange with peers."""

import asyncio
import collections.abc
import random
import time

import loguru

from clementinelead.memberships import gossip
from clementinelead.memberships import outgoing
from clementinelead.processes import http_site
from clementinelead.processes import route_queries
from clementinelead.relays import former_services
from clementinelead.relays import route_patches
from clementinelead.relays import routes

__all__ = ["RouteExchange"]

PEER_TIMEOUT_S = 1.0
"""Timeout of a query of a peer, seconds."""

_CONTENT_TYPE = "application/octet-stream"

MAX_FETCH_DELAY_S = 0.3
"""Longest random pause before routes are fetched again, seconds."""


class RouteExchange:
    """Adopts routes of higher versions and serves them to peers.

    Attributes:
        table: Routes in force.
        former_services: Services of earlier versions that ``table`` lacks.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        site: http_site.HttpSite,
        http_port: int,
        generator: random.Random,
        send: collections.abc.Callable[[outgoing.Message], None],
        on_routes: collections.abc.Callable[[routes.RoutingTable, float], None],
        first_start: bool,
    ):
        """Starts without routes and registers the HTTP handler.

        Args:
            gossiper: Membership protocol and member table.
            site: HTTP server of this process for peers.
            http_port: TCP port of the HTTP servers of the peers.
            generator: Source of random peers and pauses.
            send: Sends a control message.
            on_routes: Called when routes of a higher version are in force.
            first_start: Whether the whole system starts for the first time.
        """
        self.table = routes.EMPTY
        self.former_services = former_services.FormerServices(first_start)
        self._history = route_patches.RouteHistory()
        self._gossiper = gossiper
        self._http_port = http_port
        self._random = generator
        self._send = send
        self._on_routes = on_routes
        self._fetch_reserved = False
        self._newer_heard_at: float | None = None
        self._cached_patch_id: tuple[object, ...] = ()
        self._cached_body = b""
        site.add_handler("GET", route_queries.PATCH_PATH, self._serve_patch)

    def adopt(self, table: routes.RoutingTable, source: str) -> None:
        """Puts routes in force if their version is higher.

        Args:
            table: The routes.
            source: Origin of the routes, for the log.
        """
        previous = self.table
        if table.version <= previous.version:
            return
        now = time.monotonic()
        self.former_services.record_change(previous, table, now)
        if previous.version:
            self._history.record_change(previous, table)
        self.table = table
        self._log_adoption(previous, source, now)
        self._on_routes(table, now)
        if previous.version:
            self._push_version()

    def _log_adoption(
        self, previous: routes.RoutingTable, source: str, now: float
    ) -> None:
        """Logs what has changed, and for how long a newer version was known."""
        old, new = previous.by_address.keys(), self.table.by_address.keys()
        behind_s = 0.0
        if self._newer_heard_at is not None:
            behind_s = now - self._newer_heard_at
        self._newer_heard_at = None
        loguru.logger.bind(
            version=self.table.version,
            before=previous.version,
            routes=len(self.table.routes),
            added=len(new - old),
            removed=len(old - new),
            behind_s=round(behind_s, 3),
            source=source,
        ).info("routes adopted")

    def _push_version(self) -> None:
        """Sends the version in force to some random peers."""
        for message in outgoing.notifications(
            self._gossiper.peers(),
            self._gossiper.options.push_fanout,
            self._random,
        ):
            self._send(message)

    async def fetch(self, host: str) -> None:
        """Fetches a peer's routes and former services and adopts newer ones.

        Args:
            host: IP address of the peer.
        """
        former_missing = self.former_services.snapshot(time.monotonic()) is None
        patch = await route_queries.fetch_patch(
            (host, self._http_port),
            self.table.version,
            former_missing,
            PEER_TIMEOUT_S,
        )
        if patch is None:
            return
        table = route_patches.apply_patch(self.table, patch)
        if table is not None:
            self.adopt(table, host)
        if patch.former is not None and patch.version == self.table.version:
            self.former_services.merge(patch.former, time.monotonic())

    def reserve_fetch(self, version: int, now: float) -> bool:
        """Reserves ``fetch_until``, of which only one may run at a time.

        Args:
            version: Version that a peer has in force.
            now: Present time, seconds.

        Returns:
            Whether to call ``fetch_until``: the version is higher than the own
            one, and no fetch is running.
        """
        if version <= self.table.version:
            return False
        if self._newer_heard_at is None:
            self._newer_heard_at = now
        if self._fetch_reserved:
            return False
        self._fetch_reserved = True
        return True

    async def fetch_until(self, host: str, version: int) -> None:
        """Fetches routes from peers until a version is in force.

        Args:
            host: IP address of the first peer to query; later attempts use
                random ones.
            version: Version to reach.
        """
        try:
            while self.table.version < version:
                await self.fetch(host)
                if self.table.version >= version:
                    return
                await asyncio.sleep(MAX_FETCH_DELAY_S * self._random.random())
                peers = self._gossiper.peers()
                if peers:
                    host = self._random.choice(peers).address
        finally:
            self._fetch_reserved = False

    def _serve_patch(self, request: http_site.Request) -> http_site.Response:
        since = _parse_version(request)
        former = self.former_services.snapshot(time.monotonic())
        send_former = "former" in request.query and former is not None
        is_current = self.table.version == since
        if self.table.version < since or (is_current and not send_former):
            return http_site.Response(http_site.NOT_MODIFIED)
        patch = self._history.patch_since(since, self.table, former)
        body = self._encode(patch)
        return http_site.Response(http_site.OK, body, _CONTENT_TYPE)

    def _encode(self, patch: route_patches.Patch) -> bytes:
        """Encodes a patch; caches the last one, as many peers request it."""
        patch_id = (patch.since, patch.version, patch.former)
        if patch_id != self._cached_patch_id:
            self._cached_patch_id = patch_id
            self._cached_body = route_patches.encode(patch)
        return self._cached_body


def _parse_version(request: http_site.Request) -> int:
    """Returns the version that the requester has, 0 if it is missing."""
    since = request.query.get("since", "0")
    return int(since) if since.isdecimal() else 0
