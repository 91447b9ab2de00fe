"""Tests of reports that tell which process of an engine a stream runs at.

Load pattern: engines start again under their ids and addresses, one after the
other, while streams break off and their clients take them up again.
"""

import dataclasses

import anyio
import entry_instances
import fleet_cluster
import pytest
import versioned_streams

import deployment
from tamaracktide.entry import service_cell
from tamaracktide.gateway import asgi

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class Engine(fleet_cluster.Server):
    """An engine that counts its reports.

    Attributes:
        reports: Number of reports that were requested.
        is_mute: Whether it does not report.
    """

    reports: int = 0
    is_mute: bool = False

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handles one call."""
        if scope["path"] == "/report":
            self.reports += 1
            if self.is_mute:
                await anyio.sleep_forever()
        await fleet_cluster.Server.__call__(self, scope, receive, send)


async def add_engine(
    cluster: fleet_cluster.Cluster, name: str, zone: str = "z1"
) -> Engine:
    """Adds an engine that has the adapter."""
    engine = Engine(
        name,
        slots=3,
        adapters={"a1": 1},
        events=versioned_streams.EVENTS,
        event_interval_s=0.03,
    )
    await cluster.add_server(engine, zone)
    return engine


def restart_unlisted(engine: Engine) -> None:
    """Starts an engine again with other software; its entry stays behind."""
    engine.software, engine.born = "v2", engine.born + 1
    engine.disconnect()


async def test_one_report_attests_all_streams_at_an_engine() -> None:
    """Guards against a report for each stream, which has its price."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1")
        async with entry_instances.run_instance(cluster) as instance:
            async with anyio.create_task_group() as tasks:
                for index in range(4):
                    tasks.start_soon(instance.generate, f"r{index}")
            after = await versioned_streams.begin_stream(instance, "r9")
            await versioned_streams.check_resumed(
                [engine], instance, [after] * 4
            )
    assert engine.reports == 1


async def test_stream_goes_on_elsewhere_if_an_engine_does_not_report() -> None:
    """Guards against streams that are lost with a report (LOST)."""
    async with fleet_cluster.run_cluster() as cluster:
        near = await add_engine(cluster, "near")
        other = await add_engine(cluster, "other", "z2")
        async with entry_instances.run_instance(cluster) as instance:
            after = await versioned_streams.begin_stream(instance, "r0")
            assert near.runs == ["r0"]
            near.is_mute = True
            near.disconnect()
            await versioned_streams.check_resumed(
                [near, other], instance, [after]
            )
    assert other.runs == ["s0"]


async def test_stream_that_was_not_sent_does_not_count_against_its_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an engine that starts and gets ever fewer requests."""
    answers: list[tuple[str, bool]] = []

    def record_answer(
        cell: service_cell.ServiceCell, upstream: str, *, is_good: bool
    ) -> None:
        del cell
        answers.append((upstream, is_good))

    monkeypatch.setattr(
        service_cell.ServiceCell, "record_answer", record_answer
    )
    async with fleet_cluster.run_cluster() as cluster:
        near = await add_engine(cluster, "near")
        other = await add_engine(cluster, "other", "z2")
        async with entry_instances.run_instance(cluster) as instance:
            after = await versioned_streams.begin_stream(instance, "r0")
            near.is_mute = True
            near.disconnect()
            await anyio.sleep(0.1)
            # The first stream may have broken off before its client had left.
            answers.clear()
            await versioned_streams.check_resumed(
                [near, other], instance, [after]
            )
    assert other.runs == ["s0"]
    assert answers == [("other", True)]


async def test_stream_begins_at_an_engine_that_does_not_report() -> None:
    """Only its resumption needs the start of the process."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1")
        engine.is_mute = True
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.generate("r0")
            assert response.status == 200
            retry = await versioned_streams.resume(instance, "s0", "r0")
            assert retry.status == 503
    assert engine.runs == ["r0"]


async def test_stream_goes_on_at_an_engine_that_was_listed_again() -> None:
    """Its new entry names the start that its process reports."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1")
        async with entry_instances.run_instance(cluster) as instance:
            await cluster.restart_server(engine, "v2")
            await anyio.sleep(versioned_streams.PROPAGATION_S)
            after = await versioned_streams.begin_stream(instance, "r0")
            await versioned_streams.check_resumed([engine], instance, [after])


async def test_other_instances_learn_of_an_unlisted_process() -> None:
    """Guards against events of two software versions in a stream (ORDER).

    The stream began at an engine with other software than its entry names, and
    its client retries at an instance that lists one version.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = await add_engine(cluster, "e1")
        other = await add_engine(cluster, "e2", "z2")
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(cluster, peer_port=port) as first,
            entry_instances.run_instance(
                cluster, name="n2", host="127.0.0.2", peer_port=port
            ) as second,
        ):
            await anyio.sleep(1.5)
            restart_unlisted(engine)
            after = await versioned_streams.begin_stream(first, "r0")
            assert engine.runs == ["r0"]
            await versioned_streams.resume(second, "s0", "r0", after)
    assert engine.runs == ["r0"]
    assert other.runs == []
