"""Tests of a complete entry instance, in process, on a fake platform."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import signal

import anyio
import anyio.abc
import fleet_cluster
import httpcore
import pytest

import deployment
from fleet import adapter
from tamaracktide.core import relays
from tamaracktide.entry import object_exchange
from tamaracktide.entry import program
from tamaracktide.entry import serving
from tamaracktide.entry import settings as entry_settings
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

WAIT_TIMEOUT_S = 15.0


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class _Instance:
    """An entry instance and a connection pool for calls to it."""

    settings: entry_settings.EntrySettings
    pool: httpcore.AsyncConnectionPool

    async def send(
        self, path: str, request_id: str, **extra: str
    ) -> httpcore.Response:
        """Sends one client request."""
        headers: dict[bytes | str, bytes | str] = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
        }
        for name, value in extra.items():
            headers[name.replace("_", "-")] = value
        address = self.settings.caller_address
        return await self.pool.request(
            "POST",
            f"http://{address}{path}",
            headers=headers,
            content=b"body",
        )

    async def send_at_once(self, count: int, prefix: str) -> None:
        """Sends requests at the same time, which so use all servers.

        Each must be answered with 200.
        """
        statuses = []

        async def send(request_id: str) -> None:
            response = await self.send("/safe/x", request_id)
            statuses.append(response.status)

        async with anyio.create_task_group() as tasks:
            for index in range(count):
                tasks.start_soon(send, f"{prefix}{index}")
        assert statuses == [200] * count

    async def generate(
        self, request_id: str, name: str = "a1", path: str = "/stream/x"
    ) -> httpcore.Response:
        """Sends one generation request."""
        return await self.send(
            path,
            request_id,
            X_Model=f"{fleet_cluster.MODEL}/{name}",
            X_Token_Count="100,30",
        )

    async def is_ready(self) -> bool:
        """Returns whether the readiness probe succeeds."""
        try:
            response = await self.pool.request(
                "GET", f"http://{self.settings.readiness_address}/any"
            )
        except httpcore.ConnectError:
            return False
        return response.status == 200


async def _wait_until(check: object) -> None:
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not await check():  # type: ignore[operator]
            await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def _run_instance(
    cluster: fleet_cluster.Cluster,
    name: str = "n1",
    host: str = fleet_cluster.HOST,
    peer_port: int = 0,
    store_address: str = "",
    zone: str = "z1",
) -> AsyncIterator[_Instance]:
    """Runs an instance and waits until the cell's lease is held."""
    ports = [deployment.find_port() for _ in range(4)]
    settings = entry_settings.EntrySettings(
        instance=name,
        availability_zone=zone,
        ip=host,
        caller_address=f"{host}:{ports[0]}",
        readiness_address=f"{host}:{ports[1]}",
        peer_port=peer_port or ports[2],
        metrics_port=ports[3],
        platform_address=store_address or cluster.address,
    )
    fleet_adapter = adapter.FleetAdapter()
    store = fleet_adapter.open_store(settings.platform_address)
    async with (
        streams.StreamClient(
            upstream_settings.UpstreamSettings()
        ) as upstream_client,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as tasks,
    ):
        entry_instance = program.EntryInstance(
            settings, fleet_adapter, upstream_client, store, tasks
        )
        tasks.start_soon(entry_instance.run)
        instance = _Instance(settings, pool)
        await _wait_until(instance.is_ready)

        async def is_lease_held() -> bool:
            leases = cluster.store.objects.get("tamaracktide-leases", {})
            return "llm.z1" in leases

        if any(server.slots for server in cluster.servers.values()):
            await _wait_until(is_lease_held)
        yield instance
        tasks.cancel_scope.cancel()
    await store.close()


