"""Durations of long polls that notice in time that the store is silent."""

import random

import msgspec

__all__ = ["LongPoll", "LongPollSchedule"]

MIN_HOLD_SHARE = 0.35
MAX_HOLD_SHARE = 0.5
"""Longest hold of a poll, as a share of the bound on changes."""

ANSWER_SHARE = 0.2
"""Time for an answer beyond the hold, as a share of the bound on changes.

What the hold and this time leave is for the next poll, the peers and their
fetches.
"""

UNHELD_SHARE = 0.5
"""Timeout of a poll without a hold, as a share of the bound on changes.

It is longer than the time for an answer after a hold, so that a slow store can
still be read.
"""


class LongPoll(msgspec.Struct, frozen=True):
    """Durations of one long poll.

    Attributes:
        hold_s: Time that the store may wait for a change, seconds.
        timeout_s: Timeout of the call, seconds.
    """

    hold_s: float
    timeout_s: float


class LongPollSchedule:
    """Chooses the durations of a watcher's consecutive long polls.

    A connection may stop to deliver data without a reset. The next change is
    then late by up to the timeout of the poll, so the timeout follows from
    the time in which a change must be in force. Holds are random: one event
    answers the polls of all watchers, and with equal holds a fault after it
    would hit all of them for equally long.
    """

    def __init__(self, bound_s: float, generator: random.Random):
        """Starts with a poll that is held.

        Args:
            bound_s: Time after which a change must be in force, seconds.
            generator: Source of the random holds.
        """
        self._bound_s = bound_s
        self._random = generator
        self._has_failed = False

    def next_poll(self) -> LongPoll:
        """Returns the durations of the next poll.

        After a failure a poll is not held: it returns a change in the meantime
        at once, and a store that is still silent is noticed sooner.
        """
        if self._has_failed:
            return LongPoll(0.0, UNHELD_SHARE * self._bound_s)
        hold_share = self._random.uniform(MIN_HOLD_SHARE, MAX_HOLD_SHARE)
        return LongPoll(
            hold_share * self._bound_s,
            (hold_share + ANSWER_SHARE) * self._bound_s,
        )

    def on_answer(self) -> None:
        """Records that the store has answered the last poll."""
        self._has_failed = False

    def on_failure(self) -> None:
        """Records that the last poll was not answered, or was refused."""
        self._has_failed = True
