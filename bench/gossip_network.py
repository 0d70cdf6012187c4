"""Many gossip decisions in one process, under a clock of the test's own.

No sockets and no processes: each message is encoded, so that its bytes count,
delayed, perhaps lost, and handed to the receiver's decisions.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from clementinelead.memberships import anti_entropy
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import options
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["GossipNetwork", "Link"]

TICK_S = 0.05
TAG_BYTES = 16


@dataclasses.dataclass(frozen=True)
class Link:
    """How messages travel.

    Attributes:
        delay_s: Mean delay.
        loss: Share of messages lost.
    """

    delay_s: float = 0.003
    loss: float = 0.0


class GossipNetwork:
    """Nodes in a few availability zones that gossip with each other.

    Attributes:
        nodes: Decisions of the nodes that run, by identifier.
        bytes_by_id: Bytes that each node has sent.
        repairs: How often two nodes have compared whole tables.
        now: Present time, seconds.
    """

    def __init__(
        self,
        count: int,
        zones: int,
        seed: int,
        link: Link,
        bytes_per_s: float = 2_000.0,
    ):
        self.nodes: dict[str, gossip.Gossiper] = {}
        self.bytes_by_id: collections.Counter[str] = collections.Counter()
        self.now = 0.0
        self.link = link
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.dead_seen: list[tuple[str, str]] = []
        self._zones = zones
        self._random = random.Random(seed)
        self._options = options.Options(bytes_per_s=bytes_per_s)
        self._id_by_address: dict[tuple[str, int], str] = {}
        self._counter = itertools.count()
        self._queue: list[tuple[float, int, str, str, bytes]] = []
        self.repairs = 0
        self._repairs: dict[str, anti_entropy.SyncSchedule] = {}
        self._number = 0
        for _ in range(count):
            self.join(known=True)
        self._acquaint()

    # Events.

    def join(self, known: bool = False) -> str:
        """Adds a node; returns its identifier.

        Args:
            known: Whether it is part of the start, when all know all.
        """
        number = self._number
        self._number += 1
        identifier = f"node-{number}"
        own = records.Record(
            id=identifier,
            incarnation=1_000 + number,
            sequence=0,
            role=records.Role.SIDE,
            state=records.State.READY,
            region="north",
            zone=f"zone-{number % self._zones}",
            address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
            data_port=7000,
            control_port=7001,
            http_port=7002,
            services=("lookups",),
        )
        seeds: tuple[tuple[str, int], ...] = ()
        if self.nodes and not known:
            first = next(iter(self.nodes.values()))
            seeds = (first.own.control_address,)
        node = gossip.Gossiper(
            own, seeds, self._options, self._generator(number), self.now
        )
        self.nodes[identifier] = node
        self._id_by_address[own.control_address] = identifier
        self._repairs[identifier] = anti_entropy.SyncSchedule(
            self._generator(number)
        )
        if not known:
            others = [other for other in self.nodes if other != identifier]
            self._sync(identifier, self._random.choice(others))
        messages, _ = node.announce(self.now)
        self._post_all(identifier, messages)
        return identifier

    def leave(self, identifier: str) -> None:
        """Makes a node announce that it leaves."""
        messages, _ = self.nodes[identifier].announce(
            self.now, state=records.State.LEAVING
        )
        self._post_all(identifier, messages)

    def kill(self, identifier: str) -> None:
        """Ends a node without a word."""
        del self.nodes[identifier]

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end:
            self.tick()

    def tick(self) -> None:
        """Lets one tick pass at all nodes."""
        self.now += TICK_S
        while self._queue and self._queue[0][0] <= self.now:
            at, _, sender, receiver, data = heapq.heappop(self._queue)
            self._deliver(at, sender, receiver, data)
        for identifier, node in list(self.nodes.items()):
            if identifier in self.paused:
                continue
            messages, changes = node.on_tick(self.now)
            self._note(identifier, changes)
            self._post_all(identifier, messages)

    # Questions.

    def knowing(self, identifier: str) -> int:
        """Returns how many nodes believe that a node lives."""
        return sum(
            identifier in node.table.by_id
            and not members.has_ended(node.table.by_id[identifier])
            for node in self.nodes.values()
        )

    def time_until(self, identifier: str, count: int, limit: float) -> float:
        """Returns how long it takes until so many believe a node lives."""
        started = self.now
        while self.knowing(identifier) != count:
            if self.now - started > limit:
                return float("inf")
            self.tick()
        return self.now - started

    def bytes_per_node(self, seconds: float) -> float:
        """Returns the mean bytes a second that a node sends."""
        before = self.bytes_by_id.total()
        self.run(seconds)
        sent = self.bytes_by_id.total() - before
        return sent / seconds / len(self.nodes)

    # Details.

    def _generator(self, number: int) -> random.Random:
        return random.Random(f"{number}/{self._random.random()}")

    def _acquaint(self) -> None:
        """Tells all nodes of all, as if they had long been running."""
        everybody = tuple(node.own for node in self.nodes.values())
        for node in self.nodes.values():
            node.merge(everybody, self.now)
            node.clear_dissemination()
        self._queue.clear()

    def _post_all(self, sender: str, messages: list[outgoing.Message]) -> None:
        node = self.nodes[sender]
        for message in messages:
            control = controls.Control(
                sender=sender,
                incarnation=node.own.incarnation,
                counter=next(self._counter),
                revision=1,
                digest=node.table.digest,
                records=message.records,
                body=message.body,
            )
            data = controls.encode(control)
            size = len(data) + TAG_BYTES
            node.budget.spend(size)
            self.bytes_by_id[sender] += size
            receiver = self._id_by_address.get(message.address)
            if receiver is None or self._random.random() < self.link.loss:
                continue
            at = self.now + self._random.expovariate(1 / self.link.delay_s)
            heapq.heappush(
                self._queue, (at, next(self._counter), sender, receiver, data)
            )

    def _deliver(
        self, at: float, sender: str, receiver: str, data: bytes
    ) -> None:
        node = self.nodes.get(receiver)
        if node is None or receiver in self.paused:
            return
        zones = frozenset((self.zone(sender), self.zone(receiver)))
        if zones in self.cut:
            return
        control = controls.decode(data)
        source = self.nodes.get(sender)
        address = source.own.control_address if source else ("", 0)
        messages, changes = node.on_control(control, address, at)
        self._note(receiver, changes)
        self._post_all(receiver, messages)
        differs = control.digest != node.table.digest
        if self._repairs[receiver].is_due(differs, at) and source is not None:
            self.repairs += 1
            self._sync(receiver, sender)

    def _sync(self, receiver: str, sender: str) -> None:
        """Repairs one node's view from another one's, as over HTTP."""
        known = tuple(self.nodes[sender].table.by_id.values())
        changes = self.nodes[receiver].merge(known, self.now)
        self._note(receiver, changes)

    def zone(self, identifier: str) -> str:
        """Returns the availability zone of a node."""
        return f"zone-{int(identifier.rpartition('-')[2]) % self._zones}"

    def _note(self, observer: str, changes: list[members.Change]) -> None:
        for change in changes:
            if change.new.health is records.Health.DEAD:
                self.dead_seen.append((observer, change.new.id))
