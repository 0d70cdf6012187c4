"""Settings files of processes, and the operator's routes, as written there."""

import collections.abc
import dataclasses

__all__ = ["Node", "route_entry", "settings_text"]


@dataclasses.dataclass(frozen=True)
class Node:
    """A process as its settings describe it.

    Attributes:
        name: Its name.
        address: Its IP address.
        zone: Its availability zone.
        service: Service of its target, None on a balancer.
        internal_ports: First and last port for its peers.
        seeds: Control addresses of processes to join through.
        store: Address of the store.
        port_by_name: Its other ports.
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
    """Returns the settings file of a process."""

    def listening(name: str) -> str:
        return f'"{node.address}:{node.port_by_name[name]}"'

    first, last = node.internal_ports
    seeds = ", ".join(f'"{host}:{port}"' for host, port in node.seeds)
    lines = [
        f'node_name = "{node.name}"',
        f'ip = "{node.address}"',
        f'zone = "{node.zone}"',
        'region = "r"',
        f"internal_ports = [{first}, {last}]",
        f"seeds = [{seeds}]",
    ]
    if node.service is not None:
        lines += [f"app = {listening('app')}", f'service = "{node.service}"']
    lines += ["[listen]", f"datagram_addr = {listening('datagrams')}"]
    lines += [f"ready = {listening('ready')}"]
    lines += [f"control = {listening('control')}"]
    if node.service is not None:
        lines.append(f"outbound = {listening('outbound')}")
    host, port = node.store
    lines += ["[bounds]", "grace_s = 6"]
    lines += ["[platform]", f'address = "{host}:{port}"']
    return "\n".join(lines) + "\n"


def route_entry(
    name: str, address: tuple[str, int], service: str
) -> dict[str, object]:
    """Returns a route of the operator's configuration."""
    host, port = address
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "service": service,
        "target_latency_ms": 100,
        "timeout_ms": 1000,
    }
