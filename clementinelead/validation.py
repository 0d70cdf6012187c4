"""Conversion of pydantic's validation errors into findings."""

import collections.abc

import pydantic

from clementinelead import exceptions

__all__ = ["findings"]

_FieldPath = tuple[str, ...]
"""Field names and indexes that lead to a field, starting at the model."""


def _no_allowed_values(_: _FieldPath) -> str:
    return ""


def findings(
    error: pydantic.ValidationError,
    format_place: collections.abc.Callable[[_FieldPath], str],
    missing: str = "is missing",
    allowed: collections.abc.Callable[[_FieldPath], str] = _no_allowed_values,
) -> tuple[exceptions.Finding, ...]:
    """Converts a validation error into one finding for each invalid field.

    Args:
        error: The validation error.
        format_place: Returns the place of a field, given its path.
        missing: Problem to report for a required field that is absent.
        allowed: Returns a description of a field's valid values, given its
            path, or an empty string.

    Examples:
        >>> class Point(pydantic.BaseModel):
        ...     x: int
        >>> try:
        ...     Point.model_validate({"x": "east"})
        ... except pydantic.ValidationError as error:
        ...     converted = findings(error, ".".join)
        >>> converted[0].place
        'x'
    """
    problem_by_type = {"extra_forbidden": "is unknown", "missing": missing}
    converted = []
    for item in error.errors():
        path = tuple(str(step) for step in item["loc"])
        problem = problem_by_type.get(
            item["type"], f"{item['msg']}, got {item['input']!r}"
        )
        converted.append(
            exceptions.Finding(format_place(path), problem, allowed(path))
        )
    return tuple(converted)
