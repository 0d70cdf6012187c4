"""A small deployment of the project's programs on loopback."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random
import socket
import typing

from common import programs
from common import record as record_module
from common import requesters
from common import servers
from common import store

ZONES = ("cork-a", "cork-b", "limerick-a", "waterford-a")
BALANCER_ZONES = (
    "cork-a",
    "cork-a",
    "cork-b",
    "cork-b",
    "cork-b",
    "limerick-a",
    "waterford-a",
)
SERVER_ZONES = (
    ("crewdesk", ("cork-a", "cork-a", "cork-b", "cork-b")),
    ("crewdesk", ("limerick-a", "limerick-a", "waterford-a")),
    ("docvault", ("cork-a", "cork-b", "limerick-a", "waterford-a")),
)
"""Services and zones as on the sheet of ``further/ballast-berth.toml``."""

BOARD = ("127.18.0.1", 8443)
"""Address and port of the route to ``crewdesk``."""

VAULT = ("127.18.0.2", 8443)
"""Address and port of the route to ``docvault``."""

HEARTBEAT_S = 0.77
WORK_S = 0.055
CAPACITY = 4
START_TIMEOUT_S = 25.0
_PORT_NAMES = ("datagram", "ready", "control", "outbound", "app", "store")
_FIRST_PORT, _LAST_PORT = 10_000, 30_000

SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{address}"
zone = "{zone}"
region = "munster"
internal_ports = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
in_fault_budget = false
discovery = "local"
entry = "announce"
heartbeat_ms = 770
contracts = ["base","drain","config","cost","recover","flows","platform"]
hash = "steady"
deploy_mode = "agent"
{target}
[zones]
cork-a = "munster"
cork-b = "munster"
limerick-a = "munster"
waterford-a = "munster"

[listen]
{listen}
[limits]
cpu_share = 0.645
cores = 1
memory_mb = 168
max_fds = 4096
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
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

[platform]
address = "{store}"
deploy_mode = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


@dataclasses.dataclass(frozen=True)
class Node:
    """A machine of the deployment; balancers have no service."""

    name: str
    role: str
    zone: str
    address: str
    service: str = ""


def free_network() -> tuple[str, dict[str, int]]:
    """Returns the first three bytes of loopback addresses, and free ports."""
    generator = random.SystemRandom()
    network = f"127.{generator.randrange(64, 250)}.{generator.randrange(250)}"
    ports: dict[str, int] = {}
    while len(ports) < len(_PORT_NAMES) + 1:
        port = generator.randrange(_FIRST_PORT, _LAST_PORT)
        names = (*_PORT_NAMES, "internal")
        if all(_is_free(f"{network}.1", port + n) for n in range(16)):
            ports[names[len(ports)]] = port
    return network, ports


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def _route(
    name: str,
    address: tuple[str, int],
    timeout_ms: int,
    aim_ms: int,
    service: str,
) -> dict[str, typing.Any]:
    """Returns a route of the operator's configuration."""
    host, port = address
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": "idempotent",
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 2,
        "max_attempts": 2,
        "service": service,
    }


