"""What a relayed packet, a placement and a remembered flow cost."""

import time
import tracemalloc
import typing

import msgspec

from bench import results
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships import watchers
from clementinelead.platform import packets
from clementinelead.processes import contact_keys
from clementinelead.relays import announcements
from clementinelead.relays import candidates
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import route_patches
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.relays import target_relay

__all__ = ["relays"]

FLOWS = 5_000
PACKETS = 100_000
BALANCERS = 7_300
SIDES = 44_000
ROUTES = 18_000
REPEATS = 10
SERVICE = "lookups"
ADDRESS = packets.address_bytes("198.18.0.1", 443)
SIDE = ("10.0.0.2", 7000)
BALANCER = ("10.0.0.1", 7000)


def _packet(flow: int, flags: int, data: bytes = b"") -> bytes:
    head = bytearray(packets.HEADER_BYTES)
    head[0] = flags
    head[6:8] = len(data).to_bytes(2, "little")
    head[16:20] = (501).to_bytes(4, "little")
    head[24:26] = ADDRESS[:2]
    head[26:30] = (0x64400000 + flow // 50_000).to_bytes(4, "little")
    head[30:32] = (flow % 50_000 + 1024).to_bytes(2, "little")
    head[32:36] = ADDRESS[2:]
    return bytes(head) + data


def _accepted(opening: bytes) -> bytes:
    answer = bytearray(opening)
    answer[0] = 33
    answer[12:16] = (500).to_bytes(4, "little")
    answer[24:26], answer[30:32] = opening[30:32], opening[24:26]
    answer[26:30], answer[32:36] = opening[32:36], opening[26:30]
    return bytes(answer)


def _ignore(_: outcomes.Decision) -> None:
    pass


def _balancer(packet_format: packets.PlatformFormat) -> steering.Steering:
    former = former_services.FormerServices(first_start=True)
    balancer = steering.Steering(packet_format, _ignore, "z", former)
    route = routes.Route("r", ADDRESS, (routes.Share(SERVICE, 1),))
    table = routes.RoutingTable(1, (route,), 60.0)
    former.record_change(routes.EMPTY, table, 0.0)
    balancer.set_routes(table)
    target = candidates.Target("side", SIDE, "z", True, False)
    balancer.set_targets(SERVICE, (target,))
    return balancer


def _side(packet_format: packets.PlatformFormat) -> target_relay.TargetRelay:
    side = target_relay.TargetRelay(packet_format, SERVICE, _ignore, 0.0, 0)
    side.startup.no_predecessor = True
    announcement = announcements.Heartbeat(
        "t", 1, 1, SERVICE, 1_000_000, False, 0.0
    )
    side.on_heartbeat(announcement, 0.0)
    return side


def _place(
    balancer: steering.Steering, side: target_relay.TargetRelay, flow: int
) -> None:
    """Places a flow: question, answer, opening packet, acceptance."""
    opening = _packet(flow, 32)
    [question] = balancer.on_packet(opening, 1.0)
    [answer] = side.on_frame(question.data, BALANCER, 1.0)
    [placed] = balancer.on_frame(answer.data, SIDE, 1.0)
    side.on_frame(placed.data, BALANCER, 1.0)
    accepted, _ = side.on_target_packet(_accepted(opening), 1.0)
    balancer.on_frame(accepted.data, SIDE, 1.0)


def _microseconds(repeat: int, action: typing.Callable[[int], None]) -> float:
    begun = time.process_time()
    for number in range(repeat):
        action(number)
    return round((time.process_time() - begun) / repeat * 1e6, 2)


def _fleet() -> members.MemberTable:
    """Returns the records of as many processes as the aim has."""
    table = members.MemberTable()
    for number in range(BALANCERS + SIDES):
        is_side = number >= BALANCERS
        record = records.Record(
            id=f"n{number}",
            incarnation=1,
            sequence=1,
            role=records.Role.SIDE if is_side else records.Role.BALANCER,
            state=records.State.READY,
            region="r",
            zone="z",
            address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
            data_port=1,
            control_port=2,
            http_port=3,
            services=(SERVICE,) if is_side else (),
        )
        table.merge(record, 0.0)
    return table


def _fleet_figures() -> dict[str, object]:
    """Returns what a holder of a contact key spends at the aim's size."""
    table = _fleet()
    named_us = _microseconds(
        REPEATS, lambda _: _none(contact_keys.named_sides("n0", table.living()))
    )
    own = table.by_id["n0"]
    balancers = [
        record
        for record in table.living()
        if record.role is records.Role.BALANCER
    ]
    watcher_us = _microseconds(
        REPEATS, lambda _: _none(watchers.is_watcher(own, balancers))
    )
    census_us = _microseconds(
        REPEATS, lambda _: _none(members.count_side_processes(table, 1.0))
    )
    return {
        "named_sides_ms": round(named_us / 1000, 1),
        "census_ms": round(census_us / 1000, 1),
        "is_watcher_ms": round(watcher_us / 1000, 1),
    }


def _route_figures() -> dict[str, object]:
    """Returns what following one change costs at the aim's size."""
    several = tuple(
        routes.Route(
            f"r{number}",
            packets.address_bytes(f"10.{number >> 8}.{number & 255}.1", 443),
            (routes.Share(f"s{number}", 1),),
        )
        for number in range(ROUTES)
    )
    moved = routes.Route("r0", ADDRESS, several[0].shares)
    changed = (*several[1:], moved)
    before = routes.RoutingTable(1, several, 60.0)
    after = routes.RoutingTable(2, changed, 60.0)
    history = route_patches.RouteHistory()
    note_us = _microseconds(
        REPEATS, lambda _: history.record_change(before, after)
    )
    patch = history.patch_since(1, after, ())
    follow_us = _microseconds(
        REPEATS, lambda _: _none(route_patches.apply_patch(before, patch))
    )
    return {
        "routes_kb": round(len(msgspec.json.encode(before)) / 1000),
        "route_patch_bytes": len(msgspec.json.encode(patch)),
        "route_note_ms": round(note_us / 1000, 1),
        "route_follow_ms": round(follow_us / 1000, 1),
    }


def relays(seed: int) -> results.Result:
    """Costs of the relays' decisions, without sockets; no bound."""
    packet_format = packets.PlatformFormat(8172)
    balancer, side = _balancer(packet_format), _side(packet_format)
    tracemalloc.start()
    for flow in range(FLOWS):
        _place(balancer, side, flow)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    balancer, side = _balancer(packet_format), _side(packet_format)
    placement_us = _microseconds(
        FLOWS, lambda flow: _place(balancer, side, flow)
    )
    number = frames.service_number(SERVICE)
    packet = _packet(seed % FLOWS, 1, b"x" * 900)
    key = packet_format.from_caller(packet).key  # type: ignore[union-attr]
    frame = frames.encode(frames.Kind.PACKET, number, key, packet)
    figures: dict[str, object] = {
        "balancer_packet_us": _microseconds(
            PACKETS, lambda _: _none(balancer.on_packet(packet, 2.0))
        ),
        "side_packet_us": _microseconds(
            PACKETS, lambda _: _none(side.on_frame(frame, BALANCER, 2.0))
        ),
        "placement_us": placement_us,
        "flow_bytes_both_sides": round(held / FLOWS),
        "question_bytes": len(frames.encode(frames.Kind.QUERY_LOAD, 0, key)),
        "frame_head_bytes": len(frame) - len(packet),
    }
    figures.update(_fleet_figures())
    figures.update(_route_figures())
    return results.Result(figures, ())


def _none(_: object) -> None:
    """Drops what a decision returns."""
