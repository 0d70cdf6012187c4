"""Test environment of a soak: programs, stand-ins and callers on loopback."""

import asyncio
import dataclasses
import pathlib
import random
import time
import typing

from bench import ports as ports_module
from bench.soak import audit as audit_module
from bench.soak import callers
from bench.soak import competition as competition_module
from bench.soak import config_probes
from bench.soak import displacements
from bench.soak import programs
from bench.soak import proxy as proxy_module
from bench.soak import router as router_module
from clementinelead import exceptions
from clementinelead.platform.standins import node_files
from clementinelead.platform.standins import store as store_module
from clementinelead.platform.standins import targets as targets_module
from clementinelead.processes import tasks

__all__ = ["Environment", "Sizes"]

SERVICES = ("lookups", "exports")
ZONES = ("z0", "z1")
SERVICE_ENDPOINTS = (("198.18.0.1", 443), ("198.18.0.2", 80))
FIRST_IDLE_PORT = 9_000
"""First of the ports whose routes changes add and drop."""

_PACKAGE = "clementinelead.platform"
_PORT_NAMES = ("datagrams", "ready", "control", "outbound", "app", "store")

IDLE_ROUTE_PRIORITY = 1
"""Priority of idle routes; that of the others is 2."""

URGENT_CALLERS_OF_THREE = 2
"""Callers of the urgent route among three competing ones.

Six of nine are more than the three requests that are in progress at a time, so
urgent requests always wait, and usual ones have no more than their turns.
"""

TARGET_SETTLE_S = 3.0
"""Time in which a target's flows may count as of an earlier start, seconds.

Its heartbeats are rejected for two intervals if it was draining before.
"""

