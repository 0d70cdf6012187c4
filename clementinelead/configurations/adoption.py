"""The configuration in force at a process; its revision never decreases."""

import collections
import collections.abc
import dataclasses

from clementinelead.configurations import models
from clementinelead.configurations import shares

__all__ = [
    "ActiveConfiguration",
    "Adopted",
    "AdoptionOutcome",
    "OlderRevision",
    "Unchanged",
]

MAX_CACHED_PATCHES = 64


@dataclasses.dataclass(frozen=True)
class Adopted:
    """A higher revision is now in force.

    Attributes:
        revision: The revision.
        names: Services that changed, None for all.
    """

    revision: int
    names: frozenset[str] | None


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The offer holds nothing newer than what is in force."""


@dataclasses.dataclass(frozen=True)
class OlderRevision:
    """The offered revision is older than the one in force.

    The revision in force stays; operators must investigate the source.

    Attributes:
        offered: Revision of the offer.
        in_force: Revision in force.
    """

    offered: int
    in_force: int


AdoptionOutcome = Adopted | Unchanged | OlderRevision


class ActiveConfiguration:
    """The configuration in force, with a cache of the latest patches.

    A revision is adopted as a whole: readers see the old entries or the new
    ones, never a mixture.

    Attributes:
        revision: Revision in force, 0 before the first.
        entry_by_name: Services in force.
        drains: Drain by identifier of the target.
        evacuations: Evacuation by name of the zone.
    """

    def __init__(self, names: frozenset[str] | None = None):
        """Starts without a configuration.

        Args:
            names: Names of the services to keep, together with the services
                that send a share of their flows to them; None for all
                services.
        """
        self.revision = 0
        self.entry_by_name: dict[str, models.Entry] = {}
        self.drains: dict[str, models.Drain] = {}
        self.evacuations: dict[str, models.Evacuation] = {}
        self._names = names
        self._patches: collections.deque[models.Patch] = collections.deque(
            maxlen=MAX_CACHED_PATCHES
        )

    def offer_snapshot(
        self,
        revision: int,
        entry_by_name: collections.abc.Mapping[str, models.Entry],
        drains: collections.abc.Mapping[str, models.Drain],
        evacuations: collections.abc.Mapping[str, models.Evacuation],
    ) -> AdoptionOutcome:
        """Adopts a full configuration if its revision is higher.

        The cached patches are dropped, as they no longer lead to the revision
        in force.

        Args:
            revision: Revision of the configuration.
            entry_by_name: Services of the configuration.
            drains: Drain by identifier of the target.
            evacuations: Evacuation by name of the zone.

        Returns:
            Whether the configuration was adopted, is not newer, or is older.
        """
        if revision < self.revision:
            return OlderRevision(revision, self.revision)
        if revision == self.revision:
            return Unchanged()
        entries = {
            name: entry
            for name, entry in entry_by_name.items()
            if self._is_needed(entry.service)
        }
        self._patches.clear()
        self.entry_by_name = entries
        self.drains = dict(drains)
        self.evacuations = dict(evacuations)
        self.revision = revision
        return Adopted(revision, None)

    def offer_patches(
        self, patches: collections.abc.Sequence[models.Patch]
    ) -> AdoptionOutcome:
        """Applies the patches that follow the revision in force.

        Patches that do not continue the sequence of revisions are skipped.

        Args:
            patches: Patches of consecutive revisions, oldest first.

        Returns:
            The new revision with the names of the services that changed, or
            ``Unchanged`` if no patch was applied.
        """
        entries = dict(self.entry_by_name)
        drains = self.drains
        evacuations = self.evacuations
        revision = self.revision
        changed_names: set[str] = set()
        applied = []
        for patch in patches:
            if patch.revision != revision + 1:
                continue
            for name, entry in patch.entries.items():
                if entry is not None and self._is_needed(entry.service):
                    entries[name] = entry
                elif entries.pop(name, None) is None:
                    continue
                changed_names.add(name)
            drains = patch.drains
            evacuations = patch.evacuations
            revision = patch.revision
            applied.append(patch)
        if not applied:
            return Unchanged()
        self._patches.extend(applied)
        self.entry_by_name = entries
        self.drains = dict(drains)
        self.evacuations = dict(evacuations)
        self.revision = revision
        return Adopted(revision, frozenset(changed_names))

    def patches_since(self, revision: int) -> list[models.Patch] | None:
        """Returns the patches that lead from a revision to the one in force.

        Args:
            revision: Revision that the requesting process has in force.

        Returns:
            The patches, oldest first, or None if some are no longer cached.
        """
        newer_patches = [
            patch for patch in self._patches if patch.revision > revision
        ]
        if len(newer_patches) != self.revision - revision:
            return None
        return newer_patches

    @property
    def needed_names(self) -> frozenset[str]:
        """Names of the services whose changes this process needs.

        Empty if it needs all. Includes the services that are kept only
        because they send a share of their flows here, so that the change
        that ends this is received too.
        """
        if self._names is None:
            return frozenset()
        return self._names | self.entry_by_name.keys()

    def _is_needed(self, service: models.Service) -> bool:
        return self._names is None or shares.sends_flows_to_any(
            service, self._names
        )
