"""Tests of the follower: outages, stale reads, peers; tables never revert."""

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
    """Runs a follower within a block."""
    table_follower = follower.Follower(objects, SETTINGS, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(table_follower.run)
        yield table_follower
        group.cancel_scope.cancel()


async def wait_for_revision(
    table_follower: follower.Follower, revision: int
) -> None:
    """Waits until a follower has a revision in force."""
    with anyio.fail_after(20):
        while table_follower.tables.revision < revision:
            await anyio.sleep(0.001)


async def test_edits_come_into_force_in_order() -> None:
    """Each listener call has a higher revision than the previous one."""
    objects = fake_store.FakeStore()
    revisions: list[int] = []
    async with run_follower(objects) as table_follower:
        table_follower.add_listener(
            lambda snapshot: revisions.append(snapshot.revision)
        )
        assert not table_follower.is_ready
        await table_samples.put_rows(objects, "first", table_samples.POOL)
        for number in range(5):
            route = table_samples.make_route("a", str(number))
            await table_samples.put_rows(objects, f"e{number}", route)
        await wait_for_revision(table_follower, 6)
    assert revisions == sorted(set(revisions))
    assert table_follower.tables.routes["a"].version == "4"


async def test_failed_and_stale_calls_never_revert_the_tables() -> None:
    """Random outages and stale reads delay revisions but lose none."""
    objects = fake_store.FakeStore()
    rng = random.Random(7)
    outcomes: list[fake_store.CallOutcome] = list(fake_store.CallOutcome)

    async def gate(operation: str, _key: str) -> fake_store.CallOutcome:
        if operation in ("create", "update"):
            return fake_store.CallOutcome.DONE
        return rng.choice(outcomes)

    await table_samples.put_rows(objects, "first", table_samples.POOL)
    async with run_follower(objects) as table_follower:
        for number in range(12):
            objects.gate = fake_store.pass_call
            route = table_samples.make_route(f"r{number % 3}", str(number))
            await table_samples.put_rows(objects, f"e{number}", route)
            objects.gate = gate
            await wait_for_revision(table_follower, number + 2)
    assert table_follower.tables.routes["r2"].version == "11"


async def test_peer_provides_newer_tables_during_an_outage() -> None:
    """A follower without access to the platform is updated by a peer."""
    objects = fake_store.FakeStore()
    route = table_samples.make_route("a")
    await table_samples.put_rows(objects, "first", table_samples.POOL, route)
    isolated = follower.Follower(
        fake_store.FakeStore(), SETTINGS, random.Random(2)
    )
    async with run_follower(objects) as peer:
        await wait_for_revision(peer, 1)
        assert isolated.offer_head(peer.read_head())
        assert not isolated.is_ready
        isolated.offer_shards(peer.read_shards(isolated.list_missing_shards()))
        assert isolated.tables.routes["a"] == route
        old_head = peer.read_head()
        newer = table_samples.make_route("a", "2")
        await table_samples.put_rows(objects, "second", newer)
        await wait_for_revision(peer, 2)
    isolated.offer_head(peer.read_head())
    isolated.offer_shards(peer.read_shards(isolated.list_missing_shards()))
    assert not isolated.offer_head(old_head)
    assert isolated.tables.routes["a"].version == "2"


async def test_shard_with_another_hash_is_refused() -> None:
    """A shard from a peer whose content does not match is rejected."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    table_follower = follower.Follower(objects, SETTINGS, random.Random(2))
    table_follower.offer_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    digest = table_follower.list_missing_shards()[0]
    with pytest.raises(errors.ProtocolError, match=digest):
        table_follower.offer_shards({digest: b"[{}]"})
    with pytest.raises(errors.ProtocolError, match="tables/head"):
        table_follower.offer_head(b"{}")


async def start_with_peer(
    follower_settings: settings.FollowerSettings,
) -> tuple[int, follower.Follower]:
    """Starts a follower whose peer offers each missing shard.

    Returns:
        The number of shards read from the platform, and the follower.
    """
    objects = fake_store.FakeStore()
    routes = [table_samples.make_route(f"r{i}") for i in range(1200)]
    await table_samples.put_rows(objects, "1", table_samples.POOL, *routes)
    async with run_follower(objects) as peer:
        await wait_for_revision(peer, 1)
    reads = 0

    async def gate(operation: str, key: str) -> fake_store.CallOutcome:
        nonlocal reads
        is_shard = key.startswith(table_head.SHARDS_PREFIX)
        reads += operation == "read" and is_shard
        return fake_store.CallOutcome.DONE

    objects.gate = gate
    table_follower = follower.Follower(
        objects, follower_settings, random.Random(3)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(table_follower.run)
        with anyio.fail_after(20):
            while not table_follower.is_ready:
                for digest in table_follower.list_missing_shards()[:1]:
                    table_follower.offer_shards(peer.read_shards([digest]))
                await anyio.sleep(0)
        group.cancel_scope.cancel()
    return reads, table_follower


async def test_startup_reads_many_shards_from_peers() -> None:
    """While peers offer shards, a start reads none from the platform."""
    long_wait = dataclasses.replace(
        SETTINGS, start_wait_s=60.0, start_idle_s=60.0, start_shards=0
    )
    reads, table_follower = await start_with_peer(long_wait)
    assert reads == 0
    assert len(table_follower.tables.routes) == 1200


async def test_startup_without_peers_reads_from_the_platform() -> None:
    """Without offers, the follower reads from the platform after a wait."""
    objects = fake_store.FakeStore()
    await table_samples.put_rows(objects, "first", table_samples.POOL)
    short_wait = dataclasses.replace(
        SETTINGS, start_wait_s=0.01, start_shards=0
    )
    table_follower = follower.Follower(objects, short_wait, random.Random(1))
    async with anyio.create_task_group() as group:
        group.start_soon(table_follower.run)
        await wait_for_revision(table_follower, 1)
        group.cancel_scope.cancel()


async def test_follower_of_pools_holds_no_routes() -> None:
    """It reads only the pools, and every revision comes into force."""
    objects = fake_store.FakeStore()
    route = table_samples.make_route("a")
    await table_samples.put_rows(objects, "first", table_samples.POOL, route)
    pools_only = dataclasses.replace(SETTINGS, wants="pools")
    table_follower = follower.Follower(objects, pools_only, random.Random(1))
    table_follower.offer_head(objects.peek(table_head.HEAD_KEY)[1] or b"")
    assert len(table_follower.list_missing_shards()) == 1
    async with anyio.create_task_group() as group:
        group.start_soon(table_follower.run)
        await wait_for_revision(table_follower, 1)
        newer = table_samples.make_route("a", "2")
        await table_samples.put_rows(objects, "second", newer)
        await wait_for_revision(table_follower, 2)
        group.cancel_scope.cancel()
    assert len(table_follower.tables.routes) == 0
    assert dict(table_follower.tables.pools) == {"engines": table_samples.POOL}
