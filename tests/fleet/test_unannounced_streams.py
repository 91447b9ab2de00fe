"""Tests of streams that no instance in touch has been told of.

Load pattern: a release of upstreams begins while an instance is cut off from
the store and the other instances in silence, and an instance is killed.
"""

import anyio
import entry_instances
import fleet_cluster
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
