"""Contact keys: how a newcomer finds a first peer through the store.

A few balancers of each availability zone hold a key with their control address
under a lease. A process that knows nobody reads them; nobody else does. The
keys are hints: a stale one costs an unanswered ping.
"""

import asyncio

import loguru

from clementinelead import exceptions
from clementinelead.memberships import watchers
from clementinelead.processes import node as node_module
from clementinelead.settings import models as settings_models
from clementinelead.stores import protocols

__all__ = ["ContactFinder", "ContactHolder"]

LEASE_S = 30.0
RENEWALS_PER_LEASE = 3
FIND_INTERVAL_S = 2.0


def _prefix(prefix: str) -> str:
    return f"{prefix}/contacts/"


class ContactHolder:
    """Holds this balancer's contact key while it is one of the few."""

    def __init__(
        self, node: node_module.Node, store: protocols.Store, prefix: str
    ):
        self._node = node
        self._store = store
        self._prefix = _prefix(prefix)
        self._lease: str | None = None

    async def run(self) -> None:
        """Leases and renews until cancelled."""
        while True:
            try:
                await self.step()
            except exceptions.StoreUnavailableError as error:
                loguru.logger.debug("contact key: {}", error)
            await asyncio.sleep(LEASE_S / RENEWALS_PER_LEASE)

    async def step(self) -> None:
        """Takes, renews or gives up the key.

        A lease that lapsed while this process was paused is not renewed but
        taken anew, so the key never outlives its holder for long.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        own = self._node.gossiper.own
        if not watchers.is_watcher(own, self._node.live_balancers()):
            await self.release()
            return
        if self._lease is not None and await self._store.renew(self._lease):
            return
        key = f"{self._prefix}{own.zone}/{own.id}"
        address = f"{own.address}:{own.control_port}"
        self._lease = await self._store.lease(key, address.encode(), LEASE_S)

    async def release(self) -> None:
        """Gives up the key, if it is held.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.release(lease)


class ContactFinder:
    """Reads the contact keys while this process knows nobody."""

    def __init__(
        self, node: node_module.Node, store: protocols.Store, prefix: str
    ):
        self._node = node
        self._store = store
        self._prefix = _prefix(prefix)

    async def run(self) -> None:
        """Looks for contacts until a peer is known."""
        while not self._node.gossiper.peers():
            await asyncio.sleep(
                FIND_INTERVAL_S * (0.5 + self._node.random.random())
            )
            await self.step()

    async def step(self) -> None:
        """Reads the keys once, and adds what they hold to the seeds."""
        if self._node.gossiper.peers():
            return
        try:
            values = await self._store.scan(self._prefix)
        except exceptions.StoreUnavailableError as error:
            loguru.logger.debug("contact keys: {}", error)
            return
        self._node.gossiper.add_seeds(_addresses(values))


def _addresses(values: dict[str, bytes]) -> tuple[tuple[str, int], ...]:
    """Returns the control addresses of contact keys, without garbage."""
    found = []
    for key, value in values.items():
        try:
            found.append(settings_models.parse_endpoint(value.decode()))
        except (ValueError, UnicodeDecodeError):
            loguru.logger.warning("contact key {} holds no address", key)
    return tuple(found)
