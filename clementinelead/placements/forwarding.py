"""The decision of a balancer about each packet of the fabric."""

import collections
import collections.abc
import dataclasses

import xxhash

from clementinelead.configurations import models
from clementinelead.memberships import records
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables
from clementinelead.telemetry import metrics

__all__ = ["Forwarder", "Routing", "members_by_service", "table_of"]

_HASH_ONLY_DEPTH = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Routing:
    """What a log line says of a routing decision."""

    service: str
    flow: str
    first: str
    candidates: int
    revision: int


@dataclasses.dataclass(slots=True)
class _Routes:
    """Per-bucket messages and addresses, laid out for the packet path."""

    encoded: list[bytes]
    addresses: list[tuple[str, int]]
    table: tables.Table


def members_by_service(
    several: collections.abc.Iterable[records.Record],
    names: collections.abc.Set[str],
) -> dict[str, tuple[tables.Member, ...]]:
    """Returns the targets of some services.

    Draining targets stay in the tables until they leave: they accept nothing
    new, but their flows are found where they always were.

    Args:
        several: Records of the living.
        names: Services of interest.
    """
    found: dict[str, list[tables.Member]] = collections.defaultdict(list)
    for record in several:
        if record.role is not records.Role.SIDE:
            continue
        for name in record.services:
            if name in names:
                member = tables.Member(
                    record.id, record.data_address, record.weight
                )
                found[name].append(member)
    return {name: tuple(values) for name, values in found.items()}


def table_of(
    service: models.Service,
    targets: tuple[tables.Member, ...],
    revision: int,
    previous: tables.Table | None,
) -> tables.Table | None:
    """Returns the bucket table that a service's policy asks for.

    Args:
        service: The service.
        targets: Its targets.
        revision: Configuration revision in force.
        previous: Table of the previous view, if any.
    """
    depth = service.candidates
    if service.policy != "hunting":
        depth = _HASH_ONLY_DEPTH
    if service.policy == "plain-hash":
        targets = tuple(
            dataclasses.replace(target, weight=1.0) for target in targets
        )
    return tables.build(
        service.name, revision, targets, service.buckets, depth, previous
    )


class Forwarder:
    """Finds the first candidate of each packet; holds no flow state.

    Attributes:
        forwarded: Number of packets forwarded.
        drops: Packets dropped by cause.
    """

    def __init__(self, on_routing: collections.abc.Callable[[Routing], None]):
        self.forwarded = 0
        self.drops = metrics.CounterSet()
        self._on_routing = on_routing
        self._routes_by_address: dict[bytes, _Routes | None] = {}
        self._address_by_name: dict[str, bytes] = {}
        self._table_by_name: dict[str, tables.Table] = {}

    def names(self) -> frozenset[str]:
        """Returns the names of the services known."""
        return frozenset(self._address_by_name)

    def forward(self, packet: bytes) -> tuple[bytes, tuple[str, int]] | None:
        """Returns the envelope and where to send it, or None to drop.

        Args:
            packet: A packet as the fabric handed it over.
        """
        key = headers.flow_key(packet)
        if type(key) is not bytes:
            self.drops.add(key.value)  # type: ignore[union-attr]
            return None
        routes = self._routes_by_address.get(key[4:8] + key[10:13])
        if routes is None:
            self._count_unroutable(key)
            return None
        encoded = routes.encoded
        number = xxhash.xxh3_64_intdigest(key) % len(encoded)
        self.forwarded += 1
        if key[12] == headers.PROTOCOL_UDP or headers.starts_flow(packet, key):
            self._report(key, routes.table.routes[number])
        return (
            envelopes.encode_placement(encoded[number], packet),
            routes.addresses[number],
        )

    def update(
        self,
        name: str,
        service: models.Service | None,
        targets: tuple[tables.Member, ...],
        revision: int,
        now: float,
    ) -> None:
        """Takes over a service's definition or targets.

        Args:
            name: Name of the service.
            service: Its definition, None if it was removed.
            targets: Its targets that are not dead or leaving.
            revision: Configuration revision in force.
            now: Present time, seconds.
        """
        address = self._address_by_name.pop(name, None)
        if address is not None:
            del self._routes_by_address[address]
        if service is None:
            self._table_by_name.pop(name, None)
            return
        previous = self._table_by_name.get(name)
        table = table_of(service, targets, revision, previous)
        self._address_by_name[name] = service.key
        self._routes_by_address[service.key] = _laid_out(table)
        if table is not None:
            self._table_by_name[name] = table

    def _count_unroutable(self, key: headers.FlowKey) -> None:
        known = headers.service_key_of_flow(key) in self._routes_by_address
        cause = headers.DropCause.NO_SERVICE
        if known:
            cause = headers.DropCause.NO_TARGET
        self.drops.add(cause.value)

    def _report(self, key: headers.FlowKey, route: envelopes.Route) -> None:
        first = route.candidates[0].address
        self._on_routing(
            Routing(
                route.service,
                headers.flow_text(key),
                f"{first[0]}:{first[1]}",
                len(route.candidates),
                route.revision,
            )
        )


def _laid_out(table: tables.Table | None) -> _Routes | None:
    if table is None:
        return None
    return _Routes(
        encoded=[route.encoded for route in table.routes],
        addresses=[route.candidates[0].address for route in table.routes],
        table=table,
    )
