"""Complete entry instances, in process, on a fake platform."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
import fleet_cluster
import httpcore

import deployment
from fleet import adapter
from tamaracktide.core import crash_evidence
from tamaracktide.entry import app
from tamaracktide.entry import crashes as entry_crashes
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import program
from tamaracktide.entry import settings as entry_settings
from tamaracktide.upstreams import network
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

WAIT_TIMEOUT_S = 15.0
LINKED_S = 1.0
"""Time after which started instances know each other."""

BODY = b"body"
"""Body of every request of the tests."""


@dataclasses.dataclass(slots=True)
class Instance:
    """An entry instance and a connection pool for calls to it.

    Attributes:
        settings: Its settings.
        pool: The connection pool.
        crashes: Its tracker of crashing requests.
        stopped: Set once it has ended after a stop signal.
    """

    settings: entry_settings.EntrySettings
    pool: httpcore.AsyncConnectionPool
    crashes: entry_crashes.CrashTracker
    stopped: anyio.Event = dataclasses.field(default_factory=anyio.Event)

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
            content=BODY,
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

    def quarantine(self, path: str) -> None:
        """Has a peer announce that the requests for a path are quarantined."""
        fingerprint = app.compute_fingerprint(path, BODY)
        self.crashes.apply_quarantined(
            crash_evidence.Quarantined(requests=(fingerprint,))
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


async def wait_until(check: object) -> None:
    """Waits until an asynchronous check holds."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not await check():  # type: ignore[operator]
            await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_instance(
    cluster: fleet_cluster.Cluster,
    name: str = "n1",
    host: str = fleet_cluster.HOST,
    peer_port: int = 0,
    store_address: str = "",
    zone: str = "z1",
    bounds: entry_settings.Bounds | None = None,
    backend: network.Backend | None = None,
    is_first_start: bool = True,
    waits_for_lease: bool = True,
    forward_port: int | None = None,
    transport: entry_peers.Transport = entry_peers.WEB_SOCKETS,
) -> AsyncIterator[Instance]:
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
        forward_port=forward_port or cluster.forward_port,
        platform_address=store_address or cluster.address,
        is_first_start=is_first_start,
        bounds=bounds or entry_settings.Bounds(),
    )
    fleet_adapter = adapter.FleetAdapter()
    store = fleet_adapter.open_store(settings)
    async with (
        streams.StreamClient(
            upstream_settings.UpstreamSettings(), backend
        ) as upstream_client,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as tasks,
    ):
        entry_instance = program.EntryInstance(
            settings, fleet_adapter, upstream_client, store, tasks, transport
        )
        instance = Instance(settings, pool, entry_instance.crashes)

        async def run() -> None:
            await entry_instance.run()
            instance.stopped.set()

        tasks.start_soon(run)
        await wait_until(instance.is_ready)

        async def is_lease_held() -> bool:
            leases = cluster.store.objects.get("tamaracktide-leases", {})
            return "llm.z1" in leases

        has_engines = any(server.slots for server in cluster.servers.values())
        if has_engines and waits_for_lease:
            await wait_until(is_lease_held)
        yield instance
        tasks.cancel_scope.cancel()
    await store.close()


@contextlib.asynccontextmanager
async def run_linked(
    cluster: fleet_cluster.Cluster, count: int, backend: network.Backend
) -> AsyncIterator[list[Instance]]:
    """Runs instances that know each other.

    Args:
        cluster: The platform and its servers.
        count: Number of instances.
        backend: Opens the connections of the first one.
    """
    port = deployment.find_port()
    async with contextlib.AsyncExitStack() as stack:
        instances = [
            await stack.enter_async_context(
                run_instance(
                    cluster,
                    f"n{number}",
                    f"127.0.0.{number}",
                    port,
                    backend=backend if number == 1 else None,
                )
            )
            for number in range(1, count + 1)
        ]
        await anyio.sleep(LINKED_S)
        yield instances
