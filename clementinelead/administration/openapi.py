"""OpenAPI description of the administration API."""

import typing

import clementinelead
from clementinelead.configurations import models

__all__ = ["build_description"]

_Json = dict[str, typing.Any]


def _parameter(name: str, place: str, text: str) -> _Json:
    return {
        "name": name,
        "in": place,
        "required": place == "path",
        "description": text,
        "schema": {"type": "string"},
    }


def _responses(**more: str) -> _Json:
    texts = {
        "200": "Done; a change tells the revision it is in force with.",
        "401": "The token is missing or unknown.",
        "403": "The token does not allow this.",
        "429": "The team asks too often; Retry-After tells when to come back.",
        "503": "The store is away; nothing was changed.",
        **{code.removeprefix("status_"): text for code, text in more.items()},
    }
    return {code: {"description": text} for code, text in texts.items()}


_CHANGE = _responses(
    status_202="The outcome is unknown; GET the change to settle it.",
    status_412="The configuration is not at the revision of If-Match.",
    status_422="Rejected, with all findings; nothing was changed.",
)
_KEYS = [
    _parameter(
        "Idempotency-Key",
        "header",
        "Identifier of the change; the same one is made only once.",
    ),
    _parameter("If-Match", "header", "Revision that must be in force."),
]


def build_description() -> _Json:
    """Returns the description as a JSON object."""
    name = _parameter("name", "path", "Name of the service.")
    target = _parameter("target", "path", "Identifier of the target.")
    change = _parameter("change", "path", "Identifier of the change.")
    service = {"$ref": "#/components/schemas/Service"}
    body = {"content": {"application/json": {"schema": service}}}
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "clementinelead administration",
            "version": clementinelead.__version__,
        },
        "security": [{"token": []}],
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": {"Service": models.Service.model_json_schema()},
        },
        "paths": {
            "/v1/services": {"get": {"responses": _responses()}},
            "/v1/services/{name}": {
                "parameters": [name],
                "get": {"responses": _responses(status_404="No such service.")},
                "put": {
                    "parameters": _KEYS,
                    "requestBody": body,
                    "responses": _CHANGE,
                },
                "delete": {"parameters": _KEYS, "responses": _CHANGE},
            },
            "/v1/drains/{target}": {
                "parameters": [target],
                "put": {"parameters": _KEYS, "responses": _CHANGE},
                "delete": {"parameters": _KEYS, "responses": _CHANGE},
            },
            "/v1/changes/{change}": {
                "parameters": [change],
                "get": {"responses": _responses()},
            },
        },
    }
