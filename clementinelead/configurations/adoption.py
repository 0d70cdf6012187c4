"""The configuration that a process runs: never a lower revision."""

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
    """Nothing new."""


@dataclasses.dataclass(frozen=True)
class OlderRevision:
    """A source offered less than what is in force; operators must look."""

    offered: int
    in_force: int


AdoptionOutcome = Adopted | Unchanged | OlderRevision


class ActiveConfiguration:
    """Holds the configuration in force and the latest patches.

    A process adopts a revision as a whole: readers see the old entries or the
    new ones.

    Attributes:
        revision: Revision in force, 0 before the first.
        entry_by_name: Services in force.
        drains: Targets that are leaving.
    """

    def __init__(self, names: frozenset[str] | None = None):
        """Starts without a configuration.

        Args:
            names: Services to keep, with those that share their flows with
                them; None for all.
        """
        self.revision = 0
        self.entry_by_name: dict[str, models.Entry] = {}
        self.drains: dict[str, models.Drain] = {}
        self._names = names
        self._patches: collections.deque[models.Patch] = collections.deque(
            maxlen=MAX_CACHED_PATCHES
        )

    def offer_snapshot(
        self,
        revision: int,
        entry_by_name: collections.abc.Mapping[str, models.Entry],
        drains: collections.abc.Mapping[str, models.Drain],
    ) -> AdoptionOutcome:
        """Takes over a whole configuration if it is newer.

        Args:
            revision: Its revision.
            entry_by_name: Its services.
            drains: Its leaving targets.
        """
        if revision < self.revision:
            return OlderRevision(revision, self.revision)
        if revision == self.revision:
            return Unchanged()
        entries = {
            name: entry
            for name, entry in entry_by_name.items()
            if self._concerns(entry.service)
        }
        self._patches.clear()
        self.entry_by_name = entries
        self.drains = dict(drains)
        self.revision = revision
        return Adopted(revision, None)

    def offer_patches(
        self, patches: collections.abc.Sequence[models.Patch]
    ) -> AdoptionOutcome:
        """Takes over the patches that follow the revision in force.

        Args:
            patches: Patches of consecutive revisions, oldest first.
        """
        entries = dict(self.entry_by_name)
        drains = self.drains
        revision = self.revision
        names: set[str] = set()
        taken = []
        for patch in patches:
            if patch.revision != revision + 1:
                continue
            for name, entry in patch.entries.items():
                if entry is not None and self._concerns(entry.service):
                    entries[name] = entry
                elif entries.pop(name, None) is None:
                    continue
                names.add(name)
            drains = patch.drains
            revision = patch.revision
            taken.append(patch)
        if not taken:
            return Unchanged()
        self._patches.extend(taken)
        self.entry_by_name = entries
        self.drains = dict(drains)
        self.revision = revision
        return Adopted(revision, frozenset(names))

    def patches_since(self, revision: int) -> list[models.Patch] | None:
        """Returns the patches that lead from a revision to the present one.

        Args:
            revision: Revision of the process that asks.

        Returns:
            The patches, oldest first, or None if some are not kept any more.
        """
        following = [
            patch for patch in self._patches if patch.revision > revision
        ]
        if len(following) != self.revision - revision:
            return None
        return following

    @property
    def needed_names(self) -> frozenset[str]:
        """Names whose changes this process needs, empty for all.

        A service that no longer shares its flows with the own targets is
        among them until that is known here.
        """
        if self._names is None:
            return frozenset()
        return self._names | self.entry_by_name.keys()

    def _concerns(self, service: models.Service) -> bool:
        return self._names is None or shares.sends_flows_to_any(
            service, self._names
        )
