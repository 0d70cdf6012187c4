"""Fault injection: faults drawn at random, which may overlap."""

import asyncio
import json
import signal
import time

from bench.soak import config_probes
from bench.soak import environment as environment_module
from bench.soak import proxy
from clementinelead.processes import http_client

__all__ = ["drop_routes_while_stalled", "inject"]

FAULT_INTERVAL_RANGE_S = (0.2, 1.2)
STALL_DELAY_S = 0.1
STALL_CHECK_S = 1.5
"""Time in which probes test that dropped routes are refused, seconds."""

_NESTED = b"[" * 20_000 + b"]" * 20_000
_ODD_CONFIGURATIONS = (
    b'{"version":1,"routes":[],"unknown":' + _NESTED + b"}",
    b'{"version":%d,"routes":[]}' % 2**80,
    b"\xff\xfe",
    b'{"version":1000000,"routes":[{"name":"r","host":"198.18.0.1",'
    b'"prefix":"/99999/","service":"s"}]}',
)
_STORE_FAULTS = ("busy", "silent", "slow", "forgets")


async def inject(
    environment: environment_module.Environment, seconds: float
) -> list[str]:
    """Injects faults for a time and waits until the last one has ended.

    Args:
        environment: The parts that faults are injected into.
        seconds: Time in which new faults begin, seconds.

    Returns:
        Names of the faults, each after its monotonic time in seconds.
    """
    generator = environment.random
    start_s = time.monotonic()
    injected: list[str] = []
    running: set[asyncio.Task[None]] = set()
    names = sorted(_FAULTS)
    if not environment.sizes.connections:
        names.remove("connections")
    if not environment.sizes.stalls:
        names.remove("stall connections")
    if not environment.sizes.evacuations:
        names.remove("evacuate zone")
    if not environment.sizes.odd_values:
        names.remove("odd configuration")
        names.remove("odd heartbeat")
    while time.monotonic() - start_s < seconds:
        name = generator.choice(names)
        injected.append(f"{time.monotonic():.3f} s: {name}")
        task = asyncio.create_task(_FAULTS[name](environment))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(generator.uniform(*FAULT_INTERVAL_RANGE_S))
    await asyncio.gather(*running)
    environment.store.fault = ""
    environment.proxy.inject(proxy.Fault.NONE)
    return injected


async def drop_routes_while_stalled(
    environment: environment_module.Environment,
) -> None:
    """Drops routes just after connections to the store have stalled.

    The change before answers all watches, so that new ones begin together.
    Returns when the change must have been in force for some time.
    """
    environment.change_config(idle_routes=3)
    await asyncio.sleep(STALL_DELAY_S)
    with environment.store_faults.inject():
        environment.proxy.stall()
    environment.change_config(idle_routes=0)
    await asyncio.sleep(config_probes.CONTACT_S + STALL_CHECK_S)


async def _kill_program(environment: environment_module.Environment) -> None:
    environment.random.choice(environment.balancers + environment.sides).kill()


async def _kill_balancers(environment: environment_module.Environment) -> None:
    for program in environment.balancers:
        program.kill()


async def _kill_all(environment: environment_module.Environment) -> None:
    for program in environment.balancers + environment.sides:
        program.kill()


async def _restart_in_sequence(
    environment: environment_module.Environment,
) -> None:
    chosen = environment.random.sample(
        environment.balancers + environment.sides, 2
    )
    for program in chosen:
        await program.terminate()
        await asyncio.sleep(0.5)


async def _pause(environment: environment_module.Environment) -> None:
    program = environment.random.choice(
        environment.balancers + environment.sides
    )
    if not program.paused:
        await program.pause(environment.random.uniform(0.3, 4.0))


async def _reload(environment: environment_module.Environment) -> None:
    for program in environment.balancers + environment.sides:
        program.send(signal.SIGHUP)


async def _disturb_store(environment: environment_module.Environment) -> None:
    environment.store.fault = environment.random.choice(_STORE_FAULTS)
    with environment.store_faults.inject():
        await asyncio.sleep(environment.random.uniform(0.5, 4.0))
    environment.store.fault = ""


async def _disturb_connections(
    environment: environment_module.Environment,
) -> None:
    """Injects a fault into the connections to the store."""
    kinds = [kind for kind in proxy.Fault if kind is not proxy.Fault.NONE]
    environment.proxy.inject(environment.random.choice(kinds))
    with environment.store_faults.inject():
        await asyncio.sleep(environment.random.uniform(0.5, 4.0))
    environment.proxy.inject(proxy.Fault.NONE)


async def _stall_connections(
    environment: environment_module.Environment,
) -> None:
    """Stalls the open connections to the store, then changes a route."""
    with environment.store_faults.inject():
        environment.proxy.stall()
    await _change_config(environment)


async def _change_config(environment: environment_module.Environment) -> None:
    for _ in range(environment.random.randint(1, 5)):
        environment.change_config()
        await asyncio.sleep(0.1)


async def _evacuate_zone(environment: environment_module.Environment) -> None:
    zone = environment.random.choice(environment_module.ZONES)
    environment.store.evacuate(zone)
    await asyncio.sleep(environment.random.uniform(0.5, 6.0))
    environment.store.restore(zone)


async def _write_odd_configuration(
    environment: environment_module.Environment,
) -> None:
    """Leaves a configuration of another writer in the store for a while."""
    environment.store.put_raw(environment.random.choice(_ODD_CONFIGURATIONS))
    await asyncio.sleep(environment.random.uniform(0.2, 3.0))
    environment.change_config()


async def _send_odd_heartbeat(
    environment: environment_module.Environment,
) -> None:
    """Sends a request of another writer to the address of the heartbeats."""
    target = environment.random.choice(environment.targets)
    environment.record_odd_heartbeat(target.name)
    await http_client.call(
        (target.address, environment.port_by_name["control"]),
        "PUT",
        "/instances/another",
        environment.random.choice(_odd_heartbeats(target.service)),
        1.0,
    )


def _odd_heartbeats(service: str) -> list[bytes]:
    fields = {
        "service": service,
        "capacity": 4,
        "state": "ready",
        "sequence": 1,
        "born": time.time_ns() // 1_000_000 + 60_000,
    }
    return [
        json.dumps(fields).encode(),
        json.dumps({**fields, "born": 2**70}).encode(),
        json.dumps(fields).encode()[:-1] + b',"unknown":' + _NESTED + b"}",
    ]


async def _crash_target(environment: environment_module.Environment) -> None:
    target = environment.random.choice(environment.targets)
    if target.serving:
        target.crash()
        await asyncio.sleep(environment.random.uniform(0.1, 2.0))
        if not target.serving:
            target.start()


async def _drain_target(environment: environment_module.Environment) -> None:
    target = environment.random.choice(environment.targets)
    if target.serving:
        await target.drain()
        if not target.serving:
            target.start()


_FAULTS = {
    "change configuration": _change_config,
    "connections": _disturb_connections,
    "crash target": _crash_target,
    "drain target": _drain_target,
    "evacuate zone": _evacuate_zone,
    "kill all": _kill_all,
    "kill balancers": _kill_balancers,
    "kill one": _kill_program,
    "odd configuration": _write_odd_configuration,
    "odd heartbeat": _send_odd_heartbeat,
    "pause": _pause,
    "reload": _reload,
    "roll": _restart_in_sequence,
    "stall connections": _stall_connections,
    "store": _disturb_store,
}
