"""Tests of streams that no instance in touch has been told of.

Load pattern: a release of upstreams begins while an instance is cut off from
the store and the other instances in silence, and an instance is killed.
"""

import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest
import versioned_streams

pytestmark = pytest.mark.anyio

SETTLED_S = 1.5
"""Time after which started instances have recorded what they know."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@pytest.mark.parametrize("cut_s", [0.2, 1.0, 1.9])
async def test_silent_cut_never_joins_two_versions(cut_s: float) -> None:
    """Guards against a stream resumed at another software version (ORDER).

    The retry arrives at an instance that is cut off without knowing it, and
    has not heard of the version that began the stream. No call of it has failed
    yet, as the watches that are silent have not ended.
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
            await anyio.sleep(SETTLED_S)
            proxy.is_silent = True
            cluster.register(old, "z2")
            new = await versioned_streams.add_engine(cluster, "new", "v2")
            with anyio.fail_after(entry_instances.WAIT_TIMEOUT_S):
                begun = 0
                while not new.runs:
                    after = await versioned_streams.begin_stream(
                        first, f"r{begun}"
                    )
                    begun += 1
            await anyio.sleep(cut_s)
            retry = await versioned_streams.resume(
                second, "s0", new.runs[0], after
            )
            assert versioned_streams.find_versions([old], "s0") == set()
            assert retry.status == 503
            proxy.is_silent = False


async def begin_streams(
    instance: entry_instances.Instance, count: int
) -> dict[str, int]:
    """Begins streams at once.

    Returns:
        The number of events by stream that arrived, of those with any.
    """
    begun: dict[str, int] = {}

    async def begin(request_id: str) -> None:
        with contextlib.suppress(httpcore.RemoteProtocolError):
            after = await versioned_streams.begin_stream(instance, request_id)
            if after:
                begun[request_id] = after

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(begin, f"r{number}")
    return begun


@pytest.mark.parametrize("knows_both", [False, True])
async def test_streams_of_a_lost_instance_go_on_at_what_it_had_stated(
    knows_both: bool,
) -> None:
    """Guards against refusals of what an instance cut off began (LOST).

    It is cut off from the store and the other instance, before a second version
    appears or after, and is then killed. Nobody was told of its streams.
    """
    async with (
        fleet_cluster.run_cluster() as cluster,
        entry_instances.run_instance(
            cluster, name="n2", host="127.0.0.2"
        ) as second,
    ):
        engines = [await versioned_streams.add_engine(cluster, "old", "v1")]
        proxy, address = await cluster.add_store_proxy()
        async with entry_instances.run_instance(
            cluster, store_address=address
        ) as first:
            await anyio.sleep(SETTLED_S)
            proxy.is_silent = not knows_both
            engines.append(
                await versioned_streams.add_engine(cluster, "new", "v2", "z2")
            )
            await anyio.sleep(SETTLED_S)
            proxy.is_silent = True
            begun = await begin_streams(first, 6)
        assert len(begun) >= 3
        await check_resumed(engines, second, begun)


async def check_resumed(
    engines: list[fleet_cluster.Server],
    instance: entry_instances.Instance,
    begun: dict[str, int],
) -> None:
    """Takes streams up, each of which must go on at its version."""
    for request_id, after in begun.items():
        name = f"s{request_id}"
        retry = await versioned_streams.resume(
            instance, name, request_id, after
        )
        assert retry.status == 200
        ran = versioned_streams.find_versions(engines, request_id, name)
        assert len(ran) == 1
