"""Tests of answers that look like a refusal of a request that has run.

Load pattern: requests that must run once at most, at upstreams that run each of
them and answer with a status that clients take for the proof that none ran.
"""

import anyio
import entry_instances
import fleet_cluster
import httpcore
import partitions
import pytest
import raw_upstreams

import deployment

pytestmark = pytest.mark.anyio

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise clients that a request has not run and never will."""

LINKED_S = 1.0
"""Time after which started instances know each other."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def add_upstreams(
    cluster: fleet_cluster.Cluster, status: int, *headers: str
) -> list[raw_upstreams.RawUpstream]:
    """Adds upstreams that answer each request with a status and its id."""

    def respond(request_id: str) -> bytes:
        return raw_upstreams.make_response(
            status, f"X-Request-Id: {request_id}", *headers
        )

    return [
        await raw_upstreams.add_raw_upstream(cluster, name, respond)
        for name in ("p1", "p2")
    ]


def check_promise(
    response: httpcore.Response, upstreams: list[raw_upstreams.RawUpstream]
) -> None:
    """Checks that the request ran once and is not called one that did not."""
    assert sum(len(upstream.runs) for upstream in upstreams) == 1
    assert response.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_status_without_its_proof_does_not_reach_the_client(
    status: int,
) -> None:
    """Guards against a refusal of a request that has run (REFUSED).

    Only `X-Not-Executed` or 421 say that an upstream has not run a request.
    """
    async with fleet_cluster.run_cluster() as cluster:
        upstreams = await add_upstreams(cluster, status)
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
    check_promise(response, upstreams)


async def test_status_without_its_proof_is_not_taken_for_a_peers() -> None:
    """Guards against runs through two peers (TWICE).

    An instance that is cut off takes the status of an upstream for that of its
    peer, which states that a request has not run.
    """
    async with fleet_cluster.run_cluster() as cluster:
        upstreams = await add_upstreams(cluster, 503)
        backend = partitions.Backend(cluster)
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(
                cluster, "n1", "127.0.0.1", port, backend=backend
            ) as instance,
            entry_instances.run_instance(cluster, "n2", "127.0.0.2", port),
            entry_instances.run_instance(cluster, "n3", "127.0.0.3", port),
        ):
            await anyio.sleep(LINKED_S)
            backend.set_cut(partitions.Cut.RESET)
            responses = [
                await instance.send("/once/x", f"r{number}")
                for number in range(3)
            ]
    runs = [run for upstream in upstreams for run in upstream.runs]
    assert sorted(runs) == ["r0", "r1", "r2"]
    assert not {r.status for r in responses} & NOT_RUN_STATUSES
