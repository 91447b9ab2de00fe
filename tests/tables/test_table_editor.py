"""Tests of the editor, the edit history and the collector."""

import random

import fake_store
import pytest
import table_samples

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.tables import backoff
from tamaracktide.tables import collector
from tamaracktide.tables import history
from tamaracktide.tables import settings

pytestmark = pytest.mark.anyio
SHORT_DEADLINE = settings.EditorSettings(
    deadline_s=0.001, min_backoff_s=0.001, max_backoff_s=0.001, concurrency=1
)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


def fail_head_writes(
    outcome: fake_store.CallOutcome, times: int
) -> fake_store.Gate:
    """Returns a gate that gives the next writes of the head an outcome."""
    remaining = times

    async def gate(operation: str, key: str) -> fake_store.CallOutcome:
        nonlocal remaining
        is_write = operation in ("create", "update")
        if is_write and key == table_head.HEAD_KEY and remaining:
            remaining -= 1
            return outcome
        return fake_store.CallOutcome.DONE

    return gate


async def test_edits_of_different_rows_merge() -> None:
    """Two editors with the same base can change different rows."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    first_editor = table_samples.make_editor(objects)
    second_editor = table_samples.make_editor(objects)
    await first_editor.read_tables()
    await second_editor.read_tables()
    for table_editor, name in ((first_editor, "a"), (second_editor, "b")):
        put = table_edits.PutRow(table_samples.make_route(name), None)
        await table_editor.commit(table_samples.make_edit(name, put))
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.revision == 3
    assert set(snapshot.routes) == {"a", "b"}


async def test_conflicting_edit_is_refused_with_the_current_row() -> None:
    """The error shows the row as changed by the first edit."""
    objects = fake_store.FakeStore()
    old = table_samples.make_route("a", "1")
    await table_samples.put_rows(objects, "first", table_samples.POOL, old)
    new = table_samples.make_route("a", "from-one")
    await table_samples.put_rows(objects, "one", new)
    conflicting = table_edits.PutRow(
        table_samples.make_route("a", "from-two"), old
    )
    with pytest.raises(errors.EditError, match="from-one") as caught:
        await table_samples.make_editor(objects).commit(
            table_samples.make_edit("two", conflicting)
        )
    assert caught.value.code is result_codes.ResultCode.EDIT_CONFLICT


@pytest.mark.parametrize(
    "outcome",
    [fake_store.CallOutcome.RESPONSE_LOST, fake_store.CallOutcome.FAILED],
)
async def test_lost_response_is_resolved_by_reading_back(
    outcome: fake_store.CallOutcome,
) -> None:
    """The edit is applied once, whether or not the write took effect."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    objects.gate = fail_head_writes(outcome, 2)
    revision = await table_samples.put_rows(
        objects, "second", table_samples.make_route("a")
    )
    assert revision == 2
    head = table_head.decode_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    assert [edit.edit_id for edit in head.recent] == ["first", "second"]


async def test_edit_completes_if_every_response_to_a_write_is_lost() -> None:
    """The outcome of each write is determined by reading back."""
    objects = fake_store.FakeStore()

    async def gate(operation: str, _key: str) -> fake_store.CallOutcome:
        is_write = operation in ("create", "update")
        return (
            fake_store.CallOutcome.RESPONSE_LOST
            if is_write
            else fake_store.CallOutcome.DONE
        )

    objects.gate = gate
    assert await table_samples.put_rows(objects, "a", table_samples.POOL) == 1


