"""Contact keys: how a process whose seeds are gone finds its peers.

A few balancers of each availability zone hold a key with their address in the
store, under a lease. A process that knows nobody reads them.
"""

import asyncio
import dataclasses
import random
import typing

import loguru

from clementinelead.processes import relay_node

__all__ = ["ContactFinder", "ContactHolder", "ContactKeys", "Failed"]

LEASE_S = 60.0
"""Time after which the key of a dead holder is gone, seconds."""

RENEWALS_PER_LEASE = 3
RETRY_S = 2.0
"""Longest pause after a call that failed, seconds."""

ALONE_S = 1.5
"""Time without a peer after which the keys are read, seconds.

Seeds that live have answered by then.
"""


@dataclasses.dataclass(frozen=True)
class Failed:
    """The store could not be asked.

    Attributes:
        reason: What happened.
    """

    reason: str


class ContactKeys(typing.Protocol):
    """The contact keys in the store."""

    async def hold(
        self, identifier: str, address: str, lease_s: float
    ) -> Failed | None:
        """Takes or renews the key of a holder; returns why it could not."""

    async def find(self) -> tuple[str, ...] | Failed:
        """Returns the addresses that the keys hold."""


class ContactHolder:
    """Holds a balancer's contact key while it is one of the few."""

    def __init__(
        self,
        node: relay_node.RelayNode,
        keys: ContactKeys,
        generator: random.Random,
    ):
        self._node = node
        self._keys = keys
        self._random = generator

    async def run(self) -> None:
        """Takes and renews the key until cancelled."""
        pause = LEASE_S / RENEWALS_PER_LEASE
        while True:
            held = True
            if self._node.joined and self._node.is_watcher:
                own = self._node.gossiper.own
                outcome = await self._keys.hold(own.id, own.address, LEASE_S)
                held = outcome is None
                if outcome is not None:
                    loguru.logger.bind(reason=outcome.reason).info(
                        "contact key not renewed"
                    )
            wait = pause if held and self._node.joined else RETRY_S
            await asyncio.sleep(wait * (0.5 + 0.5 * self._random.random()))


class ContactFinder:
    """Reads the contact keys while a process knows nobody."""

    def __init__(
        self,
        node: relay_node.RelayNode,
        keys: ContactKeys,
        generator: random.Random,
    ):
        self._node = node
        self._keys = keys
        self._random = generator

    async def run(self) -> None:
        """Looks for peers whenever there are none, until cancelled."""
        while True:
            await asyncio.sleep(ALONE_S * (0.5 + 0.5 * self._random.random()))
            if not self._node.alone:
                continue
            found = await self._keys.find()
            if isinstance(found, Failed):
                loguru.logger.bind(reason=found.reason).info(
                    "contact keys not read"
                )
                continue
            loguru.logger.bind(found=len(found)).info("contact keys read")
            self._node.add_seeds(found)
