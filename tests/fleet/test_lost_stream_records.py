"""Tests of streams that clients take up beside incomplete records of versions.

Load pattern: a release replaces engines, all instances lose power, and the
store does not hold what they knew.
"""

import anyio
import entry_instances
import fleet_cluster
import pytest
import versioned_streams

import deployment

pytestmark = pytest.mark.anyio

KIND = "tamaracktide-streams"
RECORD_S = 1.5
"""Time after which what began is kept beyond the processes."""

CUT_S = 2.5
"""Time for which an instance is cut off from the store."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def replace_engines(
    cluster: fleet_cluster.Cluster,
) -> tuple[list[fleet_cluster.Server], int]:
    """Replaces v1 by v2 while a stream runs, then kills the instance.

    Returns:
        The engines, and the number of events that arrived.
    """
    old = await versioned_streams.add_engine(cluster, "old", "v1")
    async with entry_instances.run_instance(cluster) as instance:
        after = await versioned_streams.begin_stream(instance, "r0")
        new = await versioned_streams.add_engine(cluster, "new", "v2")
        await anyio.sleep(RECORD_S)
        cluster.store.remove("servers", "old")
        await anyio.sleep(RECORD_S)
    return [old, new], after


async def check_refused(
    instance: entry_instances.Instance,
    engines: list[fleet_cluster.Server],
    after: int,
) -> None:
    """Takes the stream up again, which no engine may run."""
    response = await versioned_streams.resume(instance, "s0", "r0", after)
    assert versioned_streams.find_versions(engines, "s0") == set()
    assert response.status == 503


async def test_missing_record_says_nothing_of_other_versions() -> None:
    """Guards against events of two software versions in a stream (ORDER).

    The instances before wrote no record, as earlier builds do, or the store
    came back from a copy that is older than the record.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines, after = await replace_engines(cluster)
        for name in list(cluster.store.objects[KIND]):
            cluster.store.remove(KIND, name)
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await check_refused(instance, engines, after)


async def test_unreadable_record_says_nothing_of_other_versions() -> None:
    """Guards against a record that counts as empty as it is broken (ORDER)."""
    async with fleet_cluster.run_cluster() as cluster:
        engines, after = await replace_engines(cluster)
        for name in list(cluster.store.objects[KIND]):
            cluster.store.put(KIND, name, "broken")
        async with entry_instances.run_instance(cluster) as instance:
            await check_refused(instance, engines, after)


async def test_version_is_recorded_before_it_begins_a_stream() -> None:
    """Guards against streams of a version that no record names (ORDER).

    All instances are killed, and the new engine leaves, right after its first
    stream began.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(RECORD_S)
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            after, begun = 0, 0
            with anyio.fail_after(entry_instances.WAIT_TIMEOUT_S):
                while not new.runs:
                    after = await versioned_streams.begin_stream(
                        instance, f"r{begun}"
                    )
                    begun += 1
        cluster.store.remove("servers", "new")
        async with entry_instances.run_instance(cluster) as instance:
            await versioned_streams.resume(instance, "s0", new.runs[0], after)
            assert versioned_streams.find_versions([old], "s0") == set()


async def test_version_that_served_during_a_cut_may_have_begun_a_stream() -> (
    None
):
    """Guards against an instance that takes what it missed for nothing (ORDER).

    It is cut off from the store and the other instances while another version
    comes and goes, and the store's history of that time is gone.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        proxy, address = await cluster.add_store_proxy()
        async with (
            entry_instances.run_instance(
                cluster, name="n2", host="127.0.0.2", store_address=address
            ) as second,
            entry_instances.run_instance(cluster) as first,
        ):
            await anyio.sleep(RECORD_S)
            proxy.is_unavailable = True
            await anyio.sleep(CUT_S)
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(RECORD_S)
            after = await versioned_streams.begin_stream(first, "r0")
            assert new.runs == ["r0"]
            await anyio.sleep(RECORD_S)
            cluster.store.remove("servers", "new")
            cluster.register(old, "z1")
            await anyio.sleep(RECORD_S)
            cluster.store.discard_history()
            proxy.is_unavailable = False
            await anyio.sleep(CUT_S)
            await versioned_streams.resume(second, "s0", "r0", after)
            assert versioned_streams.find_versions([old], "s0") == set()


async def test_link_to_an_instance_without_a_store_shows_no_version() -> None:
    """Guards against instances that are cut off together (ORDER).

    They reach clients, upstreams and each other, but neither the store nor the
    instance at which a stream of a new version began.
    """
    port = deployment.find_port()
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        proxy, address = await cluster.add_store_proxy()
        async with (
            entry_instances.run_instance(
                cluster,
                name="n2",
                host="127.0.0.2",
                peer_port=port,
                store_address=address,
            ) as second,
            entry_instances.run_instance(
                cluster,
                name="n3",
                host="127.0.0.3",
                peer_port=port,
                store_address=address,
            ),
            entry_instances.run_instance(cluster) as first,
        ):
            await anyio.sleep(RECORD_S)
            proxy.is_unavailable = True
            await anyio.sleep(CUT_S)
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(RECORD_S)
            after = await versioned_streams.begin_stream(first, "r0")
            assert new.runs == ["r0"]
            await versioned_streams.resume(second, "s0", "r0", after)
            assert versioned_streams.find_versions([old], "s0") == set()


@pytest.mark.parametrize("age", ["with records", "before all registrations"])
async def test_record_of_an_earlier_era_says_nothing_of_later_versions(
    age: str,
) -> None:
    """Guards against a record that the store has lost the end of (ORDER).

    All instances are killed as the store comes back from an older copy.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        saved = cluster.store.make_copy()
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(RECORD_S)
            if age == "with records":
                saved = cluster.store.make_copy()
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(RECORD_S)
            after = await versioned_streams.begin_stream(instance, "r0")
            assert new.runs == ["r0"]
            await anyio.sleep(RECORD_S)
        cluster.store.restore(saved)
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await versioned_streams.resume(instance, "s0", "r0", after)
            assert versioned_streams.find_versions([old], "s0") == set()


async def test_stream_goes_on_after_a_kill_soon_after_the_first_start() -> None:
    """Guards against streams that are lost while there is one version (LOST).

    All instances are killed before they have run for as long as a stream may be
    resumed, and nothing tells them that the deployment had just started.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await versioned_streams.add_engine(cluster, "old", "v1")
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            after = await versioned_streams.begin_stream(instance, "r0")
            await anyio.sleep(RECORD_S)
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            response = await versioned_streams.resume(
                instance, "s0", "r0", after
            )
    assert response.status == 200
