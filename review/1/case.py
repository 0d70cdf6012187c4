"""Open flows after all processes were killed at once."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

from common import cases
from common import deployment
from common import packets
from common import record as record_module
from common import requesters
from common import servers

REORDER_S = 2.0
CONTACT_S = 4.0
MIN_WRONG_PACKETS = 3
FLOWS_PER_ZONE = 20
BUDGET_S = 15.0
"""Time budget of the requests, seconds."""

COPY_GAP_S = 0.15
"""Copies of a packet follow each other after 0.2 s or more."""

CALM_S = CONTACT_S + 1.5
"""Time from the last start of a process to the requests, seconds."""

Arrival = tuple[float, servers.Server]


class Audit:
    """Arrivals of requesters' packets at servers, by flow."""

    def __init__(self) -> None:
        self.arrivals: dict[servers.Flow, list[Arrival]] = {}

    def observe(
        self,
        server: servers.Server,
        packet: packets.Packet,
        held: bool,
        now: float,
    ) -> None:
        """Records an arrival."""
        flow = packet.from_requester
        self.arrivals.setdefault(flow, []).append((now, server))


def broken_part_b(
    arrivals: list[Arrival], own: servers.Server, begin: float
) -> tuple[int, int, float]:
    """Returns what reached other servers while nothing reached the own one.

    The result has the datagrams, the copies of packets (datagrams that follow
    each other within ``COPY_GAP_S`` are of one copy), and the span in which
    they arrived. All are 0 unless, since ``begin``, ``MIN_WRONG_PACKETS`` or
    more copies reached other servers in a span of ``REORDER_S`` or more and
    none its own.
    """
    result = 0, 0, 0.0
    wrong: list[float] = []
    copies = 0
    for now, server in arrivals:
        if now < begin:
            continue
        if server is own:
            wrong.clear()
            copies = 0
            continue
        if not wrong or now - wrong[-1] > COPY_GAP_S:
            copies += 1
        wrong.append(now)
        span_s = wrong[-1] - wrong[0]
        if copies >= MIN_WRONG_PACKETS and span_s >= REORDER_S:
            result = len(wrong), copies, span_s
    return result


async def run(folder: pathlib.Path, record: record_module.Record) -> int:
    """Runs the case and returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    audit = Audit()
    system = deployment.Deployment(folder, record, audit.observe)
    try:
        if not await system.start():
            record.say("the system did not get into service")
            return cases.NOT_RUN
        record.say("all processes are in service")
        flows: list[requesters.Flow] = []
        for zone in deployment.ZONES:
            requester = system.add_requester(zone)
            for _ in range(FLOWS_PER_ZONE):
                flows.append(requester.flow(deployment.BOARD))
        generator = random.Random(1)
        generator.shuffle(flows)

        async def use(
            flow: requesters.Flow, delay_s: float, round_name: str
        ) -> str:
            await asyncio.sleep(delay_s)
            return await flow.request(f"{flow.name}-{round_name}", BUDGET_S)

        async def open_flow(flow: requesters.Flow, delay_s: float) -> str:
            await asyncio.sleep(delay_s)
            if not await flow.open():
                return "not opened"
            return await flow.request(f"{flow.name}-first", BUDGET_S)

        first = await asyncio.gather(
            *(open_flow(flow, n * 0.02) for n, flow in enumerate(flows))
        )
        if first.count("answered") < len(flows):
            record.say(
                f"only {first.count('answered')} first requests answered"
            )
            return cases.NOT_RUN
        own = {flow.key: system.server_of(flow.key) for flow in flows}
        record.say(f"{len(flows)} flows are open and idle")
        system.write_settings(first_start=False)
        if trouble:
            record.say("all processes of the system are killed")
            for program in system.programs.values():
                program.send(signal.SIGKILL)
            await asyncio.sleep(1.0)
            if not await system.wait_in_service():
                record.say("the system did not get into service again")
                return cases.NOT_RUN
        last_start = max(p.started_at for p in system.programs.values())
        await asyncio.sleep(max(0.0, last_start + CALM_S - time.monotonic()))
        begin = time.monotonic()
        record.say(
            f"{begin - last_start:.1f} s after the last start of a process:"
            " each flow sends its next request"
        )
        outcomes = await asyncio.gather(
            *(use(flow, n * 0.02, "next") for n, flow in enumerate(flows))
        )
        if any(p.started_at > last_start for p in system.programs.values()):
            record.say("a process was started meanwhile")
            return cases.NOT_RUN
        broken = 0
        for flow, outcome in zip(flows, outcomes, strict=True):
            server = own[flow.key]
            assert server is not None
            arrivals = audit.arrivals.get(flow.key, [])
            wrong, copies, span_s = broken_part_b(arrivals, server, begin)
            resets = [whole for _, whole in flow.resets if not whole]
            if not wrong and not resets:
                continue
            broken += 1
            record.line(
                f"FLOW broken: {flow.name} is open at {server.name}"
                f" ({server.holds(flow.key)}); {wrong} datagrams of {copies}"
                f" copies reached other servers in {span_s:.1f} s, and none"
                " reached its own; resets of the"
                f" system: {len(resets)};"
                f" outcome: {outcome}"
            )
            for now, other in arrivals:
                if now >= begin:
                    record.line(f"  {now - begin:.3f} s at {other.name}")
        counts = {text: outcomes.count(text) for text in sorted(set(outcomes))}
        record.say(f"requests of the open flows: {counts}")
        record.say(f"flows for which FLOW is broken: {broken} of {len(flows)}")
        return cases.BROKEN if broken else cases.HELD
    finally:
        await system.stop()


if __name__ == "__main__":
    sys.exit(cases.main(run, pathlib.Path(__file__).parent))
