"""Edits of the tables: merging, edit records, diffs and reverts."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_head
from tamaracktide.core import tables

EDITS_PREFIX = "tables/edits/"
MAX_CHANGES_PER_RECORD = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PutRow:
    """Adds a row or replaces one.

    Attributes:
        row: The new row.
        base: The row that the edit is based on, None if there was none.
    """

    row: tables.Row
    base: tables.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class DeleteRow:
    """Deletes a row.

    Attributes:
        base: The row that the edit is based on.
    """

    base: tables.Row


Change = PutRow | DeleteRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """Changes that are applied atomically.

    Attributes:
        edit_id: Unique id, by which the edit is found after a lost response.
        author: Author of the edit.
        at_unix_s: Time of the edit.
        summary: One-line description.
        changes: The changes, at most one per row.
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
    """The changes of one edit, or one part of them.

    Stored at `tables/edits/REVISION/EDIT_ID/PART`. A revision may also have
    records of edits that lost the race for it; the accepted records are those
    reached from the head by `previous_id`.

    Attributes:
        revision: Revision that the edit created.
        edit_id: Unique id of the edit.
        previous_id: Id of the edit that created the previous revision.
        author: Author of the edit.
        at_unix_s: Time of the edit.
        summary: One-line description.
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
    """Returns the key prefix of a revision's records, in revision order."""
    return f"{EDITS_PREFIX}{revision:010d}/"


def make_record_key(revision: int, edit_id: str, part: int) -> str:
    """Returns the object key of a part of an edit's record."""
    return f"{make_revision_prefix(revision)}{edit_id}/{part:04d}"


def make_records(
    edit: Edit, snapshot: tables.Tables, previous_id: str
) -> list[EditRecord]:
    """Returns the parts of the record of an edit to a snapshot.

    Args:
        edit: The edit.
        snapshot: The tables before the edit.
        previous_id: Id of the edit that created the snapshot's revision.
    """
    routes, pools = _list_changes(edit, snapshot)
    size = max(len(routes), len(pools), 1)
    parts = -(-size // MAX_CHANGES_PER_RECORD)
    records = []
    for part in range(parts):
        span = slice(
            part * MAX_CHANGES_PER_RECORD, (part + 1) * MAX_CHANGES_PER_RECORD
        )
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
    """Returns the changes that revert an edit, given its record."""
    changes: list[Change] = []
    for record in records:
        row_changes: tuple[RouteChange | PoolChange, ...]
        row_changes = (*record.routes, *record.pools)
        for change in row_changes:
            if change.before is not None:
                changes.append(PutRow(change.before, change.after))
            elif change.after is not None:
                changes.append(DeleteRow(change.after))
    return tuple(changes)


def diff_rows(
    snapshot: tables.Tables, desired: Iterable[tables.Row], prune: bool
) -> tuple[Change, ...]:
    """Returns the changes that turn a snapshot into the desired rows.

    Args:
        snapshot: The current tables.
        desired: The desired rows.
        prune: Whether all other rows are deleted.
    """
    changes: list[Change] = []
    names: set[tuple[type, str]] = set()
    for row in desired:
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
    """Returns the snapshot's row with the same table and name."""
    match row:
        case rows.Route():
            return snapshot.routes.get(row.name)
        case rows.Pool():
            return snapshot.pools.get(row.name)


def get_table_name(row: tables.Row) -> str:
    """Returns the name of the table that a row belongs to."""
    return "routes" if isinstance(row, rows.Route) else "pools"


def get_target_row(change: Change) -> tables.Row:
    """Returns a row with the table and name that a change refers to."""
    return change.row if isinstance(change, PutRow) else change.base


def merge_edit(snapshot: tables.Tables, edit: Edit) -> tables.Tables:
    """Returns the tables after an edit, at the next revision.

    A change conflicts if another edit has changed the row since its base,
    unless the row already has the desired content.

    Raises:
        errors.EditError: EDIT_CONFLICT; the detail shows the current content
            of each conflicting row.
    """
    conflicts = list(
        filter(None, (_describe_conflict(snapshot, c) for c in edit.changes))
    )
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
        merged = {route.name: route for route in routes.iterate_routes()}
        merged.update(puts)
        kept = [r for name, r in merged.items() if name not in deletions]
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


def _describe_conflict(snapshot: tables.Tables, change: Change) -> str | None:
    row = get_target_row(change)
    current = find_row(snapshot, row)
    desired = change.row if isinstance(change, PutRow) else None
    if current in (change.base, desired):
        return None
    content = (
        "deleted"
        if current is None
        else table_head.encode_object(current).decode()
    )
    return f'{get_table_name(row)} row "{row.name}" is now {content}'


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
