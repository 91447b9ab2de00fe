"""Table files: JSON objects with the lists `routes` and `pools`."""

import json
import pathlib

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_checks
from tamaracktide.core import tables


def read_table_file(path: str) -> list[tables.Row]:
    """Reads and validates the rows of a table file.

    Raises:
        errors.EditError: BAD_REQUEST if the file cannot be read;
            TABLE_INVALID if it has faults, which the detail lists by
            table, row and column.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.EditError(
            result_codes.ResultCode.BAD_REQUEST,
            f"{path} cannot be read: {error.strerror}",
        ) from error
    try:
        values = json.loads(text)
    except ValueError as error:
        raise _make_error(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise _make_error(f"{path}: expected an object with routes and pools")
    return convert_tables(values)


def convert_tables(values: dict[str, object]) -> list[tables.Row]:
    """Validates decoded JSON tables and converts them to rows.

    Raises:
        errors.EditError: TABLE_INVALID; see `read_table_file`.
    """
    faults = table_checks.find_value_faults(values)
    if faults:
        raise _make_error("; ".join(fault.text for fault in faults))
    routes = values.get("routes", [])
    pools = values.get("pools", [])
    return [
        *table_checks.convert_rows(pools, rows.Pool),
        *table_checks.convert_rows(routes, rows.Route),
    ]


def _make_error(detail: str) -> errors.EditError:
    return errors.EditError(result_codes.ResultCode.TABLE_INVALID, detail)
