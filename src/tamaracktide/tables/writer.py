"""Writes the immutable objects of an edit: shards and edit records."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.core import table_shards
from tamaracktide.core import tables
from tamaracktide.object_api import object_store
from tamaracktide.tables import backoff
from tamaracktide.tables import settings as tables_settings


@dataclasses.dataclass(frozen=True, slots=True)
class WritePlan:
    """The objects that an edit writes.

    Attributes:
        head: The head, which is written last.
        objects: Immutable objects by key, which are written before the head.
    """

    head: table_head.Head
    objects: dict[str, bytes]


@dataclasses.dataclass(slots=True)
class _UncertainRenewal:
    """A renewal whose outcome is uncertain.

    Attributes:
        version: Precondition version of the renewal; None if no renewal can
            have taken effect.
    """

    version: int | None


def encode_checked(value: object, key: str) -> bytes:
    """Encodes an object and checks it against the store's size limit.

    Raises:
        errors.EditError: TABLE_INVALID, the object is too large.
    """
    data = table_head.encode_object(value)
    _check_size(data, key)
    return data


def make_plan(
    edit: table_edits.Edit,
    old_head: table_head.Head | None,
    after: tables.Tables,
    records: Sequence[table_edits.EditRecord],
) -> WritePlan:
    """Builds the objects of an edit: changed shards, records and the head.

    Args:
        edit: The edit.
        old_head: Head before the edit, None for the first edit.
        after: The tables after the edit.
        records: The parts of the edit's record.

    Raises:
        errors.EditError: TABLE_INVALID, an object would be too large.
    """
    stored_hashes = set(old_head.hashes) if old_head else set()
    objects: dict[str, bytes] = {}
    routes = tuple(
        _plan_shard(shard, stored_hashes, objects)
        for shard in after.routes.shards
    )
    pools = _plan_content(
        table_head.encode_rows(after.pools.values()), stored_hashes, objects
    )
    encodings = [table_head.encode_object(record) for record in records]
    for part, encoding in enumerate(encodings):
        key = table_edits.make_record_key(after.revision, edit.edit_id, part)
        objects[key] = encoding
    for key, content in objects.items():
        _check_size(content, key)
    recent = _make_recent(edit, after.revision, records, encodings)
    head = table_head.Head(
        revision=after.revision,
        write_id=edit.edit_id,
        routes=routes,
        pools=pools,
        recent=table_head.append_recent(
            old_head.recent if old_head else (), recent
        ),
    )
    return WritePlan(head, objects)


def _make_recent(
    edit: table_edits.Edit,
    revision: int,
    records: Sequence[table_edits.EditRecord],
    encodings: Sequence[bytes],
) -> table_head.RecentEdit:
    return table_head.RecentEdit(
        revision=revision,
        edit_id=edit.edit_id,
        author=edit.author,
        at_unix_s=edit.at_unix_s,
        summary=edit.summary,
        rows=sum(len(r.routes) + len(r.pools) for r in records),
        digest=table_head.hash_content(b"".join(encodings)),
    )


def _plan_shard(
    shard: tables.Shard, stored_hashes: set[str], objects: dict[str, bytes]
) -> str:
    """Returns a shard's hash; adds the shard to `objects` if it is new."""
    if (
        isinstance(shard, table_shards.EncodedShard)
        and shard.digest in stored_hashes
    ):
        return shard.digest
    content = table_head.encode_rows(table_shards.list_routes(shard))
    return _plan_content(content, stored_hashes, objects)


def _plan_content(
    content: bytes, stored_hashes: set[str], objects: dict[str, bytes]
) -> str:
    digest = table_head.hash_content(content)
    if digest not in stored_hashes:
        objects[table_head.make_shard_key(digest)] = content
    return digest


async def write_objects(
    objects: object_store.ObjectStore,
    plan: WritePlan,
    settings: tables_settings.EditorSettings,
    rng: random.Random,
    progress: Callable[[int, int], None],
) -> None:
    """Writes every immutable object of a plan with bounded concurrency.

    Raises:
        errors.PlatformError: An object could not be written within the
            deadline.
    """
    remaining = iter(plan.objects.items())
    total = len(plan.objects)
    failures: list[errors.PlatformError] = []
    written = 0

    async def write_remaining() -> None:
        nonlocal written
        for key, content in remaining:
            if failures:
                return
            try:
                await _write_with_retries(objects, key, content, settings, rng)
            except errors.PlatformError as error:
                failures.append(error)
                return
            written += 1
            progress(written, total)

    async with anyio.create_task_group() as group:
        for _ in range(settings.concurrency):
            group.start_soon(write_remaining)
    if failures:
        raise failures[0]


async def _write_with_retries(
    objects: object_store.ObjectStore,
    key: str,
    content: bytes,
    settings: tables_settings.EditorSettings,
    rng: random.Random,
) -> None:
    deadline = anyio.current_time() + settings.deadline_s
    waits = backoff.Backoff(settings.min_backoff_s, settings.max_backoff_s, rng)
    renewal = _UncertainRenewal(None)
    while True:
        try:
            return await _write_object(objects, key, content, renewal)
        except errors.PlatformError as error:
            if anyio.current_time() >= deadline:
                raise
            await anyio.sleep(waits.next_wait_s(error.retry_after_s))


async def _write_object(
    objects: object_store.ObjectStore,
    key: str,
    content: bytes,
    renewal: _UncertainRenewal,
) -> None:
    """Creates an object, or renews its version to protect it from deletion."""
    try:
        await objects.create(key, content)
        return
    except errors.PreconditionFailedError:
        stored = await objects.read(key)
    if renewal.version is not None and stored.version > renewal.version:
        return
    try:
        await objects.update(key, content, stored.version)
    except errors.PlatformUnavailableError:
        renewal.version = stored.version
        raise


def _check_size(data: bytes, key: str) -> None:
    if len(data) > table_head.MAX_OBJECT_BYTES:
        raise errors.EditError(
            result_codes.ResultCode.TABLE_INVALID,
            f"{key} would have {len(data)} bytes, the maximum is"
            f" {table_head.MAX_OBJECT_BYTES}",
        )
