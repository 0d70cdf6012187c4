"""Watch of the configuration in the store by a few balancers per zone."""

import asyncio

import loguru

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.memberships import watchers
from clementinelead.processes import long_polls
from clementinelead.processes import node as node_module
from clementinelead.processes import store_contact

__all__ = ["ConfigurationWatch"]

CHANGE_BOUND_S = 10.0
"""Time after which a change must be in force everywhere, seconds."""

FAILURES_BEFORE_LOSS = 2
"""Consecutive failures after which another balancer watches the store."""

CHECK_INTERVAL_S = 1.0
"""Interval of checks while not a watcher or without an index, seconds."""

MIN_BACKOFF_S = 0.1
"""Shortest delay before the store is tried again, seconds."""

BACKOFF_BASE_S = 0.2
"""Doubled with each failure to limit the random delay, seconds."""

MAX_BACKOFF_S = 5.0
"""Longest delay before the store is tried again, seconds."""


class ConfigurationWatch:
    """Adopts new revisions in the store while this process is a watcher."""

    def __init__(
        self,
        node: node_module.Node,
        repository: repositories.Repository,
    ):
        self._node = node
        self._repository = repository
        self._schedule = long_polls.LongPollSchedule(
            CHANGE_BOUND_S, node.random
        )

    async def run(self) -> None:
        """Watches until cancelled.

        While the store is unavailable, it is tried again with backoff.
        """
        index = 0
        failures = 0
        while True:
            if not watchers.is_watcher(
                self._node.gossiper.own, self._node.live_balancers()
            ):
                store_contact.publish_loss(self._node, False)
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            try:
                head, index = await self._query(index)
                await self._adopt(head)
                self._schedule.on_answer()
                store_contact.publish_loss(self._node, False)
                if failures:
                    loguru.logger.info("the store answers again")
                failures = 0
                if index == 0:
                    await asyncio.sleep(CHECK_INTERVAL_S)
            except exceptions.StoreUnavailableError as error:
                failures += 1
                self._on_failure(error, failures)
                longest_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0**failures)
                await asyncio.sleep(
                    self._node.random.uniform(MIN_BACKOFF_S, longest_s)
                )

    def _on_failure(self, error: Exception, failures: int) -> None:
        """Records a failed call, and publishes a loss of the store."""
        self._schedule.on_failure()
        if failures >= FAILURES_BEFORE_LOSS:
            store_contact.publish_loss(self._node, True)
        if failures == 1:
            loguru.logger.warning("the store is away: {}", error)

    async def _query(self, index: int) -> tuple[models.Head, int]:
        """Waits for a change of the head, or reads it after a failure.

        Args:
            index: Modification index that this process has already seen.

        Returns:
            The head and its modification index.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        poll = self._schedule.next_poll()
        if not poll.hold_s:
            return await self._repository.read_head()
        return await self._repository.watch_head(index, poll.hold_s)

    async def _adopt(self, head: models.Head) -> None:
        """Offers the store's configuration to the node, by patches if possible.

        Args:
            head: Head of the configuration in the store.
        """
        in_force = self._node.configuration
        if head.revision <= in_force.revision:
            if head.revision < in_force.revision:
                outcome = adoption.OlderRevision(
                    head.revision, in_force.revision
                )
                self._node.handle_adoption_outcome(outcome, "store")
            return
        if in_force.revision > 0:
            patches = await self._repository.read_patches(
                head, in_force.revision
            )
            if patches is not None:
                self._node.handle_adoption_outcome(
                    in_force.offer_patches(patches), "store"
                )
                return
        stored, _ = await self._repository.read_configuration()
        snapshot_outcome = in_force.offer_snapshot(
            stored.revision,
            stored.stored_by_name,
            stored.index.drains,
            stored.index.evacuations,
        )
        self._node.handle_adoption_outcome(snapshot_outcome, "store")
