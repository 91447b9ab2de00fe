"""Tests of streams on routes that several services share.

Load pattern: a release by shares of the requests, while clients resume streams.
"""

import asyncio

import anyio
import entry_instances
import fleet_cluster
import pytest
import raw_servers

pytestmark = pytest.mark.anyio

STREAMS = 12
RESUMED_AFTER = "2"
APPLY_S = 1.0
"""Time in which an instance applies a routing document."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_document(version: int, plain_weight: int) -> dict[str, object]:
    """Returns a routing document with stream routes of two services."""
    document = fleet_cluster.make_document(version)
    for route in document["Routes"]:
        route["TrafficSplit"] = [
            {"Service": "llm", "Weight": 1},
            {"Service": "plain", "Weight": plain_weight},
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
        cluster.store.put("config", "main", make_document(1, 1))
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
            document = make_document(2, later_plain_weight)
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
