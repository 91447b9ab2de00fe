"""Tests of what a refusal of an upstream proves.

Load pattern: upstreams in trouble answer with refusals, some of which say
nothing of the request that waits.
"""

import entry_instances
import fleet_cluster
import pytest

pytestmark = pytest.mark.anyio

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise the client that its request has not run."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_refusal_without_a_request_id_proves_nothing() -> None:
    """Guards against a request that runs again, or is reported as not run.

    A refusal that names no request may belong to another one (TWICE, REFUSED).
    """
    async with fleet_cluster.run_cluster() as cluster:
        servers = [
            await cluster.add_server(
                fleet_cluster.Server(f"p{index}", refuses_unnamed=True)
            )
            for index in range(3)
        ]
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
            assert response.status not in REFUSALS
            runs = [run for server in servers for run in server.runs]
            assert runs == ["r1"]


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_status_of_an_upstream_that_ran_a_request_promises_nothing(
    status: int,
) -> None:
    """Guards against a promise for a request that has run (REFUSED).

    Only an upstream that says so has not run it.
    """
    async with fleet_cluster.run_cluster() as cluster:
        server = await cluster.add_server(
            fleet_cluster.Server("p1", status=status)
        )
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
            assert server.runs == ["r1"]
            assert response.status not in REFUSALS
            names = {name.lower() for name, _ in response.headers}
            assert b"x-response-signature" not in names


async def test_success_that_claims_not_to_have_run_is_lost() -> None:
    """Guards against a second run after a response that contradicts itself."""
    async with fleet_cluster.run_cluster() as cluster:
        server = await cluster.add_server(
            fleet_cluster.Server("p1", claims_not_run=True)
        )
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
            assert server.runs == ["r1"]
            assert response.status == 502
