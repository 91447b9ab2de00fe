"""Tests of a complete entry instance, in process, on a fake platform."""

import os
import signal

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

from tamaracktide.core import cell_actions
from tamaracktide.entry import service_cell
from tamaracktide.entry import serving

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_generation_waits_for_its_adapter_and_streams_completely() -> (
    None
):
    """The adapter is loaded by an order; the stream is forwarded unchanged."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.generate("r1")
            assert response.status == 200
            assert response.content.count(b"\n\n") == engine.events
            assert engine.runs == ["r1"]
            assert [order["Adapter"] for order in engine.orders] == ["a1"]
            request_headers = engine.headers_by_request["r1"]
            assert request_headers["x-expect-instance"] == "e1"
            assert int(request_headers["x-deadline-ms"]) <= 4000


async def test_adapter_slots_are_not_exceeded_and_all_requests_succeed() -> (
    None
):
    """Six adapters share three slots; each request succeeds."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
            for index in range(6):
                response = await instance.generate(f"r{index}", f"a{index}")
                assert response.status == 200
                await anyio.sleep(0.6)
            assert len(engine.adapters) == 3


async def test_broken_stream_is_resumed_on_another_engine() -> None:
    """A resumable stream is resumed after its last complete event."""
    async with fleet_cluster.run_cluster() as cluster:
        for name in ("e1", "e2"):
            await cluster.add_server(
                fleet_cluster.Server(name, slots=3, break_after=4, events=8)
            )
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.generate("r1")
            servers_with_runs = [
                server for server in cluster.servers.values() if server.runs
            ]
            assert len(servers_with_runs) == 2
            ids = [
                int(event.split(b"\n")[0][4:])
                for event in response.content.split(b"\n\n")
                if event
            ]
            assert ids == list(range(1, 9))


async def test_broken_stream_that_is_not_resumable_closes_the_connection() -> (
    None
):
    """The connection is closed without the last chunk of the response."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(
            fleet_cluster.Server("e1", slots=3, break_after=4)
        )
        async with entry_instances.run_instance(cluster) as instance:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1", path="/once-stream/x")
            assert cluster.servers["e1"].runs == ["r1"]


async def test_non_idempotent_request_with_a_lost_response_is_not_retried() -> (
    None
):
    """It may have run, so the status does not state that it did not run."""
    async with fleet_cluster.run_cluster() as cluster:
        for name in ("p1", "p2"):
            await cluster.add_server(
                fleet_cluster.Server(name, drop_response=True)
            )
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.send("/once/x", "r1")
            assert response.status in (502, 504)
            runs = [
                run
                for server in cluster.servers.values()
                for run in server.runs
            ]
            assert runs == ["r1"]


async def test_idempotent_request_with_a_lost_response_is_retried() -> None:
    """Another server runs it; the client receives one complete response.

    Requests at the same time use both servers.
    """
    async with fleet_cluster.run_cluster() as cluster:
        failing_server = await cluster.add_server(
            fleet_cluster.Server("p1", drop_response=True)
        )
        healthy_server = await cluster.add_server(fleet_cluster.Server("p2"))
        async with entry_instances.run_instance(cluster) as instance:
            await instance.send_at_once(6, "r")
            assert failing_server.runs
            assert len(healthy_server.runs) == 6


async def test_request_without_a_server_is_refused_immediately() -> None:
    """A request that no server can run gets 503 with a Retry-After header.

    The request has not run.
    """
    async with (
        fleet_cluster.run_cluster() as cluster,
        entry_instances.run_instance(cluster) as instance,
    ):
        with anyio.fail_after(1.0):
            response = await instance.send("/safe/x", "r1")
        assert response.status == 503
        headers = {name.lower(): value for name, value in response.headers}
        assert float(headers[b"retry-after"]) > 0


async def test_newest_document_applies_and_a_malformed_one_is_ignored() -> None:
    """A new version applies in time; a malformed one changes nothing."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with entry_instances.run_instance(cluster) as instance:
            assert (await instance.send("/safe/x", "r1")).status == 200
            cluster.store.put("config", "main", {"Version": "broken"})
            await anyio.sleep(0.2)
            assert (await instance.send("/safe/x", "r2")).status == 200
            document = fleet_cluster.make_document(3)
            document["Routes"] = document["Routes"][:1]
            cluster.store.put("config", "main", document)

            async def is_route_removed() -> bool:
                response = await instance.send("/safe/x", "r3")
                return response.status == 404

            await entry_instances.wait_until(is_route_removed)


