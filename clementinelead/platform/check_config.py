"""Checks a configuration before it is sent.

Run with ``python -m clementinelead.platform.check_config FILE``.
"""

import collections.abc
import dataclasses
import enum
import pathlib
import sys
import typing

import msgspec
import typer

from clementinelead.platform import configs
from clementinelead.platform import packets
from clementinelead.relays import route_checks
from clementinelead.relays import route_differences

__all__ = ["MAX_DOCUMENT_BYTES", "Entry", "Report", "UnreadableError", "main"]

MAX_DOCUMENT_BYTES = 16_000_000
"""Largest document that is read; 3,000 routes take less than 1 MB."""

MAX_TEXT_CHARACTERS = 400
"""Characters of a printed text, as names in a document have any length; the
middle of a longer one is left out."""

EXIT_ERRORS = 1
EXIT_UNREADABLE = 2

_FIELD_BY_ATTRIBUTE = {
    route_checks.Attribute.ADDRESS: "routes[{}]",
    route_checks.Attribute.SHARES: "routes[{}].backends",
    route_checks.Attribute.OBJECTIVE: "routes[{}].target_latency_ms",
    route_checks.Attribute.IDLE_TIMEOUT: "limits.idle_timeout_ms",
    route_checks.Attribute.WARMUP_RATE: "services[{}].warmup_per_s",
    route_checks.Attribute.SERVICES: "services",
    route_checks.Attribute.PRIORITIES: "routes.service",
    route_checks.Attribute.VERSION: "version",
}

_COLOUR_BY_SEVERITY = {"error": "red", "warning": "yellow", "note": "cyan"}


class UnreadableError(Exception):
    """A file can't be read, or is no JSON document."""


class Format(enum.Enum):
    """Form of the output."""

    TEXT = "text"
    JSON = "json"


@dataclasses.dataclass(frozen=True)
class Entry:
    """One line of a report.

    Attributes:
        severity: ``error``, ``warning`` or ``note``.
        place: Position and field in the document.
        name: Name of the route or service, empty if it concerns none.
        text: What is wrong.
    """

    severity: str
    place: str
    name: str
    text: str


@dataclasses.dataclass(frozen=True)
class Report:
    """Results of a check.

    Attributes:
        routes: Number of routes, None if balancers reject the document.
        findings: All findings, errors first.
        differences: What differs from the configuration in force, None if
            none was given or one of both is rejected.
    """

    routes: int | None
    findings: tuple[Entry, ...]
    differences: tuple[route_differences.Difference, ...] | None = None

    @property
    def has_errors(self) -> bool:
        """Whether one of the findings is an error."""
        return any(entry.severity == "error" for entry in self.findings)


def read_document(path: pathlib.Path) -> bytes:
    """Returns the content of a file.

    Raises:
        UnreadableError: It can't be read, is empty or has more than
            ``MAX_DOCUMENT_BYTES``.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_DOCUMENT_BYTES:
        raise UnreadableError(f"{path}: more than {MAX_DOCUMENT_BYTES} bytes")
    if not data.strip():
        raise UnreadableError(f"{path}: the file is empty")
    return data


def _examine(path: pathlib.Path) -> configs.Examination:
    """Returns what balancers make of a file.

    Raises:
        UnreadableError: The file can't be read or is no JSON document.
    """
    try:
        return configs.examine(read_document(path))
    except ValueError as error:
        raise UnreadableError(f"{path}: {error}") from error


def report(
    document: configs.Examination, in_force: configs.Examination | None = None
) -> Report:
    """Returns the results of all checks of a document.

    Args:
        document: The document.
        in_force: The one that it is to replace, None if it is not known.
    """
    findings = list(_fault_entries(document))
    table = document.table
    if table is not None:
        found = route_checks.check(
            table, document.services, packets.service_text
        )
        findings += map(_entry, found)
    differences = None
    if in_force is not None:
        findings += _rejected_in_force(in_force)
        if table is not None and in_force.table is not None:
            succession = route_checks.check_succession(in_force.table, table)
            findings += map(_entry, succession)
            differences = route_differences.differences(
                in_force.table, table, packets.service_text
            )
    ranks = list(_COLOUR_BY_SEVERITY)
    findings.sort(key=lambda entry: ranks.index(entry.severity))
    return Report(
        len(table.routes) if table is not None else None,
        tuple(findings),
        differences,
    )


def _fault_entries(
    document: configs.Examination,
) -> collections.abc.Iterator[Entry]:
    """Yields the parts of a document that are rejected or ignored."""
    for fault in document.rejected:
        yield Entry("error", fault.place, fault.name, fault.reason)
    if document.table is None:
        text = (
            "balancers reject the document and keep the routes in force;"
            " checks between routes are left out"
        )
        yield Entry("note", "document", "", text)
    for fault in document.ignored:
        yield Entry("warning", fault.place, fault.name, fault.reason)


def _rejected_in_force(
    in_force: configs.Examination,
) -> collections.abc.Iterator[Entry]:
    """Yields a warning if the document in force can't be compared."""
    if in_force.rejected:
        first = in_force.rejected[0]
        text = f"not compared, balancers reject it: {first.reason}"
        yield Entry("warning", f"in force: {first.place}", first.name, text)


