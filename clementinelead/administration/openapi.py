"""OpenAPI description of the administration API."""

import typing

import clementinelead
from clementinelead.configurations import models

__all__ = ["build_description"]

_Json = dict[str, typing.Any]


def _parameter(name: str, location: str, description: str) -> _Json:
    return {
        "name": name,
        "in": location,
        "required": location == "path",
        "description": description,
        "schema": {"type": "string"},
    }


def _responses(**additional: str) -> _Json:
    """Returns the common responses and those given as ``status_CODE=text``."""
    descriptions = {
        "200": "Success; for a change, with the revision that it produced.",
        "401": "The token is missing or unknown.",
        "403": "The token does not permit this operation.",
        "429": "The rate limit of the team is exceeded; see Retry-After.",
        "503": "The store is unavailable; nothing was changed.",
        **{
            code.removeprefix("status_"): text
            for code, text in additional.items()
        },
    }
    return {code: {"description": text} for code, text in descriptions.items()}


_CHANGE_RESPONSES = _responses(
    status_202="The outcome is unknown; GET the change to determine it.",
    status_412="The revision in force is not that of If-Match.",
    status_422="Rejected, with all findings; nothing was changed.",
)
_CHANGE_PARAMETERS = [
    _parameter(
        "Idempotency-Key",
        "header",
        "Identifier of the change; a repeated one is not applied again.",
    ),
    _parameter("If-Match", "header", "Revision that must be in force."),
]


def build_description() -> _Json:
    """Returns the OpenAPI description of the API as a JSON object."""
    name = _parameter("name", "path", "Name of the service.")
    target = _parameter("target", "path", "Identifier of the target.")
    zone = _parameter("zone", "path", "Name of the availability zone.")
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
                    "parameters": _CHANGE_PARAMETERS,
                    "requestBody": body,
                    "responses": _CHANGE_RESPONSES,
                },
                "delete": {
                    "parameters": _CHANGE_PARAMETERS,
                    "responses": _CHANGE_RESPONSES,
                },
            },
            "/v1/drains/{target}": {
                "parameters": [target],
                "put": {
                    "parameters": _CHANGE_PARAMETERS,
                    "responses": _CHANGE_RESPONSES,
                },
                "delete": {
                    "parameters": _CHANGE_PARAMETERS,
                    "responses": _CHANGE_RESPONSES,
                },
            },
            "/v1/evacuations": {"get": {"responses": _responses()}},
            "/v1/evacuations/{zone}": {
                "parameters": [zone],
                "put": {
                    "parameters": _CHANGE_PARAMETERS,
                    "responses": _CHANGE_RESPONSES,
                },
                "delete": {
                    "parameters": _CHANGE_PARAMETERS,
                    "responses": _CHANGE_RESPONSES,
                },
            },
            "/v1/changes/{change}": {
                "parameters": [change],
                "get": {"responses": _responses()},
            },
        },
    }
