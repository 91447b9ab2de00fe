"""Tests of streams on routes that several services share.

Load pattern: a release by shares of the requests, while clients resume streams.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import anyio
import entry_instances
import fleet_cluster
import pytest
import raw_servers
import versioned_streams

import deployment

pytestmark = pytest.mark.anyio

STREAMS = 12
RESUMED_AFTER = "2"
RECORD_S = 1.0
"""Time in which an instance that has started records its document."""

APPLY_S = 1.0
"""Time in which an instance applies a routing document."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_document(version: int, **weights: int) -> dict[str, object]:
    """Returns a routing document whose routes share services by weights."""
    document = fleet_cluster.make_document(version)
    for route in document["Routes"]:
        route["TrafficSplit"] = [
            {"Service": service, "Weight": weight}
            for service, weight in weights.items()
        ]
    return document


def make_respond(name: str, services: dict[str, str]) -> raw_servers.Respond:
    """Returns what writes one event and records its service by request."""

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        number = 3 if request_id.startswith("again") else 1
        event = f"id: {number}\ndata: t\n\n"
        lines = (
            "Content-Type: text/event-stream",
            f"Content-Length: {len(event)}",
        )
        writer.write(raw_servers.make_head(request_id, *lines))
        writer.write(event.encode())
        services[request_id] = name

    return respond


async def resume_all(instance: entry_instances.Instance) -> None:
    """Resumes the streams."""
    for number in range(STREAMS):
        response = await instance.send(
            "/stream/x",
            f"again{number}",
            X_Model=f"{fleet_cluster.MODEL}/a1",
            X_Token_Count="100,30",
            Last_Event_Id=RESUMED_AFTER,
            Resumes=f"first{number}",
        )
        assert response.status == 200


async def play(later_plain_weight: int) -> tuple[list[str], list[str]]:
    """Begins and resumes streams; returns the services of both.

    Args:
        later_plain_weight: Share of the second service as they are resumed.
    """
    services: dict[str, str] = {}
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document(1, llm=1, plain=1))
        async with (
            raw_servers.run_server(
                cluster, "e1", make_respond("llm", services), is_engine=True
            ),
            raw_servers.run_server(
                cluster, "p1", make_respond("plain", services)
            ),
            entry_instances.run_instance(cluster) as instance,
        ):
            for number in range(STREAMS):
                await instance.generate(f"first{number}")
            document = make_document(2, llm=1, plain=later_plain_weight)
            cluster.store.put("config", "main", document)
            await anyio.sleep(APPLY_S)
            await resume_all(instance)
    return (
        [services[f"first{number}"] for number in range(STREAMS)],
        [services[f"again{number}"] for number in range(STREAMS)],
    )


async def test_stream_goes_on_at_the_service_that_began_it() -> None:
    """Guards against a stream of two services (ORDER).

    A client's retry has an id of its own, by which its service was chosen.
    """
    first, again = await play(later_plain_weight=1)
    assert set(first) == {"llm", "plain"}
    assert again == first


async def test_stream_stays_at_its_service_as_the_shares_change() -> None:
    """Guards against a stream of two services (ORDER), while both are in use.

    An operator shifts the requests of a route to another service.
    """
    first, again = await play(later_plain_weight=9)
    assert set(first) == {"llm", "plain"}
    assert again == first


def make_broken_respond(
    name: str, services: dict[str, str]
) -> raw_servers.Respond:
    """Returns what writes half of a stream, or the rest of one that is resumed.

    It records its service by request.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        events = "".join(
            f"id: {number}\ndata: t\n\n"
            for number in range(1, versioned_streams.EVENTS + 1)
        )
        half = len(events) // 2
        is_resumed = request_id.startswith("s")
        lines = (
            "Content-Type: text/event-stream",
            f"Content-Length: {half if is_resumed else 2 * half}",
        )
        writer.write(raw_servers.make_head(request_id, *lines))
        writer.write((events[half:] if is_resumed else events[:half]).encode())
        services[request_id] = name

    return respond


@contextlib.asynccontextmanager
async def run_services(
    services: dict[str, str],
) -> AsyncIterator[fleet_cluster.Cluster]:
    """Runs a cluster whose streaming route has equal shares of two services."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document(1, llm=1, plain=1))
        async with (
            raw_servers.run_server(
                cluster,
                "e1",
                make_broken_respond("llm", services),
                is_engine=True,
            ),
            raw_servers.run_server(
                cluster, "p1", make_broken_respond("plain", services)
            ),
        ):
            yield cluster


