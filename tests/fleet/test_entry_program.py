"""The whole entry program, in process, on the platform's stand-in."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import signal

import anyio
import fleet_cluster
import httpcore
import pytest

import deployment
from fleet import adapter
from tamaracktide.entry import program
from tamaracktide.entry import serving
from tamaracktide.entry import settings as entry_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings

pytestmark = pytest.mark.anyio

PATIENCE_S = 15.0


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class _Instance:
    """An entry instance, and a pool to call it through."""

    settings: entry_settings.EntrySettings
    pool: httpcore.AsyncConnectionPool

    async def send(
        self, path: str, request_id: str, **extra: str
    ) -> httpcore.Response:
        """Sends one request of a caller."""
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

    async def generate(
        self, request_id: str, name: str = "a1", path: str = "/stream/x"
    ) -> httpcore.Response:
        """Sends one generation."""
        return await self.send(
            path,
            request_id,
            X_Model=f"{fleet_cluster.MODEL}/{name}",
            X_Token_Count="100,30",
        )

    async def is_ready(self) -> bool:
        """Returns what the balancer sees."""
        try:
            answer = await self.pool.request(
                "GET", f"http://{self.settings.readiness_address}/any"
            )
        except httpcore.ConnectError:
            return False
        return answer.status == 200


async def _wait(check: object) -> None:
    with anyio.fail_after(PATIENCE_S):
        while not await check():  # type: ignore[operator]
            await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def _run(
    world: fleet_cluster.World,
    name: str = "n1",
    host: str = fleet_cluster.HOST,
    peer_port: int = 0,
    store_address: str = "",
) -> AsyncIterator[_Instance]:
    """Runs an instance, and waits until somebody may order."""
    ports = [deployment.find_port() for _ in range(4)]
    settings = entry_settings.EntrySettings(
        instance=name,
        availability_zone="z1",
        ip=host,
        caller_address=f"{host}:{ports[0]}",
        readiness_address=f"{host}:{ports[1]}",
        peer_port=peer_port or ports[2],
        metrics_port=ports[3],
        platform_address=store_address or world.address,
    )
    own = adapter.FleetAdapter()
    store = own.open_store(settings.platform_address)
    async with (
        calls.Caller(upstream_settings.UpstreamSettings()) as caller,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as tasks,
    ):
        running = program.EntryInstance(settings, own, caller, store, tasks)
        tasks.start_soon(running.run)
        instance = _Instance(settings, pool)
        await _wait(instance.is_ready)

        async def holds_leases() -> bool:
            leases = world.store.objects.get("tamaracktide-leases", {})
            return "llm.z1" in leases

        if any(server.slots for server in world.servers.values()):
            await _wait(holds_leases)
        yield instance
        tasks.cancel_scope.cancel()
    await store.close()


async def test_generation_waits_for_its_adapter_and_streams_whole() -> None:
    """An adapter is loaded by order, and the stream passes unchanged."""
    async with fleet_cluster.run_world() as world:
        engine = await world.add(fleet_cluster.Server("e1", slots=3))
        async with _run(world) as instance:
            answer = await instance.generate("r1")
            assert answer.status == 200
            assert answer.content.count(b"\n\n") == engine.events
            assert engine.runs == ["r1"]
            assert [order["Adapter"] for order in engine.orders] == ["a1"]
            head = engine.heads["r1"]
            assert head["x-expect-instance"] == "e1"
            assert int(head["x-deadline-ms"]) <= 4000


async def test_slots_are_never_exceeded_and_all_are_served() -> None:
    """Six adapters share three slots; each request is answered."""
    async with fleet_cluster.run_world() as world:
        engine = await world.add(fleet_cluster.Server("e1", slots=3))
        async with _run(world) as instance:
            for index in range(6):
                answer = await instance.generate(f"r{index}", f"a{index}")
                assert answer.status == 200
                await anyio.sleep(0.6)
            assert len(engine.adapters) == 3


async def test_broken_stream_goes_on_at_another_engine() -> None:
    """A resumable stream is continued after its last whole event."""
    async with fleet_cluster.run_world() as world:
        for name in ("e1", "e2"):
            await world.add(
                fleet_cluster.Server(name, slots=3, break_after=4, events=8)
            )
        async with _run(world) as instance:
            answer = await instance.generate("r1")
            ran = [s for s in world.servers.values() if s.runs]
            assert len(ran) == 2
            ids = [
                int(event.split(b"\n")[0][4:])
                for event in answer.content.split(b"\n\n")
                if event
            ]
            assert ids == list(range(1, 9))


async def test_stream_that_may_not_resume_never_looks_complete() -> None:
    """A broken stream ends by a closed connection, without its last chunk."""
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("e1", slots=3, break_after=4))
        async with _run(world) as instance:
            with pytest.raises(httpcore.RemoteProtocolError):
                await instance.generate("r1", path="/once-stream/x")
            assert world.servers["e1"].runs == ["r1"]


async def test_lost_answer_of_an_unsafe_call_is_no_promise() -> None:
    """It may have run: no second run, and no status that says not run."""
    async with fleet_cluster.run_world() as world:
        for name in ("p1", "p2"):
            await world.add(fleet_cluster.Server(name, lose=True))
        async with _run(world) as instance:
            answer = await instance.send("/once/x", "r1")
            assert answer.status in (502, 504)
            runs = [run for s in world.servers.values() for run in s.runs]
            assert runs == ["r1"]


async def test_lost_answer_of_an_idempotent_call_is_repeated() -> None:
    """Another server answers; the caller sees one whole answer."""
    async with fleet_cluster.run_world() as world:
        bad = await world.add(fleet_cluster.Server("p1", lose=True))
        good = await world.add(fleet_cluster.Server("p2"))
        async with _run(world) as instance:
            for index in range(6):
                answer = await instance.send("/safe/x", f"r{index}")
                assert answer.status == 200
            assert bad.runs
            assert len(good.runs) == 6


async def test_no_server_is_refused_at_once_with_a_time() -> None:
    """A request that nobody can serve is refused, truly not run."""
    async with fleet_cluster.run_world() as world, _run(world) as instance:
        with anyio.fail_after(1.0):
            answer = await instance.send("/safe/x", "r1")
        assert answer.status == 503
        headers = {name.lower(): value for name, value in answer.headers}
        assert float(headers[b"retry-after"]) > 0


async def test_newest_document_decides_and_broken_one_changes_nothing() -> None:
    """A new version is in force in time; a malformed one is left out."""
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("p1"))
        async with _run(world) as instance:
            assert (await instance.send("/safe/x", "r1")).status == 200
            world.store.put("config", "main", {"Version": "broken"})
            await anyio.sleep(0.2)
            assert (await instance.send("/safe/x", "r2")).status == 200
            document = fleet_cluster.make_document(3)
            document["Routes"] = document["Routes"][:1]
            world.store.put("config", "main", document)

            async def is_gone() -> bool:
                answer = await instance.send("/safe/x", "r3")
                return answer.status == 404

            await _wait(is_gone)


async def test_leaving_server_gets_no_new_requests() -> None:
    """A drain is followed while the others serve."""
    async with fleet_cluster.run_world() as world:
        leaving = await world.add(fleet_cluster.Server("p1"))
        await world.add(fleet_cluster.Server("p2"))
        async with _run(world) as instance:
            world.register(leaving, state="draining")
            await anyio.sleep(1.0)
            before = len(leaving.runs)
            for index in range(8):
                answer = await instance.send("/safe/x", f"r{index}")
                assert answer.status == 200
            assert len(leaving.runs) == before


async def test_announced_version_is_demanded_and_loaded() -> None:
    """After an announcement no request runs on an older version."""
    async with fleet_cluster.run_world() as world:
        engine = await world.add(fleet_cluster.Server("e1", slots=3))
        async with _run(world) as instance:
            assert (await instance.generate("r1")).status == 200
            world.store.put(
                "versions",
                f"{fleet_cluster.MODEL}.a1",
                {"Model": fleet_cluster.MODEL, "Adapter": "a1", "Version": 2},
            )
            await anyio.sleep(0.5)
            assert (await instance.generate("r2")).status == 200
            assert engine.adapters["a1"] == 2
            assert engine.heads["r2"]["x-expect-version"] == "2"


async def test_stop_ends_streams_whole_and_closes_idle_connections() -> None:
    """Load pattern: a stop amid streams and kept connections.

    Not ready at once, still answering until the balancer has turned away,
    then idle connections are closed and streams in progress end whole. A
    request that was taken later than 3 s after the signal used to be cut.
    """
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("p1"))
        slow = fleet_cluster.Server("e1", slots=3, events=30, pause_s=0.1)
        await world.add(slow)
        async with _run(world) as instance:
            assert (await instance.send("/safe/x", "r0")).status == 200
            answers: list[httpcore.Response] = []

            async def stream() -> None:
                answers.append(await instance.generate("r1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                await anyio.sleep(0.2)
                os.kill(os.getpid(), signal.SIGTERM)
                await anyio.sleep(0.3)
                assert not await instance.is_ready()
                late = await instance.send("/safe/x", "r2")
                assert late.status == 200
                await anyio.sleep(serving.CONNECTION_CLOSE_DELAY_S)
                with pytest.raises(httpcore.ConnectError):
                    await instance.send("/safe/x", "r3")
            assert answers[0].content.count(b"\n\n") == slow.events


async def test_outage_of_the_store_leaves_serving_alone() -> None:
    """With the store away, what is loaded goes on being served."""
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("e1", slots=3))
        async with _run(world) as instance:
            assert (await instance.generate("r1")).status == 200
            world.store.is_down = True
            await anyio.sleep(0.5)
            assert (await instance.generate("r2")).status == 200


async def test_holder_that_lost_the_store_renews_through_a_peer() -> None:
    """Load pattern: the store is away for the holder only.

    Its right used to end after 9 s, and its engines got no loads until
    another instance took over.
    """
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("e1", slots=3))
        gate, address = await world.add_gate()
        port = deployment.find_port()
        async with (
            _run(world, peer_port=port, store_address=address),
            _run(world, name="n2", host="127.0.0.2", peer_port=port),
        ):
            leases = world.store.objects["tamaracktide-leases"]
            first = leases["llm.z1"]["Metadata"]["Revision"]
            gate.is_down = True

            async def is_renewed_twice() -> bool:
                found = leases["llm.z1"]["Metadata"]["Revision"]
                return bool(found > first + 1)

            await _wait(is_renewed_twice)
            assert leases["llm.z1"]["Spec"]["epoch"] == 1


async def test_request_after_a_restart_waits_for_the_right_to_order() -> None:
    """Load pattern: all instances lost power, and callers come at once.

    The lease is taken back a moment after the first requests; they used to
    be refused with LOAD_FAILED.
    """
    async with fleet_cluster.run_world() as world:
        await world.add(fleet_cluster.Server("e1", slots=3))
        gate, address = await world.add_gate()
        port = deployment.find_port()
        async with _run(world, peer_port=port, store_address=address):
            pass
        gate.down_kind = "tamaracktide-leases"
        async with (
            _run(world, peer_port=port, store_address=address) as instance,
            anyio.create_task_group() as tasks,
        ):
            answers: list[httpcore.Response] = []

            async def generate() -> None:
                answers.append(await instance.generate("r1"))

            tasks.start_soon(generate)
            await anyio.sleep(0.3)
            gate.down_kind = ""
            await _wait(lambda: _is_full(answers))
            assert answers[0].status == 200


async def _is_full(answers: list[httpcore.Response]) -> bool:
    return bool(answers)
