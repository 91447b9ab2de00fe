"""Validation of the tables; a fault names its table, row and column."""

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
    """A validation fault in a table.

    Attributes:
        table: `routes` or `pools`.
        row: The row's name, or its index in the file if it has no name.
        column: The column; empty if the fault concerns the entire row.
        message: Description of the fault, including the value.
    """

    table: str
    row: str
    column: str
    message: str

    @property
    def text(self) -> str:
        """The fault as one line of text."""
        column = f" column {self.column}" if self.column else ""
        return f'{self.table} row "{self.row}"{column}: {self.message}'


def find_value_faults(values: Mapping[str, object]) -> list[Fault]:
    """Returns the faults of raw rows, as read from a file.

    Args:
        values: The file's top-level object; its keys are table names.
    """
    faults = [
        Fault(table, "", "", "unknown table")
        for table in values
        if table not in ROW_TYPES
    ]
    for table, kind in ROW_TYPES.items():
        match values.get(table, []):
            case list() as items:
                faults.extend(_find_list_faults(table, kind, items))
            case value:
                faults.append(
                    Fault(table, "", "", f"expected a list, got {value!r}")
                )
    return faults


def convert_rows(values: object, kind: type[_T]) -> list[_T]:
    """Converts raw rows that have no faults to typed rows."""
    return msgspec.convert(values, list[kind])  # type: ignore[valid-type]


def find_table_faults(snapshot: tables.Tables) -> list[Fault]:
    """Returns the violated constraints between rows of a snapshot."""
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
    for index, item in enumerate(items):
        if not _is_row(item, kind, columns):
            faults.extend(_find_row_faults(table, kind, index, item))
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
    table: str, kind: type, index: int, item: object
) -> list[Fault]:
    name = item.get("name") if isinstance(item, dict) else None
    row = name if isinstance(name, str) else f"#{index}"
    faults = []
    for text in files.find_faults(item, kind):
        path, _, message = text.partition(": ")
        faults.append(Fault(table, row, path.lstrip("$."), message))
    return faults or [Fault(table, row, "", f"expected a row, got {item!r}")]


def _find_route_faults(
    route: rows.Route, pools: Mapping[str, rows.Pool]
) -> list[Fault]:
    pool = pools.get(route.pool)
    if pool is None:
        message = f'pool "{route.pool}" does not exist'
        return [Fault("routes", route.name, "pool", message)]
    faults = []
    for column, value in (
        ("adapter", route.adapter),
        ("version", route.version),
    ):
        message = _describe_adapter_fault(value, pool)
        if message:
            faults.append(Fault("routes", route.name, column, message))
    return faults


def _describe_adapter_fault(value: str, pool: rows.Pool) -> str:
    match pool.kind:
        case rows.UpstreamKind.ENGINE if not value:
            return f'required, since pool "{pool.name}" has engines'
        case rows.UpstreamKind.SERVICE if value:
            return f'"{value}" set, but pool "{pool.name}" has services'
    if len(value) > MAX_ADAPTER_CHARACTERS:
        return (
            f"{len(value)} characters, the maximum is {MAX_ADAPTER_CHARACTERS}"
        )
    return ""


def _find_upstream_faults(pools: Iterable[rows.Pool]) -> list[Fault]:
    faults = []
    pool_names: dict[str, str] = {}
    for pool in sorted(pools, key=lambda pool: pool.name):
        for upstream in pool.upstreams:
            pool_name = pool_names.setdefault(upstream, pool.name)
            if pool_name != pool.name:
                message = f'"{upstream}" is already in pool "{pool_name}"'
                faults.append(Fault("pools", pool.name, "upstreams", message))
        if len(set(pool.upstreams)) != len(pool.upstreams):
            message = "duplicate upstream"
            faults.append(Fault("pools", pool.name, "upstreams", message))
    return faults
