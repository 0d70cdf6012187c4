"""Follows the configuration's routes in the store."""

import asyncio
import typing

import loguru
import msgspec

from clementinelead.processes import relay_node
from clementinelead.relays import routes

__all__ = ["Failed", "NewRoutes", "RouteSource", "RouteWatch", "Unchanged"]

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
"""Longest pause between two calls that fail, seconds.

Short against the seconds in which a configuration must be in force.
"""


WATCHER_CHECK_INTERVAL_S = 1.0
"""Pause between looks whether this process is to watch, seconds.

The others follow their peers' versions meanwhile.
"""


class NewRoutes(msgspec.Struct, frozen=True):
    """Routes that the store holds."""

    table: routes.RoutingTable


class Unchanged(msgspec.Struct, frozen=True):
    """Nothing new within the time that a wait lasts."""


class Failed(msgspec.Struct, frozen=True):
    """The store could not be asked, or what it holds can't be read.

    Attributes:
        reason: What happened.
        reachable: Whether the store answered.
    """

    reason: str
    reachable: bool


class RouteSource(typing.Protocol):
    """Where routes come from."""

    async def next(self) -> NewRoutes | Unchanged | Failed:
        """Waits for routes newer than those returned last."""


class RouteWatch:
    """Hands new routes to a node, through outages of their source."""

    def __init__(self, node: relay_node.RelayNode, source: RouteSource):
        self._node = node
        self._source = source
        self._lost = False

    async def run(self) -> None:
        """Follows the source until cancelled."""
        pause = MIN_RETRY_DELAY_S
        while True:
            if not self._node.is_watcher:
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            outcome = await self._source.next()
            match outcome:
                case NewRoutes(table):
                    self._node.routes.adopt(table, "store")
                case Failed(reason, _):
                    self._note_lost(reason)
                    await asyncio.sleep(
                        pause * (0.5 + 0.5 * self._node.random.random())
                    )
                    pause = min(MAX_RETRY_DELAY_S, 2 * pause)
                    continue
                case Unchanged():
                    pass
            pause = MIN_RETRY_DELAY_S
            self._note_regained()

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            loguru.logger.bind(
                dependency="store",
                reason=reason,
                version=self._node.routes.table.version,
            ).warning("dependency lost")
        self._lost = True

    def _note_regained(self) -> None:
        if self._lost:
            loguru.logger.bind(
                dependency="store", version=self._node.routes.table.version
            ).info("dependency regained")
        self._lost = False