class Deployment:
    """Programs, servers, store, router and requesters."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: record_module.Record,
        observer: servers.Observer,
        capacity: int = CAPACITY,
    ):
        self.record = record
        self.network, self.ports = free_network()
        self.store = store.Store()
        self._folder = folder
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0
        self.nodes = [
            Node(f"edge-{zone}-{n}", "balancer", zone, self._address(1 + n))
            for n, zone in enumerate(BALANCER_ZONES)
        ]
        places = [
            (service, zone) for service, zones in SERVER_ZONES for zone in zones
        ]
        self.nodes += [
            Node(f"side-{zone}-{n}", "side", zone, self._address(50 + n), name)
            for n, (name, zone) in enumerate(places)
        ]
        self.programs: dict[str, programs.Program] = {}
        for node in self.nodes:
            path = folder / f"{node.name}.toml"
            self.programs[node.name] = programs.Program(
                node.name, node.role, path, record
            )
        self.write_settings(first_start=True)
        self.servers = [
            servers.Server(
                f"i-{n}",
                node.service,
                node.zone,
                node.address,
                self.ports,
                HEARTBEAT_S,
                WORK_S,
                capacity,
                record,
                observer,
            )
            for n, node in enumerate(self.nodes)
            if node.role == "side"
        ]
        zones: dict[str, list[str]] = {}
        for node in self.nodes:
            if node.role == "balancer":
                zones.setdefault(node.zone, []).append(node.address)
        self.router = requesters.Router(zones, self.ports)
        self.requesters: list[requesters.Requester] = []

    def _address(self, last: int) -> str:
        return f"{self.network}.{last}"

    def of_role(self, role: str) -> list[programs.Program]:
        """Returns the programs of a role."""
        return [
            self.programs[node.name] for node in self.nodes if node.role == role
        ]

    def write_settings(self, first_start: bool) -> None:
        """Writes the settings files of all nodes."""
        seeds = ",".join(
            f'"{self._address(1 + n)}:{self.ports["control"]}"'
            for n in (0, 2, 5)
        )
        for node in self.nodes:
            side = node.role == "side"
            listen = "".join(
                f'{key} = "{node.address}:{self.ports[port]}"\n'
                for key, port in (
                    ("datagram_addr", "datagram"),
                    ("ready", "ready"),
                    ("control", "control"),
                    *((("outbound", "outbound"),) if side else ()),
                )
            )
            target = ""
            if side:
                target = (
                    f'app = "{node.address}:{self.ports["app"]}"\n'
                    f'service = "{node.service}"\n'
                )
            text = SETTINGS.format(
                name=node.name,
                role=node.role,
                machine_class="side" if side else "edge",
                serves='["side"]' if side else '["edge","control"]',
                address=node.address,
                zone=node.zone,
                first=self.ports["internal"],
                last=self.ports["internal"] + 15,
                seeds=seeds,
                bootstrap="true" if first_start else "false",
                target=target,
                listen=listen,
                store=f"{self._address(240)}:{self.ports['store']}",
            )
            (self._folder / f"{node.name}.toml").write_text(text)

    def put_config(self) -> None:
        """Writes a further version of the operator's configuration."""
        self._version += 3
        self.store.put_config(
            {
                "version": self._version,
                "routes": [
                    _route("r-board", BOARD, 15000, 275, "crewdesk"),
                    _route("r-vault", VAULT, 8000, 502, "docvault"),
                ],
                "services": [
                    {
                        "name": name,
                        "health_path": "/health",
                        "max_conns": 2000,
                        "protocol": "h1",
                        "tls": False,
                    }
                    for name in ("crewdesk", "docvault")
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            }
        )

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Runs a coroutine until the end."""
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    async def start(self) -> bool:
        """Starts all parts; returns whether all nodes got into service."""
        self.put_config()
        await self.store.start(self._address(240), self.ports["store"])
        for program in self.programs.values():
            self.spawn(program.run())
        for server in self.servers:
            await server.start()
        self.spawn(self.router.run())
        return await self.wait_in_service()

    async def wait_in_service(self) -> bool:
        """Waits until all balancers are in rotation and all servers known."""
        known = {
            server.name: len(server.acknowledged_states)
            for server in self.servers
        }
        balancers = len(self.of_role("balancer"))
        for _ in range(int(START_TIMEOUT_S / 0.1)):
            await asyncio.sleep(0.1)
            if len(self.router.ready) == balancers and all(
                len(server.acknowledged_states) > known[server.name]
                for server in self.servers
            ):
                return True
        return False

    def add_requester(self, zone: str) -> requesters.Requester:
        """Returns a further requester in a zone."""
        number = len(self.requesters)
        requester = requesters.Requester(
            f"r{number}",
            zone,
            self._address(100 + number),
            self.ports["datagram"],
            self.router,
            self.record,
        )
        self.requesters.append(requester)
        return requester

    def server_of(self, key: servers.Flow) -> servers.Server | None:
        """Returns the server at which a flow is open."""
        for server in self.servers:
            if server.holds(key):
                return server
        return None

    async def stop(self) -> None:
        """Ends all parts."""
        for program in self.programs.values():
            program.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self.servers:
            server.stop()
        for requester in self.requesters:
            requester.close()
