"""Tests of promises at upstreams that misbehave in many ways at a time.

Load pattern: requests that must run once, at three upstreams which start again
in place under other ids, repeat refusals late, send strays, break off, and
refuse; at instances one of which is cut off from them now and then.
"""

import collections
import contextlib
import random

import anyio
import entry_instances
import fleet_cluster
import httpcore
import partitions
import pytest
import random_upstreams

pytestmark = pytest.mark.anyio

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that state that a request has not run and never will."""

PLAY_S = 12.0
PERIOD_S = 0.012
CUTS = (partitions.Cut.RESET, partitions.Cut.SILENT, partitions.Cut.REFUSED)


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def restart_often(
    upstreams: list[random_upstreams.RandomUpstream], rng: random.Random
) -> None:
    """Has upstreams start again until cancelled."""
    while True:
        await anyio.sleep(rng.uniform(0.1, 0.5))
        await rng.choice(upstreams).restart()


async def cut_often(backend: partitions.Backend, rng: random.Random) -> None:
    """Cuts an instance off now and then until cancelled."""
    while True:
        for cut in (rng.choice(CUTS), partitions.Cut.NONE):
            await anyio.sleep(rng.uniform(1.0, 3.0))
            backend.set_cut(cut)


async def send_many(
    instances: list[entry_instances.Instance], rng: random.Random
) -> dict[str, int]:
    """Sends requests that must run once; returns their statuses by id."""
    statuses: dict[str, int] = {}

    async def send(request_id: str) -> None:
        with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
            instance = rng.choice(instances)
            response = await instance.send("/once/x", request_id)
            statuses[request_id] = response.status

    async with anyio.create_task_group() as tasks:
        for number in range(int(PLAY_S / PERIOD_S)):
            tasks.start_soon(send, f"r{number}")
            await anyio.sleep(PERIOD_S)
    return statuses


@pytest.mark.parametrize("seed", [1, 2])
async def test_no_combination_of_faults_breaks_a_promise(seed: int) -> None:
    """Guards against statements that are about something else (TWICE, REFUSED).

    Each of these faults has a test of its own; two at a time broke promises.
    """
    rng = random.Random(seed)
    runs: collections.Counter[str] = collections.Counter()
    async with fleet_cluster.run_cluster() as cluster:
        upstreams = [
            random_upstreams.RandomUpstream(cluster, f"p{number}", rng, runs)
            for number in range(3)
        ]
        for upstream in upstreams:
            await upstream.start()
        backend = partitions.Backend(cluster)
        async with (
            entry_instances.run_linked(cluster, 3, backend) as instances,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(restart_often, upstreams, rng)
            tasks.start_soon(cut_often, backend, rng)
            statuses = await send_many(instances, rng)
            tasks.cancel_scope.cancel()
    refused = [name for name, status in statuses.items() if status in PROMISES]
    assert [name for name, count in runs.items() if count > 1] == []
    assert [name for name in refused if name in runs] == []
    assert 200 in statuses.values()
