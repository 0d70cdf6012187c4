"""Batching of queries for the owners of flows, many flows per datagram."""

import collections.abc

from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes

__all__ = ["QUERY_REPLY_TIMEOUT_S", "QueryRounds"]

QUERY_BATCH_DELAY_S = 0.002
"""Shortest delay of a query, so that flows share datagrams, seconds."""

QUERY_REPLY_TIMEOUT_S = 0.06
"""Time in which the side processes must reply to a query, seconds."""

_Address = tuple[str, int]


class QueryRounds:
    """Collects queries, and sends them in rounds.

    The next round waits for the replies to the last one, or for their timeout.
    Otherwise a balancer that receives many packets of uncached flows, as after
    a restart of all processes, would use up its processor and link on queries.
    """

    def __init__(self, targets: directory.Directory):
        """Creates an empty batch.

        Args:
            targets: The targets of all services.
        """
        self._directory = targets
        self._keys_by_owner: dict[tuple[_Address, int], list[bytes]] = {}
        self._due_at = float("inf")
        self._awaiting_reply: set[_Address] = set()
        self._round_until = 0.0

    @property
    def has_queued(self) -> bool:
        """Whether queries wait to be sent."""
        return bool(self._keys_by_owner)

    def add(
        self,
        key: bytes,
        owners: collections.abc.Iterable[tuple[_Address, int]],
        now: float,
    ) -> None:
        """Adds the query for a flow to the next round.

        Args:
            key: Flow key.
            owners: Side processes to query, with the numbers of their services.
            now: Present time, seconds.
        """
        for owner in owners:
            self._keys_by_owner.setdefault(owner, []).append(key)
        if not self._awaiting_reply or now >= self._round_until:
            self._due_at = min(self._due_at, now + QUERY_BATCH_DELAY_S)
        else:
            self._due_at = self._round_until

    def record_reply(self, source: _Address, now: float) -> None:
        """Records a reply; the last one of a round makes the next round due.

        Args:
            source: Address of the side process.
            now: Present time, seconds.
        """
        self._awaiting_reply.discard(source)
        if not self._awaiting_reply and self._keys_by_owner:
            self._due_at = now

    def take_due(self, now: float) -> tuple[list[outcomes.Outcome], set[bytes]]:
        """Returns the queries that are due, and the keys that they contain.

        Side processes that have been abandoned do not delay the next round.

        Args:
            now: Present time, seconds.
        """
        sends: list[outcomes.Outcome] = []
        queried: set[bytes] = set()
        if now < self._due_at:
            return sends, queried
        for (address, number), keys in self._keys_by_owner.items():
            self._directory.responsiveness.record_query(address, now)
            queried.update(keys)
            for start in range(0, len(keys), frames.MAX_KEYS_PER_FRAME):
                part = keys[start : start + frames.MAX_KEYS_PER_FRAME]
                message = frames.encode(
                    frames.Kind.QUERY_HELD,
                    number,
                    part[0],
                    frames.join_keys(part),
                )
                sends.append(outcomes.ToPeer(address, message))
        self._awaiting_reply = {
            address
            for address, _ in self._keys_by_owner
            if not self._directory.is_abandoned(address, now)
        }
        self._round_until = now + QUERY_REPLY_TIMEOUT_S
        self._keys_by_owner.clear()
        self._due_at = float("inf")
        return sends, queried
