"""Evacuated zones, from the keys that the operator writes.

A zone is evacuated while its key exists, whatever the value.
"""

import base64
import collections.abc

import loguru

from clementinelead import decoding
from clementinelead.memberships import evacuations
from clementinelead.platform import items

__all__ = ["PREFIX", "EvacuationKeys"]

PREFIX = "op/evacuate/"


class EvacuationKeys:
    """Zones whose key exists, from a read of all keys and later events."""

    def __init__(self, known_zones: collections.abc.Set[str]):
        """Starts without a read.

        Args:
            known_zones: Zones in the settings. If more zones are evacuated
                than a state can contain, others are left out first.
        """
        self._known_zones = known_zones
        self._zones: set[str] = set()

    def on_read(
        self,
        read: collections.abc.Iterable[items.Item],
        era: int,
        revision: int,
    ) -> evacuations.EvacuationState:
        """Returns the state that a read of all keys shows.

        Args:
            read: All items with the prefix.
            era: Store era of the read.
            revision: Revision of the store at the read.
        """
        self._zones = set()
        for item in read:
            self._apply(item)
        return self._state(era, revision)

    def on_events(
        self, events: collections.abc.Iterable[items.Item], era: int
    ) -> evacuations.EvacuationState | None:
        """Returns the state after changes of keys, None without any.

        Args:
            events: Changes since the read, in any order; those of other keys
                are ignored.
            era: Store era of the events.
        """
        revision = 0
        for event in sorted(events, key=lambda event: event.revision):
            if self._apply(event):
                revision = event.revision
        return self._state(era, revision) if revision else None

    def _apply(self, item: items.Item) -> bool:
        """Applies one key, and returns whether it names a zone."""
        if not item.key.startswith(PREFIX):
            return False
        zone = item.key[len(PREFIX) :]
        if not evacuations.is_valid_zone(zone):
            _warn(item, "invalid name of a zone")
            return False
        if item.deleted:
            self._zones.discard(zone)
            return True
        if zone not in self._known_zones:
            _warn(item, "zone not in the settings")
        if not _is_object(item.value):
            _warn(item, "value is no JSON object")
        self._zones.add(zone)
        return True

    def _state(self, era: int, revision: int) -> evacuations.EvacuationState:
        zones = sorted(
            self._zones, key=lambda zone: (zone not in self._known_zones, zone)
        )
        excess = zones[evacuations.MAX_ZONES :]
        if excess:
            loguru.logger.bind(
                prefix=PREFIX, zones=len(zones), left_out=len(excess)
            ).error("too many evacuated zones")
        return evacuations.EvacuationState(
            era, revision, frozenset(zones[: evacuations.MAX_ZONES])
        )


def _warn(item: items.Item, reason: str) -> None:
    loguru.logger.bind(
        key=item.key, revision=item.revision, reason=reason
    ).warning("unexpected evacuation key")


def _is_object(value: str) -> bool:
    try:
        decoding.decode_json(
            base64.b64decode(value, validate=True), dict[str, object]
        )
    except ValueError:
        return False
    return True
