"""Packets a second of one balancer and one side process, against a relay.

Each process runs alone on the receiving end of a sender that never waits; the
bare relay is a uvloop UDP socket that sends each datagram on. All three are
measured in the same run, in turn and several times, by the processor time
that they use for each packet.
"""

import dataclasses
import json
import os
import pathlib
import socket
import statistics
import subprocess
import sys
import time

from bench import clusters
from bench import groups
from bench import ports
from clementinelead.messages import envelopes
from standins import segments

__all__ = ["run"]

ROUNDS = 3
WARM_UP_S = 0.5
MEASURE_S = 2.0
PACKET_BYTES = 200
BURST = 32
FLOWS = 1000
BALANCER_TARGET = 0.40
SIDE_TARGET = 0.30
NEW_FLOWS_TARGET = 5000.0
HELD_FLOWS = 300_000
MEMORY_TARGET_MB = 256.0
_TICKS = os.sysconf("SC_CLK_TCK")

RELAY = """
import asyncio, socket, sys, uvloop
class Relay(asyncio.DatagramProtocol):
    def connection_made(self, transport):
        self.send = transport.sendto
        wrapped = transport.get_extra_info("socket")
        wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    def datagram_received(self, data, address):
        self.send(data, (sys.argv[1], int(sys.argv[3])))
async def main():
    await asyncio.get_running_loop().create_datagram_endpoint(
        Relay, local_addr=(sys.argv[1], int(sys.argv[2])))
    await asyncio.Event().wait()
uvloop.run(main())
"""


@dataclasses.dataclass(frozen=True)
class Rate:
    """What one process did in a measurement."""

    packets_per_s: float
    us_per_packet: float


def caller_packet(
    number: int, flags: int, group: groups.Group, size: int = PACKET_BYTES
) -> bytes:
    """Returns a caller's TCP packet of a numbered flow."""
    payload = b"" if flags & segments.SYN else b"x" * (size - 40)
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.1"
    return segments.build(
        segments.Segment(
            segments.TCP,
            (address, 10_000 + (number & 0xFF)),
            (group.address, group.port),
            flags,
            1,
            1,
            payload,
        )
    )


