"""Slopes behind docs/CAPACITY.md: cost by size, from the code itself.

Only the decisions run here, in one process; what needs sockets is measured by
the scenario ``throughput``.
"""

import dataclasses
import gc
import random
import time
import tracemalloc

import numpy as np

from bench import gossip_network
from bench import results
from clementinelead.configurations import chunks
from clementinelead.configurations import drafts
from clementinelead.configurations import edits
from clementinelead.configurations import models
from clementinelead.flows import loads
from clementinelead.flows import locators as flow_locators
from clementinelead.flows import registrations
from clementinelead.flows import tables as flow_tables
from clementinelead.memberships import gossip
from clementinelead.memberships import options
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.placements import forwarding
from clementinelead.placements import rendezvous
from clementinelead.placements import tables

__all__ = ["slopes"]

TARGET_COUNTS = (7, 100, 2_000)
SERVICE_COUNTS = (100, 1_000, 3_000)
MEMBER_COUNTS = (1_000, 10_000, 51_300)
NODE_COUNTS = (10, 30, 100, 200)
CONFIG_COUNTS = (100, 1_000, 18_000)
FLOWS = 20_000
FULL_SERVICES = 18_000
FULL_MEMBERS = 51_300
MEMBERS_BOUND_MB = 64.0
BUCKETS = 256
DEPTH = 3


class _Allocated:
    """Memory that is allocated within a block and still held at its end."""

    def __enter__(self) -> "_Allocated":
        gc.collect()
        tracemalloc.start()
        self.megabytes = 0.0
        return self

    def __exit__(self, *_: object) -> None:
        gc.collect()
        self.megabytes = round(tracemalloc.get_traced_memory()[0] / 1e6, 1)
        tracemalloc.stop()


def _members(count: int) -> tuple[tables.Member, ...]:
    return tuple(
        tables.Member(f"t{number}", ("10.0.0.1", 1 + number), 1.0)
        for number in range(count)
    )


def placement() -> dict[str, object]:
    """Returns table cost by targets, and what moves when one leaves."""
    build_ms: dict[str, float] = {}
    moved: dict[str, float] = {}
    for count in TARGET_COUNTS:
        several = _members(count)
        started = time.process_time()
        tables.build("s", 1, several, BUCKETS, DEPTH)
        build_ms[str(count)] = round((time.process_time() - started) * 1e3, 2)
        weights = {member.id: 1.0 for member in several}
        before = rendezvous.ranking(weights, 4096, 1)[:, 0]
        names = np.array(sorted(weights))
        gone = names[0]
        del weights[gone]
        after = rendezvous.ranking(weights, 4096, 1)[:, 0]
        changed = names[before] != np.array(sorted(weights))[after]
        own = names[before] == gone
        moved[str(count)] = float((changed & ~own).sum())
    return {"table_build_ms": build_ms, "moved_without_cause": moved}


def _service(number: int) -> models.Service:
    return models.Service(
        name=f"service-{number}",
        team="consortium",
        address=f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        port=80,
        protocol="tcp",
    )


def _forwarder(count: int) -> forwarding.Forwarder:
    forwarder = forwarding.Forwarder(lambda _: None)
    for number in range(count):
        targets = tuple(
            tables.Member(
                f"s{number}-t{index}", ("10.0.0.1", 7000 + index), 1.0
            )
            for index in range(2 + number % 2)
        )
        service = _service(number)
        parts = (tables.TargetGroup(service.name, 1, targets),)
        forwarder.update(service.name, service, parts, 1)
    return forwarder


def balancer_services() -> dict[str, object]:
    """Returns memory and start time of a balancer's tables by services."""
    memory: dict[str, float] = {}
    build_s: dict[str, float] = {}
    for count in SERVICE_COUNTS:
        started = time.process_time()
        _forwarder(count)
        build_s[str(count)] = round(time.process_time() - started, 2)
        with _Allocated() as allocated:
            held = _forwarder(count)
        memory[str(count)] = allocated.megabytes
        assert len(held.service_names()) == count, "all services have a table"
    return {"service_tables_mb": memory, "service_tables_s": build_s}


def _record(number: int) -> records.Record:
    return records.Record(
        id=f"target-{number}",
        incarnation=1_700_000_000_000 + number,
        sequence=3,
        role=records.Role.SIDE,
        state=records.State.READY,
        region="north",
        zone=f"zone-{number % 24}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        data_port=7000,
        control_port=7001,
        http_port=7002,
        services=(f"service-{number % FULL_SERVICES}",),
    )


def _gossiper(count: int) -> gossip.Gossiper:
    node = gossip.Gossiper(
        _record(10**6), (), options.Options(), random.Random(1), 0.0
    )
    node.merge(tuple(_record(number) for number in range(count)), 0.0)
    return node


def membership_state() -> dict[str, object]:
    """Returns memory and processor time of membership by members."""
    memory: dict[str, float] = {}
    share: dict[str, float] = {}
    for count in MEMBER_COUNTS:
        with _Allocated() as allocated:
            node = _gossiper(count)
        memory[str(count)] = allocated.megabytes
        started = time.process_time()
        now = 0.0
        for round_number in range(200):
            now += 0.05
            node.on_tick(now)
            if round_number % 100 == 0:
                changed = dataclasses.replace(
                    _record(0), sequence=9 + round_number
                )
                node.merge((changed,), now)
        used = time.process_time() - started
        share[str(count)] = round(used / 10.0 * 100, 2)
    return {"members_mb": memory, "gossip_core_percent": share}


