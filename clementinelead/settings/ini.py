"""INI files checked against a model, with all findings at once."""

import configparser
import io
import json
import pathlib
import typing

import pydantic

from clementinelead import exceptions
from clementinelead import validation

__all__ = ["dump", "load"]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

_LIST_SEPARATOR = ","


def _parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(interpolation=None)


def _read(path: pathlib.Path) -> configparser.ConfigParser:
    parser = _parser()
    try:
        with path.open(encoding="utf-8-sig") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = " ".join(str(error).split())
        finding = exceptions.Finding(str(path), f"can't be read: {reason}")
        raise exceptions.FindingsError((finding,)) from error
    return parser


def _is_sequence(model: type[pydantic.BaseModel], key: str) -> bool:
    field = model.model_fields.get(key)
    if field is None:
        return False
    return typing.get_origin(field.annotation) is tuple


def _items(text: str) -> list[str]:
    parts = [part.strip() for part in text.split(_LIST_SEPARATOR)]
    return [part for part in parts if part]


def _part(
    model: type[pydantic.BaseModel], section: str
) -> type[pydantic.BaseModel] | None:
    """Returns the model of a section, which may be optional."""
    field = model.model_fields.get(section)
    if field is None:
        return None
    for part in (field.annotation, *typing.get_args(field.annotation)):
        if isinstance(part, type) and issubclass(part, pydantic.BaseModel):
            return part
    return None


def _values(
    model: type[pydantic.BaseModel], parser: configparser.ConfigParser
) -> dict[str, dict[str, object]]:
    values: dict[str, dict[str, object]] = {}
    for section in parser.sections():
        part = _part(model, section)
        values[section] = {
            key: _items(text) if part and _is_sequence(part, key) else text
            for key, text in parser.items(section)
        }
    return values


def _allowed(model: type[pydantic.BaseModel], place: tuple[str, ...]) -> str:
    """Returns what a settings key accepts, from the model's own words."""
    if not place or place[0] not in model.model_fields:
        return "sections " + ", ".join(model.model_fields)
    part = _part(model, place[0])
    if part is None:
        return ""
    if len(place) < 2 or place[1] not in part.model_fields:
        return "keys " + ", ".join(part.model_fields)
    return part.model_fields[place[1]].description or ""


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Returns the settings of a file.

    Args:
        path: An INI file in UTF-8.
        model: Model with one field for each section.

    Raises:
        exceptions.FindingsError: The file is missing or wrong; carries all
            that is wrong in it.
    """
    parser = _read(path)
    try:
        return model.model_validate(_values(model, parser))
    except pydantic.ValidationError as error:
        found = validation.findings(
            error,
            lambda steps: f"{path}:{'.'.join(steps[:2])}",
            allowed=lambda steps: _allowed(model, steps),
        )
        raise exceptions.FindingsError(found) from error


def _text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def dump(settings: pydantic.BaseModel) -> str:
    """Returns settings as the text of an INI file, secrets hidden."""
    parser = _parser()
    content = json.loads(settings.model_dump_json())
    for section, values in content.items():
        if values is None:
            continue
        parser[section] = {key: _text(value) for key, value in values.items()}
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()
