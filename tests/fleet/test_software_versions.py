"""Tests of streams beside upstreams of several software versions.

Load pattern: a release replaces engines one after the other while streams run
that break off, and their clients take them up again at any instance.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest
import versioned_streams

import deployment
from tamaracktide.core import relays

pytestmark = pytest.mark.anyio

WATCH_END_S = 2.5
"""Time after which a watch of the store that was under way has ended."""

BREAK_S = 1.2
"""Pause of an engine before it breaks off a stream; too short for a hedge."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_pair(
    cluster: fleet_cluster.Cluster,
) -> AsyncIterator[tuple[entry_instances.Instance, entry_instances.Instance]]:
    """Runs two instances with a link to each other."""
    port = deployment.find_port()
    async with (
        entry_instances.run_instance(cluster, peer_port=port) as first,
        entry_instances.run_instance(
            cluster, name="n2", host="127.0.0.2", peer_port=port
        ) as second,
    ):
        await anyio.sleep(1.5)
        yield first, second


async def _add_during_break(
    cluster: fleet_cluster.Cluster, engine: fleet_cluster.Server
) -> None:
    """Adds engines of both versions, that of the engine further away."""
    while not engine.runs:
        await anyio.sleep(0.01)
    await versioned_streams.add_engine(cluster, "new", "v2")
    await versioned_streams.add_engine(cluster, "old", "v1", "z2")


async def test_broken_stream_goes_on_at_the_version_that_began_it() -> None:
    """Guards against events of two software versions in a response (ORDER).

    An instance resumes the stream itself.
    """
    async with fleet_cluster.run_cluster() as cluster:
        (engine,) = await versioned_streams.add_versions(cluster, "v1")
        engine.silent_after, engine.silence_s = 3, BREAK_S
        engine.break_after = 4
        async with entry_instances.run_instance(cluster) as instance:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_add_during_break, cluster, engine)
                response = await instance.generate("r1")
            assert response.content.count(b"\n\n") == versioned_streams.EVENTS
            assert cluster.servers["old"].runs == ["r1"]
            assert cluster.servers["new"].runs == []


async def test_broken_stream_ends_if_its_version_has_no_other_upstream() -> (
    None
):
    """Guards against events of two software versions in a response (ORDER)."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        for engine in engines:
            engine.break_after = 4
        async with entry_instances.run_instance(cluster) as instance:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1")
            assert len(versioned_streams.find_versions(engines, "r1")) == 1


async def test_silent_stream_is_taken_over_by_its_version_only() -> None:
    """Guards against events of two software versions in a response (ORDER)."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        for engine in engines:
            engine.silent_after, engine.silence_s = 4, 2.0
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.generate("r1")
            assert response.content.count(b"\n\n") == versioned_streams.EVENTS
            assert len(versioned_streams.find_versions(engines, "r1")) == 1


@pytest.mark.parametrize("same_instance", [True, False])
async def test_client_resumes_at_the_version_that_began_the_stream(
    same_instance: bool,
) -> None:
    """Guards against a stream resumed at another software version (ORDER).

    The client's retry reaches the instance that began the stream or another.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        async with run_pair(cluster) as (first, second):
            events = [
                await versioned_streams.begin_stream(first, f"r{i}")
                for i in range(2)
            ]
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(
                engines, first if same_instance else second, events
            )


async def test_client_resumes_after_its_instance_was_killed() -> None:
    """Guards against a stream resumed at another software version (ORDER).

    The instance that began the stream is gone when the client retries.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        port = deployment.find_port()
        async with entry_instances.run_instance(
            cluster, name="n2", host="127.0.0.2", peer_port=port
        ) as second:
            async with entry_instances.run_instance(
                cluster, peer_port=port
            ) as first:
                await anyio.sleep(1.5)
                events = [
                    await versioned_streams.begin_stream(first, f"r{i}")
                    for i in range(2)
                ]
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, second, events)


