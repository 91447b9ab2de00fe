"""Tests of streams beside engines that start again in place.

Load pattern: a release replaces the software of engines one after the other. An
engine keeps its id and address, and serves before its new entry is known.
"""

from typing import Any

import entry_instances
import fleet_cluster
import httpcore
import pytest

pytestmark = pytest.mark.anyio

EVENTS = 8
"""Events of a complete stream of the tests."""

BREAK_AFTER = 4
"""Events after which the first engine breaks off its stream."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class RestartingEngine(fleet_cluster.Server):
    """An engine whose entry stays behind when it starts again.

    Its reports tell the new start at once.
    """

    __slots__ = ()

    def _make_report(self) -> dict[str, Any]:
        report = super()._make_report()
        return {**report, "born": 1 if self.software == "v1" else 2}

    def restart(self) -> None:
        """Starts again, with the next version of its software."""
        self.software = "v2"
        self.orders.clear()
        self.disconnect()


async def add_engine(
    cluster: fleet_cluster.Cluster, name: str, *, break_after: int = 0
) -> RestartingEngine:
    """Adds an engine of the old version that has the adapter."""
    engine = RestartingEngine(
        name,
        slots=3,
        adapters={"a1": 1},
        events=EVENTS,
        break_after=break_after,
    )
    await cluster.add_server(engine)
    return engine


async def begin(instance: entry_instances.Instance) -> None:
    """Begins a stream whose engine breaks it off."""
    with pytest.raises(httpcore.RemoteProtocolError):
        await instance.generate("r1")


async def resume(instance: entry_instances.Instance) -> None:
    """Takes the stream up again after its last event."""
    await instance.send(
        "/stream/x",
        "s1",
        X_Model=f"{fleet_cluster.MODEL}/a1",
        X_Token_Count="100,30",
        Last_Event_Id=str(BREAK_AFTER),
        Resumes="r1",
    )


async def test_stream_does_not_go_on_at_an_engine_with_new_software() -> None:
    """Guards against events of two software versions in a stream (ORDER).

    The engine that began it has started again with other software.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1", break_after=BREAK_AFTER)
        async with entry_instances.run_instance(cluster) as instance:
            await begin(instance)
            engine.restart()
            await resume(instance)
    assert engine.runs == ["r1"]


async def test_stream_goes_on_at_the_software_that_really_began_it() -> None:
    """Guards against events of two software versions in a stream (ORDER).

    It began at an engine that had started again with other software.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1", break_after=BREAK_AFTER)
        async with entry_instances.run_instance(cluster) as instance:
            engine.restart()
            await begin(instance)
            cluster.store.remove("servers", engine.name)
            other = await add_engine(cluster, "e2")

            async def is_used() -> bool:
                return (await instance.generate("r2")).status == 200

            await entry_instances.wait_until(is_used)
            await resume(instance)
    assert engine.runs == ["r1"]
    assert other.runs == ["r2"]
