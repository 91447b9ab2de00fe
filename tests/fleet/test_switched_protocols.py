"""Tests of upstreams that switch to another protocol unasked.

Load pattern: upstreams in trouble, whose bytes are no response to a request.
"""

import entry_instances
import fleet_cluster
import pytest
import raw_upstreams

pytestmark = pytest.mark.anyio

REQUESTS = 6
SWITCHED = (
    b"HTTP/1.1 101 Switching Protocols\r\n"
    b"Connection: upgrade\r\n"
    b"Upgrade: h2c\r\n\r\n"
)


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_upstream_that_switches_protocols_has_failed() -> None:
    """Guards against requests that all fail at one upstream (LOST).

    The parser's error has a class of its own; the upstream counted as sound.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await raw_upstreams.add_raw_upstream(
            cluster, "p1", lambda request_id: SWITCHED
        )
        await raw_upstreams.add_raw_upstream(
            cluster, "p2", raw_upstreams.make_success
        )
        async with entry_instances.run_instance(cluster) as instance:
            statuses = [
                (await instance.send("/safe/x", f"r{number}")).status
                for number in range(REQUESTS)
            ]
    assert statuses == [200] * REQUESTS
