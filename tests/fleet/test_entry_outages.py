"""Tests of entry instances that lose the store, their relay or their lease."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

import deployment
from tamaracktide.core import document_fetch
from tamaracktide.core import relays
from tamaracktide.entry import document_exchange
from tamaracktide.entry import object_exchange

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def put_document(
    cluster: fleet_cluster.Cluster, version: int, routes: int
) -> None:
    """Writes a routing document with the first routes only."""
    document = fleet_cluster.make_document(version)
    document["Routes"] = document["Routes"][:routes]
    cluster.store.put("config", "main", document)


async def test_store_outage_does_not_affect_loaded_adapters() -> None:
    """While the store is unreachable, loaded adapters are still served."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
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
            entry_instances.run_instance(
                cluster, peer_port=port, store_address=address
            ),
            entry_instances.run_instance(
                cluster, name="n2", host="127.0.0.2", peer_port=port
            ),
        ):
            leases = cluster.store.objects["tamaracktide-leases"]
            first_revision = leases["llm.z1"]["Metadata"]["Revision"]
            store_proxy.is_unavailable = True

            async def is_lease_renewed_twice() -> bool:
                found = leases["llm.z1"]["Metadata"]["Revision"]
                return bool(found > first_revision + 1)

            await entry_instances.wait_until(is_lease_renewed_twice)
            assert leases["llm.z1"]["Spec"]["epoch"] == 1


READ_AND_STATEMENT = 2
"""Calls with which an instance reads its record of streams at its start, and
states which software versions it may use."""

LIST_AND_WATCHES = 3
"""Calls for a document that changes once: a listing, and a watch before and
after the change."""


