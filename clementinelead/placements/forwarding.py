"""The decision of a balancer about each packet of the fabric."""

import collections.abc
import dataclasses

import xxhash

from clementinelead.configurations import models
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables
from clementinelead.telemetry import counters

__all__ = ["Forwarder", "RoutingDecision", "build_policy_table"]

_HASH_ONLY_DEPTH = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDecision:
    """What a log line says of a routing decision."""

    service: str
    flow: str
    first: str
    candidates: int
    revision: int


def build_policy_table(
    service: models.Service,
    parts: tuple[tables.TargetGroup, ...],
    revision: int,
    previous: tables.BucketTable | None,
) -> tables.BucketTable | None:
    """Returns the bucket table that a service's policy asks for.

    Args:
        service: The service.
        parts: Its sets of targets.
        revision: Configuration revision in force.
        previous: Table of the previous view, if any.
    """
    depth = service.candidates
    if service.policy != "hunting":
        depth = _HASH_ONLY_DEPTH
    if service.policy == "plain-hash":
        parts = tuple(
            dataclasses.replace(
                part,
                members=tuple(
                    dataclasses.replace(member, weight=1.0)
                    for member in part.members
                ),
            )
            for part in parts
        )
    return tables.build_grouped(
        service.name, revision, parts, service.buckets, depth, previous
    )


class Forwarder:
    """Finds the first candidate of each packet; holds no flow state.

    Attributes:
        forwarded: Number of packets forwarded.
        drops: Packets dropped by cause.
    """

    def __init__(
        self, on_routing: collections.abc.Callable[[RoutingDecision], None]
    ):
        self.forwarded = 0
        self.drops = counters.CounterSet()
        self._on_routing = on_routing
        self._routes_by_address: dict[
            bytes, tuple[envelopes.Route, ...] | None
        ] = {}
        self._addresses_by_name: dict[str, frozenset[bytes]] = {}
        self._name_by_address: dict[bytes, str] = {}
        self._table_by_name: dict[str, tables.BucketTable] = {}

    def service_names(self) -> frozenset[str]:
        """Returns the names of the services known."""
        return frozenset(self._addresses_by_name)

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
        route = routes[xxhash.xxh3_64_intdigest(key) % len(routes)]
        self.forwarded += 1
        if key[12] == headers.PROTOCOL_UDP or headers.starts_flow(packet, key):
            self._report(key, route)
        return (
            envelopes.encode_placement(route.encoded, packet),
            route.candidates[0].address,
        )

    def update(
        self,
        name: str,
        service: models.Service | None,
        parts: tuple[tables.TargetGroup, ...],
        revision: int,
    ) -> None:
        """Takes over a service's definition or targets.

        Args:
            name: Name of the service.
            service: Its definition, None if it was removed.
            parts: Its sets of targets that are not dead or leaving.
            revision: Configuration revision in force.
        """
        addresses = frozenset(service.endpoint_by_key if service else ())
        for address in self._addresses_by_name.pop(name, frozenset()):
            # It may have moved to a service that was updated before this one.
            if self._name_by_address[address] == name:
                del self._name_by_address[address]
                del self._routes_by_address[address]
        if service is None:
            self._table_by_name.pop(name, None)
            return
        previous = self._table_by_name.get(name)
        table = build_policy_table(service, parts, revision, previous)
        self._addresses_by_name[name] = addresses
        routes = table.routes if table else None
        for address in addresses:
            self._name_by_address[address] = name
            self._routes_by_address[address] = routes
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
            RoutingDecision(
                route.service,
                headers.flow_text(key),
                f"{first[0]}:{first[1]}",
                len(route.candidates),
                route.revision,
            )
        )
