"""Faults drawn at random; they come in series and overlap."""

import asyncio
import signal
import time

from bench.soak import proxy
from bench.soak import world as world_module

__all__ = ["inject"]

GAP_S = (0.2, 1.2)
_STORE_FAULTS = ("busy", "silent", "slow", "forgets")


async def inject(world: world_module.World, seconds: float) -> list[str]:
    """Injects faults for a time; returns what was done, with times."""
    generator = world.random
    begun = time.monotonic()
    done: list[str] = []
    under_way: set[asyncio.Task[None]] = set()
    names = sorted(_FAULTS)
    if not world.sizes.connections:
        names.remove("connections")
    while time.monotonic() - begun < seconds:
        name = generator.choice(names)
        done.append(f"{time.monotonic():.3f} s: {name}")
        task = asyncio.create_task(_FAULTS[name](world))
        under_way.add(task)
        task.add_done_callback(under_way.discard)
        await asyncio.sleep(generator.uniform(*GAP_S))
    await asyncio.gather(*under_way)
    world.store.fault = ""
    world.proxy.inject(proxy.Fault.NONE)
    return done


async def _kill_one(world: world_module.World) -> None:
    world.random.choice(world.balancers + world.sides).kill()


async def _kill_balancers(world: world_module.World) -> None:
    for program in world.balancers:
        program.kill()


async def _kill_all(world: world_module.World) -> None:
    for program in world.balancers + world.sides:
        program.kill()


async def _roll(world: world_module.World) -> None:
    chosen = world.random.sample(world.balancers + world.sides, 2)
    for program in chosen:
        await program.terminate()
        await asyncio.sleep(0.5)


async def _pause(world: world_module.World) -> None:
    program = world.random.choice(world.balancers + world.sides)
    if not program.stopped:
        await program.pause(world.random.uniform(0.3, 4.0))


async def _reload(world: world_module.World) -> None:
    for program in world.balancers + world.sides:
        program.send(signal.SIGHUP)


async def _store(world: world_module.World) -> None:
    world.store.fault = world.random.choice(_STORE_FAULTS)
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    world.store.fault = ""


async def _connections(world: world_module.World) -> None:
    """Harms the connections to the store."""
    kinds = [kind for kind in proxy.Fault if kind is not proxy.Fault.NONE]
    world.proxy.inject(world.random.choice(kinds))
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    world.proxy.inject(proxy.Fault.NONE)


async def _change(world: world_module.World) -> None:
    for _ in range(world.random.randint(1, 5)):
        world.change_config()
        await asyncio.sleep(0.1)


async def _crash_target(world: world_module.World) -> None:
    target = world.random.choice(world.targets)
    if target.serving:
        target.crash()
        await asyncio.sleep(world.random.uniform(0.1, 2.0))
        if not target.serving:
            target.start()


async def _drain_target(world: world_module.World) -> None:
    target = world.random.choice(world.targets)
    if target.serving:
        await target.drain()
        if not target.serving:
            target.start()


_FAULTS = {
    "change configuration": _change,
    "connections": _connections,
    "crash target": _crash_target,
    "drain target": _drain_target,
    "kill all": _kill_all,
    "kill balancers": _kill_balancers,
    "kill one": _kill_one,
    "pause": _pause,
    "reload": _reload,
    "roll": _roll,
    "store": _store,
}
