"""Settings files: JSON, validated against the schema of a data class."""

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


def make_schema(data_class: type) -> dict[str, Any]:
    """Returns the JSON schema of a settings data class.

    The schema rejects unknown fields, so that misspelt names are reported.
    """
    schema = msgspec.json.schema(data_class)
    for definition in schema.get("$defs", {}).values():
        if "properties" in definition:
            definition["additionalProperties"] = False
    return schema


def find_faults(value: object, data_class: type) -> list[str]:
    """Returns all validation faults as `path: message`, sorted."""
    faults: list[str] = []
    for error in _make_validator(data_class).iter_errors(value):
        faults.extend(_describe_error(error))
    return sorted(faults)


def parse_settings(text: str, data_class: type[_T]) -> _T:
    """Parses and validates settings from JSON text.

    Raises:
        errors.SettingsError: The text is not JSON or has faults, which the
            detail lists by field path.
    """
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"not JSON: {error}"
        ) from error
    faults = find_faults(value, data_class)
    if faults:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, "; ".join(faults)
        )
    return msgspec.convert(value, data_class)


def read_settings(path: str, data_class: type[_T]) -> _T:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or has faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"{path}: {error}"
        ) from error
    return parse_settings(text, data_class)


@functools.cache
def _make_validator(data_class: type) -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(make_schema(data_class))


def _describe_error(error: jsonschema.ValidationError) -> list[str]:
    """Returns the faults of a schema error, each with its field path."""
    path = error.json_path
    rule: Any = error.validator_value
    schema: Any = error.schema
    match error.validator:
        case "additionalProperties" if isinstance(error.instance, dict):
            extra = error.instance.keys() - schema["properties"].keys()
            return [f"{path}.{name}: is not a known field" for name in extra]
        case "required":
            # jsonschema raises a separate error for each missing field, which
            # only the message names.
            missing = [n for n in rule if error.message.startswith(repr(n))]
            return [f"{path}.{name}: is a required field" for name in missing]
        case _:
            return [f"{path}: {error.message}"]
