"""Tests of instances that are cut off from all upstreams.

Load pattern: clients, the store and the other instances still reach such an
instance, so it goes on receiving requests of every kind.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import partitions
import pytest

pytestmark = pytest.mark.anyio

CONTACT_S = 3.0
"""Time after the begin of a cut from which requests must be served."""

PLAY_S = 2.5
REQUEST_PERIOD_S = 0.05
SERVED_FRACTION = 2 / 3
"""Smallest ratio of what is served there to what is served elsewhere."""

PATHS = ("/once/x", "/safe/x", "/stream/x")


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_instances() -> AsyncIterator[
    tuple[
        fleet_cluster.Cluster,
        list[entry_instances.Instance],
        partitions.Backend,
    ]
]:
    """Runs three instances, the first of which can be cut off."""
    async with fleet_cluster.run_cluster() as cluster:
        for number in range(4):
            await cluster.add_server(fleet_cluster.Server(f"p{number}"))
            await cluster.add_server(
                fleet_cluster.Server(
                    f"e{number}",
                    slots=3,
                    adapters={"a1": 1},
                    event_interval_s=0.03,
                )
            )
        backend = partitions.Backend(cluster)
        async with entry_instances.run_linked(cluster, 3, backend) as instances:
            yield cluster, instances, backend


async def play(
    instance: entry_instances.Instance, prefix: str, seconds: float
) -> float:
    """Sends requests of every kind; returns the fraction that is served."""
    count = int(seconds / REQUEST_PERIOD_S)
    served = []

    async def send(number: int) -> None:
        path = PATHS[number % len(PATHS)]
        request_id = f"{prefix}{number}"
        try:
            if path == "/stream/x":
                response = await instance.generate(request_id)
            else:
                response = await instance.send(path, request_id)
        except httpcore.RemoteProtocolError:
            return
        if response.status == 200:
            served.append(number)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send, number)
            await anyio.sleep(REQUEST_PERIOD_S)
    return len(served) / count


@pytest.mark.parametrize(
    "cut",
    [
        partitions.Cut.RESET,
        partitions.Cut.SILENT,
        partitions.Cut.REFUSED,
    ],
)
async def test_instance_without_upstreams_serves_through_its_peers(
    cut: partitions.Cut,
) -> None:
    """Guards against refusals of instances without upstreams (RECOVER)."""
    async with run_instances() as (_, instances, backend):
        assert await play(instances[0], "before", 1.0) == 1.0
        backend.set_cut(cut)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(play, instances[0], "early", CONTACT_S)
            await anyio.sleep(CONTACT_S)
            elsewhere = await play(instances[1], "other", PLAY_S)
            served = await play(instances[0], "late", PLAY_S)
            assert served >= SERVED_FRACTION * elsewhere
        backend.set_cut(partitions.Cut.NONE)
        await anyio.sleep(CONTACT_S)
        assert await play(instances[0], "after", 1.0) == 1.0


async def test_cut_instance_runs_non_idempotent_requests_once() -> None:
    """Guards against runs at two upstreams through two instances (TWICE)."""
    async with run_instances() as (cluster, instances, backend):
        await play(instances[0], "before", 0.5)
        backend.set_cut(partitions.Cut.RESET)
        await play(instances[0], "early", 2.0)
        runs = [
            request_id
            for server in cluster.servers.values()
            if not server.slots
            for request_id in server.runs
            if request_id.startswith("early")
            and PATHS[int(request_id[5:]) % len(PATHS)] == "/once/x"
        ]
        assert len(runs) == len(set(runs))


async def test_request_sent_on_keeps_its_limit_of_attempts() -> None:
    """Guards against attempts that each instance counts anew (BUDGET).

    The second play of the incident broke that rule: every server fails, and
    each of two peers tried two of them.
    """
    async with run_instances() as (cluster, instances, backend):
        backend.set_cut(partitions.Cut.RESET)
        await play(instances[0], "early", 1.0)
        for server in cluster.servers.values():
            server.status = 500
        response = await instances[0].send("/safe/x", "failing")
        runs = [
            request_id
            for server in cluster.servers.values()
            for request_id in server.runs
            if request_id == "failing"
        ]
        assert response.status == 500
        assert len(runs) == 2
