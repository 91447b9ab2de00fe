"""Tests of streams that clients take up after all instances were killed.

Load pattern: a release replaces engines while streams run, and all instances
lose power at the same moment.
"""

import contextlib

import anyio
import entry_instances
import fleet_cluster
import pytest
import versioned_streams

import deployment

pytestmark = pytest.mark.anyio

RECORD_S = 1.5
"""Time after which what began is kept beyond the processes."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def begin_streams(
    cluster: fleet_cluster.Cluster, count: int
) -> list[int]:
    """Begins streams at an instance that is then killed.

    Returns:
        The number of events of each that arrived.
    """
    async with entry_instances.run_instance(cluster) as instance:
        await anyio.sleep(RECORD_S)
        events = [
            await versioned_streams.begin_stream(instance, f"r{index}")
            for index in range(count)
        ]
        await anyio.sleep(RECORD_S)
    return events


async def test_stream_never_goes_on_at_the_version_that_is_left_alone() -> None:
    """Guards against events of two software versions in a stream (ORDER).

    All instances are killed after the last upstream of the version that began
    the stream has left the list, so that only the other version is listed.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        async with entry_instances.run_instance(cluster) as instance:
            after = await versioned_streams.begin_stream(instance, "r0")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(RECORD_S)
            cluster.store.remove("servers", "old")
            await anyio.sleep(RECORD_S)
        async with entry_instances.run_instance(cluster) as instance:
            response = await versioned_streams.resume(
                instance, "s0", "r0", after
            )
            assert response.status == 503
            assert versioned_streams.find_versions([old, new], "s0") == set()


async def test_streams_go_on_at_their_version_after_all_were_killed() -> None:
    """Guards against streams that nobody takes up while both versions serve.

    Every instance has lost what it knew (LOST).
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        events = await begin_streams(cluster, 3)
        async with entry_instances.run_instance(cluster) as instance:
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, instance, events)


async def test_streams_go_on_after_all_were_killed_twice() -> None:
    """Guards against a start that drops what an earlier process recorded."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        events = await begin_streams(cluster, 2)
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(RECORD_S)
            await versioned_streams.begin_stream(instance, "other")
            await anyio.sleep(RECORD_S)
        async with entry_instances.run_instance(cluster) as instance:
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, instance, events)


async def test_client_resumes_at_another_instance_after_all_were_killed() -> (
    None
):
    """Guards against records that only the instance that wrote them reads."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        events = await begin_streams(cluster, 2)
        port = deployment.find_port()
        async with contextlib.AsyncExitStack() as stack:
            instances = [
                await stack.enter_async_context(
                    entry_instances.run_instance(
                        cluster, name=name, host=host, peer_port=port
                    )
                )
                for name, host in (("n1", "127.0.0.1"), ("n2", "127.0.0.2"))
            ]
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, instances[1], events)


async def test_streams_go_on_after_the_store_lost_their_records() -> None:
    """Guards against a restored store that knows nothing of streams (LOST).

    All instances are killed after the store came back from an older copy.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        async with entry_instances.run_instance(cluster) as instance:
            saved = cluster.store.make_copy()
            await anyio.sleep(RECORD_S)
            events = [
                await versioned_streams.begin_stream(instance, f"r{index}")
                for index in range(2)
            ]
            await anyio.sleep(RECORD_S)
            cluster.store.restore(saved)
            await anyio.sleep(2 * RECORD_S)
        async with entry_instances.run_instance(
            cluster, is_first_start=False, waits_for_lease=False
        ) as instance:
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, instance, events)


async def test_stream_resumes_again_after_a_second_version_has_appeared() -> (
    None
):
    """Guards against a stream that is bound to its version only once (LOST).

    All instances were killed while there was one version, and the client's
    first retry broke off as well.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(RECORD_S)
            first = await versioned_streams.resume(instance, "s0", "r0", 2)
            assert first.status == 200
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(RECORD_S)
            again = await versioned_streams.resume(instance, "s1", "r0", 4)
            assert again.status == 200
            assert versioned_streams.find_versions([old, new], "s1") == {"v1"}


async def test_streams_go_on_after_a_kill_soon_after_the_first_start() -> None:
    """Guards against a new deployment that knows of no version for a minute.

    No setting says that it is new, and there was one version only (LOST).
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1")
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await anyio.sleep(RECORD_S)
            after = await versioned_streams.begin_stream(instance, "r0")
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await versioned_streams.check_resumed(engines, instance, [after])


async def test_every_instance_of_a_new_deployment_knows_that_it_is_new() -> (
    None
):
    """Guards against a record that a later instance makes incomplete (LOST).

    The stream begins at an instance that did not register first.
    """
    port = deployment.find_port()
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1")
        after = []
        async with contextlib.AsyncExitStack() as stack:
            for name, host in (("n2", "127.0.0.2"), ("n1", "127.0.0.1")):
                instance = await stack.enter_async_context(
                    entry_instances.run_instance(
                        cluster,
                        name=name,
                        host=host,
                        peer_port=port,
                        is_first_start=False,
                    )
                )
            await anyio.sleep(RECORD_S)
            after.append(await versioned_streams.begin_stream(instance, "r0"))
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await versioned_streams.check_resumed(engines, instance, after)


async def test_stream_of_one_version_goes_on_after_another_has_appeared() -> (
    None
):
    """Guards against streams that only a killed instance knew of (LOST).

    All instances are killed while there is one version; another one is there
    when they start again.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(RECORD_S)
            after = await versioned_streams.begin_stream(instance, "r0")
        cluster.register(old, "z2")
        new = await versioned_streams.add_engine(cluster, "new", "v2")
        async with entry_instances.run_instance(cluster) as instance:
            await versioned_streams.check_resumed([old, new], instance, [after])
