"""What a model finds wrong with an input, in our words and with its place."""

import collections.abc

import pydantic

from clementinelead import exceptions

__all__ = ["findings"]

_Steps = tuple[str, ...]


def _allow_nothing(_: _Steps) -> str:
    return ""


def findings(
    error: pydantic.ValidationError,
    place: collections.abc.Callable[[_Steps], str],
    missing: str = "is missing",
    allowed: collections.abc.Callable[[_Steps], str] = _allow_nothing,
) -> tuple[exceptions.Finding, ...]:
    """Returns all findings of a failed validation.

    Args:
        error: The failure.
        place: Names the place of a field, given the steps that lead to it.
        missing: What to say of a field that is not there.
        allowed: Says what the field would accept, or nothing.

    Examples:
        >>> class Point(pydantic.BaseModel):
        ...     x: int
        >>> try:
        ...     Point.model_validate({"x": "east"})
        ... except pydantic.ValidationError as error:
        ...     found = findings(error, ".".join)
        >>> found[0].place
        'x'
    """
    problem_by_type = {"extra_forbidden": "is unknown", "missing": missing}
    found = []
    for item in error.errors():
        steps = tuple(str(step) for step in item["loc"])
        problem = problem_by_type.get(
            item["type"], f"{item['msg']}, got {item['input']!r}"
        )
        found.append(exceptions.Finding(place(steps), problem, allowed(steps)))
    return tuple(found)
