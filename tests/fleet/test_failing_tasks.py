"""Tests of an entry instance whose background tasks fail, in process."""

import anyio
import entry_instances
import fleet_cluster
import pytest

from tamaracktide.entry import reachability

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_error_in_a_check_of_an_upstream_ends_no_instance() -> None:
    """The entry of another writer names a port that does not exist.

    Guards against an error that ended the process: connecting raises an
    OverflowError, in a background task too once another upstream ends.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        ended = await cluster.add_server(fleet_cluster.Server("s1"))
        cluster.register(fleet_cluster.Server("s2", port=70_000))
        async with entry_instances.run_instance(cluster) as instance:
            await anyio.sleep(reachability.RECENT_CONTACT_S)
            ended.close()
            for number in range(8):
                await instance.send("/safe/x", f"r{number}")
            await anyio.sleep(0.1)
            assert (await instance.generate("after")).status == 200