@pytest.mark.parametrize(
    ("operation", "error", "code"),
    [
        (
            "update",
            errors.EditError,
            result_codes.ResultCode.EDIT_UNSURE,
        ),
        (
            "read",
            errors.PlatformUnavailableError,
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
        ),
    ],
)
async def test_outage_distinguishes_uncertain_edits_from_uncommitted_ones(
    operation: str,
    error: type[errors.TamaracktideError],
    code: result_codes.ResultCode,
) -> None:
    """Only an edit whose head write got no response is uncertain."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)

    async def gate(called: str, _key: str) -> fake_store.CallOutcome:
        failed = called == operation
        return (
            fake_store.CallOutcome.FAILED
            if failed
            else fake_store.CallOutcome.DONE
        )

    objects.gate = gate
    put = table_edits.PutRow(table_samples.make_route("a"), None)
    table_editor = table_samples.make_editor(objects, SHORT_DEADLINE)
    with pytest.raises(error) as caught:
        await table_editor.commit(table_samples.make_edit("second", put))
    assert caught.value.code is code


async def test_invalid_tables_change_nothing() -> None:
    """Deleting a pool that still has routes fails without a write."""
    objects = fake_store.FakeStore()
    route = table_samples.make_route("a")
    await table_samples.put_rows(objects, "first", table_samples.POOL, route)
    version = objects.version
    delete = table_edits.DeleteRow(table_samples.POOL)
    with pytest.raises(errors.EditError, match='"a" column pool') as caught:
        await table_samples.make_editor(objects).commit(
            table_samples.make_edit("second", delete)
        )
    assert caught.value.code is result_codes.ResultCode.TABLE_INVALID
    assert objects.version == version


async def test_many_rows_are_sharded_and_reverted() -> None:
    """An edit of many rows is reverted by an edit made from its record."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    routes = [table_samples.make_route(f"r{i}") for i in range(1200)]
    await table_samples.put_rows(objects, "many", *routes)
    table_editor = table_samples.make_editor(objects)
    snapshot = await table_editor.read_tables()
    assert len(snapshot.routes) == 1200
    assert len(snapshot.routes.shards) == 8
    assert table_editor.head is not None
    records = await history.read_edit(objects, table_editor.head, 2)
    changes = table_edits.revert_records(records)
    await table_editor.commit(table_samples.make_edit("revert", *changes))
    assert len((await table_editor.read_tables()).routes) == 0


async def test_history_beyond_the_head_is_read_from_records() -> None:
    """An edit no longer in the head is found through later records."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    for number in range(table_head.MAX_RECENT_EDITS + 3):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(objects, f"edit-{number}", route)
    table_editor = table_samples.make_editor(objects)
    await table_editor.read_tables()
    assert table_editor.head is not None
    records = await history.read_edit(objects, table_editor.head, 2)
    assert [record.edit_id for record in records] == ["edit-0"]


async def test_edit_of_one_row_writes_one_shard_and_its_record() -> None:
    """Unchanged shards are neither written nor renewed."""
    objects = fake_store.FakeStore()
    routes = [table_samples.make_route(f"r{i}") for i in range(1200)]
    await table_samples.put_rows(objects, "1", table_samples.POOL, *routes)
    version = objects.version
    changed = table_samples.make_route("r7", "2")
    await table_samples.put_rows(objects, "second", changed)
    assert objects.version == version + 3
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.routes["r7"] == changed


async def test_records_older_than_the_history_are_deleted() -> None:
    """Newer records stay; reading a deleted one reports it as unknown."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    for number in range(4):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(objects, f"edit-{number}", route)
    assert await collector.collect_old_records(objects, 2) == 3
    assert await collector.collect_old_records(objects, 2) == 0
    table_editor = table_samples.make_editor(objects)
    await table_editor.read_tables()
    assert table_editor.head is not None
    assert await history.read_edit(objects, table_editor.head, 4)
    with pytest.raises(errors.EditError, match="no record of revision 3"):
        await history.read_edit(objects, table_editor.head, 3)


async def test_collector_keeps_renewed_shards() -> None:
    """Only shards unreferenced in both passes and not renewed are deleted."""
    objects = fake_store.FakeStore()
    for number in range(3):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(
            objects, f"edit-{number}", table_samples.POOL, route
        )
    assert await collector.collect_unused_shards(objects, 0.0, 60.0) == 0
    restored = table_samples.make_route("a", "0")
    await table_samples.put_rows(objects, "back", restored)
    assert await collector.collect_unused_shards(objects, 61.0, 60.0) == 1
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.routes["a"] == restored


async def test_collector_keeps_a_shard_renewed_during_an_edit() -> None:
    """A renewed shard is kept even before the head references it."""
    objects = fake_store.FakeStore()
    for number in range(2):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(
            objects, f"edit-{number}", table_samples.POOL, route
        )
    assert await collector.collect_unused_shards(objects, 0.0, 60.0) == 0
    deleted: list[int] = []

    async def gate(operation: str, key: str) -> fake_store.CallOutcome:
        if operation == "update" and key == table_head.HEAD_KEY:
            objects.gate = fake_store.pass_call
            deleted.append(
                await collector.collect_unused_shards(objects, 61.0, 60.0)
            )
        return fake_store.CallOutcome.DONE

    objects.gate = gate
    restored = table_samples.make_route("a", "0")
    await table_samples.put_rows(objects, "back", restored)
    assert deleted == [0]
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.routes["a"] == restored


def test_backoff_never_waits_less_than_requested() -> None:
    """The Retry-After of the platform is a lower bound of the wait."""
    waits = backoff.Backoff(0.1, 1.0, random.Random(3))
    assert min(waits.next_wait_s(2.0) for _ in range(20)) >= 2.0
    assert waits.next_wait_s() <= 1.0
