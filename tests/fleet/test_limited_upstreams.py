"""Tests of upstreams that name a limit on the requests that they take.

Load pattern: all instances send requests to an upstream as fast as to others
that are as close, when it begins to name a limit far below that.
"""

from collections.abc import Callable
import itertools

import anyio
import entry_instances
import fleet_cluster
import pytest
import test_crashing_requests

pytestmark = pytest.mark.anyio

LIMIT = 2.0
"""Requests per second."""

WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
"""Requests that may arrive in a window."""

CONTACT_S = 3.0
"""Time after which the limit must be kept, from when it is first named."""

INSTANCES = 3
REQUEST_PERIOD_S = 0.08
"""Time between two requests at an instance."""

PLAY_S = CONTACT_S + 1.5 * WINDOW_S


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def send_for(
    instance: entry_instances.Instance,
    seconds: float,
    send: Callable[[str], object],
) -> None:
    """Sends requests at regular times, without waiting for the responses."""
    ends_at = anyio.current_time() + seconds
    async with anyio.create_task_group() as tasks:
        for number in itertools.count():
            if anyio.current_time() >= ends_at:
                return
            name = f"{instance.settings.instance}-{number}"
            tasks.start_soon(send, name)  # type: ignore[arg-type]
            await anyio.sleep(REQUEST_PERIOD_S)


async def play(
    instances: list[entry_instances.Instance],
    path: str,
    seconds: float = PLAY_S,
) -> list[int]:
    """Sends requests at instances; returns the statuses of the responses."""
    statuses: list[int] = []
    async with anyio.create_task_group() as tasks:
        for instance in instances:

            async def send(
                request_id: str,
                instance: entry_instances.Instance = instance,
            ) -> None:
                if path.startswith("/stream"):
                    response = await instance.generate(request_id)
                else:
                    response = await instance.send(path, request_id)
                statuses.append(response.status)

            tasks.start_soon(send_for, instance, seconds, send)
    return statuses


def find_peak(server: fleet_cluster.Server, since: float) -> int:
    """Returns the most requests that arrived in one window."""
    times = [at for at in server.arrivals if at >= since]
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times)
            for start in times
        ),
        default=0,
    )


async def test_limit_that_an_upstream_names_holds_over_all_instances() -> None:
    """Guards against instances that ignore a named limit (incident LIMIT).

    What the limit does not take goes to the other upstreams, which are further
    away.
    """
    async with fleet_cluster.run_cluster() as cluster:
        limited = await cluster.add_server(fleet_cluster.Server("p0"))
        for number in (1, 2):
            await cluster.add_server(
                fleet_cluster.Server(f"p{number}"), f"z{number + 1}"
            )
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            limited.rate_limit = LIMIT
            began_at = anyio.current_time()
            statuses = await play(instances, "/safe/x")
            assert set(statuses) == {200}
            assert find_peak(limited, began_at + CONTACT_S) <= ALLOWED


async def test_adapter_of_a_limited_engine_is_served_by_another() -> None:
    """Guards against requests that wait for a limited engine (LIMIT).

    Only that engine has the adapter when it begins to name its limit.
    """
    async with fleet_cluster.run_cluster() as cluster:
        limited = await cluster.add_server(
            fleet_cluster.Server("e1", slots=3, adapters={"a1": 1})
        )
        other = await cluster.add_server(fleet_cluster.Server("e2", slots=3))
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            limited.rate_limit = LIMIT
            began_at = anyio.current_time()
            statuses = await play(instances, "/stream/x")
            assert set(statuses) == {200}
            assert find_peak(limited, began_at + CONTACT_S) <= ALLOWED
            assert other.runs


async def test_requests_beyond_all_limits_are_refused_at_once() -> None:
    """Guards against requests that wait for a limit until they expire (LIMIT).

    The only instance with clients gets the whole limit, not an equal share.
    """
    async with fleet_cluster.run_cluster() as cluster:
        server = await cluster.add_server(fleet_cluster.Server("p1"))
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            server.rate_limit = LIMIT
            began_at = anyio.current_time()
            statuses = await play(instances[:1], "/once/x")
            assert set(statuses) == {200, 503}
            assert find_peak(server, began_at + CONTACT_S) <= ALLOWED
            since = began_at + PLAY_S - WINDOW_S
            served = sum(at >= since for at in server.arrivals)
            assert served >= 0.75 * LIMIT * WINDOW_S


async def test_limit_that_is_no_longer_named_ends() -> None:
    """Guards against a limit that outlasts its upstream's trouble (LIMIT)."""
    async with fleet_cluster.run_cluster() as cluster:
        server = await cluster.add_server(fleet_cluster.Server("p1"))
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            server.rate_limit = LIMIT
            statuses = await play(instances, "/once/x", 1.5)
            assert 503 in statuses
            server.rate_limit = None
            # An answer without a limit reaches one instance first.
            await anyio.sleep(1.5)
            await instances[0].send("/once/x", "after")
            await anyio.sleep(0.2)
            assert set(await play(instances, "/once/x", 1.0)) == {200}


BRITTLE = 5
"""Rejections in a second that a brittle server survives."""


async def test_brittle_upstreams_reject_few_requests() -> None:
    """Guards against instances that make brittle upstreams fall over (LIMIT).

    Load pattern: all servers of a service let far fewer requests run than
    their entries say, and more arrive than they can run.
    """
    async with fleet_cluster.run_cluster() as cluster:
        servers = [
            await cluster.add_server(
                fleet_cluster.Server(
                    f"p{number}",
                    brittle=BRITTLE,
                    max_running=1,
                    service_s=0.2,
                )
            )
            for number in range(2)
        ]
        async with test_crashing_requests.run_instances(
            cluster, INSTANCES
        ) as instances:
            since = anyio.current_time() + CONTACT_S
            await play(instances, "/once/x")
            for server in servers:
                times = [at for at in server.rejections if at >= since]
                peak = max(
                    (sum(at <= t < at + 1.0 for t in times) for at in times),
                    default=0,
                )
                assert peak <= BRITTLE


async def test_plain_server_that_rejected_a_request_is_used_again() -> None:
    """Guards against a rejection that is taken for a missing adapter."""
    async with fleet_cluster.run_cluster() as cluster:
        server = await cluster.add_server(
            fleet_cluster.Server("p0", max_running=1, service_s=0.1)
        )
        async with entry_instances.run_instance(cluster) as instance:
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(instance.send, "/once/x", f"r{number}")
            assert server.rejections
            await anyio.sleep(CONTACT_S)
            assert (await instance.send("/once/x", "later")).status == 200