async def begin_all(instance: entry_instances.Instance) -> None:
    """Begins the streams, whose client leaves within them."""
    for number in range(STREAMS):
        await versioned_streams.begin_stream(instance, f"r{number}")


async def change_shares(cluster: fleet_cluster.Cluster, **weights: int) -> None:
    """Puts other shares of the streaming route into force."""
    cluster.store.put("config", "main", make_document(2, **weights))
    await anyio.sleep(APPLY_S)


async def check_all_resumed(
    instance: entry_instances.Instance, services: dict[str, str]
) -> None:
    """Resumes the streams, each of which must go on at its service."""
    for number in range(STREAMS):
        response = await versioned_streams.resume(
            instance, f"s{number}", f"r{number}"
        )
        assert response.status == 200
        assert services[f"s{number}"] == services[f"r{number}"]
    assert set(services.values()) == {"llm", "plain"}


async def test_stream_stays_at_its_service_at_another_instance() -> None:
    """Guards against a service that only the beginning instance knows (ORDER).

    The shares change between the beginning of a stream and its retry.
    """
    services: dict[str, str] = {}
    port = deployment.find_port()
    async with (
        run_services(services) as cluster,
        entry_instances.run_instance(cluster, peer_port=port) as first,
        entry_instances.run_instance(
            cluster, "n2", "127.0.0.2", port
        ) as second,
    ):
        await begin_all(first)
        await change_shares(cluster, llm=1, plain=9)
        await check_all_resumed(second, services)


async def test_stream_stays_at_its_service_after_all_were_killed() -> None:
    """Guards against a service that only memory knows (ORDER).

    The shares change, and all instances are killed a second later.
    """
    services: dict[str, str] = {}
    async with run_services(services) as cluster:
        async with entry_instances.run_instance(cluster) as instance:
            await begin_all(instance)
            await change_shares(cluster, llm=1, plain=9)
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await check_all_resumed(instance, services)


async def test_stream_does_not_follow_its_route_to_another_service() -> None:
    """Guards against a stream of two services (ORDER) on a moved route.

    Nor may the old service run the retry (CONFIG).
    """
    services: dict[str, str] = {}
    async with (
        run_services(services) as cluster,
        entry_instances.run_instance(cluster) as instance,
    ):
        await begin_all(instance)
        await change_shares(cluster, plain=1)
        for number in range(STREAMS):
            response = await versioned_streams.resume(
                instance, f"s{number}", f"r{number}"
            )
            is_moved = services[f"r{number}"] == "llm"
            assert response.status == (503 if is_moved else 200)
            assert services.get(f"s{number}", "plain") == "plain"
            assert (f"s{number}" in services) is not is_moved


async def test_stream_stays_at_its_service_if_the_shares_change_meanwhile() -> (
    None
):
    """Guards against a start that takes its document for all there was (ORDER).

    The shares change while all instances are down.
    """
    services: dict[str, str] = {}
    async with run_services(services) as cluster:
        async with entry_instances.run_instance(cluster) as instance:
            await begin_all(instance)
        await change_shares(cluster, llm=1, plain=9)
        async with entry_instances.run_instance(
            cluster, is_first_start=False
        ) as instance:
            await check_all_resumed(instance, services)


async def test_stream_stays_at_its_service_at_a_later_start() -> None:
    """Guards against a record that the first one to start replaces (ORDER).

    The shares change while all instances are down.
    """
    services: dict[str, str] = {}
    port = deployment.find_port()
    async with run_services(services) as cluster:
        async with entry_instances.run_instance(cluster) as instance:
            await begin_all(instance)
        await change_shares(cluster, llm=1, plain=9)
        async with entry_instances.run_instance(
            cluster, peer_port=port, is_first_start=False
        ):
            await anyio.sleep(RECORD_S)
            async with entry_instances.run_instance(
                cluster, "n2", "127.0.0.2", port, is_first_start=False
            ) as second:
                await check_all_resumed(second, services)
