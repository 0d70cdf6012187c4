"""The sheet of the planners: a CSV file with one row for each service."""

import csv
import io
import pathlib

import pydantic

from clementinelead import exceptions
from clementinelead import validation
from clementinelead.configurations import models
from clementinelead.configurations import shares

__all__ = ["COLUMNS", "Row", "read"]

REQUIRED_COLUMNS = ("name", "team", "address", "port", "protocol")
COLUMNS = tuple(models.Service.model_fields)
"""All columns; those not in ``REQUIRED_COLUMNS`` may be absent or empty."""

_HEADER_ROWS = 1


class Row(pydantic.BaseModel):
    """A service and its row in the sheet.

    Attributes:
        number: Line number in the file where the row ends, from 1; the
            header is in line 1.
        service: The service.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    number: int
    service: models.Service


def _read_text(path: pathlib.Path) -> str:
    try:
        data = path.read_bytes()
    except OSError as error:
        problem = f"can't be read: {error.strerror}"
        finding = exceptions.Finding(str(path), problem)
        raise exceptions.FindingsError((finding,)) from error
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        row = data[: error.start].count(b"\n") + 1
        finding = exceptions.Finding(
            f"{path}:{row}",
            f"byte {data[error.start]:#04x} is not UTF-8",
            "a CSV file in UTF-8, with or without a byte order mark",
        )
        raise exceptions.FindingsError((finding,)) from error


def _header_findings(
    path: pathlib.Path, columns: list[str]
) -> list[exceptions.Finding]:
    findings = []
    for name in REQUIRED_COLUMNS:
        if name not in columns:
            findings.append(
                exceptions.Finding(f"{path}:1:{name}", "column is missing")
            )
    for name in columns:
        if name not in COLUMNS:
            findings.append(
                exceptions.Finding(
                    f"{path}:1:{name}",
                    "column is unknown",
                    ", ".join(COLUMNS),
                )
            )
        elif columns.count(name) > 1:
            findings.append(
                exceptions.Finding(f"{path}:1:{name}", "column is duplicated")
            )
    return list(dict.fromkeys(findings))


def _parse_row(
    place: str, number: int, values: dict[str, str]
) -> tuple[Row | None, list[exceptions.Finding]]:
    filled = {key: text.strip() for key, text in values.items() if text.strip()}
    try:
        service = models.Service.model_validate(filled)
    except pydantic.ValidationError as error:
        findings = validation.findings(
            error, lambda path: f"{place}:{'.'.join(path)}", "is empty"
        )
        return None, list(findings)
    return Row(number=number, service=service), []


def _unknown_team_findings(
    path: pathlib.Path, rows: list[Row], teams: frozenset[str]
) -> list[exceptions.Finding]:
    if not teams:
        return []
    return [
        exceptions.Finding(
            f"{path}:{row.number}:team",
            f"team {row.service.team!r} is unknown",
            ", ".join(sorted(teams)),
        )
        for row in rows
        if row.service.team not in teams
    ]


def duplicate_findings(
    place: str, numbered_services: list[tuple[int, models.Service]]
) -> list[exceptions.Finding]:
    """Returns findings for names and addresses that occur more than once.

    Args:
        place: File that the findings name.
        numbered_services: Row number and service of each row.
    """
    findings = []
    number_by_name: dict[str, int] = {}
    number_by_key: dict[bytes, int] = {}
    for number, service in numbered_services:
        first_number = number_by_name.setdefault(service.name, number)
        if first_number != number:
            findings.append(
                exceptions.Finding(
                    f"{place}:{number}:name",
                    f"{service.name!r} is also in row {first_number}",
                )
            )
        for key, endpoint in service.endpoint_by_key.items():
            first_number = number_by_key.setdefault(key, number)
            if first_number != number:
                findings.append(
                    exceptions.Finding(
                        f"{place}:{number}:address",
                        f"{service.protocol} {endpoint}"
                        f" is also in row {first_number}",
                    )
                )
    return findings


def consistency_findings(
    place: str, numbered_services: list[tuple[int, models.Service]]
) -> list[exceptions.Finding]:
    """Returns findings for rows that contradict each other.

    These are duplicate names, duplicate addresses and invalid shares.

    Args:
        place: File that the findings name.
        numbered_services: Row number and service of each row.
    """
    number_by_name = {
        service.name: number for number, service in numbered_services
    }
    return duplicate_findings(place, numbered_services) + shares.findings(
        (service for _, service in numbered_services),
        lambda name: f"{place}:{number_by_name[name]}:shares",
    )


def read(
    path: pathlib.Path, teams: frozenset[str] = frozenset()
) -> dict[str, Row]:
    """Reads and checks a sheet.

    Blank rows are skipped.

    Args:
        path: CSV file in UTF-8, with or without a byte order mark.
        teams: Teams whose services the sheet may list; empty allows all.

    Returns:
        The rows by name of the service.

    Raises:
        exceptions.FindingsError: The file can't be read or the sheet is
            invalid. The error carries all findings about the rows; those
            about the file or the header are reported before the rows are
            read.
    """
    reader = csv.reader(io.StringIO(_read_text(path)), strict=True)
    try:
        lines = [(reader.line_num, line) for line in reader]
    except csv.Error as error:
        finding = exceptions.Finding(f"{path}:{reader.line_num}", str(error))
        raise exceptions.FindingsError((finding,)) from error
    if not lines:
        finding = exceptions.Finding(str(path), "is empty")
        raise exceptions.FindingsError((finding,))
    columns = [name.strip() for name in lines[0][1]]
    findings = _header_findings(path, columns)
    if findings:
        raise exceptions.FindingsError(tuple(findings))
    rows: list[Row] = []
    for number, line in lines[_HEADER_ROWS:]:
        if not any(text.strip() for text in line):
            continue
        if len(line) != len(columns):
            findings.append(
                exceptions.Finding(
                    f"{path}:{number}",
                    f"has {len(line)} fields",
                    f"{len(columns)} fields",
                )
            )
            continue
        values = dict(zip(columns, line, strict=True))
        row, row_findings = _parse_row(f"{path}:{number}", number, values)
        findings.extend(row_findings)
        if row is not None:
            rows.append(row)
    findings.extend(_unknown_team_findings(path, rows, teams))
    findings.extend(
        consistency_findings(
            str(path), [(row.number, row.service) for row in rows]
        )
    )
    if findings:
        raise exceptions.FindingsError(tuple(findings))
    return {row.service.name: row for row in rows}
