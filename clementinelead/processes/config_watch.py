"""Watches the configuration in the store, on a few balancers per zone."""

import asyncio

import loguru

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.memberships import watchers
from clementinelead.processes import node as node_module

__all__ = ["ConfigurationWatch"]

LONG_POLL_WAIT_S = 60.0
CHECK_INTERVAL_S = 1.0
MAX_BACKOFF_S = 5.0


class ConfigurationWatch:
    """Follows the head in the store while this process is a watcher."""

    def __init__(
        self,
        node: node_module.Node,
        repository: repositories.Repository,
    ):
        self._node = node
        self._repository = repository

    async def run(self) -> None:
        """Watches until cancelled; an outage of the store is waited out."""
        index = 0
        failures = 0
        while True:
            if not watchers.is_watcher(
                self._node.gossiper.own, self._node.live_balancers()
            ):
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                head, index = await self._repository.watch_head(
                    index, LONG_POLL_WAIT_S
                )
                await self._adopt(head)
                if failures:
                    loguru.logger.info("the store answers again")
                failures = 0
                if index == 0:
                    await asyncio.sleep(CHECK_INTERVAL_S)
            except exceptions.StoreUnavailableError as error:
                failures += 1
                if failures == 1:
                    loguru.logger.warning("the store is away: {}", error)
                limit = min(MAX_BACKOFF_S, 0.2 * 2.0**failures)
                await asyncio.sleep(self._node.random.uniform(0.1, limit))

    async def _adopt(self, head: models.Head) -> None:
        adopted = self._node.configuration
        if head.revision <= adopted.revision:
            if head.revision < adopted.revision:
                outcome = adoption.OlderRevision(
                    head.revision, adopted.revision
                )
                self._node.handle_adoption_outcome(outcome, "store")
            return
        if adopted.revision > 0:
            patches = await self._repository.read_patches(
                head, adopted.revision
            )
            if patches is not None:
                self._node.handle_adoption_outcome(
                    adopted.offer_patches(patches), "store"
                )
                return
        whole, _ = await self._repository.read_configuration()
        taken = adopted.offer_snapshot(
            whole.revision, whole.stored_by_name, whole.index.drains
        )
        self._node.handle_adoption_outcome(taken, "store")
