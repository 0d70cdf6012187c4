"""Differences between two versions of the routes.

A process that synchronizes with a peer fetches only the routes that have
changed: at 18,000 routes the complete table is some megabytes.
"""

import msgspec

from clementinelead import decoding
from clementinelead import exceptions
from clementinelead.messages import compression
from clementinelead.relays import former_services
from clementinelead.relays import routes

__all__ = ["Patch", "RouteHistory", "apply_patch", "decode", "encode"]

MAX_KEPT_VERSIONS = 64
"""Versions whose changes are kept; a peer with an older one fetches all routes.

At 7,100 changes a day these are the changes of 13 minutes.
"""


class Patch(msgspec.Struct, frozen=True):
    """The difference between two versions of the routes.

    Attributes:
        since: The older version, 0 if the patch contains all routes.
        version: The newer version.
        changed: Routes that are new or differ, as in the newer version.
        removed: Addresses without a route in the newer version.
        idle_timeout_s: Time after which an idle flow may be dropped, seconds.
        former: Services that the newer version no longer names, None if the
            sender's list may be incomplete.
        warmup_rates: All rates in the newer version, None if they are the same
            as in the older one.
    """

    since: decoding.Count
    version: decoding.Count
    changed: tuple[routes.Route, ...]
    removed: tuple[bytes, ...]
    idle_timeout_s: float
    former: tuple[former_services.FormerService, ...] | None = None
    warmup_rates: tuple[routes.WarmupRate, ...] | None = None


def encode(patch: Patch) -> bytes:
    """Returns the compressed JSON encoding of a patch."""
    return compression.compress(msgspec.json.encode(patch))


def decode(data: bytes) -> Patch:
    """Returns the patch that a peer has encoded.

    Raises:
        exceptions.MalformedMessageError: The data is not an encoded patch.
    """
    try:
        return decoding.decode_json(compression.decompress(data), Patch)
    except ValueError as error:
        raise exceptions.MalformedMessageError(str(error)) from error


def apply_patch(
    table: routes.RoutingTable, patch: Patch
) -> routes.RoutingTable | None:
    """Returns the routes of a patch's newer version.

    Args:
        table: Routes in force. They must have the patch's older version,
            unless the patch contains all routes.
        patch: The patch.

    Returns:
        The routes, None if the patch is for another version.

    Examples:
        >>> changed = (routes.Route("r", b"a", (routes.Share("s", 1),)),)
        >>> apply_patch(routes.EMPTY, Patch(0, 4, changed, (), 60.0)).version
        4
    """
    if patch.since not in (routes.EMPTY.version, table.version):
        return None
    by_address = table.by_address if patch.since else {}
    for address in patch.removed:
        by_address.pop(address, None)
    for route in patch.changed:
        by_address[route.address] = route
    warmup_rates = patch.warmup_rates
    if warmup_rates is None:
        warmup_rates = table.warmup_rates if patch.since else ()
    return routes.RoutingTable(
        patch.version,
        tuple(by_address.values()),
        patch.idle_timeout_s,
        warmup_rates,
    )


class RouteHistory:
    """The addresses that recent versions of the routes have changed."""

    def __init__(self) -> None:
        self._touched_by_version: dict[int, frozenset[bytes]] = {}
        self._rates_changed_at = routes.EMPTY.version

    def record_change(
        self, before: routes.RoutingTable, after: routes.RoutingTable
    ) -> None:
        """Records which addresses a change of the routes has touched.

        Args:
            before: Routes in force until now.
            after: Routes of a higher version.
        """
        old, new = before.by_address, after.by_address
        touched = frozenset(
            address
            for address in old.keys() | new.keys()
            if old.get(address) != new.get(address)
        )
        self._touched_by_version[before.version] = touched
        if before.warmup_rates != after.warmup_rates:
            self._rates_changed_at = after.version
        if len(self._touched_by_version) > MAX_KEPT_VERSIONS:
            del self._touched_by_version[min(self._touched_by_version)]

    def patch_since(
        self,
        version: int,
        table: routes.RoutingTable,
        former: tuple[former_services.FormerService, ...] | None,
    ) -> Patch:
        """Returns the patch from an older version to the routes in force.

        Args:
            version: Version that the requesting peer has in force.
            table: Routes in force here.
            former: Services that they no longer name, None if the list may be
                incomplete.

        Returns:
            The patch; it contains all routes if the changes since that version
            are no longer kept.
        """
        if version == table.version:
            return Patch(version, version, (), (), table.idle_timeout_s, former)
        if version not in self._touched_by_version:
            return Patch(
                since=routes.EMPTY.version,
                version=table.version,
                changed=table.routes,
                removed=(),
                idle_timeout_s=table.idle_timeout_s,
                former=former,
                warmup_rates=table.warmup_rates,
            )
        touched: set[bytes] = set()
        for older, addresses in self._touched_by_version.items():
            if older >= version:
                touched |= addresses
        by_address = table.by_address
        return Patch(
            since=version,
            version=table.version,
            changed=tuple(
                by_address[address]
                for address in sorted(touched)
                if address in by_address
            ),
            removed=tuple(sorted(touched - by_address.keys())),
            idle_timeout_s=table.idle_timeout_s,
            former=former,
            warmup_rates=(
                table.warmup_rates if version < self._rates_changed_at else None
            ),
        )
