"""Reads settings files: JSON, checked as a whole against a data class."""

import functools
import json
import pathlib
from typing import Any
from typing import TypeVar

import jsonschema
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes

_T = TypeVar("_T")


def make_schema(kind: type) -> dict[str, Any]:
    """Returns the JSON schema of a settings data class.

    Unknown fields are refused, so that a misspelt name is told.
    """
    schema = msgspec.json.schema(kind)
    for definition in schema.get("$defs", {}).values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema


def find_faults(value: object, kind: type) -> list[str]:
    """Returns every fault as `path: message`, ordered by path."""
    faults: list[str] = []
    for error in _make_validator(kind).iter_errors(value):
        faults.extend(_describe_error(error))
    return sorted(faults)


def parse_settings(text: str, kind: type[_T]) -> _T:
    """Returns checked settings from JSON text.

    Raises:
        errors.SettingsError: The text is not JSON or has faults; the detail
            names each by its path.
    """
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"not JSON: {error}"
        ) from error
    faults = find_faults(value, kind)
    if faults:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, "; ".join(faults)
        )
    return msgspec.convert(value, kind)


def read_settings(path: str, kind: type[_T]) -> _T:
    """Returns checked settings from a file.

    Raises:
        errors.SettingsError: The file cannot be read or has faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"{path}: {error}"
        ) from error
    return parse_settings(text, kind)


@functools.cache
def _make_validator(kind: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(make_schema(kind))


def _describe_error(error: jsonschema.ValidationError) -> list[str]:
    """Returns the faults of one error, each with the path of its field."""
    path = error.json_path
    rule: Any = error.validator_value
    schema: Any = error.schema
    match error.validator:
        case "additionalProperties" if isinstance(error.instance, dict):
            extra = error.instance.keys() - schema["properties"].keys()
            return [f"{path}.{name}: is not a known field" for name in extra]
        case "required":
            # jsonschema reports each missing field by a message of its own.
            missing = [n for n in rule if error.message.startswith(repr(n))]
            return [f"{path}.{name}: is a required field" for name in missing]
        case _:
            return [f"{path}: {error.message}"]
