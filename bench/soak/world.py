"""All parts of a soak on one machine."""

import dataclasses
import pathlib
import random
import typing

from bench import ports as ports_module
from bench.soak import audit as audit_module
from bench.soak import callers
from bench.soak import programs
from bench.soak import proxy as proxy_module
from bench.soak import router as router_module
from clementinelead import exceptions
from clementinelead.platform.standins import node_files
from clementinelead.platform.standins import store as store_module
from clementinelead.platform.standins import targets as targets_module
from clementinelead.processes import tasks

__all__ = ["Sizes", "World"]

SERVICES = ("lookups", "exports")
ROUTES = (("198.18.0.1", 443), ("198.18.0.2", 80))
_MODULE = "clementinelead.platform"
_PORT_NAMES = ("datagrams", "ready", "control", "outbound", "app", "store")


@dataclasses.dataclass(frozen=True)
class Sizes:
    """How many of each part there are, and what is harmed.

    Attributes:
        balancers: Balancers.
        targets: Targets, each with its side process.
        callers: Callers.
        connections: Whether connections to the store are harmed too; seeds
            that failed before that was possible draw their faults without.
    """

    balancers: int = 3
    targets: int = 6
    callers: int = 24
    connections: bool = True


class World:
    """Starts and stops all parts."""

    def __init__(self, folder: pathlib.Path, sizes: Sizes, seed: int):
        self.random = random.Random(seed)
        self.audit = audit_module.Audit()
        self.sizes = sizes
        self._folder = folder
        self._network = ports_module.loopback().rsplit(".", 1)[0]
        picked = ports_module.Ports()
        first = self._address(1)
        self.ports = {name: picked.pick(first) for name in _PORT_NAMES}
        self._inner = picked.pick(first)
        self.store = store_module.Store()
        self.proxy = proxy_module.Proxy(
            (self._address(241), self.ports["store"])
        )
        self.balancers = [
            self._program("balancer", number, self._address(1 + number))
            for number in range(sizes.balancers)
        ]
        self.sides = [
            self._program("side", number, self._address(50 + number))
            for number in range(sizes.targets)
        ]
        self.targets = [
            targets_module.Target(
                f"t{number}",
                SERVICES[number % 3 // 2],
                self._address(50 + number),
                self.ports,
                self.audit,
                self.random,
            )
            for number in range(sizes.targets)
        ]
        self.router = router_module.Router(
            [self._address(1 + number) for number in range(sizes.balancers)],
            self.ports,
        )
        self._tasks = tasks.Tasks()
        self._idle_routes = 0

    def _address(self, number: int) -> str:
        return f"{self._network}.{number}"

    def _program(
        self, role: str, number: int, address: str
    ) -> programs.Program:
        name = f"{role}{number}"
        path = self._folder / f"{name}.toml"
        seeds = range(min(3, self.sizes.balancers))
        node = node_files.Node(
            name,
            address,
            zone=f"z{number % 2}",
            service=SERVICES[number % 3 // 2] if role == "side" else None,
            internal_ports=(self._inner, self._inner + 5),
            seeds=tuple(
                (self._address(1 + seed), self.ports["control"])
                for seed in seeds
            ),
            store=(self._address(240), self.ports["store"]),
            port_by_name=self.ports,
        )
        path.write_text(node_files.settings_text(node))
        return programs.Program(f"{_MODULE}.{role}", name, path)

    def change_config(self) -> None:
        """Puts a new version with one more idle route, or without them."""
        self._idle_routes = (self._idle_routes + 1) % 4
        routes = [
            node_files.route_entry(f"r{number}", address, service)
            for number, (address, service) in enumerate(
                zip(ROUTES, SERVICES, strict=True)
            )
        ]
        host, _ = ROUTES[0]
        routes += [
            node_files.route_entry(
                f"idle{number}", (host, 9000 + number), SERVICES[0]
            )
            for number in range(self._idle_routes)
        ]
        version = self.store.version + self.random.randint(1, 4)
        self.store.put(version, {"routes": routes, "services": []})

    async def start(self) -> None:
        """Starts everything, in no particular order."""
        self.change_config()
        port = self.ports["store"]
        self._runner = await self.store.start(self._address(241), port)
        await self.proxy.start((self._address(240), port))
        for program in self.balancers + self.sides:
            self.spawn(program.run())
        for target in self.targets:
            target.start()
        self.spawn(self.router.run())

    def start_callers(self) -> None:
        """Lets the callers call."""
        for number in range(self.sizes.callers):
            service = 1 if number % 4 == 3 else 0
            caller = callers.Caller(
                f"c{number}",
                self._address(100 + number),
                self.ports["datagrams"],
                (*ROUTES[service], SERVICES[service]),
                self.router,
                self.holds,
                self.audit,
                self.random,
            )
            self.spawn(caller.run(feeds=number % 2 == 0))

    def holds(self, flow: tuple[int, int, int, int]) -> bool:
        """Tells whether a living target holds a flow."""
        return any(
            target.serving and flow in target.flows for target in self.targets
        )

    def spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        """Runs something until the end of the soak."""
        self._tasks.spawn(coroutine)

    async def stop(self) -> None:
        """Ends everything that this soak has started."""
        await self._tasks.stop()
        try:
            self._tasks.raise_failure()
        except exceptions.TaskFailedError as error:
            self.audit.record_violation(f"the soak itself failed: {error}", 0.0)
        for target in self.targets:
            target.crash()
        await self.proxy.stop()
        await self._runner.cleanup()
