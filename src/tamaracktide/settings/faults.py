"""Descriptions of all faults of a settings file."""

from typing import Any

import jsonschema


def find_faults(value: object, schema: dict[str, Any]) -> list[str]:
    """Returns all violations of a JSON schema as `path: message`, sorted."""
    faults: list[str] = []
    for error in jsonschema.Draft202012Validator(schema).iter_errors(value):
        faults.extend(_describe_error(error))
    return sorted(faults)


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