ODD_HEARTBEAT_SETTLE_S = 6.0
"""Time in which an odd heartbeat may end requests, seconds.

The side process may be paused for 4 s before it handles the heartbeat. Its
target is reinstated with its third heartbeat after that.
"""


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Number of each part, and whether connections get faults.

    Attributes:
        balancers: Number of balancers.
        targets: Number of targets, each with its side process.
        callers: Number of callers.
        connections: Whether faults are injected into connections to the store
            too; seeds that failed before these faults existed replay without
            them.
        evacuations: Whether zones are evacuated; likewise.
        stalls: Whether open connections to the store stall; likewise.
        odd_values: Whether other writers leave odd values; likewise.
        idle_flows: Number of flows that idle through all faults; likewise.
        competing_callers: Number of callers of two priorities that compete for
            one more target, 0 for no such target; likewise.
    """

    balancers: int = 3
    targets: int = 6
    callers: int = 24
    connections: bool = True
    evacuations: bool = True
    stalls: bool = True
    odd_values: bool = True
    idle_flows: int = 12
    competing_callers: int = 9


_DEFAULT_COMPETITION = competition_module.Settings()


class Environment:
    """Starts and stops all parts of a soak.

    Attributes:
        random: Generator of all random draws.
        displacements: Check of the order of priorities.
        audit: Collector of violations and outcomes.
        sizes: Number of each part.
        port_by_name: Ports that all addresses share.
        store: Stand-in of the store.
        proxy: Proxy in front of the store.
        balancers: Balancer programs.
        sides: Side processes, in the order of ``targets``.
        targets: Stand-in targets.
        router: Router that callers send through.
        store_faults: Faults of the store and the connections to it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        sizes: Sizes,
        seed: int,
        competition: competition_module.Settings = _DEFAULT_COMPETITION,
    ):
        self._competition = competition
        self.random = random.Random(seed)
        self.displacements = displacements.Displacements(self._is_steady)
        self.audit = audit_module.Audit(self.displacements)
        self.sizes = sizes
        self._folder = folder
        self._network = ports_module.loopback().rsplit(".", 1)[0]
        port_picker = ports_module.Ports()
        first_address = self._address(1)
        self.port_by_name = {
            name: port_picker.pick(first_address) for name in _PORT_NAMES
        }
        self._internal_port = port_picker.pick(first_address)
        self.store = store_module.Store()
        self.proxy = proxy_module.Proxy(
            (self._address(241), self.port_by_name["store"])
        )
        self.balancers = [
            self._program("balancer", number, self._address(1 + number))
            for number in range(sizes.balancers)
        ]
        self._balancer_by_address = {
            self._address(1 + number): program
            for number, program in enumerate(self.balancers)
        }
        services = [
            SERVICES[number % 3 // 2] for number in range(sizes.targets)
        ]
        if sizes.competing_callers:
            services += [competition_module.SERVICE] * competition.target_count
        self.sides = [
            self._program("side", number, self._address(50 + number), service)
            for number, service in enumerate(services)
        ]
        self.targets = [
            targets_module.Target(
                f"t{number}",
                service,
                self._address(50 + number),
                self.port_by_name,
                self.audit,
                self.random,
                ZONES[number % len(ZONES)],
                self._behaviour(service),
            )
            for number, service in enumerate(services)
        ]
        self.router = router_module.Router(
            [self._address(1 + number) for number in range(sizes.balancers)],
            self.port_by_name,
        )
        self.store_faults = config_probes.StoreFaults()
        self._dropped_routes = config_probes.DroppedRoutes()
        self._tasks = tasks.Tasks()
        self._recovered = asyncio.Event()
        self._idle_flows: list[asyncio.Task[None]] = []
        self._idle_routes = 0
        self._odd_heartbeat_at: dict[str, float] = {}

    def _behaviour(self, service: str) -> targets_module.Behaviour:
        if service == competition_module.SERVICE:
            return self._competition.behaviour
        return targets_module.Behaviour()

    def _address(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _program(
        self, role: str, number: int, address: str, service: str | None = None
    ) -> programs.Program:
        name = f"{role}{number}"
        path = self._folder / f"{name}.toml"
        seeds = range(min(3, self.sizes.balancers))
        node = node_files.Node(
            name,
            address,
            zone=ZONES[number % len(ZONES)],
            service=service,
            internal_ports=(self._internal_port, self._internal_port + 5),
            seeds=tuple(
                (self._address(1 + seed), self.port_by_name["control"])
                for seed in seeds
            ),
            store=(self._address(240), self.port_by_name["store"]),
            port_by_name=self.port_by_name,
        )
        path.write_text(node_files.settings_text(node))
        return programs.Program(f"{_PACKAGE}.{role}", name, path)

    def change_config(self, idle_routes: int | None = None) -> None:
        """Stores a new version with another number of idle routes.

        An idle route is one that no caller uses. Its priority is higher than
        that of the other routes, so that side processes of its service begin
        to hold requests, and stop to do so, while callers use them.

        Args:
            idle_routes: Their number. By default it grows by one with each
                version and starts again from none after three.
        """
        if idle_routes is None:
            idle_routes = (self._idle_routes + 1) % 4
        self._idle_routes = idle_routes
        routes = [
            node_files.route_entry(f"r{number}", address, service)
            for number, (address, service) in enumerate(
                zip(SERVICE_ENDPOINTS, SERVICES, strict=True)
            )
        ]
        host, _ = SERVICE_ENDPOINTS[0]
        idle_ports = range(FIRST_IDLE_PORT, FIRST_IDLE_PORT + self._idle_routes)
        routes += [
            node_files.route_entry(
                f"idle{port}", (host, port), SERVICES[0], IDLE_ROUTE_PRIORITY
            )
            for port in idle_ports
        ]
        if self.sizes.competing_callers:
            # The urgent route stays the first one, so the order is known
            # whichever version is in force.
            priority = idle_routes % competition_module.USUAL_PRIORITY
            routes += competition_module.routes(self._competition, priority)
        version = self.store.version + self.random.randint(1, 4)
        self.store.put(version, {"routes": routes, "services": []})
        self._dropped_routes.on_change(frozenset(idle_ports), time.monotonic())

    async def start(self) -> None:
        """Starts all parts but the callers, in no particular order."""
        self.change_config()
        port = self.port_by_name["store"]
        self._runner = await self.store.start(self._address(241), port)
        await self.proxy.start((self._address(240), port))
        for program in self.balancers + self.sides:
            self.spawn(program.run())
        for target in self.targets:
            target.start()
        self.spawn(self.router.run())

    def start_callers(self) -> None:
        """Starts the callers; each second one uses persistent flows."""
        probes = config_probes.ConfigProbes(
            self._address(100 + self.sizes.callers),
            self.port_by_name["datagrams"],
            SERVICE_ENDPOINTS[0][0],
            self._balancer_by_address,
            self._dropped_routes,
            self.store_faults,
            self.audit,
        )
        self.spawn(probes.run())
        for number in range(self.sizes.callers):
            caller = self._caller(f"c{number}", number)
            self.spawn(caller.run(persistent=number % 2 == 0))
        self._start_competing_callers()
        first = self.sizes.callers + 1
        for number in range(first, first + self.sizes.idle_flows):
            holding = self._caller(f"i{number}", number).hold_flow(
                self._recovered
            )
            self._idle_flows.append(asyncio.create_task(holding))

    def caller_address(self, number: int) -> tuple[str, int]:
        """Returns the IP address and port of a caller."""
        return self._address(100 + number), self.port_by_name["datagrams"]

    def _start_competing_callers(self) -> None:
        first = self.sizes.callers + 1 + self.sizes.idle_flows
        for number in range(self.sizes.competing_callers):
            urgent = number % 3 < URGENT_CALLERS_OF_THREE
            endpoint = competition_module.ENDPOINTS[0 if urgent else 1]
            caller = callers.Caller(
                f"p{number}",
                *self.caller_address(first + number),
                (*endpoint, competition_module.SERVICE),
                self.router,
                self.is_flow_held,
                self.audit,
                random.Random(number),
                callers.Competition(self.displacements, urgent),
            )
            self.spawn(caller.run(persistent=True))

    def _is_steady(self, balancer: str, target: str, since: float) -> bool:
        """Returns whether a target's path has been undisturbed.

        Args:
            balancer: Address of the balancer.
            target: Name of the target.
            since: Begin of the time, monotonic seconds.
        """
        now = time.monotonic()
        number = next(
            number
            for number, one in enumerate(self.targets)
            if one.name == target
        )
        settled_at = max(
            self.targets[number].started_at + TARGET_SETTLE_S,
            self._odd_heartbeat_at.get(target, float("-inf"))
            + ODD_HEARTBEAT_SETTLE_S,
        )
        path = (self.sides[number], self._balancer_by_address[balancer])
        undisturbed_s = min(program.undisturbed_s(now) for program in path)
        return settled_at < since and now - undisturbed_s < since

    def record_odd_heartbeat(self, target: str) -> None:
        """Records that a target's side process gets an odd heartbeat."""
        self._odd_heartbeat_at[target] = time.monotonic()

    def _caller(self, name: str, number: int) -> callers.Caller:
        service = 1 if number % 4 == 3 else 0
        return callers.Caller(
            name,
            *self.caller_address(number),
            (*SERVICE_ENDPOINTS[service], SERVICES[service]),
            self.router,
            self.is_flow_held,
            self.audit,
            self.random,
        )

    async def use_idle_flows(self) -> None:
        """Sends another request on each flow that has been idle."""
        self._recovered.set()
        await asyncio.gather(*self._idle_flows)

    def is_flow_held(self, flow: tuple[int, int, int, int]) -> bool:
        """Returns whether a target that is serving holds a flow."""
        return any(
            target.serving and flow in target.flows for target in self.targets
        )

    def spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        """Runs a coroutine until the end of the soak."""
        self._tasks.spawn(coroutine)

    async def stop(self) -> None:
        """Ends all parts; records a failed task as a violation."""
        for holding in self._idle_flows:
            holding.cancel()
        await asyncio.gather(*self._idle_flows, return_exceptions=True)
        await self._tasks.stop()
        for program in self.balancers + self.sides:
            for fault in program.faults:
                self.audit.record_violation(fault, time.monotonic())
        try:
            self._tasks.raise_failure()
        except exceptions.TaskFailedError as error:
            self.audit.record_violation(f"the soak itself failed: {error}", 0.0)
        for target in self.targets:
            target.crash()
        await self.proxy.stop()
        await self._runner.cleanup()
