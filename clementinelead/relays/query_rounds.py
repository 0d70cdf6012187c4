"""Batching of queries for the owners of flows, many flows per datagram."""

import collections.abc
import itertools

from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes

__all__ = ["QUERY_REPLY_TIMEOUT_S", "QueryRounds"]

QUERY_BATCH_DELAY_S = 0.002
"""Shortest delay of a query, so that flows share datagrams, seconds."""

QUERY_REPLY_TIMEOUT_S = 0.06
"""Time in which the side processes must reply to a query, seconds."""

_Address = tuple[str, int]
_Owner = tuple[_Address, int]


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
        # Flows share their owners, as each has hundreds of them.
        self._keys_by_owners: dict[tuple[_Owner, ...], list[bytes]] = {}
        self._due_at = float("inf")
        self._awaiting_reply: set[_Address] = set()
        self._round_until = 0.0

    @property
    def has_queued(self) -> bool:
        """Whether queries wait to be sent."""
        return bool(self._keys_by_owners)

    def add(
        self,
        key: bytes,
        owners: collections.abc.Iterable[_Owner],
        now: float,
    ) -> None:
        """Adds the query for a flow to the next round.

        Args:
            key: Flow key.
            owners: Side processes to query, with the numbers of their services.
            now: Present time, seconds.
        """
        self._keys_by_owners.setdefault(tuple(owners), []).append(key)
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
        if not self._awaiting_reply and self._keys_by_owners:
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
        groups_by_owner: dict[_Owner, list[list[bytes]]] = {}
        for owners, keys in self._keys_by_owners.items():
            queried.update(keys)
            for owner in owners:
                groups_by_owner.setdefault(owner, []).append(keys)
        # Owners that are asked for the same flows get the same bytes.
        messages: dict[tuple[int, ...], list[bytes]] = {}
        for (address, number), groups in groups_by_owner.items():
            self._directory.responsiveness.record_query(address, now)
            same = (number, *map(id, groups))
            if same not in messages:
                messages[same] = _messages(number, groups)
            sends += [
                outcomes.ToPeer(address, message) for message in messages[same]
            ]
        self._awaiting_reply = {
            address
            for address, _ in groups_by_owner
            if not self._directory.is_abandoned(address, now)
        }
        self._round_until = now + QUERY_REPLY_TIMEOUT_S
        self._keys_by_owners.clear()
        self._due_at = float("inf")
        return sends, queried


def _messages(number: int, groups: list[list[bytes]]) -> list[bytes]:
    """Returns the queries for groups of flows.

    Args:
        number: Number of the service.
        groups: Flow keys.
    """
    keys = list(itertools.chain.from_iterable(groups))
    messages = []
    for start in range(0, len(keys), frames.MAX_KEYS_PER_FRAME):
        part = keys[start : start + frames.MAX_KEYS_PER_FRAME]
        payload = frames.join_keys(part)
        messages.append(
            frames.encode(frames.Kind.QUERY_HELD, number, part[0], payload)
        )
    return messages