async def test_draining_server_receives_no_new_requests() -> None:
    """A drain is observed within 1 s; the other server serves requests."""
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        async with entry_instances.run_instance(cluster) as instance:
            cluster.register(leaving, state="draining")
            await anyio.sleep(1.0)
            before = len(leaving.runs)
            await instance.send_at_once(8, "s")
            assert len(leaving.runs) == before


async def test_announced_version_is_loaded_and_required() -> None:
    """After an announcement no request runs on an older version."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
            assert (await instance.generate("r1")).status == 200
            cluster.store.put(
                "versions",
                f"{fleet_cluster.MODEL}.a1",
                {"Model": fleet_cluster.MODEL, "Adapter": "a1", "Version": 2},
            )
            await anyio.sleep(0.5)
            assert (await instance.generate("r2")).status == 200
            assert engine.adapters["a1"] == 2
            assert engine.headers_by_request["r2"]["x-expect-version"] == "2"


async def test_shutdown_completes_streams_and_closes_idle_connections() -> None:
    """Load pattern: shutdown with open streams and idle connections.

    Readiness fails immediately, while requests are served until the load
    balancer has removed the instance. Then idle connections are closed and
    streams in progress complete. Guards against cutting requests that were
    accepted more than 3 s after the signal.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        slow_server = fleet_cluster.Server(
            "e1", slots=3, events=30, event_interval_s=0.1
        )
        await cluster.add_server(slow_server)
        async with entry_instances.run_instance(cluster) as instance:
            assert (await instance.send("/safe/x", "r0")).status == 200
            responses: list[httpcore.Response] = []

            async def stream() -> None:
                responses.append(await instance.generate("r1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await anyio.sleep(0.2)
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(0.3)
                assert not await instance.is_ready()
                late_response = await instance.send("/safe/x", "r2")
                assert late_response.status == 200
                await anyio.sleep(serving.CONNECTION_CLOSE_DELAY_S)
                with pytest.raises(httpcore.ConnectError):
                    await instance.send("/safe/x", "r3")
            assert responses[0].content.count(b"\n\n") == slow_server.events


async def test_upstream_removed_as_it_is_granted_is_not_an_internal_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 500 or a cut stream as an upstream leaves (KeyError)."""
    set_result = service_cell.ServiceCell._set_result

    def remove_upstream(
        cell: service_cell.ServiceCell,
        result: cell_actions.Grant | cell_actions.Refuse,
    ) -> None:
        set_result(cell, result)
        if isinstance(result, cell_actions.Grant):
            cell.remove_upstreams({result.upstream})

    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with entry_instances.run_instance(cluster) as instance:
            monkeypatch.setattr(
                service_cell.ServiceCell, "_set_result", remove_upstream
            )
            response = await instance.send("/safe/x", "r1")
            assert response.status == 503
            assert cluster.servers["p1"].runs == []


async def test_shutdown_waits_until_the_last_response_was_sent() -> None:
    """Guards against a response cut by a planned stop (incident LOST).

    Load pattern: a client that reads slowly. Its response is complete for the
    application, and most of it waits to be sent.
    """
    body = bytes(6_000_000)
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1", body=body))
        async with entry_instances.run_instance(cluster) as instance:
            host, _, port = instance.settings.caller_address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as client:
                await client.send(
                    b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                    b"X-Request-Id: r1\r\n\r\n"
                )
                received = len(await client.receive(1000))
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(serving.CONNECTION_CLOSE_DELAY_S + 1.0)
                assert not instance.stopped.is_set()
                with anyio.fail_after(3.0):
                    while received < len(body):
                        received += len(await client.receive())
                    await instance.stopped.wait()
