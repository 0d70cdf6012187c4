"""Watch of the routes and evacuated zones in the store."""

import asyncio
import time
import typing

import loguru
import msgspec

from clementinelead.memberships import evacuations
from clementinelead.processes import relay_node
from clementinelead.processes import store_contact
from clementinelead.relays import routes

__all__ = ["Changed", "Failed", "RouteSource", "RouteWatch", "Unchanged"]

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
"""Longest backoff after a failed call, seconds.

Short compared with the seconds in which a configuration must be in force.
"""

WATCHER_CHECK_INTERVAL_S = 1.0
"""Longest interval in which a process checks if it is a watcher, seconds.

The others receive changes from peers meanwhile.
"""

STORE_LOST_AFTER_S = 0.75
"""Time without an answer after which a failing watcher is replaced, seconds."""

_STORE = "store"


class Changed(msgspec.Struct, frozen=True):
    """What was read from the store.

    Attributes:
        table: The routes, None if they have not changed.
        evacuated: The evacuated zones, None if they have not changed.
    """

    table: routes.RoutingTable | None = None
    evacuated: evacuations.EvacuationState | None = None


class Unchanged(msgspec.Struct, frozen=True):
    """No change before the long poll timed out."""


class Failed(msgspec.Struct, frozen=True):
    """The store could not be read, or its reply is malformed.

    Attributes:
        reason: Cause of the failure, for the log.
        reachable: Whether the store replied.
    """

    reason: str
    reachable: bool


class RouteSource(typing.Protocol):
    """Source of new routes and evacuated zones, such as the store."""

    async def next(self) -> Changed | Unchanged | Failed:
        """Waits for changes since those returned last.

        Returns:
            The changes, or why there are none.
        """


class RouteWatch:
    """Puts what a source returns in force and retries after failures.

    Attributes:
        contact: Contact of this process with the store.
    """

    def __init__(self, node: relay_node.RelayNode, source: RouteSource):
        """Creates the watch without calling the source.

        Args:
            node: Receives the changes, and tells whether to watch.
            source: Source of the changes.
        """
        self.contact = store_contact.StoreContact(time.monotonic())
        self._node = node
        self._source = source
        self._is_watching = False

    async def run(self) -> None:
        """Watches the source until cancelled."""
        pause = MIN_RETRY_DELAY_S
        while True:
            self._set_role(
                self._node.is_watcher or self._node.is_cut_off(time.monotonic())
            )
            if not self._is_watching:
                await self._node.wait_for_watchers(WATCHER_CHECK_INTERVAL_S)
                continue
            outcome = await self._next()
            now = time.monotonic()
            match outcome:
                case Changed(table, evacuated):
                    self._adopt(table, evacuated, now)
                case Failed(reason, _):
                    self.contact.on_failure(reason, self._version, now)
                    if self.contact.answer_age_s(now) >= STORE_LOST_AFTER_S:
                        store_contact.publish_loss(self._node, True)
                    await asyncio.sleep(
                        pause * (0.5 + 0.5 * self._node.random.random())
                    )
                    pause = min(MAX_RETRY_DELAY_S, 2 * pause)
                    continue
                case Unchanged():
                    pass
            pause = MIN_RETRY_DELAY_S
            self.contact.on_answer(self._version, now)
            store_contact.publish_loss(self._node, False)

    async def _next(self) -> Changed | Unchanged | Failed:
        """Returns what the source returns; an unexpected error is a failure.

        What the store contains must not end the process: it would read the
        same again after a restart.
        """
        try:
            return await self._source.next()
        except Exception as error:
            loguru.logger.opt(exception=error).error("store can't be read")
            return Failed(f"unexpected {type(error).__name__}", True)

    @property
    def _version(self) -> int:
        """Version of the routes in force."""
        return self._node.routes.table.version

    def _adopt(
        self,
        table: routes.RoutingTable | None,
        evacuated: evacuations.EvacuationState | None,
        now: float,
    ) -> None:
        # Evacuated zones first: routes make a balancer place flows.
        if evacuated is not None:
            self._node.evacuations.adopt(evacuated, _STORE, now)
        if table is not None:
            self._node.routes.adopt(table, _STORE)

    def _set_role(self, is_watcher: bool) -> None:
        """Starts or ends watching the source, and logs a change."""
        if is_watcher is self._is_watching:
            return
        self._is_watching = is_watcher
        loguru.logger.bind(dependency=_STORE, version=self._version).info(
            "watch started" if is_watcher else "watch ended"
        )
        if not is_watcher:
            store_contact.publish_loss(self._node, False)
