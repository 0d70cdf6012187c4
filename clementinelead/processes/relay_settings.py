"""Settings of relaying balancers and side processes."""

import msgspec

from clementinelead.relays import warmup_limit

__all__ = ["RelaySettings"]


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings that balancers and side processes share.

    Attributes:
        id: Identifier of this process.
        cluster: Name of the cluster; datagrams of other clusters are dropped.
        region: Region of the instance.
        zone: Availability zone of the instance.
        address: IP address of the instance.
        data_port: UDP port for datagrams of the packet path.
        control_port: UDP port for gossip.
        http_port: TCP port of the peer HTTP server.
        metrics_port: TCP port for metrics, 0 for none.
        seeds: IP addresses of processes to join through.
        stop_s: Longest duration of a graceful shutdown, seconds.
        heartbeat_s: Interval of the target's heartbeats, seconds.
        first_start: Whether the whole system starts for the first time.
        warmup_bound: Bound on new flows at targets that warm up, None if their
            number is not limited.
        link_mbps: Bandwidth of the instance's link, Mbit/s; 0 if not known.
        zone_spill_share: Share of a route's latency objective up to which a
            balancer prefers targets in its availability zone, 0 if not at all.
        further_queries_share: Largest share of the new flows of a service for
            which a balancer asks further targets for their load, 0 for none.
    """

    id: str
    cluster: str
    region: str
    zone: str
    address: str
    data_port: int
    control_port: int
    http_port: int
    metrics_port: int
    seeds: tuple[str, ...]
    stop_s: float
    heartbeat_s: float
    first_start: bool = False
    warmup_bound: warmup_limit.WarmupBound | None = None
    link_mbps: float = 0.0
    zone_spill_share: float = 0.0
    further_queries_share: float = 0.0
