"""How fast all know of a join, a leave and a death, and what it costs."""

import statistics

from bench import gossip_network
from bench import results

__all__ = ["membership", "partition", "zone_loss"]

NODES = 30
ZONES = 4
LOSS = 0.2
QUIET_S = 60.0
LIMIT_S = 30.0
EVENTS = 10
JOIN_BOUND_S = 2.0
LEAVE_BOUND_S = 2.0
DEATH_BOUND_S = 5.0
ZONE_LOSS_BOUND_S = 10.0
BYTES_BOUND = 2_000.0


def _network(
    seed: int, count: int = NODES, loss: float = 0.0
) -> gossip_network.GossipNetwork:
    link = gossip_network.Link(loss=loss)
    network = gossip_network.GossipNetwork(count, ZONES, seed, link)
    network.run(5.0)
    return network


def membership(seed: int) -> results.Result:
    """30 nodes: joins, leaves and deaths; 20% loss; bytes a second."""
    joins, leaves, deaths = [], [], []
    network = _network(seed)
    for _ in range(EVENTS):
        name = network.join()
        joins.append(network.time_until(name, len(network.nodes), LIMIT_S))
        network.run(2.0)
        network.leave(name)
        leaves.append(network.time_until(name, 0, LIMIT_S))
        network.kill(name)
        network.run(2.0)
        name = network.join()
        network.run(5.0)
        network.kill(name)
        deaths.append(network.time_until(name, 0, LIMIT_S))
        network.run(5.0)
    quiet = _network(seed).bytes_per_node(QUIET_S)
    lossy = _network(seed, loss=LOSS)
    lossy.dead_seen.clear()
    lossy_bytes = lossy.bytes_per_node(QUIET_S)
    false_deaths = len({subject for _, subject in lossy.dead_seen})
    figures: dict[str, object] = {
        "join_s": round(max(joins), 2),
        "leave_s": round(max(leaves), 2),
        "death_s": round(max(deaths), 2),
        "death_median_s": round(statistics.median(deaths), 2),
        "false_deaths": false_deaths,
        "bytes_per_s": round(quiet),
        "bytes_per_s_at_loss": round(lossy_bytes),
    }
    checks = {
        "join_s": max(joins) <= JOIN_BOUND_S,
        "leave_s": max(leaves) <= LEAVE_BOUND_S,
        "death_s": max(deaths) <= DEATH_BOUND_S,
        "false_deaths": false_deaths == 0,
        "bytes_per_s": quiet <= BYTES_BOUND,
        "bytes_per_s_at_loss": lossy_bytes <= BYTES_BOUND,
    }
    missed = tuple(name for name, good in checks.items() if not good)
    return results.Result(figures, missed)


def zone_loss(seed: int) -> results.Result:
    """One of four availability zones dies at once."""
    network = _network(seed, 60)
    gone = [name for name in network.nodes if network.zone(name) == "zone-1"]
    before = network.bytes_by_id.copy()
    for name in gone:
        network.kill(name)
    started = network.now
    while any(network.knowing(name) for name in gone):
        if network.now - started > LIMIT_S:
            break
        network.tick()
    settled = network.now - started
    sent = [
        (network.bytes_by_id[name] - before[name]) / settled
        for name in network.nodes
    ]
    false_deaths = len(
        {subject for _, subject in network.dead_seen if subject not in gone}
    )
    figures: dict[str, object] = {
        "settled_s": round(settled, 2),
        "bytes_per_s": round(statistics.fmean(sent)),
        "bytes_per_s_worst": round(max(sent)),
        "false_deaths": false_deaths,
    }
    checks = {
        "settled_s": settled <= ZONE_LOSS_BOUND_S,
        "bytes_per_s": statistics.fmean(sent) <= BYTES_BOUND,
        "false_deaths": false_deaths == 0,
    }
    missed = tuple(name for name, good in checks.items() if not good)
    return results.Result(figures, missed)


def partition(seed: int) -> results.Result:
    """Two halves lose each other for a minute and meet again."""
    network = _network(seed, 40)
    for left in ("zone-0", "zone-1"):
        for right in ("zone-2", "zone-3"):
            network.cut.add(frozenset((left, right)))
    network.run(60.0)
    apart = min(network.knowing(name) for name in network.nodes)
    network.cut.clear()
    started = network.now
    count = len(network.nodes)
    while any(network.knowing(name) < count for name in network.nodes):
        if network.now - started > 2 * LIMIT_S:
            break
        network.tick()
    met = network.now - started
    figures: dict[str, object] = {
        "known_while_apart": apart,
        "met_s": round(met, 2),
    }
    missed = () if met <= LIMIT_S else ("met_s",)
    return results.Result(figures, missed)
