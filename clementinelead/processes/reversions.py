"""Log and counts of offers of a configuration older than that in force."""

import loguru

from clementinelead.configurations import adoption
from clementinelead.telemetry import counters

__all__ = ["ReversionLog"]


class ReversionLog:
    """Logs each different offer once, and counts all offers by source.

    A store that was restored to an older state repeats the same offer for as
    long as that state lasts.

    Attributes:
        counts: Number of offers by source.
    """

    def __init__(self) -> None:
        self.counts = counters.CounterSet()
        self._logged: set[tuple[str, int]] = set()

    def record(self, offer: adoption.OlderRevision, source: str) -> None:
        """Counts an offer that was not adopted, and logs it if it is new.

        Args:
            offer: Revisions that were offered and in force.
            source: Identifier of the peer, or ``store``.
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
        """Clears the logged offers, as a newer configuration is in force."""
        self._logged.clear()
