"""Callers of the overload scenario count each request by its outcome.

Guards against goodput that counts refused, rejected or late requests.
"""

import asyncio
import dataclasses
import random
import socket

import pytest

from bench import open_loop
from bench import ports as ports_module
from bench.soak import audit
from clementinelead.platform.standins import packets


class _System:
    """Answers the packets that callers send."""

    def __init__(self, address, mode):
        self.address = address
        self.mode = mode
        self.openings = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def forward(self, flow, data):
        packet, _ = packets.decode(data)
        if packet.flags == packets.SYN:
            self.openings += not packet.ack
            if self.mode == "silent":
                return
            flag = packets.RST if self.mode == "refuses" else packets.ACK
            self._answer(packet, packets.SYN | flag)
        elif packet.data:
            request = packet.data.decode().split()[0]
            verb = "rejected" if self.mode == "rejects" else "done"
            self._answer(packet, packets.ACK, f"{verb} {request}".encode())

    def _answer(self, packet, flags, data=b""):
        answer = dataclasses.replace(
            packet,
            flags=flags,
            src=packet.dst,
            sport=packet.dport,
            dst=packet.src,
            dport=packet.sport,
            data=data,
        )
        self._socket.sendto(packets.encode(answer), self.address)


@pytest.mark.parametrize(
    ("mode", "objective_s", "outcome", "flows"),
    [
        ("serves", 0.5, "in_time", 1),
        ("serves", 0.0, "late", 1),
        ("refuses", 0.5, "refused", open_loop.MAX_ATTEMPTS),
        ("rejects", 0.5, "rejected", open_loop.MAX_ATTEMPTS),
        ("silent", 0.5, "not_opened", 1),
    ],
)
def test_each_request_has_one_outcome(mode, objective_s, outcome, flows):
    async def offer():
        host = ports_module.loopback()
        address = (host, ports_module.Ports().pick(host))
        system = _System(address, mode)
        callers = open_loop.Callers(
            address, system, audit.Audit(), random.Random(1)
        )
        kind = open_loop.Kind("k", "s", (host, 443), objective_s, 0.7)
        callers.start()
        await callers.offer(kind, 50.0, 0.0, 0.2)
        callers.close()
        return callers.outcomes, system.openings

    outcomes, openings = asyncio.run(offer())
    offered = outcomes["k", "offered"]
    assert offered > 0
    assert outcomes["k", outcome] == offered
    assert openings == flows * offered
