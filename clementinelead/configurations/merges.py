"""Three-way merge of a new sheet with changes made by hand.

The base is the sheet last applied, one side is the configuration in force,
which contains the changes by hand, and the other side is the new sheet.
"""

import collections.abc
import dataclasses
import enum

from clementinelead import exceptions
from clementinelead.configurations import drafts
from clementinelead.configurations import models
from clementinelead.configurations import sheets

__all__ = ["Change", "Conflict", "Plan", "Resolution", "plan", "sheet_edit"]

WHOLE_SERVICE = "*"
"""Placeholder for the field name where the entire service is meant."""


class Resolution(enum.Enum):
    """Side whose value resolves a conflict.

    Attributes:
        SHEET: The value in the new sheet.
        HAND: The value in force, set by hand.
    """

    SHEET = "sheet"
    HAND = "hand"


@dataclasses.dataclass(frozen=True)
class Change:
    """Effect of applying the sheet on one field.

    Attributes:
        service: Name of the service.
        field: Name of the field, or ``WHOLE_SERVICE`` if the service is added
            or removed.
        before: Value in force.
        after: Value after the sheet is applied.
    """

    service: str
    field: str
    before: object
    after: object


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A field that the new sheet and a shift changed to different values.

    Attributes:
        place: File, row and field.
        service: Name of the service.
        field: Name of the field, or ``WHOLE_SERVICE``.
        sheet: Value in the new sheet, None if the service is not in it.
        hand: Value in force, None if the service was removed by hand.
        author: Author of the change by hand, None if not recorded.
    """

    place: str
    service: str
    field: str
    sheet: object
    hand: object
    author: models.Author | None

    def finding(self) -> exceptions.Finding:
        """Returns the conflict as a finding with the ways to resolve it."""
        author = "somebody"
        if self.author is not None:
            reason = self.author.reason or "no reason"
            author = (
                f"{self.author.operator} (shift {self.author.shift},"
                f" {self.author.time:.0f} s, {reason})"
            )
        problem = (
            f"the sheet says {self.sheet!r}, {author} set {self.hand!r} by hand"
        )
        place = f"{self.service}.{self.field}"
        allowed = f"--take {place}=sheet or --take {place}=hand"
        return exceptions.Finding(self.place, problem, allowed)


@dataclasses.dataclass(frozen=True)
class Plan:
    """Result of merging a sheet into a configuration.

    Attributes:
        revision: Revision of the configuration that was merged.
        entry_by_name: Services in force once the sheet is applied.
        sheet_by_name: Services of the sheet, the base of the next merge.
        removed: Author by name of the services that stay removed by hand.
        changes: Changes of the configuration in force.
        kept: Changes by hand that are preserved.
        conflicts: Unresolved conflicts.
    """

    revision: int
    entry_by_name: dict[str, models.Entry]
    sheet_by_name: dict[str, models.Entry]
    removed: dict[str, models.Author]
    changes: tuple[Change, ...]
    kept: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]


ResolutionByField = collections.abc.Mapping[tuple[str, str], Resolution]
"""Resolution by name of the service and field."""


class _Merge:
    """A merge in progress.

    Attributes:
        entry_by_name: Merged services.
        removed: Author by name of the services that stay removed by hand.
        changes: Changes of the configuration in force.
        kept: Changes by hand that are preserved.
        conflicts: Unresolved conflicts.
    """

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
        self._resolution_by_field = resolution_by_field
        self.entry_by_name: dict[str, models.Entry] = {}
        self.removed: dict[str, models.Author] = {}
        self.changes: list[Change] = []
        self.kept: list[Change] = []
        self.conflicts: list[Conflict] = []

    def run(self) -> None:
        """Merges every service of the base, the new sheet or in force."""
        configuration = self._configuration
        names = {
            *configuration.sheet_by_name,
            *configuration.entry_by_name,
            *self._rows,
        }
        for name in sorted(names):
            base = configuration.sheet_by_name.get(name)
            in_force = configuration.entry_by_name.get(name)
            row = self._rows.get(name)
            base_service = base.service if base else None
            if row is not None and in_force is not None:
                self._merge_fields(base_service, in_force, row)
            elif row is not None:
                self._merge_row_not_in_force(base_service, row)
            elif in_force is not None:
                self._merge_entry_not_in_sheet(base_service, in_force)

    def _merge_fields(
        self,
        base: models.Service | None,
        in_force: models.Entry,
        row: sheets.Row,
    ) -> None:
        """Merges, field by field, a service in the sheet and in force.

        Fields whose merged value differs from the sheet's stay marked as
        changed by hand.
        """
        values: dict[str, object] = {}
        by_hand: dict[str, models.Author] = {}
        for field in sheets.COLUMNS:
            base_value = getattr(base, field) if base else None
            hand_value = getattr(in_force.service, field)
            sheet_value = getattr(row.service, field)
            values[field] = self._merge_field(
                row, field, base_value, hand_value, sheet_value, in_force
            )
            if values[field] != sheet_value:
                author = in_force.by_hand.get(field) or in_force.by_hand.get(
                    WHOLE_SERVICE
                )
                if author is not None:
                    by_hand[field] = author
        service = models.Service.model_validate(values)
        self.entry_by_name[service.name] = models.Entry(
            service=service, by_hand=by_hand
        )

    def _merge_field(
        self,
        row: sheets.Row,
        field: str,
        base_value: object,
        hand_value: object,
        sheet_value: object,
        in_force: models.Entry,
    ) -> object:
        """Returns the merged value of a field and records what happened.

        The value in force stays while a conflict is unresolved.
        """
        name = row.service.name
        if hand_value == sheet_value:
            return hand_value
        if base_value is not None and sheet_value == base_value:
            self.kept.append(Change(name, field, hand_value, hand_value))
            return hand_value
        if base_value is not None and hand_value == base_value:
            self.changes.append(Change(name, field, hand_value, sheet_value))
            return sheet_value
        resolution = self._resolution_by_field.get((name, field))
        if resolution is Resolution.SHEET:
            self.changes.append(Change(name, field, hand_value, sheet_value))
            return sheet_value
        if resolution is Resolution.HAND:
            self.kept.append(Change(name, field, hand_value, hand_value))
            return hand_value
        author = in_force.by_hand.get(field) or in_force.by_hand.get(
            WHOLE_SERVICE
        )
        self.conflicts.append(
            Conflict(
                f"{self._path}:{row.number}:{field}",
                name,
                field,
                sheet_value,
                hand_value,
                author,
            )
        )
        return hand_value

    def _merge_row_not_in_force(
        self, base: models.Service | None, row: sheets.Row
    ) -> None:
        """Merges a service that is in the sheet and not in force.

        Without a base it is new in the sheet; with one, it was removed by
        hand.
        """
        name = row.service.name
        author = self._configuration.index.removed.get(name)
        added = Change(name, WHOLE_SERVICE, None, "added")
        if base is None:
            self._add(row, added)
            return
        resolution = self._resolution_by_field.get((name, WHOLE_SERVICE))
        unchanged = base == row.service
        if resolution is Resolution.SHEET:
            self._add(row, added)
        elif unchanged or resolution is Resolution.HAND:
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
        self.entry_by_name[row.service.name] = models.Entry(service=row.service)
        self.changes.append(change)

    def _merge_entry_not_in_sheet(
        self, base: models.Service | None, in_force: models.Entry
    ) -> None:
        """Merges a service that is in force and not in the sheet.

        Without a base it was added by hand; with one, the new sheet removes
        it.
        """
        name = in_force.service.name
        if base is None:
            self.entry_by_name[name] = in_force
            self.kept.append(Change(name, WHOLE_SERVICE, None, "added by hand"))
            return
        resolution = self._resolution_by_field.get((name, WHOLE_SERVICE))
        if not in_force.by_hand or resolution is Resolution.SHEET:
            self.changes.append(Change(name, WHOLE_SERVICE, "in force", None))
            return
        self.entry_by_name[name] = in_force
        if resolution is Resolution.HAND:
            self.kept.append(Change(name, WHOLE_SERVICE, None, "kept by hand"))
            return
        author = next(iter(in_force.by_hand.values()))
        self.conflicts.append(
            Conflict(self._path, name, WHOLE_SERVICE, None, "changed", author)
        )


def plan(
    path: str,
    configuration: models.Configuration,
    rows: collections.abc.Mapping[str, sheets.Row],
    resolution_by_field: ResolutionByField,
) -> Plan:
    """Merges a sheet into a configuration without applying the result.

    Args:
        path: Name of the sheet, for findings.
        configuration: Configuration in force, with the sheet last applied.
        rows: Rows of the new sheet by name of the service.
        resolution_by_field: Resolution of conflicts by service and field.

    Returns:
        The merged services, the changes and the unresolved conflicts.

    Raises:
        exceptions.FindingsError: In the result two services would have the
            same address, or a share would be invalid.
    """
    merge = _Merge(path, configuration, rows, resolution_by_field)
    merge.run()
    numbered_services = [
        (number, entry.service)
        for number, entry in enumerate(merge.entry_by_name.values())
    ]
    findings = sheets.consistency_findings(
        f"{path}: after the merge", numbered_services
    )
    if findings:
        raise exceptions.FindingsError(tuple(findings))
    return Plan(
        revision=configuration.revision,
        entry_by_name=merge.entry_by_name,
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
    """Returns the edit that applies a sheet.

    The edit raises ``exceptions.FindingsError`` if a conflict is unresolved
    or the result is inconsistent.

    Args:
        path: Name of the sheet, for findings.
        rows: Rows of the sheet by name of the service.
        resolution_by_field: Resolution of conflicts by service and field.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        merged = plan(path, configuration, rows, resolution_by_field)
        if merged.conflicts:
            raise exceptions.FindingsError(
                tuple(conflict.finding() for conflict in merged.conflicts)
            )
        return drafts.Draft(
            entry_by_name=merged.entry_by_name,
            drains=dict(configuration.index.drains),
            evacuations=dict(configuration.index.evacuations),
            removed=merged.removed,
            sheet=merged.sheet_by_name,
        )

    return edit