def cpu_s(process: int) -> float:
    """Returns the processor time that a process has used, seconds."""
    fields = pathlib.Path(f"/proc/{process}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / _TICKS


def resident_mb(process: int) -> float:
    """Returns the resident memory of a process, megabytes."""
    pages = int(pathlib.Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _drain(sink: socket.socket) -> int:
    count = 0
    while True:
        try:
            sink.recv_into(bytearray(1))
            count += 1
        except BlockingIOError:
            return count


def measure(
    process: int,
    address: tuple[str, int],
    sink: socket.socket,
    datagrams: list[bytes],
) -> Rate:
    """Sends at full speed and counts what arrives at the sink.

    Args:
        process: Process under test.
        address: Where it receives.
        sink: Where it sends to.
        datagrams: What to send, again and again.
    """
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect(address)
    count = 0
    number = 0
    begun = time.monotonic()
    started = begun
    used = cpu_s(process)
    warm = False
    while True:
        for _ in range(BURST):
            sender.send(datagrams[number % len(datagrams)])
            number += 1
        count += _drain(sink)
        now = time.monotonic()
        if not warm and now - begun > WARM_UP_S:
            warm = True
            count = 0
            started = now
            used = cpu_s(process)
        if warm and now - started > MEASURE_S:
            break
    spent = cpu_s(process) - used
    elapsed = time.monotonic() - started
    sender.close()
    time.sleep(0.2)
    _drain(sink)
    return Rate(count / elapsed, spent / max(1, count) * 1e6)


def _sink(address: str, port: int) -> socket.socket:
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
    sink.bind((address, port))
    sink.setblocking(False)
    return sink


def _replace_target(cluster: clusters.Cluster, port: int) -> None:
    """Points the only side process's settings at the sink."""
    path = cluster.settings_path("lookups-0")
    text = path.read_text("utf-8")
    endpoint = f"endpoint = {cluster.address}:{port}"
    lines = [
        endpoint if line.startswith("endpoint") else line
        for line in text.splitlines()
    ]
    lines = [
        "connections = 1000000\nload_url ="
        if line.startswith("load_url")
        else line
        for line in lines
    ]
    lines = [
        "slots = 1000000" if line.startswith("slots") else line
        for line in lines
    ]
    path.write_text("\n".join(lines) + "\n", "utf-8")


def _prepared(cluster: clusters.Cluster, target_port: int) -> None:
    """Starts a store, a balancer and a side process that feeds the sink."""
    cluster.start_store()
    cluster.write_operator()
    cluster.start_balancer(cluster.balancers[0])
    cluster.start_target(cluster.targets[0])
    cluster.start_side(cluster.targets[0])
    _replace_target(cluster, target_port)
    cluster.stop(cluster.targets[0].id)
    cluster.start_side(cluster.targets[0])
    cluster.apply_sheet()
    cluster.wait_serving()
    time.sleep(6.0)  # past the settle time, so that the first packet decides


def _open_flows(
    address: tuple[str, int],
    group: groups.Group,
    route: bytes,
    numbers: range,
) -> float:
    """Opens flows at a side process; returns the seconds it took to send."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect(address)
    started = time.monotonic()
    for number in numbers:
        for flags in (segments.SYN, segments.ACK):
            packet = caller_packet(number, flags, group, 40)
            sender.send(envelopes.encode_placement(route, packet))
        if number % 16 == 0:
            time.sleep(0.0005)
    sender.close()
    return time.monotonic() - started


def run(seed: int) -> dict[str, object]:
    """Returns the figures of the scenario.

    Args:
        seed: Seed of the stand-ins.
    """
    group = groups.Group("lookups", "10.9.0.1", 43, (1.0,))
    cluster = clusters.Cluster([group], balancers=1, seed=seed)
    picker = ports.Ports()
    relay_port = picker.pick(cluster.address)
    sink_port = picker.pick(cluster.address)
    sink = _sink(cluster.address, sink_port)
    relay = subprocess.Popen(
        [
            sys.executable,
            "-c",
            RELAY,
            cluster.address,
            str(relay_port),
            str(sink_port),
        ]
    )
    try:
        _prepared(cluster, sink_port)
        return _figures(cluster, group, relay, relay_port, sink)
    finally:
        relay.kill()
        relay.wait()
        cluster.close()
        sink.close()


def _figures(
    cluster: clusters.Cluster,
    group: groups.Group,
    relay: subprocess.Popen[bytes],
    relay_port: int,
    sink: socket.socket,
) -> dict[str, object]:
    side = cluster.targets[0].id
    balancer = cluster.balancers[0]
    local = cluster.address
    side_address = (local, cluster.data_port(side))
    candidate = envelopes.Candidate(envelopes.candidate_id(side), side_address)
    route = envelopes.encode_route(
        envelopes.Route("lookups", 1, (candidate,), ())
    )
    _open_flows(side_address, group, route, range(FLOWS))
    time.sleep(0.5)
    _drain(sink)
    packets = [
        caller_packet(number, segments.ACK, group) for number in range(FLOWS)
    ]
    wrapped = [envelopes.encode_placement(route, item) for item in packets]
    rates: dict[str, list[Rate]] = {"relay": [], "balancer": [], "side": []}
    for _ in range(ROUNDS):
        rates["relay"].append(
            measure(relay.pid, (local, relay_port), sink, packets)
        )
        rates["side"].append(
            measure(cluster.process_id(side), side_address, sink, wrapped)
        )
        rates["balancer"].append(
            measure(
                cluster.process_id(balancer),
                (local, cluster.data_port(balancer)),
                sink,
                packets,
            )
        )
    median = {
        name: statistics.median(rate.us_per_packet for rate in several)
        for name, several in rates.items()
    }
    packets_per_s = {
        name: statistics.median(rate.packets_per_s for rate in several)
        for name, several in rates.items()
    }
    new = _new_flows(cluster, group, route, side, side_address)
    return {
        "relay_us": round(median["relay"], 2),
        "balancer_us": round(median["balancer"], 2),
        "side_us": round(median["side"], 2),
        "relay_pps": round(packets_per_s["relay"]),
        "balancer_pps_through_side": round(packets_per_s["balancer"]),
        "side_pps": round(packets_per_s["side"]),
        "balancer_ratio": round(median["relay"] / median["balancer"], 3),
        "side_ratio": round(median["relay"] / median["side"], 3),
        **new,
    }


def _new_flows(
    cluster: clusters.Cluster,
    group: groups.Group,
    route: bytes,
    side: str,
    side_address: tuple[str, int],
) -> dict[str, object]:
    """Opens many flows and reads the cost of each and the memory held."""
    process = cluster.process_id(side)
    before = cpu_s(process)
    memory = resident_mb(process)
    numbers = range(FLOWS, FLOWS + HELD_FLOWS)
    _open_flows(side_address, group, route, numbers)
    time.sleep(1.0)
    used = cpu_s(process) - before
    held = int(str(cluster.status(side)["flows"])) - FLOWS
    return {
        "side_flows_held": held + FLOWS,
        "side_memory_mb": round(resident_mb(process), 1),
        "side_bytes_per_flow": round(
            (resident_mb(process) - memory) * 1e6 / max(1, held)
        ),
        "side_us_per_new_flow": round(used / max(1, held) * 1e6, 1),
        "side_new_flows_per_s": round(held / max(used, 1e-9)),
    }


def missed(figures: dict[str, object]) -> list[str]:
    """Returns the targets that the figures miss."""
    checks = {
        "balancer_ratio": float(str(figures["balancer_ratio"]))
        >= BALANCER_TARGET,
        "side_ratio": float(str(figures["side_ratio"])) >= SIDE_TARGET,
        "side_new_flows_per_s": float(str(figures["side_new_flows_per_s"]))
        >= NEW_FLOWS_TARGET,
        "side_flows_held": int(str(figures["side_flows_held"])) >= HELD_FLOWS,
        "side_memory_mb": float(str(figures["side_memory_mb"]))
        <= MEMORY_TARGET_MB,
    }
    return [name for name, good in checks.items() if not good]


if __name__ == "__main__":
    print(json.dumps(run(1)))
