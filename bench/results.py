"""What a scenario returns."""

import collections.abc
import dataclasses

from bench import audits

__all__ = ["Result", "broken_promises", "of_audit"]

PROMISES = ("broken_flows", "misdelivered", "doubled", "false_refusals")


@dataclasses.dataclass(frozen=True)
class Result:
    """Figures of a scenario, and the bounds that they miss."""

    figures: dict[str, object]
    missed: tuple[str, ...]


def broken_promises(
    audit: audits.Audit, names: tuple[str, ...] = PROMISES
) -> list[str]:
    """Returns the promises that an audit finds broken."""
    return [name for name in names if getattr(audit, name)]


def of_audit(
    audit: audits.Audit,
    extra: collections.abc.Mapping[str, object] | None = None,
    missed: list[str] | None = None,
) -> Result:
    """Returns the result of a scenario that ends with an audit.

    Args:
        audit: The audit.
        extra: More figures.
        missed: Bounds missed besides the promises.
    """
    figures = {**dataclasses.asdict(audit), **(extra or {})}
    found = broken_promises(audit) + (missed or [])
    if audit.ok == 0:
        found.append("ok")
    return Result(figures, tuple(found))
