"""Contact of a process with the store: age of the last answer, outcomes."""

import typing

import loguru

from clementinelead.memberships import gossip
from clementinelead.telemetry import counters

__all__ = ["StoreContact", "publish_loss"]

_DEPENDENCY = "store"


class StoreContact:
    """Records the outcomes of a watcher's calls; logs loss and return.

    Attributes:
        counts: Calls by outcome: ``answered`` and ``failed``.
    """

    def __init__(self, now: float):
        """Starts without a call.

        Args:
            now: Present time, seconds.
        """
        self.counts = counters.CounterSet()
        self._answered_at = now
        self._is_lost = False

    def answer_age_s(self, now: float) -> float:
        """Returns the time since the last answer, or the start, seconds.

        Args:
            now: Present time, seconds.
        """
        return now - self._answered_at

    def on_answer(self, version: int, now: float) -> None:
        """Records an answer that could be used.

        Args:
            version: Version of the configuration in force, for the log.
            now: Present time, seconds.
        """
        self.counts.add("answered")
        if self._is_lost:
            loguru.logger.bind(
                dependency=_DEPENDENCY,
                version=version,
                answered_s_ago=round(self.answer_age_s(now), 3),
            ).info("dependency regained")
        self._is_lost = False
        self._answered_at = now

    def on_failure(self, reason: str, version: int, now: float) -> None:
        """Records a call without a usable answer.

        Args:
            reason: Cause of the failure, for the log.
            version: Version of the configuration in force, for the log.
            now: Present time, seconds.
        """
        self.counts.add("failed")
        if not self._is_lost:
            loguru.logger.bind(
                dependency=_DEPENDENCY,
                reason=reason,
                version=version,
                answered_s_ago=round(self.answer_age_s(now), 3),
            ).warning("dependency lost")
        self._is_lost = True


class _Node(typing.Protocol):
    """Process with a membership record."""

    gossiper: gossip.Gossiper

    def announce(self, **fields: object) -> None:
        """Publishes changed fields of the record."""


def publish_loss(node: _Node, is_lost: bool) -> None:
    """Publishes whether the store answers a process, if that has changed.

    Before the first announcement of the process it does nothing; callers repeat
    it with each call to the store.

    Args:
        node: The process.
        is_lost: Whether the store does not answer it.
    """
    gossiper = node.gossiper
    if gossiper.announced and gossiper.own.store_lost is not is_lost:
        node.announce(store_lost=is_lost)
