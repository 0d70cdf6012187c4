"""Watch of the configured routes in the store."""

import asyncio
import typing

import loguru
import msgspec

from clementinelead.processes import relay_node
from clementinelead.relays import routes

__all__ = ["Failed", "NewRoutes", "RouteSource", "RouteWatch", "Unchanged"]

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
"""Longest backoff after a failed call, seconds.

Short compared with the seconds in which a configuration must be in force.
"""


WATCHER_CHECK_INTERVAL_S = 1.0
"""Interval in which a process checks whether it is a watcher, seconds.

The others fetch new routes from peers meanwhile.
"""


class NewRoutes(msgspec.Struct, frozen=True):
    """Routes that were read from the store.

    Attributes:
        table: The routes.
    """

    table: routes.RoutingTable


class Unchanged(msgspec.Struct, frozen=True):
    """No new routes before the long poll timed out."""


class Failed(msgspec.Struct, frozen=True):
    """The store could not be read, or its reply is malformed.

    Attributes:
        reason: Cause of the failure, for the log.
        reachable: Whether the store replied.
    """

    reason: str
    reachable: bool


class RouteSource(typing.Protocol):
    """Source of new routes, such as the store."""

    async def next(self) -> NewRoutes | Unchanged | Failed:
        """Waits for routes newer than those returned last.

        Returns:
            The routes, or why there are none.
        """


class RouteWatch:
    """Puts new routes of a source in force and retries after failures."""

    def __init__(self, node: relay_node.RelayNode, source: RouteSource):
        self._node = node
        self._source = source
        self._is_lost = False

    async def run(self) -> None:
        """Watches the source until cancelled."""
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
                    self._log_lost(reason)
                    await asyncio.sleep(
                        pause * (0.5 + 0.5 * self._node.random.random())
                    )
                    pause = min(MAX_RETRY_DELAY_S, 2 * pause)
                    continue
                case Unchanged():
                    pass
            pause = MIN_RETRY_DELAY_S
            self._log_regained()

    def _log_lost(self, reason: str) -> None:
        if not self._is_lost:
            loguru.logger.bind(
                dependency="store",
                reason=reason,
                version=self._node.routes.table.version,
            ).warning("dependency lost")
        self._is_lost = True

    def _log_regained(self) -> None:
        if self._is_lost:
            loguru.logger.bind(
                dependency="store", version=self._node.routes.table.version
            ).info("dependency regained")
        self._is_lost = False
