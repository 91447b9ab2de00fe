"""Tests of committing edits: conflicts, lost replies, outages, collection."""

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
HASTY = settings.EditorSettings(
    deadline_s=0.001, min_backoff_s=0.001, max_backoff_s=0.001, concurrency=1
)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


def fail_head_writes(fate: fake_store.Fate, times: int) -> fake_store.Gate:
    """Returns a gate that gives the next writes of the head a fate."""
    left = times

    async def gate(operation: str, key: str) -> fake_store.Fate:
        nonlocal left
        write = operation in ("create", "update")
        if write and key == table_head.HEAD_KEY and left:
            left -= 1
            return fate
        return fake_store.Fate.DONE

    return gate


async def test_edits_of_different_rows_merge() -> None:
    """Two editors with the same base both succeed on different rows."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    one = table_samples.make_editor(objects)
    two = table_samples.make_editor(objects)
    await one.read_tables()
    await two.read_tables()
    for operator, name in ((one, "a"), (two, "b")):
        put = table_edits.PutRow(table_samples.make_route(name), None)
        await operator.commit(table_samples.make_edit(name, put))
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.revision == 3
    assert set(snapshot.routes) == {"a", "b"}


async def test_second_edit_of_a_row_is_refused_with_the_row_as_it_is() -> None:
    """The refusal shows the version that the first edit set."""
    objects = fake_store.FakeStore()
    old = table_samples.make_route("a", "1")
    await table_samples.put_rows(objects, "first", table_samples.POOL, old)
    new = table_samples.make_route("a", "from-one")
    await table_samples.put_rows(objects, "one", new)
    late = table_edits.PutRow(table_samples.make_route("a", "from-two"), old)
    with pytest.raises(errors.EditError, match="from-one") as caught:
        await table_samples.make_editor(objects).commit(
            table_samples.make_edit("two", late)
        )
    assert caught.value.code is result_codes.ResultCode.EDIT_CONFLICT


@pytest.mark.parametrize("fate", [fake_store.Fate.LOST, fake_store.Fate.FAILED])
async def test_lost_reply_is_settled_by_reading_back(
    fate: fake_store.Fate,
) -> None:
    """The edit is applied once, whether or not the lost write was."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    objects.gate = fail_head_writes(fate, 2)
    revision = await table_samples.put_rows(
        objects, "second", table_samples.make_route("a")
    )
    assert revision == 2
    head = table_head.decode_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    assert [edit.edit_id for edit in head.recent] == ["first", "second"]


async def test_edit_ends_though_every_reply_to_a_write_is_lost() -> None:
    """Each write is settled by reading, none waits for a reply."""
    objects = fake_store.FakeStore()

    async def gate(operation: str, _key: str) -> fake_store.Fate:
        write = operation in ("create", "update")
        return fake_store.Fate.LOST if write else fake_store.Fate.DONE

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
async def test_outage_tells_an_unsure_edit_from_one_not_made(
    operation: str,
    error: type[errors.TamaracktideError],
    code: result_codes.ResultCode,
) -> None:
    """Only an edit whose head write got no answer is unsure."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)

    async def gate(asked: str, _key: str) -> fake_store.Fate:
        failed = asked == operation
        return fake_store.Fate.FAILED if failed else fake_store.Fate.DONE

    objects.gate = gate
    put = table_edits.PutRow(table_samples.make_route("a"), None)
    operator = table_samples.make_editor(objects, HASTY)
    with pytest.raises(error) as caught:
        await operator.commit(table_samples.make_edit("second", put))
    assert caught.value.code is code


async def test_invalid_tables_change_nothing() -> None:
    """A pool that still has routes cannot be deleted."""
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
    """An edit of many rows is reverted by a new edit from its record."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    routes = [table_samples.make_route(f"r{i}") for i in range(1200)]
    await table_samples.put_rows(objects, "many", *routes)
    operator = table_samples.make_editor(objects)
    snapshot = await operator.read_tables()
    assert len(snapshot.routes) == 1200
    assert len(snapshot.routes.shards) == 8
    assert operator.head is not None
    records = await history.read_edit(objects, operator.head, 2)
    changes = table_edits.revert_records(records)
    await operator.commit(table_samples.make_edit("revert", *changes))
    assert len((await operator.read_tables()).routes) == 0


async def test_history_beyond_the_head_follows_the_records() -> None:
    """An edit that the head has forgotten is found through later ones."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    for number in range(table_head.RECENT_EDITS + 3):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(objects, f"edit-{number}", route)
    operator = table_samples.make_editor(objects)
    await operator.read_tables()
    assert operator.head is not None
    records = await history.read_edit(objects, operator.head, 2)
    assert [record.edit_id for record in records] == ["edit-0"]


async def test_edit_of_one_row_writes_one_shard_and_its_record() -> None:
    """The other shards are neither written nor renewed."""
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
    """Newer ones stay, and an old revision is told as unknown."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    for number in range(4):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(objects, f"edit-{number}", route)
    assert await collector.collect_old_records(objects, 2) == 3
    assert await collector.collect_old_records(objects, 2) == 0
    operator = table_samples.make_editor(objects)
    await operator.read_tables()
    assert operator.head is not None
    assert await history.read_edit(objects, operator.head, 4)
    with pytest.raises(errors.EditError, match="no record of revision 3"):
        await history.read_edit(objects, operator.head, 3)


async def test_collector_keeps_shards_that_may_be_named() -> None:
    """Only shards unused at both passes and not renewed are deleted."""
    objects = fake_store.FakeStore()
    for number in range(3):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(
            objects, f"edit-{number}", table_samples.POOL, route
        )
    assert await collector.collect_unused_shards(objects, 0.0, 60.0) == 0
    back = table_samples.make_route("a", "0")
    await table_samples.put_rows(objects, "back", back)
    assert await collector.collect_unused_shards(objects, 61.0, 60.0) == 1
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.routes["a"] == back


async def test_collector_spares_a_shard_that_an_edit_has_renewed() -> None:
    """A shard written again is kept before the head names it."""
    objects = fake_store.FakeStore()
    for number in range(2):
        route = table_samples.make_route("a", str(number))
        await table_samples.put_rows(
            objects, f"edit-{number}", table_samples.POOL, route
        )
    assert await collector.collect_unused_shards(objects, 0.0, 60.0) == 0
    deleted: list[int] = []

    async def gate(operation: str, key: str) -> fake_store.Fate:
        if operation == "update" and key == table_head.HEAD_KEY:
            objects.gate = fake_store.pass_call
            deleted.append(
                await collector.collect_unused_shards(objects, 61.0, 60.0)
            )
        return fake_store.Fate.DONE

    objects.gate = gate
    back = table_samples.make_route("a", "0")
    await table_samples.put_rows(objects, "back", back)
    assert deleted == [0]
    snapshot = await table_samples.make_editor(objects).read_tables()
    assert snapshot.routes["a"] == back


def test_backoff_never_waits_less_than_asked() -> None:
    """The platform's Retry-After is a lower bound."""
    waits = backoff.Backoff(0.1, 1.0, random.Random(3))
    assert min(waits.next_wait_s(2.0) for _ in range(20)) >= 2.0
    assert waits.next_wait_s() <= 1.0
