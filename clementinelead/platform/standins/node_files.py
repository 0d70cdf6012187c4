"""Settings files of processes and routes of the operator's configuration."""

import collections.abc
import dataclasses

__all__ = ["Node", "route_entry", "settings_text"]


@dataclasses.dataclass(frozen=True)
class Node:
    """Settings of a process.

    Attributes:
        name: Name of the process.
        address: IP address of the process.
        zone: Availability zone of the process.
        service: Service of its target, None for a balancer.
        internal_ports: First and last port of those that its peers use.
        seeds: Control addresses of processes to join through.
        store: IP address and port of the store.
        port_by_name: Other ports: ``datagrams``, ``ready`` and ``control``;
            of a side process ``app`` and ``outbound`` too.
    """

    name: str
    address: str
    zone: str
    service: str | None
    internal_ports: tuple[int, int]
    seeds: tuple[tuple[str, int], ...]
    store: tuple[str, int]
    port_by_name: collections.abc.Mapping[str, int]


def settings_text(node: Node) -> str:
    """Returns the text of a process's settings file.

    Args:
        node: Settings of the process.
    """

    def quoted_endpoint(name: str) -> str:
        return f'"{node.address}:{node.port_by_name[name]}"'

    first_port, last_port = node.internal_ports
    seeds = ", ".join(f'"{host}:{port}"' for host, port in node.seeds)
    lines = [
        f'node_name = "{node.name}"',
        f'ip = "{node.address}"',
        f'zone = "{node.zone}"',
        'region = "r"',
        f"internal_ports = [{first_port}, {last_port}]",
        f"seeds = [{seeds}]",
    ]
    if node.service is not None:
        lines += [
            f"app = {quoted_endpoint('app')}",
            f'service = "{node.service}"',
        ]
    lines += ["[listen]", f"datagram_addr = {quoted_endpoint('datagrams')}"]
    lines += [f"ready = {quoted_endpoint('ready')}"]
    lines += [f"control = {quoted_endpoint('control')}"]
    if node.service is not None:
        lines.append(f"outbound = {quoted_endpoint('outbound')}")
    host, port = node.store
    lines += ["[bounds]", "grace_s = 6"]
    lines += ["[platform]", f'address = "{host}:{port}"']
    return "\n".join(lines) + "\n"


def route_entry(
    name: str,
    address: tuple[str, int],
    service: str,
    priority: int = 2,
    objective_ms: int = 100,
    timeout_ms: int = 1000,
) -> dict[str, object]:
    """Returns a route of the operator's configuration, ready for JSON.

    Args:
        name: Name of the route.
        address: IP address and port of the service.
        service: Service that the route leads to.
        priority: Priority of its requests, 0 is the highest.
        objective_ms: Latency objective of its requests, milliseconds.
        timeout_ms: Time budget of its requests, milliseconds.
    """
    host, port = address
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "service": service,
        "target_latency_ms": objective_ms,
        "timeout_ms": timeout_ms,
        "priority": priority,
        "type": "idempotent",
    }
