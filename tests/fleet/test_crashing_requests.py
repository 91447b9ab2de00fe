"""Tests of requests that crash each upstream that runs them.

Load pattern: such a request comes again and again, at any instance, while the
entries of the upstreams that it has ended are still in the store.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

import deployment
from tamaracktide import result_codes

pytestmark = pytest.mark.anyio

CRASH_PATH = "/safe/crash"
LOSSES = 3
"""Upstreams that a request may end before it is refused."""

SETTLING_S = 1.0
"""Time after the third crash until when such requests may still be sent; a
third of what the platform allows."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_instances(
    cluster: fleet_cluster.Cluster, count: int
) -> AsyncIterator[list[entry_instances.Instance]]:
    """Runs instances that have links to each other."""
    port = deployment.find_port()
    async with contextlib.AsyncExitStack() as stack:
        instances = [
            await stack.enter_async_context(
                entry_instances.run_instance(
                    cluster, f"n{number}", f"127.0.0.{number}", port
                )
            )
            for number in range(1, count + 1)
        ]
        await anyio.sleep(SETTLING_S)
        yield instances


def count_runs(cluster: fleet_cluster.Cluster, prefix: str) -> int:
    """Returns how often requests with ids of a prefix reached servers."""
    return sum(
        request_id.startswith(prefix)
        for server in cluster.servers.values()
        for request_id in server.runs
    )


def is_quarantined(response: httpcore.Response) -> bool:
    """Whether a response refuses a request as quarantined and not run."""
    code = dict(response.headers).get(b"x-result-code", b"0")
    return (
        response.status == 503
        and int(code) == result_codes.ResultCode.QUARANTINED.value
    )


def count_crashed(cluster: fleet_cluster.Cluster) -> int:
    """Returns the number of servers that have ended."""
    return sum(server.has_crashed for server in cluster.servers.values())


async def add_servers(cluster: fleet_cluster.Cluster, count: int) -> None:
    """Adds plain servers that end when they run a request for a path."""
    for number in range(count):
        await cluster.add_server(
            fleet_cluster.Server(f"p{number}", crashes_on=CRASH_PATH)
        )


async def test_request_is_refused_everywhere_once_three_upstreams_ended() -> (
    None
):
    """Guards against repeats that go on ending upstreams (incident BUDGET).

    Losses counted once the store showed them, and at each instance alone.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await add_servers(cluster, 12)
        async with run_instances(cluster, 3) as instances:
            for number in range(LOSSES):
                await instances[number].send(CRASH_PATH, f"first{number}")
            assert count_crashed(cluster) >= LOSSES
            await anyio.sleep(SETTLING_S)
            for number in range(9):
                response = await instances[number % 3].send(
                    CRASH_PATH, f"later{number}"
                )
                assert is_quarantined(response)
            assert count_runs(cluster, "later") == 0
            assert (await instances[0].send("/safe/x", "sound")).status == 200


async def test_lost_connections_to_running_upstreams_refuse_no_request() -> (
    None
):
    """Guards against a verdict on a request whose connections were reset."""
    async with fleet_cluster.run_cluster() as cluster:
        for number in range(4):
            await cluster.add_server(
                fleet_cluster.Server(f"p{number}", drop_response=True)
            )
        async with run_instances(cluster, 1) as (instance,):
            for number in range(2 * LOSSES):
                response = await instance.send("/safe/x", f"r{number}")
                assert response.status == 502
                await anyio.sleep(0.1)
            for server in cluster.servers.values():
                server.drop_response = False

            async def is_served() -> bool:
                response = await instance.send("/safe/x", "later")
                assert not is_quarantined(response)
                return response.status == 200

            await entry_instances.wait_until(is_served)


async def test_queued_request_is_refused_as_soon_as_it_is_quarantined() -> None:
    """Guards against a request that is sent after it has been quarantined.

    It waits for a batch slot meanwhile (incident BUDGET).
    """
    path = "/stream/crash"
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(
            fleet_cluster.Server(
                "e1", slots=3, adapters={"a1": 1}, event_interval_s=0.5
            )
        )
        async with run_instances(cluster, 1) as (instance,):
            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(instance.generate, f"long{number}")
                await entry_instances.wait_until(_make_check(engine, 8))
                responses: list[httpcore.Response] = []

                async def send() -> None:
                    responses.append(
                        await instance.generate("queued", path=path)
                    )

                tasks.start_soon(send)
                await anyio.sleep(0.3)
                assert not responses
                instance.quarantine(path)
                await anyio.sleep(0.3)
                assert is_quarantined(responses[0])
                tasks.cancel_scope.cancel()
            assert "queued" not in engine.runs


def _make_check(engine: fleet_cluster.Server, runs: int) -> object:
    async def has_runs() -> bool:
        return len(engine.runs) >= runs

    return has_runs
