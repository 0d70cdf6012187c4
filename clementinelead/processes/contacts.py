"""Contact keys: store entries by which an isolated process finds a peer.

A few balancers of each availability zone hold a key with their control address
under a lease. Only processes without a known peer read the keys. They are
hints: a stale one costs a ping without a reply.
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


def _contact_prefix(prefix: str) -> str:
    return f"{prefix}/contacts/"


class ContactHolder:
    """Holds the contact key of this balancer while it is a watcher."""

    def __init__(
        self, node: node_module.Node, store: protocols.Store, prefix: str
    ):
        self._node = node
        self._store = store
        self._prefix = _contact_prefix(prefix)
        self._lease: str | None = None

    async def run(self) -> None:
        """Acquires, renews and releases the key until cancelled."""
        while True:
            try:
                await self.step()
            except exceptions.StoreUnavailableError as error:
                loguru.logger.debug("contact key: {}", error)
            await asyncio.sleep(LEASE_S / RENEWALS_PER_LEASE)

    async def step(self) -> None:
        """Acquires, renews or releases the key once.

        A lease that expired while this process was paused is not renewed but
        replaced by a new one, so the key never outlives its holder for long.

        Raises:
            exceptions.StoreUnavailableError: The store did not reply.
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
        """Releases the lease of the key, if it is held.

        Raises:
            exceptions.StoreUnavailableError: The store did not reply.
        """
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.release(lease)


class ContactFinder:
    """Reads the contact keys while this process has no known peer."""

    def __init__(
        self, node: node_module.Node, store: protocols.Store, prefix: str
    ):
        self._node = node
        self._store = store
        self._prefix = _contact_prefix(prefix)

    async def run(self) -> None:
        """Adds seeds from the keys until a peer is known."""
        while not self._node.gossiper.peers():
            await asyncio.sleep(
                FIND_INTERVAL_S * (0.5 + self._node.random.random())
            )
            await self.step()

    async def step(self) -> None:
        """Reads the keys once and adds their addresses as seeds."""
        if self._node.gossiper.peers():
            return
        try:
            values = await self._store.scan(self._prefix)
        except exceptions.StoreUnavailableError as error:
            loguru.logger.debug("contact keys: {}", error)
            return
        self._node.gossiper.add_seeds(_addresses(values))


def _addresses(values: dict[str, bytes]) -> tuple[tuple[str, int], ...]:
    """Returns the control addresses of contact keys; skips malformed ones."""
    addresses = []
    for key, value in values.items():
        try:
            addresses.append(settings_models.parse_endpoint(value.decode()))
        except (ValueError, UnicodeDecodeError):
            loguru.logger.warning("contact key {} holds no address", key)
    return tuple(addresses)