async def test_client_resumes_at_an_instance_that_has_just_started() -> None:
    """Guards against a stream resumed at another software version (ORDER).

    The instance learns what the others began when it links to them.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        port = deployment.find_port()
        async with entry_instances.run_instance(
            cluster, peer_port=port
        ) as first:
            events = [
                await versioned_streams.begin_stream(first, f"r{i}")
                for i in range(2)
            ]
            async with entry_instances.run_instance(
                cluster, name="n2", host="127.0.0.2", peer_port=port
            ) as second:
                await anyio.sleep(1.5)
                await versioned_streams.prefer_last(cluster, engines)
                await versioned_streams.check_resumed(engines, second, events)


async def test_stream_that_began_before_a_release_resumes_at_its_version() -> (
    None
):
    """Guards against a stream resumed at another software version (ORDER).

    There was one version when the stream began, and two when it goes on.
    """
    async with fleet_cluster.run_cluster() as cluster:
        old = await versioned_streams.add_engine(cluster, "old", "v1")
        async with run_pair(cluster) as (first, second):
            events = [await versioned_streams.begin_stream(first, "r0")]
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            await anyio.sleep(1.0)
            await versioned_streams.check_resumed([old, new], second, events)


async def test_resumption_is_refused_while_its_version_is_unknown() -> None:
    """The request has not run, and the client may come back."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        async with entry_instances.run_instance(cluster) as instance:
            response = await versioned_streams.resume(instance, "s1", "unknown")
            assert response.status == 503
            headers = {name.lower() for name, _ in response.headers}
            assert b"retry-after" in headers
            assert versioned_streams.find_versions(engines, "s1") == set()


async def test_stream_never_goes_on_at_an_upstream_of_a_new_version() -> None:
    """Guards against a release that keeps ids and addresses (ORDER).

    The instance is cut off from the store, so that the entry of the upstream
    that started again still names the version before.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v1")
        proxy, address = await cluster.add_store_proxy()
        async with entry_instances.run_instance(
            cluster, store_address=address
        ) as instance:
            after = await versioned_streams.begin_stream(instance, "r0")
            assert engines[0].runs == ["r0"]
            proxy.is_unavailable = True
            await anyio.sleep(WATCH_END_S)
            await cluster.restart_server(engines[1], "v2", "z2")
            engines[0].close()
            await anyio.sleep(BREAK_S)
            await versioned_streams.resume(instance, "s0", "r0", after)
            assert engines[1].runs == []


async def test_unknown_stream_resumes_while_there_is_one_version() -> None:
    """It cannot have begun at any other, as after a restart of everything."""
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v1")
        async with entry_instances.run_instance(cluster) as instance:
            response = await versioned_streams.resume(instance, "s1", "unknown")
            assert response.status == 200
            assert versioned_streams.find_versions(engines, "s1") == {"v1"}


async def test_stream_without_an_event_may_begin_anew_at_any_version() -> None:
    """A client that has received nothing names no event."""
    async with fleet_cluster.run_cluster() as cluster:
        await versioned_streams.add_versions(cluster, "v1", "v2")
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send(
                "/stream/x",
                "s1",
                X_Model=f"{fleet_cluster.MODEL}/a1",
                X_Token_Count="100,30",
                Resumes="unknown",
            )
            assert response.status == 200
            assert response.content.count(b"\n\n") == versioned_streams.EVENTS


async def test_member_resumes_what_another_member_began(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: hundreds of instances, which link to few relays only."""
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    zones = {"n1": "z1", "n2": "z1", "n3": "z1"}
    relay = relays.make_plan("n1", "z1", zones, ()).relay
    port = deployment.find_port()
    async with fleet_cluster.run_cluster() as cluster:
        engines = await versioned_streams.add_versions(cluster, "v1", "v2")
        async with contextlib.AsyncExitStack() as stack:
            instances = [
                await stack.enter_async_context(
                    entry_instances.run_instance(
                        cluster,
                        name=name,
                        host=f"127.0.0.{1 + index}",
                        peer_port=port,
                    )
                )
                for index, name in enumerate(zones)
            ]
            members = [
                instance
                for instance in instances
                if instance.settings.instance != relay
            ]
            await anyio.sleep(2.5)
            events = [
                await versioned_streams.begin_stream(members[0], f"r{i}")
                for i in range(2)
            ]
            await versioned_streams.prefer_last(cluster, engines)
            await versioned_streams.check_resumed(engines, members[1], events)
