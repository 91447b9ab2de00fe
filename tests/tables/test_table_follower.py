"""Tests of following: outages, stale reads, peers; never backwards."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

import anyio
import fake_store
import pytest
import table_samples

from tamaracktide import errors
from tamaracktide.core import table_head
from tamaracktide.tables import follower
from tamaracktide.tables import settings

pytestmark = pytest.mark.anyio
SETTINGS = settings.FollowerSettings(
    watch_timeout_s=0.05,
    rearm_s=0.001,
    spread_s=0.001,
    min_backoff_s=0.001,
    max_backoff_s=0.01,
)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_follower(
    objects: fake_store.FakeStore,
) -> AsyncIterator[follower.Follower]:
    """Runs a follower in the block."""
    reader = follower.Follower(objects, SETTINGS, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        yield reader
        group.cancel_scope.cancel()


async def wait_for_revision(reader: follower.Follower, revision: int) -> None:
    """Waits until a follower has a revision in force."""
    with anyio.fail_after(20):
        while reader.tables.revision < revision:
            await anyio.sleep(0.001)


async def test_edits_come_into_force_in_order() -> None:
    """Each listener call has a higher revision than the one before."""
    objects = fake_store.FakeStore()
    seen: list[int] = []
    async with run_follower(objects) as reader:
        reader.add_listener(lambda snapshot: seen.append(snapshot.revision))
        assert not reader.is_ready
        await table_samples.put_rows(objects, "first", table_samples.POOL)
        for number in range(5):
            route = table_samples.make_route("a", str(number))
            await table_samples.put_rows(objects, f"e{number}", route)
        await wait_for_revision(reader, 6)
    assert seen == sorted(set(seen))
    assert reader.tables.routes["a"].version == "4"


async def test_failed_and_stale_calls_never_take_the_tables_back() -> None:
    """Random outages and stale reads delay a revision but lose none."""
    objects = fake_store.FakeStore()
    rng = random.Random(7)
    fates: list[fake_store.Fate] = list(fake_store.Fate)

    async def gate(operation: str, _key: str) -> fake_store.Fate:
        if operation in ("create", "update"):
            return fake_store.Fate.DONE
        return rng.choice(fates)

    await table_samples.put_rows(objects, "first", table_samples.POOL)
    async with run_follower(objects) as reader:
        for number in range(12):
            objects.gate = fake_store.pass_call
            route = table_samples.make_route(f"r{number % 3}", str(number))
            await table_samples.put_rows(objects, f"e{number}", route)
            objects.gate = gate
            await wait_for_revision(reader, number + 2)
    assert reader.tables.routes["r2"].version == "11"


async def test_peer_brings_newer_tables_during_an_outage() -> None:
    """A follower cut off from the platform is fed by another."""
    objects = fake_store.FakeStore()
    route = table_samples.make_route("a")
    await table_samples.put_rows(objects, "first", table_samples.POOL, route)
    cut_off = follower.Follower(
        fake_store.FakeStore(), SETTINGS, random.Random(2)
    )
    async with run_follower(objects) as peer:
        await wait_for_revision(peer, 1)
        assert cut_off.offer_head(peer.read_head())
        assert not cut_off.is_ready
        cut_off.offer_shards(peer.read_shards(cut_off.list_missing_shards()))
        assert cut_off.tables.routes["a"] == route
        old_head = peer.read_head()
        newer = table_samples.make_route("a", "2")
        await table_samples.put_rows(objects, "second", newer)
        await wait_for_revision(peer, 2)
    cut_off.offer_head(peer.read_head())
    cut_off.offer_shards(peer.read_shards(cut_off.list_missing_shards()))
    assert not cut_off.offer_head(old_head)
    assert cut_off.tables.routes["a"].version == "2"


async def test_shard_with_another_hash_is_refused() -> None:
    """A peer cannot pass other content under a shard's name."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    reader = follower.Follower(objects, SETTINGS, random.Random(2))
    reader.offer_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    digest = reader.list_missing_shards()[0]
    with pytest.raises(errors.ProtocolError, match=digest):
        reader.offer_shards({digest: b"[{}]"})
    with pytest.raises(errors.ProtocolError, match="tables/head"):
        reader.offer_head(b"{}")


async def start_with_peer(
    reader_settings: settings.FollowerSettings,
) -> tuple[int, follower.Follower]:
    """Starts a follower whose peer offers each shard as it is missing.

    Returns:
        The shards that were read from the platform, and the follower.
    """
    objects = fake_store.FakeStore()
    routes = [table_samples.make_route(f"r{i}") for i in range(1200)]
    await table_samples.put_rows(objects, "1", table_samples.POOL, *routes)
    async with run_follower(objects) as peer:
        await wait_for_revision(peer, 1)
    reads = 0

    async def gate(operation: str, key: str) -> fake_store.Fate:
        nonlocal reads
        shard = key.startswith(table_head.SHARDS_PREFIX)
        reads += operation == "read" and shard
        return fake_store.Fate.DONE

    objects.gate = gate
    reader = follower.Follower(objects, reader_settings, random.Random(3))
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        with anyio.fail_after(20):
            while not reader.is_ready:
                for digest in reader.list_missing_shards()[:1]:
                    reader.offer_shards(peer.read_shards([digest]))
                await anyio.sleep(0)
        group.cancel_scope.cancel()
    return reads, reader


async def test_start_takes_many_shards_from_peers() -> None:
    """While peers offer, a start reads no shard from the platform."""
    patient = dataclasses.replace(
        SETTINGS, start_wait_s=60.0, start_idle_s=60.0, start_shards=0
    )
    reads, reader = await start_with_peer(patient)
    assert reads == 0
    assert len(reader.tables.routes) == 1200


async def test_start_without_peers_reads_the_platform() -> None:
    """The wait for offers ends."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    hasty = dataclasses.replace(SETTINGS, start_wait_s=0.01, start_shards=0)
    reader = follower.Follower(objects, hasty, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        await wait_for_revision(reader, 1)
        group.cancel_scope.cancel()


async def test_follower_that_wants_pools_holds_no_routes() -> None:
    """It reads the pools only, and every revision is in force for it."""
    objects = fake_store.FakeStore()
    route = table_samples.make_route("a")
    await table_samples.put_rows(objects, "first", table_samples.POOL, route)
    pools_only = dataclasses.replace(SETTINGS, wants="pools")
    reader = follower.Follower(objects, pools_only, random.Random(1))
    reader.offer_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    assert len(reader.list_missing_shards()) == 1
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        await wait_for_revision(reader, 1)
        newer = table_samples.make_route("a", "2")
        await table_samples.put_rows(objects, "second", newer)
        await wait_for_revision(reader, 2)
        group.cancel_scope.cancel()
    assert len(reader.tables.routes) == 0
    assert dict(reader.tables.pools) == {"engines": table_samples.POOL}
