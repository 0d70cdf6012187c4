"""Offers of a configuration older than the one in force."""

import loguru

from clementinelead.configurations import adoption
from clementinelead.telemetry import counters

__all__ = ["ReversionLog"]


class ReversionLog:
    """Logs the first offer of a kind, and counts all of them by source.

    A store that was set back makes the same offer for as long as it lasts.

    Attributes:
        counts: Offers by source.
    """

    def __init__(self) -> None:
        self.counts = counters.CounterSet()
        self._logged: set[tuple[str, int]] = set()

    def record(self, offer: adoption.OlderRevision, source: str) -> None:
        """Notes an offer that was not taken.

        Args:
            offer: The offer.
            source: Where it came from.
        """
        self.counts.add(source)
        if (source, offer.offered) in self._logged:
            return
        self._logged.add((source, offer.offered))
        loguru.logger.error(
            "configuration went back: {} offers revision={}, in force"
            " is revision={}; kept the higher one",
            source,
            offer.offered,
            offer.in_force,
        )

    def on_adopted(self) -> None:
        """Forgets what was logged: a newer configuration is in force."""
        self._logged.clear()
