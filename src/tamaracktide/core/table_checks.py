"""Checks of the tables; each fault names its table, row and column."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import TypeVar

import msgspec

from tamaracktide.core import rows
from tamaracktide.core import tables
from tamaracktide.settings import files

MAX_ADAPTER_CHARACTERS = 256
ROW_TYPES: dict[str, type] = {"routes": rows.Route, "pools": rows.Pool}

_T = TypeVar("_T", rows.Route, rows.Pool)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a table.

    Attributes:
        table: `routes` or `pools`.
        row: The row's name, or its place in the file if it has none.
        column: The column; empty if the whole row is at fault.
        message: What is wrong, naming the value.
    """

    table: str
    row: str
    column: str
    message: str

    @property
    def text(self) -> str:
        """The fault in one line."""
        column = f" column {self.column}" if self.column else ""
        return f'{self.table} row "{self.row}"{column}: {self.message}'


def find_value_faults(values: Mapping[str, object]) -> list[Fault]:
    """Returns the faults of raw rows, as read from a file.

    Args:
        values: The file's object; its keys are names of tables.
    """
    faults = [
        Fault(table, "", "", "no such table")
        for table in values
        if table not in ROW_TYPES
    ]
    for table, kind in ROW_TYPES.items():
        match values.get(table, []):
            case list() as items:
                faults.extend(_find_list_faults(table, kind, items))
            case other:
                faults.append(Fault(table, "", "", f"{other!r} is not a list"))
    return faults


def convert_rows(values: object, kind: type[_T]) -> list[_T]:
    """Returns typed rows from raw rows without faults."""
    return msgspec.convert(values, list[kind])  # type: ignore[valid-type]


def find_table_faults(snapshot: tables.Tables) -> list[Fault]:
    """Returns what rows of a snapshot break with regard to each other."""
    faults = _find_upstream_faults(snapshot.pools.values())
    for route in snapshot.routes.iterate_routes():
        faults.extend(_find_route_faults(route, snapshot.pools))
    return sorted(faults)


def _find_list_faults(
    table: str, kind: type, items: Sequence[object]
) -> list[Fault]:
    columns = {field.name for field in dataclasses.fields(kind)}
    faults: list[Fault] = []
    seen: set[object] = set()
    for place, item in enumerate(items):
        if not _is_row(item, kind, columns):
            faults.extend(_find_row_faults(table, kind, place, item))
        name = item.get("name") if isinstance(item, dict) else None
        if isinstance(name, str):
            if name in seen:
                faults.append(Fault(table, name, "name", "duplicate name"))
            seen.add(name)
    return faults


def _is_row(item: object, kind: type, columns: set[str]) -> bool:
    try:
        msgspec.convert(item, kind)
    except msgspec.ValidationError:
        return False
    return isinstance(item, dict) and columns.issuperset(item)


def _find_row_faults(
    table: str, kind: type, place: int, item: object
) -> list[Fault]:
    name = item.get("name") if isinstance(item, dict) else None
    row = name if isinstance(name, str) else f"#{place}"
    faults = []
    for text in files.find_faults(item, kind):
        path, _, message = text.partition(": ")
        faults.append(Fault(table, row, path.lstrip("$."), message))
    return faults or [Fault(table, row, "", f"{item!r} is not a row")]


def _find_route_faults(
    route: rows.Route, pools: Mapping[str, rows.Pool]
) -> list[Fault]:
    pool = pools.get(route.pool)
    if pool is None:
        message = f'no pool is named "{route.pool}"'
        return [Fault("routes", route.name, "pool", message)]
    faults = []
    for column, value in (
        ("adapter", route.adapter),
        ("version", route.version),
    ):
        message = _tell_adapter_fault(value, pool)
        if message:
            faults.append(Fault("routes", route.name, column, message))
    return faults


def _tell_adapter_fault(value: str, pool: rows.Pool) -> str:
    match pool.kind:
        case rows.UpstreamKind.ENGINE if not value:
            return f'missing, though pool "{pool.name}" has engines'
        case rows.UpstreamKind.SERVICE if value:
            return f'"{value}" given, though pool "{pool.name}" has services'
    if len(value) > MAX_ADAPTER_CHARACTERS:
        return f"{len(value)} characters, at most {MAX_ADAPTER_CHARACTERS}"
    return ""


def _find_upstream_faults(pools: Iterable[rows.Pool]) -> list[Fault]:
    faults = []
    homes: dict[str, str] = {}
    for pool in sorted(pools, key=lambda pool: pool.name):
        for upstream in pool.upstreams:
            home = homes.setdefault(upstream, pool.name)
            if home != pool.name:
                message = f'"{upstream}" is already in pool "{home}"'
                faults.append(Fault("pools", pool.name, "upstreams", message))
        if len(set(pool.upstreams)) != len(pool.upstreams):
            message = "an upstream is listed twice"
            faults.append(Fault("pools", pool.name, "upstreams", message))
    return faults
