"""Generates docs/SETTINGS.md from the schemas of the settings classes."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import importlib
import inspect
import json
from typing import Any

from tamaracktide.settings import files

INTRODUCTION = """# Settings

Each program reads one JSON file: `PROGRAM --settings PATH`. `--check-settings`
validates it and lists each fault by its path, `--print-schema` prints its JSON
schema; both exit, with status 6 if there is a fault. Unknown fields are
rejected. Times are in seconds, sizes in bytes.

This page is generated from the settings classes by
`python -m tamaracktide.settings.page > docs/SETTINGS.md`; a test compares the
two.
"""
PROGRAMS = {
    "tamaracktide-gateway": "tamaracktide.gateway.settings:GatewaySettings",
    "tamaracktide-scheduler": (
        "tamaracktide.scheduler.settings:SchedulerSettings"
    ),
    "tamaracktidectl": "tamaracktide.ctl.settings:CtlSettings",
    "platform/run.py": "tamaracktide.entry.settings:EntrySettings",
}
_ATTRIBUTES = "Attributes:"
_BOUND_LABELS = {
    "minimum": "at least",
    "exclusiveMinimum": "above",
    "maximum": "at most",
    "exclusiveMaximum": "below",
    "minLength": "minimum length",
    "pattern": "pattern",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """A field of a settings file.

    Attributes:
        path: Field names from the root of the file, joined by dots.
        type_name: JSON type, or the allowed values.
        default: Default as JSON, or `required`.
        bounds: Bounds of the value.
        meaning: Description from the docstring of the class.
    """

    path: str
    type_name: str
    default: str
    bounds: str
    meaning: str


def make_page() -> str:
    """Returns the content of docs/SETTINGS.md."""
    parts = [INTRODUCTION]
    for program, class_path in PROGRAMS.items():
        parts.append(
            f"\n## {program}\n\n{_make_table(_find_class(class_path))}"
        )
    return "".join(parts)


def list_fields(settings_class: type) -> list[Field]:
    """Returns the fields of a settings class, followed by nested fields."""
    schema = files.make_schema(settings_class)
    definitions = schema["$defs"]
    top = _resolve(schema, definitions)
    return list(_iterate_fields("", settings_class, top, definitions))


def _iterate_fields(
    prefix: str,
    settings_class: type,
    schema: Mapping[str, Any],
    definitions: Mapping[str, Any],
) -> Iterator[Field]:
    meanings = read_attributes(settings_class)
    for field in dataclasses.fields(settings_class):
        path = f"{prefix}{field.name}"
        part = schema["properties"][field.name]
        target = _resolve(part, definitions)
        nested = _find_nested(settings_class, field.name)
        required = field.name in schema.get("required", ())
        if nested is None:
            yield Field(
                path,
                _format_type(target, definitions),
                "required" if required else json.dumps(part.get("default")),
                _format_bounds(target),
                meanings.get(field.name, ""),
            )
        else:
            meaning = meanings.get(field.name, "")
            default = "required" if required else "{}"
            yield Field(path, "object", default, "", meaning)
            yield from _iterate_fields(f"{path}.", nested, target, definitions)


def read_attributes(settings_class: type) -> dict[str, str]:
    """Returns the attribute descriptions from the docstring of a class."""
    lines = inspect.cleandoc(settings_class.__doc__ or "").splitlines()
    if _ATTRIBUTES not in lines:
        return {}
    descriptions: dict[str, str] = {}
    name = ""
    for line in lines[lines.index(_ATTRIBUTES) + 1 :]:
        if line.startswith("    ") and not line.startswith("     "):
            name, _, text = line.strip().partition(": ")
            descriptions[name] = text
        elif line.strip() and name:
            descriptions[name] += f" {line.strip()}"
    return descriptions


def _find_class(class_path: str) -> type:
    module, _, name = class_path.partition(":")
    loaded_class = getattr(importlib.import_module(module), name)
    assert isinstance(loaded_class, type)
    return loaded_class


def _find_nested(settings_class: type, name: str) -> type | None:
    annotation = inspect.get_annotations(settings_class, eval_str=True)[name]
    nested = isinstance(annotation, type) and dataclasses.is_dataclass(
        annotation
    )
    return annotation if nested else None


def _resolve(
    schema: Mapping[str, Any], definitions: Mapping[str, Any]
) -> Mapping[str, Any]:
    reference = schema.get("$ref")
    if reference is None:
        return schema
    definition: Mapping[str, Any] = definitions[reference.rpartition("/")[2]]
    return definition


def _format_type(
    schema: Mapping[str, Any], definitions: Mapping[str, Any]
) -> str:
    if "enum" in schema:
        return " or ".join(json.dumps(value) for value in schema["enum"])
    if schema.get("type") != "array":
        return str(schema.get("type", "any"))
    item = _resolve(schema.get("items", {}), definitions)
    names = ", ".join(item.get("properties", ()))
    return f"list of {{{names}}}" if names else f"list of {item.get('type')}"


def _format_bounds(schema: Mapping[str, Any]) -> str:
    return ", ".join(
        f"{label} {schema[rule]}"
        for rule, label in _BOUND_LABELS.items()
        if rule in schema
    )


def _make_table(settings_class: type) -> str:
    lines = [
        "| field | type | default | bounds | meaning |",
        "|---|---|---|---|---|",
    ]
    for field in list_fields(settings_class):
        cells = (
            f"`{field.path}`",
            field.type_name,
            field.default,
            f"`{field.bounds}`" if "pattern" in field.bounds else field.bounds,
            field.meaning,
        )
        escaped = [cell.replace("|", "\\|") for cell in cells]
        lines.append(f"| {' | '.join(escaped)} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(make_page(), end="")
