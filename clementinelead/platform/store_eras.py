"""Store era, named in each answer of the store.

A store that is restored from an older copy of its data has lost all later
writes and leases, and assigns their revisions and lease numbers again. Each
such restore raises the era by one.
"""

import loguru

from clementinelead.processes import http_client
from clementinelead.telemetry import counters

__all__ = ["EraTracker"]

ERA_HEADER = b"store-era"

MAX_LOGGED_VALUES = 2
MAX_LOGGED_BYTES = 40

MAX_ERA_DIGITS = 18
"""A longer number is not accepted as an era."""


class EraTracker:
    """Tracks the store era in answers that may arrive late or out of order.

    Attributes:
        era: Highest era received, 0 before the first one.
        counts: Changes of the era (``changed``), answers of an older era
            (``outdated``) and invalid header fields (``unreadable``).
    """

    def __init__(self) -> None:
        self.era = 0
        self.counts = counters.CounterSet()

    def observe(self, answer: http_client.Response) -> bool:
        """Records the era of an answer, and returns whether it is outdated.

        Args:
            answer: Any answer of the store, refusals included.

        Returns:
            Whether the answer is of an older era than the highest one
            received. An answer without an era or with an invalid one counts
            as one of the present era.
        """
        header_values = answer.values(ERA_HEADER)
        if not header_values:
            return False
        era = _parse_era(header_values)
        if era is None:
            self.counts.add("unreadable")
            loguru.logger.bind(
                values=[
                    repr(value[:MAX_LOGGED_BYTES])
                    for value in header_values[:MAX_LOGGED_VALUES]
                ],
                era=self.era,
            ).warning("store era can't be read")
            return False
        if era < self.era:
            self.counts.add("outdated")
            loguru.logger.bind(named=era, era=self.era).info(
                "answer of an older store era"
            )
            return True
        if era > self.era:
            self._advance_to(era)
        return False

    def _advance_to(self, era: int) -> None:
        """Stores a new era, and reports a change unless it is the first one."""
        if self.era:
            self.counts.add("changed")
            loguru.logger.bind(before=self.era, era=era).warning(
                "store era changed"
            )
        self.era = era


def _parse_era(header_values: list[bytes]) -> int | None:
    """Returns the era in the values of a header field, None if invalid.

    A repeated field is valid if all its values are the same.
    """
    distinct_values = set(header_values)
    if len(distinct_values) != 1:
        return None
    text = distinct_values.pop().strip()
    if not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return None
    return int(text)
