"""Stateless forwarding of packets from the fabric to first candidates."""

import collections.abc
import dataclasses

import xxhash

from clementinelead.configurations import models
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables
from clementinelead.telemetry import counters

__all__ = ["Forwarder", "RoutingDecision", "build_policy_table"]

_HASH_POLICY_CANDIDATES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDecision:
    """A routing decision, for the log.

    Attributes:
        service: Name of the service.
        flow: Flow key as text.
        first: Address and UDP port of the first candidate, as text.
        candidates: Number of candidates of the route.
        revision: Configuration revision of the route.
    """

    service: str
    flow: str
    first: str
    candidates: int
    revision: int


def build_policy_table(
    service: models.Service,
    groups: tuple[tables.TargetGroup, ...],
    revision: int,
    previous: tables.BucketTable | None,
) -> tables.BucketTable | None:
    """Builds the bucket table of a service according to its policy.

    With ``hunting`` each bucket has several candidates, otherwise one;
    ``plain-hash`` ignores the targets' weights.

    Args:
        service: The service.
        groups: Target groups that serve it.
        revision: Configuration revision in force.
        previous: Table of the previous view, None if there is none.

    Returns:
        The table, None if there are no targets.
    """
    depth = service.candidates
    if service.policy != "hunting":
        depth = _HASH_POLICY_CANDIDATES
    if service.policy == "plain-hash":
        groups = tuple(
            dataclasses.replace(
                group,
                members=tuple(
                    dataclasses.replace(member, weight=1.0)
                    for member in group.members
                ),
            )
            for group in groups
        )
    return tables.build_grouped(
        service.name, revision, groups, service.buckets, depth, previous
    )


class Forwarder:
    """Forwards each packet to its first candidate, without flow state.

    Attributes:
        forwarded: Number of packets forwarded.
        drops: Number of packets dropped, by cause.
    """

    def __init__(
        self, on_routing: collections.abc.Callable[[RoutingDecision], None]
    ):
        """Starts without services.

        Args:
            on_routing: Called for each UDP packet and for each packet that
                starts a TCP flow.
        """
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
        """Returns the names of the configured services."""
        return frozenset(self._addresses_by_name)

    def forward(self, packet: bytes) -> tuple[bytes, tuple[str, int]] | None:
        """Encapsulates a packet for its first candidate.

        Args:
            packet: An IPv4 packet received from the fabric.

        Returns:
            The encoded envelope and the address and UDP port of the first
            candidate, or None if the packet is dropped, which is counted.
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
        if key[12] == headers.PROTOCOL_UDP or headers.may_start_flow(
            packet, key
        ):
            self._report_decision(key, route)
        return (
            envelopes.encode_placement(route.encoded, packet),
            route.candidates[0].address,
        )

    def update(
        self,
        name: str,
        service: models.Service | None,
        groups: tuple[tables.TargetGroup, ...],
        revision: int,
    ) -> None:
        """Replaces the definition and targets of a service.

        Args:
            name: Name of the service.
            service: Its definition, None if it was removed.
            groups: Its target groups, without dead and leaving targets.
            revision: Configuration revision in force.
        """
        addresses = frozenset(service.endpoint_by_key if service else ())
        for address in self._addresses_by_name.pop(name, frozenset()):
            # The address may already belong to a service updated before this
            # one.
            if self._name_by_address[address] == name:
                del self._name_by_address[address]
                del self._routes_by_address[address]
        if service is None:
            self._table_by_name.pop(name, None)
            return
        previous = self._table_by_name.get(name)
        table = build_policy_table(service, groups, revision, previous)
        self._addresses_by_name[name] = addresses
        routes = table.routes if table else None
        for address in addresses:
            self._name_by_address[address] = name
            self._routes_by_address[address] = routes
        if table is not None:
            self._table_by_name[name] = table

    def _count_unroutable(self, key: headers.FlowKey) -> None:
        """Counts a packet whose address has no service or no target."""
        has_service = (
            headers.service_key_of_flow(key) in self._routes_by_address
        )
        cause = headers.DropCause.NO_SERVICE
        if has_service:
            cause = headers.DropCause.NO_TARGET
        self.drops.add(cause.value)

    def _report_decision(
        self, key: headers.FlowKey, route: envelopes.Route
    ) -> None:
        first = route.candidates[0].address
        self._on_routing(
            RoutingDecision(
                route.service,
                headers.format_flow_key(key),
                f"{first[0]}:{first[1]}",
                len(route.candidates),
                route.revision,
            )
        )
