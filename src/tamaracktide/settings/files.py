"""Settings files: JSON, validated against the schema of a data class."""

import json
import pathlib
from typing import Any
from typing import TypeVar

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
    # The validator takes a tenth of a second to import, and few starts need it.
    from tamaracktide.settings import faults

    return faults.find_faults(value, make_schema(data_class))


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
    try:
        converted = msgspec.convert(value, data_class)
    except msgspec.ValidationError as error:
        raise _make_error(value, data_class, str(error)) from error
    if not _has_known_fields(value, msgspec.to_builtins(converted)):
        raise _make_error(value, data_class, "a field is not known")
    return converted


def read_settings(path: str, data_class: type[_T]) -> _T:
    """Reads and validates a settings file.

    Raises:
        errors.SettingsError: The file cannot be read or has faults.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"{path}: {error}"
        ) from error
    return parse_settings(text, data_class)


def _has_known_fields(value: object, known: object) -> bool:
    """Whether a value has no fields beyond those that were converted."""
    match value, known:
        case dict(), dict():
            return value.keys() <= known.keys() and all(
                _has_known_fields(item, known[name])
                for name, item in value.items()
            )
        case list(), list() | tuple():
            return all(map(_has_known_fields, value, known))
    return True


def _make_error(
    value: object, data_class: type, detail: str
) -> errors.SettingsError:
    """Returns an error with all faults, or with a detail if none is found."""
    faults = find_faults(value, data_class)
    return errors.SettingsError(
        result_codes.ResultCode.SETTINGS_INVALID, "; ".join(faults) or detail
    )
