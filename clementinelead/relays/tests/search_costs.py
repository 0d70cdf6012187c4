"""Counts the datagrams that the search for one flow costs.

``python -m clementinelead.relays.tests.search_costs`` prints the table in
``docs/CAPACITY.md``. One flow is searched for at a time; flows that are
searched for together share queries and replies.
"""

import collections
import dataclasses

from clementinelead.relays import candidates
from clementinelead.relays import frames
from clementinelead.relays.tests import network
from clementinelead.relays.tests import test_probing
from clementinelead.replays import packets

SIZES = (9, 35, 150, 1_000)
COPIES_AT_S = (0.0, 0.2, 0.6, 1.4)
"""Times at which a caller sends a packet and its copies, seconds."""

SETTLE_S = 0.3
"""Time after the end in which a further search would begin, seconds."""

_Kind = frames.Kind


@dataclasses.dataclass(frozen=True)
class Cost:
    """What a search took until the flow was found or reset.

    Attributes:
        rounds: Query rounds.
        queries: Queries to side processes.
        replies: Replies to them.
        probes: Packets sent to side processes that may hold the flow.
        returns: Those that came back.
        at_owner: Packets of the flow at its target.
        at_others: Packets of the flow at other targets.
        resets: Resets of the flow.
        ended_after_s: Time until a packet reached the flow's target or the
            caller was told that the flow is lost, seconds.
    """

    rounds: int
    queries: int
    replies: int
    probes: int
    returns: int
    at_owner: int
    at_others: int
    resets: int
    ended_after_s: float

    @property
    def datagrams(self) -> int:
        """Datagrams between processes, the found flow's packet included."""
        delivered = self.at_owner if not self.probes else 0
        return (
            self.queries + self.replies + self.probes + self.returns + delivered
        )


class _Counter:
    """Counts the datagrams of a network by kind."""

    def __init__(self, net):
        self.by_kind = collections.Counter()
        self.query_times = set()
        self._net = net
        self._deliver = net._deliver
        net._deliver = self._count

    def _count(self, source, address, data):
        kind = frames.decode(data).kind
        self.by_kind[kind] += 1
        if kind is _Kind.QUERY_HELD:
            self.query_times.add(round(self._net.now, 4))
        self._deliver(source, address, data)


def _measure(net, key, owner):
    """Searches for a flow; its owner is None if no target holds it."""
    counter = _Counter(net)
    arrivals = test_probing.Arrivals(net)
    begin = net.now
    ended_at = float("inf")
    copies_at_s = list(COPIES_AT_S)
    while net.now < min(begin + test_probing.REORDER_S, ended_at + SETTLE_S):
        ended = net.now >= ended_at
        if copies_at_s and not ended and net.now >= begin + copies_at_s[0]:
            copies_at_s.pop(0)
            test_probing.send_data(net, key, owner or ("side0", 1))
        net.run(network.STEP_S)
        reached = any(address == owner for _, address in arrivals.of(key))
        if not ended and (reached or _resets(net)):
            ended_at = net.now
    kinds = counter.by_kind
    addresses = [address for _, address in arrivals.of(key)]
    return Cost(
        rounds=len(counter.query_times),
        queries=kinds[_Kind.QUERY_HELD],
        replies=sum(
            kinds[kind] for kind in (_Kind.HELD, _Kind.ABSENT, _Kind.UNSURE)
        ),
        probes=kinds[_Kind.PROBE],
        returns=kinds[_Kind.NOT_HELD],
        at_owner=addresses.count(owner),
        at_others=len(addresses) - addresses.count(owner),
        resets=_resets(net),
        ended_after_s=ended_at - begin,
    )


def _resets(net):
    return sum(
        network.Format().from_target(data).resets for data in net.to_caller
    )


def _network_with_flow(targets, position=0):
    """Returns a network, a flow and its owner.

    Args:
        targets: Number of targets.
        position: Position of the owner in the order in which the flow is
            placed; it usually opens at the first one.
    """
    net = network.Network(targets=targets, zones=test_probing.ZONES)
    balancer = net.balancer_by_address[("balancer0", 1)]
    order = candidates.placement_order(
        network.flow_key(1), balancer._directory.targets(network.SERVICE), "z"
    )
    owner = order[position].address
    key = test_probing.put_flow(net, 1, owner)
    sequence = net.target_by_address[owner].sequence_by_key[key]
    net.side_by_address[owner].on_target_packet(
        network.packet(key, packets.ACCEPTS, sequence), net.now
    )
    return net, key, owner


def known(targets):
    """The side process knows the flow."""
    net, key, owner = _network_with_flow(targets)
    net.restart_balancer(0)
    return _measure(net, key, owner)


def owner_unsure(targets):
    """The flow's side process has restarted."""
    net, key, owner = _network_with_flow(targets)
    net.restart_balancer(0)
    number = list(net.side_by_address).index(owner)
    net.restart_side(number)
    net.send_heartbeat(number, sequence=50)
    return _measure(net, key, owner)


def all_unsure(targets):
    """All have restarted; first target."""
    net, key, owner = _network_with_flow(targets)
    test_probing.restart_all(net)
    return _measure(net, key, owner)


def all_unsure_last(targets):
    """All have restarted; last target."""
    net, key, owner = _network_with_flow(targets, position=-1)
    test_probing.restart_all(net)
    return _measure(net, key, owner)


def lost(targets):
    """No target holds the flow."""
    net = network.Network(targets=targets, zones=test_probing.ZONES)
    net.restart_balancer(0)
    return _measure(net, network.flow_key(1), None)


def lost_all_unsure(targets):
    """No target holds the flow; all have restarted."""
    net = network.Network(targets=targets, zones=test_probing.ZONES)
    test_probing.restart_all(net)
    return _measure(net, network.flow_key(1), None)


CASES = (
    known,
    owner_unsure,
    all_unsure,
    all_unsure_last,
    lost,
    lost_all_unsure,
)
_COLUMNS = (
    "case",
    "targets",
    "rounds",
    "queries",
    "replies",
    "probes",
    "returns",
    "at other targets",
    "datagrams",
    "ended after, s",
)


def main():
    """Prints the costs as a table."""
    print("|", " | ".join(_COLUMNS), "|")
    print("|", " | ".join("---" for _ in _COLUMNS), "|")
    for case in CASES:
        for size in SIZES:
            cost = case(size)
            row = (
                case.__doc__.rstrip("."),
                size,
                cost.rounds,
                cost.queries,
                cost.replies,
                cost.probes,
                cost.returns,
                cost.at_others,
                cost.datagrams,
                f"{cost.ended_after_s:.3f}",
            )
            print("|", " | ".join(map(str, row)), "|")


if __name__ == "__main__":
    main()
