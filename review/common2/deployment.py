"""A small deployment on loopback: zones with edges, side machines, servers."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import typing

from review.common2 import programs
from review.common2 import servers
from review.common2 import store as store_module

LIMIT_S = 117.0  # a script runs for 120 seconds at most
SERVICE = "desk"
ROUTE = ("127.200.0.1", 8443)
BOUNDS = """[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
reorder_ms = 2000
flow_max_s = 60
"""
_NAMES = ("datagrams", "ready", "control", "outbound", "app", "store")


class Record:
    """Lines with the time since the start, kept for record.txt."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.lines: list[str] = []

    def __call__(self, text: str) -> None:
        """Adds a line."""
        self.lines.append(f"{time.monotonic() - self.start:8.3f} s  {text}")

    def write(self, path: pathlib.Path) -> None:
        """Writes all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


def _free_net() -> tuple[str, socket.socket]:
    """Returns a part of loopback and a socket that reserves it."""
    while True:
        net = f"127.{random.randint(30, 199)}"
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((f"{net}.0.1", 19_999))
            return net, guard
        except OSError:
            guard.close()


class Deployment:
    """Programs, servers and the store of some zones.

    Attributes:
        zones: Names of the zones.
        edges: Addresses of the edges by zone.
        sides: Addresses of the side machines by zone.
        programs: Programs by address.
        servers: Servers by address of their machine.
    """

    def __init__(self, zones: tuple[str, ...], sides_per_zone: int):
        self.record = Record()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self._guard = _free_net()
        self.zones = zones
        self.ports = self._free_ports()
        self.edges = {
            z: [f"{self.net}.{i + 1}.10"] for i, z in enumerate(zones)
        }
        self.sides = {
            z: [f"{self.net}.{i + 1}.{20 + k}" for k in range(sides_per_zone)]
            for i, z in enumerate(zones)
        }
        self.store = store_module.Store()
        self.store_address = (f"{self.net}.0.7", self.ports["store"])
        self.programs: dict[str, programs.Program] = {}
        self.servers: dict[str, servers.Server] = {}

    def _free_ports(self) -> dict[str, int]:
        """Ports free on loopback, and three consecutive internal ones."""
        while True:
            first = random.randint(20_000, 28_000)
            wanted = range(first, first + 3 + len(_NAMES))
            try:
                for port in wanted:
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.net}.1.10", port))
            except OSError:
                continue
            ports = dict(zip(_NAMES, wanted[3:], strict=True))
            return {"internal": first, **ports}

    @property
    def control_port(self) -> int:
        """UDP port of control messages."""
        return self.ports["internal"] + 1

    @property
    def http_port(self) -> int:
        """TCP port of HTTP between processes."""
        return self.ports["internal"] + 2

    def settings(
        self, name: str, host: str, zone: str, seeds: list[str], bootstrap: bool
    ) -> pathlib.Path:
        """Writes a settings file as in DEPLOY.md, *Settings of a process*."""
        is_edge = host in self.edges[zone]
        ports, first = self.ports, self.ports["internal"]
        quoted = ",".join(f'"{seed}:{ports["control"]}"' for seed in seeds)
        table = "\n".join(f'{z} = "costa"' for z in self.zones)
        listen = [f'datagram_addr = "{host}:{ports["datagrams"]}"']
        listen.append(f'ready = "{host}:{ports["ready"]}"')
        listen.append(f'control = "{host}:{ports["control"]}"')
        extra = ""
        if not is_edge:
            listen.append(f'outbound = "{host}:{ports["outbound"]}"')
            extra = f'app = "{host}:{ports["app"]}"\nservice = "{SERVICE}"\n'
        serves = '["edge","control"]' if is_edge else '["side"]'
        text = f"""node_name = "{name}"
role = "{"balancer" if is_edge else "side"}"
machine_class = "{"edge" if is_edge else "side"}"
serves = {serves}
ip = "{host}"
zone = "{zone}"
region = "costa"
internal_ports = [{first},{first + 2}]
seeds = [{quoted}]
bootstrap = {str(bootstrap).lower()}
heartbeat_ms = 1200
hash = "steady"
deploy_mode = "agent"
{extra}[zones]
{table}
[listen]
{chr(10).join(listen)}
[limits]
cpu_share = 0.645
cores = 1
memory_mb = 300
max_fds = 4096
link_mbps = 1000.0
{BOUNDS}
[platform]
address = "{self.store_address[0]}:{self.store_address[1]}"
deploy_mode = "kv"
"""
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def write_config(self, version: int, service: str = SERVICE) -> None:
        """Writes the operator's configuration with one route."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "host": ROUTE[0],
                    "prefix": f"/{ROUTE[1]}/",
                    "type": "idempotent",
                    "timeout_ms": 1000,
                    "target_latency_ms": 100,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 2,
                }
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in sorted({SERVICE, service})
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", json.dumps(config).encode())

    def add_programs(
        self, seeds_by_zone: dict[str, list[str]], bootstrap: bool = True
    ) -> None:
        """Creates programs and servers; starts none."""
        for zone in self.zones:
            for role, hosts in (
                ("balancer", self.edges[zone]),
                ("side", self.sides[zone]),
            ):
                kind = "edge" if role == "balancer" else "side"
                for index, host in enumerate(hosts):
                    name = f"{kind}-{zone}-{index + 1}"
                    path = self.settings(
                        name, host, zone, seeds_by_zone[zone], bootstrap
                    )
                    self.programs[host] = programs.Program(role, name, path)
            for index, host in enumerate(self.sides[zone]):
                self.servers[host] = servers.Server(
                    f"i-{zone}-{index + 1}",
                    SERVICE,
                    zone,
                    host,
                    self.ports,
                    self.record,
                )

    def end_first_start(self) -> None:
        """Changes the settings files: `bootstrap` holds for the first start."""
        for path in self.folder.glob("*.toml"):
            text = path.read_text()
            path.write_text(
                text.replace("bootstrap = true", "bootstrap = false")
            )

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for server in self.servers.values():
            server.close()
        for program in self.programs.values():
            program.close()
        self.store.close()
        self._guard.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


Play = typing.Callable[[Deployment, bool], typing.Awaitable[int]]


def run(
    play: Play,
    zones: tuple[str, ...],
    sides_per_zone: int,
    here: pathlib.Path,
    trouble: bool,
) -> int:
    """Plays a case, ends its processes, writes its record; returns the code."""

    async def main() -> int:
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        system = Deployment(zones, sides_per_zone)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(system, trouble)
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            system.record(f"could not run: {error!r}")
            return 2
        finally:
            system.close()
            path = os.environ.get("RECORD", here / "record.txt")
            system.record.write(pathlib.Path(path))

    return asyncio.run(main())
