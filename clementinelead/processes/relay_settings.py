"""Settings of the processes that relay flows to targets that answer."""

import msgspec

__all__ = ["RelaySettings"]


class RelaySettings(msgspec.Struct, frozen=True):
    """Settings that balancers and side processes share.

    Attributes:
        id: Identifier of this process.
        cluster: Name of the cluster; strays from others are dropped.
        region: Its region.
        zone: Its availability zone.
        address: IP address of the instance.
        data_port: UDP port for datagrams of the packet path.
        control_port: UDP port for gossip.
        http_port: TCP port for peers.
        metrics_port: TCP port for metrics, 0 for none.
        seeds: IP addresses of processes to join through.
        stop_s: Time that a stop may take, seconds.
        heartbeat_s: Interval of the target's heartbeats, seconds.
        first_start: Whether the whole system starts for the first time.
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
