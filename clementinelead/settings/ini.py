"""Reading, validating and writing settings in INI files."""

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


def _create_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(interpolation=None)


def _read(path: pathlib.Path) -> configparser.ConfigParser:
    parser = _create_parser()
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


def _split_list(text: str) -> list[str]:
    items = [item.strip() for item in text.split(_LIST_SEPARATOR)]
    return [item for item in items if item]


def _section_model(
    model: type[pydantic.BaseModel], section: str
) -> type[pydantic.BaseModel] | None:
    """Returns the model of a section, None if the section is unknown.

    The annotation of an optional section is a union with None.
    """
    field = model.model_fields.get(section)
    if field is None:
        return None
    for candidate in (field.annotation, *typing.get_args(field.annotation)):
        if isinstance(candidate, type) and issubclass(
            candidate, pydantic.BaseModel
        ):
            return candidate
    return None


def _values_by_section(
    model: type[pydantic.BaseModel], parser: configparser.ConfigParser
) -> dict[str, dict[str, object]]:
    """Returns value by key by section, with lists split into their items."""
    values: dict[str, dict[str, object]] = {}
    for section in parser.sections():
        section_model = _section_model(model, section)
        values[section] = {
            key: (
                _split_list(text)
                if section_model and _is_sequence(section_model, key)
                else text
            )
            for key, text in parser.items(section)
        }
    return values


def _allowed_values(
    model: type[pydantic.BaseModel], path: tuple[str, ...]
) -> str:
    """Returns the valid sections, the valid keys or a key's description.

    Args:
        model: Model with one field for each section.
        path: Section and key that a finding is about.
    """
    if not path or path[0] not in model.model_fields:
        return "sections " + ", ".join(model.model_fields)
    section_model = _section_model(model, path[0])
    if section_model is None:
        return ""
    if len(path) < 2 or path[1] not in section_model.model_fields:
        return "keys " + ", ".join(section_model.model_fields)
    return section_model.model_fields[path[1]].description or ""


def load(path: pathlib.Path, model: type[Model]) -> Model:
    """Reads and validates a settings file.

    Args:
        path: An INI file in UTF-8.
        model: Model with one field for each section.

    Returns:
        The validated settings.

    Raises:
        exceptions.FindingsError: The file can't be read or is invalid. The
            error carries all findings of the validation.
    """
    parser = _read(path)
    try:
        return model.model_validate(_values_by_section(model, parser))
    except pydantic.ValidationError as error:
        findings = validation.findings(
            error,
            lambda field_path: f"{path}:{'.'.join(field_path[:2])}",
            allowed=lambda field_path: _allowed_values(model, field_path),
        )
        raise exceptions.FindingsError(findings) from error


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def dump(settings: pydantic.BaseModel) -> str:
    """Returns settings as the text of an INI file, with secrets masked."""
    parser = _create_parser()
    content = json.loads(settings.model_dump_json())
    for section, values in content.items():
        if values is None:
            continue
        parser[section] = {
            key: _format_value(value) for key, value in values.items()
        }
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()