def _entry(finding: route_checks.Finding) -> Entry:
    """Returns a finding with the place in terms of the document."""
    place = finding.place
    position = "" if place.position is None else place.position
    field = _FIELD_BY_ATTRIBUTE[place.attribute].format(position)
    return Entry(finding.severity.value, field, place.name, finding.text)


def _line(text: str) -> str:
    """Returns text of a document as one line that is safe to print."""
    cut = text
    if len(text) > MAX_TEXT_CHARACTERS:
        half = MAX_TEXT_CHARACTERS // 2
        cut = f"{text[:half]}...{text[-half:]}"
    safe = "".join(
        character if character.isprintable() else ascii(character)[1:-1]
        for character in cut
    )
    encoding = sys.stdout.encoding or "utf-8"
    return safe.encode(encoding, "backslashreplace").decode(encoding)


def _print_text(results: Report) -> None:
    """Prints results as lines, coloured on a terminal."""
    for entry in results.findings:
        name = f" ({_line(entry.name)})" if entry.name else ""
        # Colours are left out by typer if the output is no terminal.
        typer.secho(
            entry.severity, nl=False, fg=_COLOUR_BY_SEVERITY[entry.severity]
        )
        typer.echo(f" {entry.place}{name}: {_line(entry.text)}")
    for difference in results.differences or ():
        subject, text = _line(difference.subject), _line(difference.text)
        typer.echo(f"differs {subject}: {text}")
        typer.echo(f"    open flows: {difference.effect}")
    if results.differences is not None and not results.differences:
        typer.echo("no differences from the configuration in force")
    counts = ", ".join(
        f"{sum(entry.severity == severity for entry in results.findings)}"
        f" {severity}s"
        for severity in _COLOUR_BY_SEVERITY
    )
    checked = "" if results.routes is None else f"{results.routes} routes, "
    typer.echo(f"{checked}{counts}")


_application = typer.Typer(add_completion=False)


@_application.command()
def check_config(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(help="JSON document for the operator's key"),
    ],
    in_force: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="document in force; lists what differs from it"),
    ] = None,
    output: typing.Annotated[
        Format, typer.Option("--format", help="form of the output")
    ] = Format.TEXT,
) -> None:
    """Checks a configuration as balancers decode it.

    Exit codes: 0 no errors, 1 errors, 2 a file can't be read or is no JSON.
    """
    try:
        document = _examine(file)
        former = _examine(in_force) if in_force is not None else None
    except UnreadableError as error:
        message = _line(str(error))
        if output is Format.JSON:
            typer.echo(msgspec.json.encode({"unreadable": message}))
        typer.secho(message, err=True, fg="red")
        raise typer.Exit(EXIT_UNREADABLE) from error
    results = report(document, former)
    if output is Format.JSON:
        typer.echo(msgspec.json.encode(results))
    else:
        _print_text(results)
    if results.has_errors:
        raise typer.Exit(EXIT_ERRORS)


def main() -> None:
    """Runs the command line program with the arguments of the process."""
    _application()


if __name__ == "__main__":
    main()
