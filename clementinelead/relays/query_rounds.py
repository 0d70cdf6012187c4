"""Questions for the owners of flows, many flows in a datagram."""

import collections.abc

from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes

__all__ = ["QUERY_REPLY_TIMEOUT_S", "QueryRounds"]

QUERY_BATCH_DELAY_S = 0.002
"""Shortest time that questions wait, so that flows share datagrams, seconds."""

QUERY_REPLY_TIMEOUT_S = 0.06
"""Time that the side processes have to answer, seconds."""

_Address = tuple[str, int]


class QueryRounds:
    """Collects questions, and sends them in rounds.

    The next round waits for the answers to the last one: a balancer that many
    packets of unknown flows reach, as after a loss of all, would else spend
    its processor and link on questions alone.
    """

    def __init__(self, known: directory.Directory):
        """Starts with nothing to ask.

        Args:
            known: The targets.
        """
        self._directory = known
        self._queries: dict[tuple[_Address, int], list[bytes]] = {}
        self._due = float("inf")
        self._round: set[_Address] = set()
        self._round_until = 0.0

    @property
    def has_queued(self) -> bool:
        """Whether questions wait to be sent."""
        return bool(self._queries)

    def add(
        self,
        key: bytes,
        owners: collections.abc.Iterable[tuple[_Address, int]],
        now: float,
    ) -> None:
        """Takes up the question for a flow.

        Args:
            key: Flow key.
            owners: Whom to ask, with the numbers of their services.
            now: Present time, seconds.
        """
        for owner in owners:
            self._queries.setdefault(owner, []).append(key)
        if not self._round or now >= self._round_until:
            self._due = min(self._due, now + QUERY_BATCH_DELAY_S)
        else:
            self._due = self._round_until

    def record_reply(self, source: _Address, now: float) -> None:
        """Notes an answer; lets the next round begin after the last one."""
        self._round.discard(source)
        if not self._round and self._queries:
            self._due = now

    def take_due(self, now: float) -> tuple[list[outcomes.Outcome], set[bytes]]:
        """Returns the questions that are due, and the flows they ask for.

        Args:
            now: Present time, seconds.
        """
        sends: list[outcomes.Outcome] = []
        asked: set[bytes] = set()
        if now < self._due:
            return sends, asked
        for (address, number), keys in self._queries.items():
            self._directory.responsiveness.record_query(address, now)
            asked.update(keys)
            for start in range(0, len(keys), frames.MAX_KEYS):
                part = keys[start : start + frames.MAX_KEYS]
                message = frames.encode(
                    frames.Kind.ASK_HELD,
                    number,
                    part[0],
                    frames.join_keys(part),
                )
                sends.append(outcomes.ToPeer(address, message))
        self._round = {
            address
            for address, _ in self._queries
            if not self._directory.is_abandoned(address, now)
        }
        self._round_until = now + QUERY_REPLY_TIMEOUT_S
        self._queries.clear()
        self._due = float("inf")
        return sends, asked
