"""Edits of the tables: merging, their records, differences and reverts."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_head
from tamaracktide.core import tables

EDITS_PREFIX = "tables/edits/"
CHANGES_PER_RECORD = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PutRow:
    """Adds a row or replaces one.

    Attributes:
        row: The row as it shall be.
        base: The row that the operator saw, None if there was none.
    """

    row: tables.Row
    base: tables.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRow:
    """Deletes a row.

    Attributes:
        base: The row that the operator saw.
    """

    base: tables.Row


Change = PutRow | DeleteRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Changes that come into force all at once.

    Attributes:
        edit_id: Unique id, by which the edit is found after a lost reply.
        author: Who makes it.
        at_unix_s: When it is made.
        summary: One line for people.
        changes: The changes, at most one for each row.
    """

    edit_id: str
    author: str
    at_unix_s: float
    summary: str
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteChange:
    """A route before and after an edit; None where it did not exist."""

    before: rows.Route | None
    after: rows.Route | None


@dataclasses.dataclass(frozen=True, slots=True)
class PoolChange:
    """A pool before and after an edit; None where it did not exist."""

    before: rows.Pool | None
    after: rows.Pool | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EditRecord:
    """What one edit changed, or a part of it.

    Stored at `tables/edits/REVISION/EDIT_ID/PART`. Records of edits that
    lost a race for their revision may stand beside the accepted one; the
    accepted records are those reached from the head by `previous_id`.

    Attributes:
        revision: Revision that the edit made.
        edit_id: Unique id of the edit.
        previous_id: Id of the edit that made the revision before.
        author: Who made it.
        at_unix_s: When it was made.
        summary: One line for people.
        parts: Number of parts of the record.
        routes: Routes that changed.
        pools: Pools that changed.
    """

    revision: int
    edit_id: str
    previous_id: str
    author: str
    at_unix_s: float
    summary: str
    parts: int
    routes: tuple[RouteChange, ...] = ()
    pools: tuple[PoolChange, ...] = ()


def make_revision_prefix(revision: int) -> str:
    """Returns the prefix of records of a revision; prefixes sort as they do."""
    return f"{EDITS_PREFIX}{revision:010d}/"


def make_record_key(revision: int, edit_id: str, part: int) -> str:
    """Returns the key of a part of an edit's record."""
    return f"{make_revision_prefix(revision)}{edit_id}/{part:04d}"