@contextlib.asynccontextmanager
async def _run_relay_and_member(
    cluster: fleet_cluster.Cluster, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[
    tuple[
        dict[str, entry_instances.Instance],
        dict[str, fleet_cluster.StoreProxy],
        str,
    ]
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
    instances: dict[str, entry_instances.Instance] = {}
    async with contextlib.AsyncExitStack() as stack:
        for name, host in hosts.items():
            proxies[name], address = await cluster.add_store_proxy()
            instances[name] = await stack.enter_async_context(
                entry_instances.run_instance(cluster, name, host, port, address)
            )
        yield instances, proxies, relay


async def test_member_follows_the_store_through_its_relay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: hundreds of instances, of which few follow the store.

    A member calls the store for the routing document only, once and after each
    change, and to state the software versions of its upstreams. Upstreams reach
    it through its relay, and a load that it needs is ordered by the lease
    holder.
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
            put_document(cluster, 3, routes=1)

            async def is_route_removed() -> bool:
                response = await member.send("/safe/x", "r2")
                return response.status == 404

            await entry_instances.wait_until(is_route_removed)
            assert set(calls) <= {
                "POST tamaracktide-instances",
                "GET tamaracktide-instances",
                "GET config",
                "GET tamaracktide-streams",
                "POST tamaracktide-streams",
            }
            assert calls.count("GET config") <= LIST_AND_WATCHES
            streams = [c for c in calls if c.endswith("tamaracktide-streams")]
            assert len(streams) <= READ_AND_STATEMENT, streams


async def test_member_of_an_earlier_build_is_sent_the_document(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: an upgrade, in which relays are replaced before members.

    Earlier builds neither read the document themselves nor fetch it.
    """
    next_revision = document_exchange.PARTS_REVISION + 1
    monkeypatch.setattr(document_exchange, "PARTS_REVISION", next_revision)
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with _run_relay_and_member(cluster, monkeypatch) as (
            instances,
            proxies,
            relay,
        ):
            (name,) = instances.keys() - {relay}
            proxies[name].is_silent = True
            put_document(cluster, 3, routes=1)
            with anyio.fail_after(document_fetch.MAX_BEHIND_S):
                while (
                    await instances[name].send("/safe/x", "r")
                ).status == 200:
                    await anyio.sleep(0.02)


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
            async with entry_instances.run_instance(
                cluster, relay, "127.0.0.1", port
            ):
                task_status.started()
                await stop.wait()
            stopped.set()

        async with anyio.create_task_group() as tasks:
            await tasks.start(run_relay)
            async with entry_instances.run_instance(
                cluster, member, "127.0.0.2", port
            ) as instance:
                assert (await instance.send("/safe/x", "r1")).status == 200
                stop.set()
                await stopped.wait()
                put_document(cluster, 3, routes=1)

                async def is_route_removed() -> bool:
                    response = await instance.send("/safe/x", "r2")
                    return response.status == 404

                with anyio.fail_after(3.0):
                    await entry_instances.wait_until(is_route_removed)


@contextlib.asynccontextmanager
async def _run_relays(
    cluster: fleet_cluster.Cluster, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[tuple[entry_instances.Instance, fleet_cluster.StoreProxy]]:
    """Runs two relays in different zones, in the way of a large cluster.

    Yields the first one and its way to the store, which is its own.
    """
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)
    store_proxy, address = await cluster.add_store_proxy()
    port = deployment.find_port()
    async with (
        entry_instances.run_instance(
            cluster, "n1", peer_port=port, store_address=address
        ) as instance,
        entry_instances.run_instance(
            cluster, "n2", "127.0.0.2", peer_port=port, zone="z2"
        ),
    ):
        yield instance, store_proxy


async def test_relay_without_the_store_gets_changes_from_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: the store turns away the relay of a zone only.

    Its members get changes from relays that the store still serves.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with _run_relays(cluster, monkeypatch) as (cut_off, store_proxy):
            assert (await cut_off.send("/safe/x", "r1")).status == 200
            store_proxy.is_unavailable = True
            await anyio.sleep(1.5)
            put_document(cluster, 3, routes=1)

            async def is_route_removed() -> bool:
                response = await cut_off.send("/safe/x", "r2")
                return response.status == 404

            with anyio.fail_after(3.0):
                await entry_instances.wait_until(is_route_removed)


async def test_relay_whose_store_went_silent_learns_of_a_drain_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: a drain while the store is silent for one relay only.

    Its calls neither fail nor end. Guards against its members sending to the
    upstream for more than three seconds.
    """
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        async with _run_relays(cluster, monkeypatch) as (silent, store_proxy):
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
    async with fleet_cluster.run_cluster() as cluster:
        first, second, _ = [
            await cluster.add_server(fleet_cluster.Server(name))
            for name in ("p1", "p2", "p3")
        ]
        async with _run_relays(cluster, monkeypatch) as (silent, store_proxy):
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
        async with entry_instances.run_instance(
            cluster, peer_port=port, store_address=address
        ):
            pass
        store_proxy.unavailable_kind = "tamaracktide-leases"
        async with (
            entry_instances.run_instance(
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
            await entry_instances.wait_until(lambda: _has_response(responses))
            assert responses[0].status == 200


async def _has_response(responses: list[httpcore.Response]) -> bool:
    return bool(responses)


STABLE_S = 3.0
"""Time after an outage from when changes must be in force in time."""

IN_FORCE_S = 2.0
"""Time after a change until it must be in force."""


async def _lose_watch(
    store_proxy: fleet_cluster.StoreProxy, kind: str, change: Callable[[], None]
) -> None:
    """Has the store receive the next watch of a kind and never respond to it.

    Ends as soon as the store has been stable for `STABLE_S`.
    """
    store_proxy.silent_kind = kind
    change()
    await anyio.sleep(1.0)
    store_proxy.silent_kind = ""
    await anyio.sleep(STABLE_S)


async def test_drain_is_noticed_in_time_after_a_watch_was_lost() -> None:
    """Guards against requests to an upstream that has left (incident DRAIN).

    The store was silent as the upstreams were watched again; no other call
    failed. The watch was trusted for 11.5 s.
    """
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        other = await cluster.add_server(fleet_cluster.Server("p2"))
        store_proxy, address = await cluster.add_store_proxy()
        async with entry_instances.run_instance(
            cluster, store_address=address
        ) as instance:
            await _lose_watch(
                store_proxy, "servers", lambda: cluster.register(other, "z2")
            )
            cluster.register(leaving, state="draining")
            await anyio.sleep(IN_FORCE_S)
            await instance.send_at_once(8, "r")
            assert not leaving.runs


async def test_routes_are_in_force_in_time_after_a_watch_was_lost() -> None:
    """Guards against routes that stay in force after an outage of the store.

    Same cause as the late drain (incident DRAIN), for the routing document.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        store_proxy, address = await cluster.add_store_proxy()
        async with entry_instances.run_instance(
            cluster, store_address=address
        ) as instance:
            await _lose_watch(
                store_proxy,
                "config",
                lambda: put_document(cluster, 2, routes=4),
            )
            put_document(cluster, 3, routes=1)
            await anyio.sleep(IN_FORCE_S)
            assert (await instance.send("/safe/x", "r1")).status == 404