async def test_generation_waits_for_its_adapter_and_streams_completely() -> (
    None
):
    """The adapter is loaded by an order; the stream is forwarded unchanged."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
            await instance.send_at_once(6, "r")
            assert failing_server.runs
            assert len(healthy_server.runs) == 6


async def test_request_without_a_server_is_refused_immediately() -> None:
    """A request that no server can run gets 503 with a Retry-After header.

    The request has not run.
    """
    async with (
        fleet_cluster.run_cluster() as cluster,
        _run_instance(cluster) as instance,
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
        async with _run_instance(cluster) as instance:
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

            await _wait_until(is_route_removed)


async def test_draining_server_receives_no_new_requests() -> None:
    """A drain is observed within 1 s; the other server serves requests."""
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        async with _run_instance(cluster) as instance:
            cluster.register(leaving, state="draining")
            await anyio.sleep(1.0)
            before = len(leaving.runs)
            await instance.send_at_once(8, "s")
            assert len(leaving.runs) == before


async def test_announced_version_is_loaded_and_required() -> None:
    """After an announcement no request runs on an older version."""
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with _run_instance(cluster) as instance:
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
        async with _run_instance(cluster) as instance:
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


async def test_store_outage_does_not_affect_loaded_adapters() -> None:
    """While the store is unreachable, loaded adapters are still served."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with _run_instance(cluster) as instance:
            assert (await instance.generate("r1")).status == 200
            cluster.store.is_unavailable = True
            await anyio.sleep(0.5)
            assert (await instance.generate("r2")).status == 200


async def test_lease_holder_without_the_store_renews_through_a_peer() -> None:
    """Load pattern: the store is unreachable for the lease holder only.

    Guards against the lease term expiring after 9 s, after which the engines
    of the cell received no loads until another instance took over.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with (
            _run_instance(cluster, peer_port=port, store_address=address),
            _run_instance(cluster, name="n2", host="127.0.0.2", peer_port=port),
        ):
            leases = cluster.store.objects["tamaracktide-leases"]
            first_revision = leases["llm.z1"]["Metadata"]["Revision"]
            store_proxy.is_unavailable = True

            async def is_lease_renewed_twice() -> bool:
                found = leases["llm.z1"]["Metadata"]["Revision"]
                return bool(found > first_revision + 1)

            await _wait_until(is_lease_renewed_twice)
            assert leases["llm.z1"]["Spec"]["epoch"] == 1


@contextlib.asynccontextmanager
async def _run_relay_and_member(
    cluster: fleet_cluster.Cluster, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[
    tuple[dict[str, _Instance], dict[str, fleet_cluster.StoreProxy], str]
]:
    """Runs a cluster of two instances in one zone in the way of a large one.

    Yields the instances and their ways to the store by instance id, and the id
    of the relay.
    """
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    zones = {"n1": "z1", "n2": "z1"}
    relay = relays.make_plan("n1", "z1", zones, ()).relay
    member = next(name for name in zones if name != relay)
    port = deployment.find_port()
    hosts = {relay: "127.0.0.1", member: "127.0.0.2"}
    proxies: dict[str, fleet_cluster.StoreProxy] = {}
    instances: dict[str, _Instance] = {}
    async with contextlib.AsyncExitStack() as stack:
        for name, host in hosts.items():
            proxies[name], address = await cluster.add_store_proxy()
            instances[name] = await stack.enter_async_context(
                _run_instance(cluster, name, host, port, address)
            )
        yield instances, proxies, relay


async def test_member_follows_the_store_through_its_relay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: hundreds of instances, of which few follow the store.

    Changes reach a member that makes no call itself, and a load that it needs
    is ordered by the lease holder.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with _run_relay_and_member(cluster, monkeypatch) as (
            instances,
            proxies,
            relay,
        ):
            (name,) = instances.keys() - {relay}
            member, calls = instances[name], proxies[name].calls
            assert (await member.generate("r1")).status == 200
            assert engine.runs == ["r1"]
            holder = cluster.store.objects["tamaracktide-leases"]["llm.z1"]
            assert holder["Spec"]["holder"].startswith(relay)
            document = fleet_cluster.make_document(3)
            document["Routes"] = document["Routes"][:1]
            cluster.store.put("config", "main", document)

            async def is_route_removed() -> bool:
                response = await member.send("/safe/x", "r2")
                return response.status == 404

            await _wait_until(is_route_removed)
            assert set(calls) <= {
                "POST tamaracktide-instances",
                "GET tamaracktide-instances",
            }


async def test_member_without_its_relay_follows_the_store_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: a relay is lost for good beside a change of the routes."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
        zones = {"n1": "z1", "n2": "z1"}
        relay = relays.make_plan("n1", "z1", zones, ()).relay
        member = next(name for name in zones if name != relay)
        port = deployment.find_port()
        stop, stopped = anyio.Event(), anyio.Event()

        async def run_relay(*, task_status: anyio.abc.TaskStatus[None]) -> None:
            async with _run_instance(cluster, relay, "127.0.0.1", port):
                task_status.started()
                await stop.wait()
            stopped.set()

        async with anyio.create_task_group() as tasks:
            await tasks.start(run_relay)
            async with _run_instance(
                cluster, member, "127.0.0.2", port
            ) as instance:
                assert (await instance.send("/safe/x", "r1")).status == 200
                stop.set()
                await stopped.wait()
                document = fleet_cluster.make_document(3)
                document["Routes"] = document["Routes"][:1]
                cluster.store.put("config", "main", document)

                async def is_route_removed() -> bool:
                    response = await instance.send("/safe/x", "r2")
                    return response.status == 404

                with anyio.fail_after(3.0):
                    await _wait_until(is_route_removed)


async def test_relay_without_the_store_gets_changes_from_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: the store turns away the relay of a zone only.

    Its members get changes from relays that the store still serves.
    """
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with (
            _run_instance(
                cluster, "n1", peer_port=port, store_address=address
            ) as cut_off,
            _run_instance(
                cluster, "n2", "127.0.0.2", peer_port=port, zone="z2"
            ),
        ):
            assert (await cut_off.send("/safe/x", "r1")).status == 200
            store_proxy.is_unavailable = True
            await anyio.sleep(1.5)
            document = fleet_cluster.make_document(3)
            document["Routes"] = document["Routes"][:1]
            cluster.store.put("config", "main", document)

            async def is_route_removed() -> bool:
                response = await cut_off.send("/safe/x", "r2")
                return response.status == 404

            with anyio.fail_after(3.0):
                await _wait_until(is_route_removed)


