"""Garbage collection of unreferenced shards and old edit records.

Shards are collected in two passes, so that no shard is deleted that an editor
is about to reference: the first pass marks a shard with its version, and a
later pass deletes it only at that version. An editor renews the version of a
shard that already exists. Edit records need no mark, because no later edit
writes a record for a past revision.
"""

from collections.abc import Mapping
import contextlib
import dataclasses

from tamaracktide import errors
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.object_api import object_store

MARKS_KEY = "tables/unused"
MAX_MARKS = 4000
MAX_RECORDS_PER_PASS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """A shard that was found unreferenced.

    Attributes:
        version: Version of the shard when it was marked.
        since_unix_s: When it was first found unreferenced at this version.
    """

    version: int
    since_unix_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Marks:
    """The content of `tables/unused`: marks by object key."""

    marks: dict[str, Mark] = dataclasses.field(default_factory=dict)


async def collect_unused_shards(
    objects: object_store.ObjectStore, now_unix_s: float, collect_after_s: float
) -> int:
    """Marks unreferenced shards and deletes those whose marks are due.

    Args:
        objects: Client of the object API.
        now_unix_s: The current time.
        collect_after_s: Minimum age of a mark before its shard is deleted.

    Returns:
        The number of deleted shards.

    Raises:
        errors.PlatformError: A call failed; the next pass continues.
    """
    listing = await objects.list(table_head.SHARDS_PREFIX)
    stored = await objects.read(table_head.HEAD_KEY)
    used = {
        table_head.make_shard_key(digest)
        for digest in table_head.decode_head(stored.value).hashes
    }
    unused = {
        item.key: item.version for item in listing.items if item.key not in used
    }
    marks, version = await _read_marks(objects)
    marks = _update_marks(marks, unused, now_unix_s)
    due = [
        key
        for key, mark in marks.items()
        if now_unix_s - mark.since_unix_s >= collect_after_s
    ]
    for key in due:
        await _delete_shard(objects, key, marks.pop(key).version)
    await _write_marks(objects, marks, version)
    return len(due)


async def collect_old_records(
    objects: object_store.ObjectStore, history_revisions: int
) -> int:
    """Deletes the records of edits that are beyond the history limit.

    Args:
        objects: Client of the object API.
        history_revisions: Number of newest revisions whose records are kept.

    Returns:
        The number of deleted objects, at most `MAX_RECORDS_PER_PASS`.

    Raises:
        errors.PlatformError: A call failed; the next pass continues.
    """
    stored = await objects.read(table_head.HEAD_KEY)
    newest = table_head.decode_head(stored.value).revision
    first_kept_prefix = table_edits.make_revision_prefix(
        max(1, newest - history_revisions + 1)
    )
    listing = await objects.list(table_edits.EDITS_PREFIX)
    old = sorted(
        item.key for item in listing.items if item.key < first_kept_prefix
    )
    for key in old[:MAX_RECORDS_PER_PASS]:
        with contextlib.suppress(errors.ObjectMissingError):
            await objects.delete(key)
    return len(old[:MAX_RECORDS_PER_PASS])


def _update_marks(
    old: Mapping[str, Mark], unused: Mapping[str, int], now_unix_s: float
) -> dict[str, Mark]:
    marks: dict[str, Mark] = {}
    for key, version in sorted(unused.items())[:MAX_MARKS]:
        mark = old.get(key)
        is_unchanged = mark is not None and mark.version == version
        marks[key] = (
            mark if mark and is_unchanged else Mark(version, now_unix_s)
        )
    return marks


async def _delete_shard(
    objects: object_store.ObjectStore, key: str, version: int
) -> None:
    try:
        await objects.delete(key, version)
    except (errors.ObjectMissingError, errors.PreconditionFailedError):
        return


async def _read_marks(
    objects: object_store.ObjectStore,
) -> tuple[dict[str, Mark], int | None]:
    try:
        stored = await objects.read(MARKS_KEY)
    except errors.ObjectMissingError:
        return {}, None
    marks = table_head.decode_object(stored.value, Marks, MARKS_KEY).marks
    return marks, stored.version


async def _write_marks(
    objects: object_store.ObjectStore,
    marks: dict[str, Mark],
    version: int | None,
) -> None:
    data = table_head.encode_object(Marks(marks))
    try:
        if version is None:
            await objects.create(MARKS_KEY, data)
        else:
            await objects.update(MARKS_KEY, data, version)
    except errors.PreconditionFailedError:
        return