def make_records(
    edit: Edit, snapshot: tables.Tables, previous_id: str
) -> list[EditRecord]:
    """Returns the parts of the record of an edit of a snapshot.

    Args:
        edit: The edit.
        snapshot: The tables before it.
        previous_id: Id of the edit that made the snapshot's revision.
    """
    routes, pools = _list_changes(edit, snapshot)
    size = max(len(routes), len(pools), 1)
    parts = -(-size // CHANGES_PER_RECORD)
    records = []
    for part in range(parts):
        span = slice(part * CHANGES_PER_RECORD, (part + 1) * CHANGES_PER_RECORD)
        records.append(
            EditRecord(
                revision=snapshot.revision + 1,
                edit_id=edit.edit_id,
                previous_id=previous_id,
                author=edit.author,
                at_unix_s=edit.at_unix_s,
                summary=edit.summary,
                parts=parts,
                routes=tuple(routes[span]),
                pools=tuple(pools[span]),
            )
        )
    return records


def revert_records(records: Iterable[EditRecord]) -> tuple[Change, ...]:
    """Returns the changes that undo an edit, given its record."""
    changes: list[Change] = []
    for record in records:
        both: tuple[RouteChange | PoolChange, ...]
        both = (*record.routes, *record.pools)
        for change in both:
            if change.before is not None:
                changes.append(PutRow(change.before, change.after))
            elif change.after is not None:
                changes.append(DeleteRow(change.after))
    return tuple(changes)


def diff_rows(
    snapshot: tables.Tables, wanted: Iterable[tables.Row], prune: bool
) -> tuple[Change, ...]:
    """Returns the changes that lead from a snapshot to the wanted rows.

    Args:
        snapshot: The tables as they are.
        wanted: Rows that shall stand.
        prune: Whether rows that are not wanted are deleted.
    """
    changes: list[Change] = []
    names: set[tuple[type, str]] = set()
    for row in wanted:
        names.add((type(row), row.name))
        base = find_row(snapshot, row)
        if row != base:
            changes.append(PutRow(row, base))
    if not prune:
        return tuple(changes)
    present: list[tables.Row] = [*snapshot.routes.iterate_routes()]
    present.extend(snapshot.pools.values())
    changes.extend(
        DeleteRow(row) for row in present if (type(row), row.name) not in names
    )
    return tuple(changes)


def find_row(snapshot: tables.Tables, row: tables.Row) -> tables.Row | None:
    """Returns the snapshot's row of the same table and name."""
    match row:
        case rows.Route():
            return snapshot.routes.get(row.name)
        case rows.Pool():
            return snapshot.pools.get(row.name)


def name_table(row: tables.Row) -> str:
    """Returns the name of the table that a row belongs to."""
    return "routes" if isinstance(row, rows.Route) else "pools"


def name_row(change: Change) -> tables.Row:
    """Returns the row that tells a change's table and name."""
    return change.row if isinstance(change, PutRow) else change.base


def merge_edit(snapshot: tables.Tables, edit: Edit) -> tables.Tables:
    """Returns the tables after an edit, one revision on.

    A row that another edit has changed meanwhile is refused, unless it is
    already as this edit wants it.

    Raises:
        errors.EditError: EDIT_CONFLICT; the detail shows each row as it is.
    """
    conflicts = list(filter(None, (_tell(snapshot, c) for c in edit.changes)))
    if conflicts:
        raise errors.EditError(
            result_codes.ResultCode.EDIT_CONFLICT, "; ".join(conflicts)
        )
    pools = dict(snapshot.pools)
    puts: dict[str, rows.Route] = {}
    deletions: set[str] = set()
    for change in edit.changes:
        match change:
            case PutRow(rows.Route() as route, _):
                puts[route.name] = route
            case PutRow(rows.Pool() as pool, _):
                pools[pool.name] = pool
            case DeleteRow(rows.Route() as route):
                deletions.add(route.name)
            case DeleteRow(rows.Pool() as pool):
                pools.pop(pool.name, None)
    shards = _change_shards(snapshot.routes, puts, deletions)
    routes = tables.ShardedRoutes(shards)
    return tables.Tables(snapshot.revision + 1, routes, pools)


def _change_shards(
    routes: tables.ShardedRoutes,
    puts: Mapping[str, rows.Route],
    deletions: set[str],
) -> tuple[tables.Shard, ...]:
    count = len(routes.shards)
    added = sum(name not in routes for name in puts)
    removed = sum(name in routes for name in deletions)
    needed = tables.choose_shard_count(len(routes) + added - removed, count)
    if needed != count:
        whole = {route.name: route for route in routes.iterate_routes()}
        whole.update(puts)
        kept = [r for name, r in whole.items() if name not in deletions]
        return tables.split_routes(kept, needed)
    shards: list[tables.Shard] = list(routes.shards)
    changed: dict[int, dict[str, rows.Route]] = {}
    for name in (*puts, *deletions):
        index = tables.find_shard_index(name, count)
        if index not in changed:
            changed[index] = dict(shards[index])
        if name in deletions:
            changed[index].pop(name, None)
        else:
            changed[index][name] = puts[name]
    for index, shard in changed.items():
        shards[index] = shard
    return tuple(shards)


def _tell(snapshot: tables.Tables, change: Change) -> str | None:
    row = name_row(change)
    current = find_row(snapshot, row)
    wanted = change.row if isinstance(change, PutRow) else None
    if current in (change.base, wanted):
        return None
    now = (
        "deleted"
        if current is None
        else table_head.encode_object(current).decode()
    )
    return f'{name_table(row)} row "{row.name}" is now {now}'


def _list_changes(
    edit: Edit, snapshot: tables.Tables
) -> tuple[list[RouteChange], list[PoolChange]]:
    routes: list[RouteChange] = []
    pools: list[PoolChange] = []
    for change in edit.changes:
        match change:
            case PutRow(rows.Route() as after):
                before = snapshot.routes.get(after.name)
                routes.append(RouteChange(before, after))
            case DeleteRow(rows.Route() as route):
                before = snapshot.routes.get(route.name)
                routes.append(RouteChange(before, None))
            case PutRow(rows.Pool() as pool):
                pools.append(PoolChange(snapshot.pools.get(pool.name), pool))
            case DeleteRow(rows.Pool() as pool):
                pools.append(PoolChange(snapshot.pools.get(pool.name), None))
    return routes, pools
