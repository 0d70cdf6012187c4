"""Processes that did not answer: asked again, then declared dead."""

import msgspec

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["Suspicions"]

SUSPECT_PING_INTERVAL_S = 0.15
"""Time between two questions to a suspect, seconds."""

MIN_SUSPECT_PINGS = 8
"""Questions that a suspect leaves unanswered before it is declared dead."""

MAX_SUSPECTS = 4
"""Suspects at a time: many deaths at once must cause no storm."""

MAX_SUSPECT_PINGS_PER_TICK = 4

RECENT_DEATH_S = 10.0
"""Time after a death in which others of its zone are likely, seconds."""

RECENT_DEATH_SPEEDUP = 2
"""How much less asking will do then."""


RECENT_MESSAGE_S = 2.0
"""Time for which a process that was heard is not taken for dead, seconds."""

MAX_TRACKED_SENDERS = 4_096
"""Processes whose last message is remembered; gossip names few at a time."""


class _Suspicion(msgspec.Struct):
    deadline: float
    next_ping: float
    pings_left: int


class Suspicions:
    """Decides whom to ask again, and whom to declare dead.

    The table is only read here; whoever declares a death changes it.
    """

    def __init__(self, table: members.MemberTable, wait_s: float):
        """Begins without suspects.

        Args:
            table: All records known.
            wait_s: Time that a suspect has to answer, seconds.
        """
        self._table = table
        self._wait_s = wait_s
        self._suspicion_by_id: dict[str, _Suspicion] = {}
        self._attention_by_zone: dict[str, float] = {}
        self._heard_at_by_id: dict[str, float] = {}

    def has_recent_death(self, zone: str, now: float) -> bool:
        """Tells whether a process of a zone has died a moment ago."""
        return self._attention_by_zone.get(zone, 0.0) > now

    def zones_with_recent_death(self, now: float) -> frozenset[str]:
        """Returns the availability zones of those that died a moment ago."""
        return frozenset(
            zone
            for zone, until in self._attention_by_zone.items()
            if until > now
        )

    def suspect(self, identifier: str, now: float) -> None:
        """Starts to ask a process that did not answer, again and again.

        Few at a time: the other processes ask the others. After a death in the
        same availability zone another one is likely, and less asking will do.

        Args:
            identifier: Identifier of the process.
            now: Present time, seconds.
        """
        record = self._table.by_id.get(identifier)
        if record is None or members.has_ended(record):
            return
        if len(self._suspicion_by_id) >= MAX_SUSPECTS:
            return
        wait = self._wait_s
        pings = MIN_SUSPECT_PINGS
        if self.has_recent_death(record.zone, now):
            wait /= RECENT_DEATH_SPEEDUP
            pings //= RECENT_DEATH_SPEEDUP
        self._suspicion_by_id.setdefault(
            identifier, _Suspicion(now + wait, now, pings)
        )

    def clear(self, identifier: str) -> None:
        """Notes that the record of a process has changed."""
        self._suspicion_by_id.pop(identifier, None)

    def on_message(self, identifier: str, now: float) -> None:
        """Notes that a process lives whose own message has arrived."""
        self.clear(identifier)
        self._heard_at_by_id[identifier] = now
        if len(self._heard_at_by_id) > MAX_TRACKED_SENDERS:
            oldest = next(iter(self._heard_at_by_id))
            del self._heard_at_by_id[oldest]

    def has_recent_message(self, identifier: str, now: float) -> bool:
        """Tells whether a process has been heard a moment ago."""
        heard = self._heard_at_by_id.get(identifier)
        return heard is not None and now - heard < RECENT_MESSAGE_S

    def on_death(self, record: records.Record, now: float) -> None:
        """Notes a death, by whomever it was declared."""
        self._attention_by_zone[record.zone] = now + RECENT_DEATH_S

    def on_pause(self, now: float) -> None:
        """Gives all suspects time anew, since answers may have been missed."""
        for suspicion in self._suspicion_by_id.values():
            suspicion.deadline = now + 2 * self._wait_s
            suspicion.pings_left = MIN_SUSPECT_PINGS

    def due_pings(self, now: float) -> list[records.Record]:
        """Returns the suspects to ask now."""
        due: list[records.Record] = []
        for identifier, suspicion in self._suspicion_by_id.items():
            if now < suspicion.next_ping:
                continue
            if len(due) >= MAX_SUSPECT_PINGS_PER_TICK:
                break
            suspicion.next_ping = now + SUSPECT_PING_INTERVAL_S
            suspicion.pings_left -= 1
            due.append(self._table.by_id[identifier])
        return due

    def pop_expired(self, now: float) -> list[records.Record]:
        """Returns those to declare dead now; they are suspects no more."""
        dead = [
            identifier
            for identifier, suspicion in self._suspicion_by_id.items()
            if now >= suspicion.deadline and suspicion.pings_left <= 0
        ]
        for identifier in dead:
            del self._suspicion_by_id[identifier]
        return [self._table.by_id[identifier] for identifier in dead]
