"""Three-way merge of a sheet with what shifts changed by hand."""

import collections.abc
import dataclasses
import enum

from clementinelead import exceptions
from clementinelead.configurations import drafts
from clementinelead.configurations import models
from clementinelead.configurations import sheets

__all__ = ["Change", "Conflict", "Plan", "Resolution", "plan", "sheet_edit"]

WHOLE_SERVICE = "*"
"""Stands for a service as a whole, in place of a field."""


class Resolution(enum.Enum):
    """Which side of a conflict wins."""

    SHEET = "sheet"
    HAND = "hand"


@dataclasses.dataclass(frozen=True)
class Change:
    """What applying the sheet does to one field.

    Attributes:
        service: Name of the service.
        field: Field, or ``WHOLE_SERVICE`` for a service that comes or goes.
        before: Value in force.
        after: Value afterwards.
    """

    service: str
    field: str
    before: object
    after: object


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A field that both the sheet and a shift changed.

    Attributes:
        place: File, row and field.
        service: Name of the service.
        field: Field, or ``WHOLE_SERVICE``.
        sheet: Value in the new sheet, None if the service is not in it.
        hand: Value in force, None if the service was removed by hand.
        author: Who changed it by hand.
    """

    place: str
    service: str
    field: str
    sheet: object
    hand: object
    author: models.Author | None

    def finding(self) -> exceptions.Finding:
        """Returns the conflict as a finding."""
        who = "somebody"
        if self.author is not None:
            who = (
                f"{self.author.operator} (shift {self.author.shift},"
                f" {self.author.time:.0f} s, {self.author.reason or 'no reason'})"
            )
        problem = (
            f"the sheet says {self.sheet!r}, {who} set {self.hand!r} by hand"
        )
        place = f"{self.service}.{self.field}"
        allowed = f"--take {place}=sheet or --take {place}=hand"
        return exceptions.Finding(self.place, problem, allowed)


@dataclasses.dataclass(frozen=True)
class Plan:
    """What applying a sheet would do.

    Attributes:
        revision: Revision that it was made for.
        entry_by_name: Services afterwards.
        sheet_by_name: The sheet's own services, the base of the next merge.
        removed: Services that stay removed by hand.
        changes: Changes to what is in force.
        kept: Changes by hand that stay.
        conflicts: Conflicts that are not resolved.
    """

    revision: int
    entry_by_name: dict[str, models.Entry]
    sheet_by_name: dict[str, models.Entry]
    removed: dict[str, models.Author]
    changes: tuple[Change, ...]
    kept: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]


ResolutionByField = collections.abc.Mapping[tuple[str, str], Resolution]


class _Merge:
    """Collects the plan while the services are gone through."""

    def __init__(
        self,
        path: str,
        configuration: models.Configuration,
        rows: collections.abc.Mapping[str, sheets.Row],
        resolution_by_field: ResolutionByField,
    ):
        self._path = path
        self._configuration = configuration
        self._rows = rows
        self._takes = resolution_by_field
        self.entries: dict[str, models.Entry] = {}
        self.removed: dict[str, models.Author] = {}
        self.changes: list[Change] = []
        self.kept: list[Change] = []
        self.conflicts: list[Conflict] = []

    def run(self) -> None:
        """Merges all services that any of the three sides has."""
        configuration = self._configuration
        names = {
            *configuration.sheet_by_name,
            *configuration.entry_by_name,
            *self._rows,
        }
        for name in sorted(names):
            base = configuration.sheet_by_name.get(name)
            hand = configuration.entry_by_name.get(name)
            row = self._rows.get(name)
            if row is not None and hand is not None:
                self._both(base.service if base else None, hand, row)
            elif row is not None:
                self._only_sheet(base.service if base else None, row)
            elif hand is not None:
                self._only_hand(base.service if base else None, hand)

    def _both(
        self,
        base: models.Service | None,
        hand: models.Entry,
        row: sheets.Row,
    ) -> None:
        """Merges a service that is in the sheet and in force."""
        values: dict[str, object] = {}
        by_hand: dict[str, models.Author] = {}
        for field in sheets.COLUMNS:
            old = getattr(base, field) if base else None
            mine = getattr(hand.service, field)
            theirs = getattr(row.service, field)
            values[field] = self._field(row, field, old, mine, theirs, hand)
            if values[field] != theirs:
                author = hand.by_hand.get(field) or hand.by_hand.get(
                    WHOLE_SERVICE
                )
                if author is not None:
                    by_hand[field] = author
        service = models.Service.model_validate(values)
        self.entries[service.name] = models.Entry(
            service=service, by_hand=by_hand
        )

    def _field(
        self,
        row: sheets.Row,
        field: str,
        old: object,
        mine: object,
        theirs: object,
        hand: models.Entry,
    ) -> object:
        name = row.service.name
        if mine == theirs:
            return mine
        if old is not None and theirs == old:
            self.kept.append(Change(name, field, mine, mine))
            return mine
        if old is not None and mine == old:
            self.changes.append(Change(name, field, mine, theirs))
            return theirs
        take = self._takes.get((name, field))
        if take is Resolution.SHEET:
            self.changes.append(Change(name, field, mine, theirs))
            return theirs
        if take is Resolution.HAND:
            self.kept.append(Change(name, field, mine, mine))
            return mine
        author = hand.by_hand.get(field) or hand.by_hand.get(WHOLE_SERVICE)
        self.conflicts.append(
            Conflict(
                f"{self._path}:{row.number}:{field}",
                name,
                field,
                theirs,
                mine,
                author,
            )
        )
        return mine

    def _only_sheet(self, base: models.Service | None, row: sheets.Row) -> None:
        """Merges a service that is in the sheet and not in force."""
        name = row.service.name
        author = self._configuration.index.removed.get(name)
        added = Change(name, WHOLE_SERVICE, None, "added")
        if base is None:
            self._add(row, added)
            return
        take = self._takes.get((name, WHOLE_SERVICE))
        unchanged = base == row.service
        if take is Resolution.SHEET:
            self._add(row, added)
        elif unchanged or take is Resolution.HAND:
            self.kept.append(
                Change(name, WHOLE_SERVICE, None, "removed by hand")
            )
            if author is not None:
                self.removed[name] = author
        else:
            place = f"{self._path}:{row.number}:name"
            self.conflicts.append(
                Conflict(place, name, WHOLE_SERVICE, "changed", None, author)
            )

    def _add(self, row: sheets.Row, change: Change) -> None:
        self.entries[row.service.name] = models.Entry(service=row.service)
        self.changes.append(change)

    def _only_hand(
        self, base: models.Service | None, hand: models.Entry
    ) -> None:
        """Merges a service that is in force and not in the sheet."""
        name = hand.service.name
        if base is None:
            self.entries[name] = hand
            self.kept.append(Change(name, WHOLE_SERVICE, None, "added by hand"))
            return
        take = self._takes.get((name, WHOLE_SERVICE))
        if not hand.by_hand or take is Resolution.SHEET:
            self.changes.append(Change(name, WHOLE_SERVICE, "in force", None))
            return
        self.entries[name] = hand
        if take is Resolution.HAND:
            self.kept.append(Change(name, WHOLE_SERVICE, None, "kept by hand"))
            return
        author = next(iter(hand.by_hand.values()))
        self.conflicts.append(
            Conflict(self._path, name, WHOLE_SERVICE, None, "changed", author)
        )


def plan(
    path: str,
    configuration: models.Configuration,
    rows: collections.abc.Mapping[str, sheets.Row],
    resolution_by_field: ResolutionByField,
) -> Plan:
    """Returns what applying a sheet would do.

    Args:
        path: Name of the sheet, for findings.
        configuration: Configuration in force, with the sheet last applied.
        rows: Rows of the new sheet.
        resolution_by_field: Side that wins by service and field.

    Raises:
        exceptions.FindingsError: The result would give an address to two
            services, or a share to one that can't take it.
    """
    merge = _Merge(path, configuration, rows, resolution_by_field)
    merge.run()
    numbered = [
        (number, entry.service)
        for number, entry in enumerate(merge.entries.values())
    ]
    clashes = sheets.consistency_findings(f"{path}: after the merge", numbered)
    if clashes:
        raise exceptions.FindingsError(tuple(clashes))
    return Plan(
        revision=configuration.revision,
        entry_by_name=merge.entries,
        sheet_by_name={
            name: models.Entry(service=row.service)
            for name, row in rows.items()
        },
        removed=merge.removed,
        changes=tuple(merge.changes),
        kept=tuple(merge.kept),
        conflicts=tuple(merge.conflicts),
    )


def sheet_edit(
    path: str,
    rows: collections.abc.Mapping[str, sheets.Row],
    resolution_by_field: ResolutionByField,
) -> collections.abc.Callable[[models.Configuration], drafts.Draft]:
    """Returns the edit that applies a sheet, if nothing is in conflict.

    Args:
        path: Name of the sheet, for findings.
        rows: Rows of the sheet.
        resolution_by_field: Side that wins by service and field.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        made = plan(path, configuration, rows, resolution_by_field)
        if made.conflicts:
            raise exceptions.FindingsError(
                tuple(conflict.finding() for conflict in made.conflicts)
            )
        return drafts.Draft(
            entry_by_name=made.entry_by_name,
            drains=dict(configuration.index.drains),
            removed=made.removed,
            sheet=made.sheet_by_name,
        )

    return edit
