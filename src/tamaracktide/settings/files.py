"""Reads settings files: JSON, checked as a whole against a data class."""

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
    validator = jsonschema.Draft202012Validator(make_schema(kind))
    return sorted(
        f"{fault.json_path}: {fault.message}"
        for fault in validator.iter_errors(value)
    )


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
