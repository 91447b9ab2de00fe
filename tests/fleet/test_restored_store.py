"""Tests of entry instances whose store comes back from an older copy.

Load pattern: a restoration of the store. Its latest changes are lost, revisions
are given out again, and the operator and the servers write theirs again.
"""

from collections.abc import Callable

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

import deployment

pytestmark = pytest.mark.anyio

APPLY_S = 2.0
"""Time after which what was written must be in force."""

LOST_CHANGES = 30
"""Changes after the copy: far more than are written after the restoration."""


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


def lose_changes(store: fleet_cluster.Store) -> None:
    """Makes changes that the copy does not contain."""
    for number in range(LOST_CHANGES):
        store.put("other", "object", number)


async def wait_for(check: Callable[[], bool], timeout_s: float) -> None:
    """Waits until a condition holds."""
    with anyio.fail_after(timeout_s):
        while not check():
            await anyio.sleep(0.02)


async def wait_for_status(
    instance: entry_instances.Instance, path: str, status: int
) -> None:
    """Sends requests for a path until one gets a status."""
    number = 0
    with anyio.fail_after(APPLY_S):
        while True:
            response = await instance.send(path, f"w{number}-{status}")
            if response.status == status:
                return
            number += 1
            await anyio.sleep(0.05)


async def test_manifest_written_after_a_restoration_comes_into_force() -> None:
    """Guards against manifests that are ignored for their low revision."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with entry_instances.run_instance(cluster) as instance:
            saved = cluster.store.make_copy()
            lose_changes(cluster.store)
            put_document(cluster, 2, routes=3)
            await wait_for_status(instance, "/once/x", 404)
            cluster.store.restore(saved)
            await anyio.sleep(0.2)
            assert (await instance.send("/once/x", "r1")).status == 404
            put_document(cluster, 2, routes=3)
            put_document(cluster, 3, routes=4)
            await wait_for_status(instance, "/once/x", 200)


async def test_restored_entry_does_not_end_the_drain_of_a_server() -> None:
    """Guards against requests to a server whose drain the store has lost."""
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        async with entry_instances.run_instance(cluster) as instance:
            saved = cluster.store.make_copy()
            lose_changes(cluster.store)
            cluster.register(leaving, state="draining")
            await anyio.sleep(APPLY_S / 2)
            leaving.runs.clear()
            cluster.store.restore(saved)
            for number in range(20):
                await instance.send("/safe/x", f"r{number}")
                await anyio.sleep(0.05)
            assert leaving.runs == []


async def test_drain_written_after_a_restoration_is_observed() -> None:
    """Guards against drains that are ignored for their low revision."""
    async with fleet_cluster.run_cluster() as cluster:
        leaving = await cluster.add_server(fleet_cluster.Server("p1"))
        await cluster.add_server(fleet_cluster.Server("p2"))
        async with entry_instances.run_instance(cluster) as instance:
            saved = cluster.store.make_copy()
            lose_changes(cluster.store)
            cluster.register(leaving)
            await anyio.sleep(APPLY_S / 2)
            cluster.store.restore(saved)
            await anyio.sleep(0.5)
            cluster.register(leaving, state="draining")
            await anyio.sleep(APPLY_S)
            leaving.runs.clear()
            await instance.send_at_once(10, "after")
            assert leaving.runs == []


async def test_instance_registers_again_in_a_restored_store() -> None:
    """Guards against registrations that are gone for good."""
    async with fleet_cluster.run_cluster() as cluster:
        saved = cluster.store.make_copy()
        async with entry_instances.run_instance(cluster):
            instances = cluster.store.objects["tamaracktide-instances"]
            assert set(instances) == {"n1"}
            cluster.store.restore(saved)
            await wait_for(
                lambda: (
                    "n1"
                    in cluster.store.objects.get("tamaracktide-instances", {})
                ),
                entry_instances.WAIT_TIMEOUT_S,
            )


async def test_instance_without_the_store_learns_of_the_era_from_a_peer() -> (
    None
):
    """Guards against objects of a peer being ignored for their revisions.

    One of two instances does not reach the store before, during and after its
    restoration.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        store_proxy, address = await cluster.add_store_proxy()
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(cluster, peer_port=port),
            entry_instances.run_instance(
                cluster, "n2", "127.0.0.2", port, store_address=address
            ) as isolated,
        ):
            saved = cluster.store.make_copy()
            lose_changes(cluster.store)
            put_document(cluster, 2, routes=3)
            await wait_for_status(isolated, "/once/x", 404)
            store_proxy.is_unavailable = True
            await anyio.sleep(0.5)
            cluster.store.restore(saved)
            put_document(cluster, 3, routes=4)
            await wait_for_status(isolated, "/once/x", 200)


async def test_change_of_the_era_is_shown_by_metrics() -> None:
    """The era and what was listed again are shown."""
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with entry_instances.run_instance(cluster) as instance:
            cluster.store.restore(cluster.store.make_copy())
            await anyio.sleep(APPLY_S)
            settings = instance.settings
            response: httpcore.Response = await instance.pool.request(
                "GET", f"http://{settings.ip}:{settings.metrics_port}/metrics"
            )
            text = response.content.decode()
            assert "store_era 2" in text
            assert "store_era_changes 1" in text
            for prefix in ("config/", "servers/"):
                assert f'store_relisted_objects{{prefix="{prefix}"}} 1' in text
