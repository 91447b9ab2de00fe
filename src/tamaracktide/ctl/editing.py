"""Commands that read and edit the tables and show their history."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import json
from typing import Any

import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_checks
from tamaracktide.core import table_edits
from tamaracktide.core import tables
from tamaracktide.ctl import files
from tamaracktide.ctl import output
from tamaracktide.ctl import session as ctl_session
from tamaracktide.tables import history

_TEXT_COLUMNS = {"name", "customer", "pool", "adapter", "version", "kind"}


async def show_rows(
    session: ctl_session.Session,
    printer: output.Printer,
    table: str,
    name: str,
    customer: str,
) -> None:
    """Prints the rows of a table, or a single row."""
    snapshot = await session.editor.read_tables()
    if name:
        listed = [_find_row(snapshot, table, name)]
    elif customer and table == "routes":
        listed = [*snapshot.list_customer_routes(customer)]
    else:
        table_rows = _choose_table(snapshot, table)
        listed = [table_rows[key] for key in sorted(table_rows)]
    row_type = table_checks.ROW_TYPES[table]
    columns = [field.name for field in dataclasses.fields(row_type)]
    printer.print_rows(
        f"{table} at revision {snapshot.revision}",
        columns,
        [msgspec.to_builtins(row) for row in listed],
    )


async def apply_file(
    session: ctl_session.Session,
    printer: output.Printer,
    path: str,
    prune: bool,
) -> None:
    """Commits the rows of a table file."""
    desired = files.read_table_file(path)
    snapshot = await session.editor.read_tables()
    changes = table_edits.diff_rows(snapshot, desired, prune)
    await _commit(session, printer, changes, f"apply {path}", snapshot)


async def diff_file(
    session: ctl_session.Session,
    printer: output.Printer,
    path: str,
    prune: bool,
) -> None:
    """Prints the changes that applying a table file would make."""
    desired = files.read_table_file(path)
    snapshot = await session.editor.read_tables()
    changes = table_edits.diff_rows(snapshot, desired, prune)
    _print_changes(
        printer,
        f"changes to revision {snapshot.revision}",
        [_split_change(change) for change in changes],
    )


async def edit_row(
    session: ctl_session.Session,
    printer: output.Printer,
    table: str,
    name: str,
    columns: Mapping[str, str],
) -> None:
    """Sets columns of a row, or adds the row if it does not exist."""
    snapshot = await session.editor.read_tables()
    base = _choose_table(snapshot, table).get(name)
    value: dict[str, Any] = {"name": name}
    if base is not None:
        value = msgspec.to_builtins(base)
    value.update(
        {
            column: _parse_column(column, text)
            for column, text in columns.items()
        }
    )
    (row,) = files.convert_tables({table: [value]})
    changes = [table_edits.PutRow(row, base)] if row != base else []
    summary = f"edit {table} {name}: {', '.join(columns)}"
    await _commit(session, printer, changes, summary, snapshot)


async def delete_row(
    session: ctl_session.Session,
    printer: output.Printer,
    table: str,
    name: str,
) -> None:
    """Deletes a row."""
    snapshot = await session.editor.read_tables()
    change = table_edits.DeleteRow(_find_row(snapshot, table, name))
    summary = f"delete {table} {name}"
    await _commit(session, printer, [change], summary, snapshot)


async def show_history(
    session: ctl_session.Session, printer: output.Printer, revision: int
) -> None:
    """Prints the recent edits, or the rows that a single edit changed."""
    await session.editor.read_tables()
    head = session.editor.head
    if revision and head is not None:
        records = await history.read_edit(session.objects, head, revision)
        title = f"revision {revision} by {records[0].author}"
        pairs = [
            (change.before, change.after)
            for record in records
            for change in _list_record_changes(record)
        ]
        _print_changes(printer, title, pairs)
        return
    recent = head.recent if head else ()
    printer.print_rows(
        "history",
        ("revision", "at", "author", "rows", "summary", "edit_id"),
        [
            {
                "at": output.format_time(edit.at_unix_s),
                **msgspec.to_builtins(edit),
            }
            for edit in reversed(recent)
        ],
    )


async def revert_edit(
    session: ctl_session.Session, printer: output.Printer, revision: int
) -> None:
    """Reverts an edit with a new edit."""
    snapshot = await session.editor.read_tables()
    head = session.editor.head
    if head is None:
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN, "the tables are empty"
        )
    records = await history.read_edit(session.objects, head, revision)
    changes = table_edits.revert_records(records)
    summary = f"revert {revision}"
    await _commit(session, printer, changes, summary, snapshot)


async def _commit(
    session: ctl_session.Session,
    printer: output.Printer,
    changes: Sequence[table_edits.Change],
    summary: str,
    snapshot: tables.Tables,
) -> None:
    revision = snapshot.revision
    if changes:
        revision = await session.commit(changes, summary)
    printer.print_value(
        {"revision": revision, "changes": len(changes)},
        f"{_count_rows(len(changes))} changed, revision {revision}"
        if changes
        else f"no changes, revision {revision}",
    )


def _count_rows(count: int) -> str:
    return "1 row" if count == 1 else f"{count} rows"


def _print_changes(
    printer: output.Printer,
    title: str,
    pairs: Sequence[tuple[tables.Row | None, tables.Row | None]],
) -> None:
    printer.print_rows(
        title,
        ("change", "table", "row", "before", "after"),
        [_show_change(before, after) for before, after in pairs],
    )


def _show_change(
    before: tables.Row | None, after: tables.Row | None
) -> dict[str, object]:
    old = {} if before is None else msgspec.to_builtins(before)
    new = {} if after is None else msgspec.to_builtins(after)
    row = after if after is not None else before
    change_kind = "change" if old and new else "add" if new else "delete"
    columns = [c for c in {**old, **new} if old.get(c) != new.get(c)]
    return {
        "change": change_kind,
        "table": "" if row is None else table_edits.get_table_name(row),
        "row": "" if row is None else row.name,
        "before": {c: old[c] for c in columns if c in old},
        "after": {c: new[c] for c in columns if c in new},
    }


def _split_change(
    change: table_edits.Change,
) -> tuple[tables.Row | None, tables.Row | None]:
    match change:
        case table_edits.PutRow(row, base):
            return base, row
        case table_edits.DeleteRow(base):
            return base, None


def _list_record_changes(
    record: table_edits.EditRecord,
) -> tuple[table_edits.RouteChange | table_edits.PoolChange, ...]:
    return (*record.routes, *record.pools)


def _choose_table(
    snapshot: tables.Tables, table: str
) -> Mapping[str, rows.Route] | Mapping[str, rows.Pool]:
    match table:
        case "routes":
            return snapshot.routes
        case "pools":
            return snapshot.pools
    raise errors.EditError(
        result_codes.ResultCode.BAD_REQUEST,
        f'"{table}" is neither routes nor pools',
    )


def _find_row(snapshot: tables.Tables, table: str, name: str) -> tables.Row:
    row = _choose_table(snapshot, table).get(name)
    if row is None:
        raise errors.EditError(
            result_codes.ResultCode.ROW_UNKNOWN,
            f'{table} has no row "{name}"',
        )
    return row


def _parse_column(column: str, text: str) -> object:
    if column in _TEXT_COLUMNS:
        return text
    if column == "upstreams":
        return [part for part in text.split(",") if part]
    try:
        return json.loads(text.lower())
    except json.JSONDecodeError:
        return text
