"""Human-readable output of the operators' command."""

import sys
import time

import rich.console

from clementinelead import exceptions
from clementinelead.configurations import merges
from clementinelead.configurations import models

__all__ = ["print_findings", "print_handover", "print_plan"]


def print_findings(findings: tuple[exceptions.Finding, ...]) -> None:
    """Prints findings to standard error, one per line."""
    for finding in findings:
        print(finding, file=sys.stderr)


def print_plan(plan: merges.Plan) -> None:
    """Prints changes, kept fields and conflicts, coloured on a terminal."""
    console = rich.console.Console()
    console.print(f"Plan for revision {plan.revision}:")
    for change in plan.changes:
        console.print(
            f"  change {change.service} {change.field}:"
            f" {change.before} -> {change.after}",
            style="yellow",
            markup=False,
        )
    for change in plan.kept:
        console.print(
            f"  keep   {change.service} {change.field}: {change.after}",
            style="green",
            markup=False,
        )
    for conflict in plan.conflicts:
        console.print(
            f"  CONFLICT {conflict.finding()}", style="red", markup=False
        )
    console.print(
        f"{len(plan.changes)} changes, {len(plan.kept)} kept by hand,"
        f" {len(plan.conflicts)} conflicts"
    )


def _author_text(author: models.Author) -> str:
    when = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(author.time))
    reason = author.reason or "no reason given"
    return f"{author.operator}, shift {author.shift}, {when}: {reason}"


def _bound_text(drain: models.Drain) -> str:
    if drain.bound_s is None:
        return "its services' drain_bound_s"
    return f"{drain.bound_s:.0f} s"


def print_handover(configuration: models.Configuration) -> None:
    """Prints changes by hand, ending services, drains and evacuations."""
    print(f"Revision {configuration.revision} is in force.")
    print("Changed by hand since the last sheet:")
    lines = [
        f"  {name}.{field} = {getattr(entry.service, field, 'added')}"
        f"  ({_author_text(author)})"
        for name, entry in sorted(configuration.entry_by_name.items())
        for field, author in sorted(entry.by_hand.items())
    ]
    lines += [
        f"  {name} removed  ({_author_text(author)})"
        for name, author in sorted(configuration.index.removed.items())
    ]
    print("\n".join(lines) or "  nothing")
    print("Ending, no new flows:")
    ending = [
        f"  {name} until {entry.ends_at:.0f} s or the next change after that"
        for name, entry in sorted(configuration.ending_by_name.items())
    ]
    print("\n".join(ending) or "  nothing")
    print("Draining:")
    drains = [
        f"  {name}, keeps flows for {_bound_text(drain)}"
        f"  ({_author_text(drain.author)})"
        for name, drain in sorted(configuration.index.drains.items())
    ]
    print("\n".join(drains) or "  nothing")
    print("Evacuated zones:")
    evacuations = [
        f"  {zone}  ({_author_text(evacuation.author)})"
        for zone, evacuation in sorted(configuration.index.evacuations.items())
    ]
    print("\n".join(evacuations) or "  none")