def control_bytes(seed: int) -> dict[str, object]:
    """Returns control bytes a second a node by nodes, quiet and busy."""
    quiet: dict[str, int] = {}
    per_event: dict[str, int] = {}
    for count in NODE_COUNTS:
        network = gossip_network.GossipNetwork(
            count, 4, seed, gossip_network.Link()
        )
        network.run(2.0)
        quiet[str(count)] = round(network.bytes_per_node(10.0))
        before = network.bytes_by_id.total()
        network.leave(f"node-{count - 1}")
        network.run(10.0)
        sent = network.bytes_by_id.total() - before
        extra = sent / count - quiet[str(count)] * 10.0
        per_event[str(count)] = round(extra)
    return {"bytes_per_s_quiet": quiet, "bytes_per_event": per_event}


def configuration_sizes() -> dict[str, object]:
    """Returns the bytes of one change by number of services."""
    memory: dict[str, float] = {}
    patch: dict[str, int] = {}
    index: dict[str, int] = {}
    chunk: dict[str, int] = {}
    head: dict[str, int] = {}
    for count in CONFIG_COUNTS:
        author = models.Author(
            change="change-1", operator="bench", shift="muscat", time=1.0
        )
        with _Allocated() as allocated:
            entries = {
                f"service-{number}": models.Entry(service=_service(number))
                for number in range(count)
            }
        memory[str(count)] = allocated.megabytes
        empty = models.Configuration()
        whole = drafts.build_write(
            empty, drafts.Draft(entries, {}, {}, {}, sheet=entries), author
        )
        stored = models.Configuration(
            head=whole.head,
            index=models.Index.model_validate_json(
                whole.content_by_digest[whole.head.index]
            ),
            entry_by_name=entries,
            sheet_by_name=entries,
        )
        edit = edits.set_edit("service-1", {"max_wait_s": 3.0}, author)
        change = drafts.build_write(stored, edit(stored), author)
        content = change.content_by_digest
        patch[str(count)] = len(content[change.head.patch])
        index[str(count)] = len(content[change.head.index])
        head[str(count)] = len(chunks.encode(change.head))
        chunk[str(count)] = max(
            len(value)
            for digest, value in content.items()
            if digest not in (change.head.patch, change.head.index)
        )
        assert change.head.patch, "one service is a small change"
    return {
        "entries_mb": memory,
        "patch_bytes": patch,
        "index_bytes": index,
        "chunk_bytes": chunk,
        "head_bytes": head,
    }


def flow_state() -> dict[str, object]:
    """Returns memory of a flow and a locator, and bytes of registrations."""
    keys = [number.to_bytes(13, "big") for number in range(FLOWS)]
    with _Allocated() as owned:
        load = loads.LoadEstimate(loads.Limits(slots=FLOWS), 0.0)
        table = flow_tables.FlowTable(load, flow_tables.Timeouts())
        registrar = registrations.Registrar()
        for key in keys:
            flow = table.open(key, "lookups", 1, 0.0)
            registrar.register(key, "lookups", flow.incarnation, ("a", "b"))
        for number, message in enumerate(registrar.due_messages(0.0), 1):
            assert message.holder in ("a", "b"), "two holders"
            registrar.on_acknowledged(number)
    with _Allocated() as located:
        locators = flow_locators.LocatorTable()
        for key in keys:
            locators.register(
                key,
                flow_locators.Locator(
                    "target-1", ("10.0.0.1", 7000), 1, "lookups", False
                ),
                0.0,
            )
    assert len(table) == len(locators) == FLOWS, "all are held"
    sizes = {}
    for count in (1, 16, 40):
        entries = tuple(controls.Registration(key, 1) for key in keys[:count])
        bodies: dict[str, controls.Body] = {
            "register": controls.Register(1, "lookups", entries),
            "release": controls.Release(tuple(keys[:count])),
            "acknowledge": controls.RegisterAck(1),
        }
        sizes[str(count)] = {
            name: gossip_network.TAG_BYTES + len(_encoded(body))
            for name, body in bodies.items()
        }
    return {
        "bytes_per_owned_flow": round(owned.megabytes * 1e6 / FLOWS),
        "bytes_per_locator": round(located.megabytes * 1e6 / FLOWS),
        "registration_bytes": sizes,
    }


def _encoded(body: controls.Body) -> bytes:
    control = controls.Control(
        "target-43999", 1_700_000_000_000, 10**6, 7_100, 2**63, (), body
    )
    return controls.encode(control)


def slopes(seed: int) -> results.Result:
    """All slopes; misses the bound on membership state if it is larger."""
    figures = {
        **placement(),
        **balancer_services(),
        **membership_state(),
        **control_bytes(seed),
        **flow_state(),
        **configuration_sizes(),
    }
    missed = []
    memory = figures["members_mb"]
    assert isinstance(memory, dict), "memory by number of members"
    if memory[str(FULL_MEMBERS)] > MEMBERS_BOUND_MB:
        missed.append("members_mb")
    moved = figures["moved_without_cause"]
    assert isinstance(moved, dict), "moved buckets by number of targets"
    if any(moved.values()):
        missed.append("moved_without_cause")
    return results.Result(figures, tuple(missed))