async def test_relay_whose_store_went_silent_learns_of_a_drain_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: a drain while the store is silent for one relay only.

    Its calls neither fail nor end. Guards against its members sending to the
    upstream for more than three seconds.
    """
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with (
            _run_instance(
                cluster, "n1", peer_port=port, store_address=address
            ) as silent,
            _run_instance(
                cluster, "n2", "127.0.0.2", peer_port=port, zone="z2"
            ),
        ):
            await anyio.sleep(1.0)
            store_proxy.is_silent = True
            cluster.register(leaving, state="draining")
            await anyio.sleep(2.5)
            before = len(leaving.runs)
            await silent.send_at_once(8, "r")
            assert len(leaving.runs) == before


async def test_changes_after_a_missed_one_reach_a_silent_relay_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: several drains while the store is silent for one relay.

    Having missed the first, the relay no longer counts on its own connection.
    """
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    async with fleet_cluster.run_cluster() as cluster:
        first, second, _ = [
            await cluster.add_server(fleet_cluster.Server(name))
            for name in ("p1", "p2", "p3")
        ]
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with (
            _run_instance(
                cluster, "n1", peer_port=port, store_address=address
            ) as silent,
            _run_instance(
                cluster, "n2", "127.0.0.2", peer_port=port, zone="z2"
            ),
        ):
            await anyio.sleep(1.0)
            store_proxy.is_silent = True
            cluster.register(first, state="draining")
            await anyio.sleep(3.0)
            cluster.register(second, state="draining")
            await anyio.sleep(2 * object_exchange.RELAY_WATCH_PAUSE_S)
            before = len(first.runs), len(second.runs)
            await silent.send_at_once(9, "r")
            assert (len(first.runs), len(second.runs)) == before


async def test_request_after_a_restart_waits_for_the_lease() -> None:
    """Load pattern: requests arrive right after a restart of all instances.

    All instances lost power at the same time. The lease is acquired again
    shortly after the first requests. Guards against these requests being
    refused with LOAD_FAILED.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with _run_instance(
            cluster, peer_port=port, store_address=address
        ):
            pass
        store_proxy.unavailable_kind = "tamaracktide-leases"
        async with (
            _run_instance(
                cluster, peer_port=port, store_address=address
            ) as instance,
            anyio.create_task_group() as tasks,
        ):
            responses: list[httpcore.Response] = []

            async def generate() -> None:
                responses.append(await instance.generate("r1"))

            tasks.start_soon(generate)
            await anyio.sleep(0.3)
            store_proxy.unavailable_kind = ""
            await _wait_until(lambda: _has_response(responses))
            assert responses[0].status == 200


async def _has_response(responses: list[httpcore.Response]) -> bool:
    return bool(responses)
