"""Evacuated zones in force in a process and their exchange with peers."""

import collections.abc
import random

import loguru

from clementinelead.memberships import evacuations
from clementinelead.memberships import gossip
from clementinelead.memberships import outgoing

__all__ = ["EvacuationExchange"]


class EvacuationExchange:
    """Adopts newer states of evacuated zones and pushes changes to peers.

    Each control message carries the state, so that a process which missed a
    push receives it with the next probe.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        generator: random.Random,
        send: collections.abc.Callable[[outgoing.Message], None],
        on_evacuations: collections.abc.Callable[[frozenset[str], float], None],
    ):
        """Starts without a state.

        Args:
            gossiper: Membership protocol and member table.
            generator: Source of random peers.
            send: Sends a control message.
            on_evacuations: Called with the evacuated zones when they change.
        """
        self._view = evacuations.EvacuationView()
        self._zones: frozenset[str] = frozenset()
        self._gossiper = gossiper
        self._random = generator
        self._send = send
        self._on_evacuations = on_evacuations

    @property
    def state(self) -> evacuations.EvacuationState:
        """The newest state received."""
        return self._view.state

    def adopt(
        self, received: evacuations.EvacuationState, source: str, now: float
    ) -> None:
        """Puts a state in force if it is newer, and pushes it if zones change.

        Args:
            received: State from the store or a peer.
            source: Origin of the state, for the log.
            now: Present time, seconds.
        """
        was_known = self.state.is_known
        if not self._view.adopt(received, now):
            return
        if not was_known:
            loguru.logger.bind(
                era=received.era,
                revision=received.revision,
                zones=sorted(received.zones),
                source=source,
            ).info("evacuated zones known")
        if self._apply(source, now) and was_known:
            self._push()

    def on_tick(self, now: float) -> None:
        """Ends evacuations that were kept for a restored store.

        Args:
            now: Present time, seconds.
        """
        self._apply("restored store", now)

    def _apply(self, source: str, now: float) -> bool:
        """Logs and reports changed zones, and returns whether any changed."""
        zones = self._view.zones(now)
        if zones == self._zones:
            return False
        for event, changed in (
            ("zone evacuated", zones - self._zones),
            ("evacuation of zone ended", self._zones - zones),
        ):
            for zone in sorted(changed):
                loguru.logger.bind(
                    zone=zone,
                    era=self.state.era,
                    revision=self.state.revision,
                    source=source,
                ).info(event)
        self._zones = zones
        self._on_evacuations(zones, now)
        return True

    def _push(self) -> None:
        """Sends the state to some random peers."""
        for message in outgoing.notifications(
            self._gossiper.peers(),
            self._gossiper.options.push_fanout,
            self._random,
        ):
            self._send(message)
