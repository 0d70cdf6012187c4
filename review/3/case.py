"""A ping of another writer after a server has begun to drain."""

import asyncio
import os
import pathlib
import sys
import time

from common import cases
from common import deployment
from common import http
from common import packets
from common import record as record_module
from common import requesters
from common import servers

DRAIN_S = 3.0
EXTRA_SERVING_S = 5.0
"""Time that the server goes on beyond ``drain_ms``, seconds."""

FOREIGN_PING_AFTER_S = 1.0
BUDGET_S = 4.0
FLOW_INTERVAL_S = 0.01


class Audit:
    """Opening packets that reach servers which have begun to drain."""

    def __init__(self, record: record_module.Record) -> None:
        self.drained_at: dict[str, float] = {}
        self.late: list[str] = []
        self._record = record

    def observe(
        self,
        server: servers.Server,
        packet: packets.Packet,
        held: bool,
        now: float,
    ) -> None:
        """Checks an arrival against the rule."""
        drained_at = self.drained_at.get(server.name)
        if drained_at is None or not packet.flags & packets.SYN:
            return
        age_s = now - drained_at
        self._record.line(
            f"opening packet at {server.name} {age_s:.3f} s after its"
            " draining was acknowledged"
        )
        if age_s > DRAIN_S:
            self.late.append(f"{server.name} after {age_s:.3f} s")


async def send_foreign_ping(
    system: deployment.Deployment, server: servers.Server
) -> int | None:
    """Sends a ping without address, zone, version and warm-up."""
    content = {
        "service": server.service,
        "capacity": 4,
        "state": "ready",
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    return await http.call(
        (server.address, system.ports["control"]),
        "PUT",
        "/instances/i-another-writer",
        content,
        1.0,
    )


async def use(flow: requesters.Flow) -> str:
    """Opens a flow and sends one request on it."""
    if not await flow.open():
        return "not opened"
    return await flow.request(f"{flow.name}-only", BUDGET_S)


async def run(folder: pathlib.Path, record: record_module.Record) -> int:
    """Runs the case and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    audit = Audit(record)
    system = deployment.Deployment(folder, record, audit.observe)
    try:
        if not await system.start():
            record.say("the system did not get into service")
            return cases.NOT_RUN
        record.say("all processes are in service")
        clients = [system.add_requester(zone) for zone in deployment.ZONES]
        attempts: list[asyncio.Task[str]] = []

        async def send_flows() -> None:
            while True:
                client = clients[len(attempts) % len(clients)]
                flow = client.flow(deployment.BOARD)
                attempts.append(asyncio.create_task(use(flow)))
                await asyncio.sleep(FLOW_INTERVAL_S)

        sender = asyncio.create_task(send_flows())
        await asyncio.sleep(2.0)
        server = system.servers[0]
        server.state = "draining"
        status = await server.ping()
        if status is None or not 200 <= status < 300:
            record.say(f"the drain was not acknowledged: {status}")
            return cases.NOT_RUN
        audit.drained_at[server.name] = time.monotonic()
        record.say(f"{server.name} drains, which is acknowledged")
        await asyncio.sleep(FOREIGN_PING_AFTER_S)
        if trouble:
            status = await send_foreign_ping(system, server)
            record.say(f"a ping of another writer is answered with {status}")
        await asyncio.sleep(DRAIN_S + EXTRA_SERVING_S - FOREIGN_PING_AFTER_S)
        sender.cancel()
        outcomes = await asyncio.gather(*attempts)
        counts = {text: outcomes.count(text) for text in sorted(set(outcomes))}
        record.say(f"requests: {counts}")
        record.say(f"opening packets later than drain_ms: {len(audit.late)}")
        return cases.BROKEN if audit.late else cases.HELD
    finally:
        await system.stop()


if __name__ == "__main__":
    sys.exit(cases.main(run, pathlib.Path(__file__).parent))
