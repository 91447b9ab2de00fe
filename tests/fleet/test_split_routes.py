"""Tests of streams on routes that several services share.

Load pattern: a release by shares of the requests, while clients resume streams.
"""

import asyncio

import entry_instances
import fleet_cluster
import pytest
import raw_servers

pytestmark = pytest.mark.anyio

STREAMS = 12
RESUMED_AFTER = "2"


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_document() -> dict[str, object]:
    """Returns a routing document with a stream route of two services."""
    document = fleet_cluster.make_document()
    for route in document["Routes"]:
        route["TrafficSplit"] = [
            {"Service": service, "Weight": 1} for service in ("llm", "plain")
        ]
    return document


async def test_stream_goes_on_at_the_service_that_began_it() -> None:
    """Guards against a stream of two services (ORDER).

    A client's retry has an id of its own, by which its service was chosen.
    """

    def make_respond(name: str) -> raw_servers.Respond:
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

    services: dict[str, str] = {}
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("config", "main", make_document())
        async with (
            raw_servers.run_server(
                cluster, "e1", make_respond("llm"), is_engine=True
            ),
            raw_servers.run_server(cluster, "p1", make_respond("plain")),
            entry_instances.run_instance(cluster) as instance,
        ):
            for number in range(STREAMS):
                await instance.generate(f"first{number}")
                response = await instance.send(
                    "/stream/x",
                    f"again{number}",
                    X_Model=f"{fleet_cluster.MODEL}/a1",
                    X_Token_Count="100,30",
                    Last_Event_Id=RESUMED_AFTER,
                    Resumes=f"first{number}",
                )
                assert response.status == 200
    first = [services[f"first{number}"] for number in range(STREAMS)]
    assert set(first) == {"llm", "plain"}
    assert first == [services[f"again{number}"] for number in range(STREAMS)]
