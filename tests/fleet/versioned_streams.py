"""Streams of tests beside upstreams of several software versions."""

import anyio
import entry_instances
import fleet_cluster
import httpcore

EVENTS = 8
"""Events of a complete stream of the tests."""

PROPAGATION_S = 0.6
"""Time after which the other instances know of a stream."""


async def add_engine(
    cluster: fleet_cluster.Cluster, name: str, software: str, zone: str = "z1"
) -> fleet_cluster.Server:
    """Adds an engine of a software version that has the adapter."""
    return await cluster.add_server(
        fleet_cluster.Server(
            name,
            slots=3,
            software=software,
            adapters={"a1": 1},
            events=EVENTS,
            event_interval_s=0.03,
        ),
        zone,
    )


async def add_versions(
    cluster: fleet_cluster.Cluster, *versions: str
) -> list[fleet_cluster.Server]:
    """Adds an engine for each software version, in zone after zone."""
    return [
        await add_engine(cluster, f"e{index}", software, f"z{1 + index}")
        for index, software in enumerate(versions)
    ]


async def prefer_last(
    cluster: fleet_cluster.Cluster, engines: list[fleet_cluster.Server]
) -> None:
    """Exchanges the zones, so that the last engine is the closest one."""
    for index, engine in enumerate(reversed(engines)):
        cluster.register(engine, f"z{1 + index}")
    await anyio.sleep(PROPAGATION_S)


async def resume(
    instance: entry_instances.Instance,
    request_id: str,
    begun_as: str,
    after: int = 4,
) -> httpcore.Response:
    """Takes a stream up again after an event."""
    return await instance.send(
        "/stream/x",
        request_id,
        X_Model=f"{fleet_cluster.MODEL}/a1",
        X_Token_Count="100,30",
        Last_Event_Id=str(after),
        Resumes=begun_as,
    )


def find_versions(
    engines: list[fleet_cluster.Server], *request_ids: str
) -> set[str]:
    """Returns the software versions that ran any of the requests."""
    return {
        engine.software
        for engine in engines
        for request_id in request_ids
        if request_id in engine.runs
    }


async def begin_stream(
    instance: entry_instances.Instance, request_id: str
) -> int:
    """Begins a stream and leaves within it.

    Returns:
        The number of events that arrived.
    """
    events = 0
    async with instance.pool.stream(
        "POST",
        f"http://{instance.settings.caller_address}/stream/x",
        headers={
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "X-Model": f"{fleet_cluster.MODEL}/a1",
            "X-Token-Count": "100,30",
        },
        content=b"body",
    ) as response:
        assert response.status == 200
        async for part in response.aiter_stream():
            events += part.count(b"\n\n")
            if events >= EVENTS // 2:
                break
    return events


async def check_resumed(
    engines: list[fleet_cluster.Server],
    instance: entry_instances.Instance,
    events: list[int],
) -> None:
    """Takes streams up again, each of which must go on at its version."""
    for index, after in enumerate(events):
        retry = await resume(instance, f"s{index}", f"r{index}", after)
        assert retry.status == 200
        assert retry.content.count(b"\n\n") == EVENTS - after
        assert len(find_versions(engines, f"r{index}", f"s{index}")) == 1
