"""The routes in force in a process, and their way between peers."""

import asyncio
import collections.abc
import random
import time

import loguru

from clementinelead.memberships import gossip
from clementinelead.memberships import outgoing
from clementinelead.messages import controls
from clementinelead.processes import http_site
from clementinelead.processes import route_questions
from clementinelead.relays import former_services
from clementinelead.relays import route_patches
from clementinelead.relays import routes

__all__ = ["RouteExchange"]

TIMEOUT_S = 1.0
"""Deadline of a question to a peer, seconds."""

_CONTENT_TYPE = "application/octet-stream"

FOLLOW_RETRY_S = 0.3
"""Longest pause before routes are asked for again, seconds."""


class RouteExchange:
    """Adopts routes of higher versions, and serves them to peers.

    Attributes:
        table: Routes in force.
        former: Services that they no longer name.
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
        """Begins without routes.

        Args:
            gossiper: Knows the peers.
            site: Serves the routes.
            http_port: TCP port of the peers' sites.
            generator: Draws peers and pauses.
            send: Sends a control message.
            on_routes: Called when routes of a higher version are in force.
            first_start: Whether the whole system starts for the first time.
        """
        self.table = routes.EMPTY
        self.former = former_services.FormerServices(first_start)
        self._history = route_patches.RouteHistory()
        self._gossiper = gossiper
        self._http_port = http_port
        self._random = generator
        self._send = send
        self._on_routes = on_routes
        self._following = False
        self._told: tuple[object, ...] = ()
        self._told_body = b""
        site.add_handler("GET", route_questions.PATCH_PATH, self._serve_patch)

    def adopt(self, table: routes.RoutingTable, source: str) -> None:
        """Takes over routes if their version is higher.

        Args:
            table: The routes.
            source: Where they came from, for the log.
        """
        before = self.table
        if table.version <= before.version:
            return
        now = time.monotonic()
        self.former.record_change(before, table, now)
        if before.version:
            self._history.record_change(before, table)
        self.table = table
        loguru.logger.bind(
            version=table.version,
            before=before.version,
            routes=len(table.routes),
            source=source,
        ).info("routes adopted")
        self._on_routes(table, now)
        if before.version:
            self._push_version()

    def _push_version(self) -> None:
        """Tells some peers at once that there is a higher version."""
        others = self._gossiper.peers()
        count = min(self._gossiper.options.push_fanout, len(others))
        for peer in self._random.sample(others, count):
            self._send(
                outgoing.Message(peer.control_address, (), controls.Nothing())
            )

    async def fetch(self, host: str) -> None:
        """Takes over a peer's routes if they are newer.

        Args:
            host: IP address of the peer.
        """
        with_former = self.former.snapshot(time.monotonic()) is None
        patch = await route_questions.fetch_patch(
            (host, self._http_port), self.table.version, with_former, TIMEOUT_S
        )
        if patch is None:
            return
        table = route_patches.apply_patch(self.table, patch)
        if table is not None:
            self.adopt(table, host)
        if patch.former is not None and patch.version == self.table.version:
            self.former.merge(patch.former, time.monotonic())

    def begin_following(self, version: int) -> bool:
        """Tells whether ``follow`` is to be called for a peer's version.

        Args:
            version: What the peer has in force.
        """
        if self._following or version <= self.table.version:
            return False
        self._following = True
        return True

    async def follow(self, host: str, version: int) -> None:
        """Fetches routes of a higher version until they are in force.

        Args:
            host: IP address of a peer that has them.
            version: Their version.
        """
        try:
            while self.table.version < version:
                await self.fetch(host)
                if self.table.version >= version:
                    return
                await asyncio.sleep(FOLLOW_RETRY_S * self._random.random())
                peers = self._gossiper.peers()
                if peers:
                    host = self._random.choice(peers).address
        finally:
            self._following = False

    def _serve_patch(self, request: http_site.Request) -> http_site.Response:
        since = _version_in(request)
        former = self.former.snapshot(time.monotonic())
        wanted = "former" in request.query and former is not None
        same = self.table.version == since
        if self.table.version < since or (same and not wanted):
            return http_site.Response(http_site.NOT_MODIFIED)
        patch = self._history.patch_since(since, self.table, former)
        body = self._encoded(patch)
        return http_site.Response(http_site.OK, body, _CONTENT_TYPE)

    def _encoded(self, patch: route_patches.Patch) -> bytes:
        """Returns a patch for a peer; many peers ask for the same one."""
        told = (patch.since, patch.version, patch.former)
        if told != self._told:
            self._told = told
            self._told_body = route_patches.encode(patch)
        return self._told_body


def _version_in(request: http_site.Request) -> int:
    """Returns the version that a peer has, 0 if it does not say."""
    since = request.query.get("since", "0")
    return int(since) if since.isdecimal() else 0
