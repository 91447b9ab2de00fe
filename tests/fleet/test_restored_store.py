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


@pytest.mark.parametrize("first_era", [0, 1, 7])
async def test_manifest_written_after_a_restoration_comes_into_force(
    first_era: int,
) -> None:
    """Guards against manifests that are ignored for their low revision.

    The store may name no era before its first restoration.
    """
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.era = first_era
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


async def test_instance_that_starts_learns_the_lost_document() -> None:
    """Guards against a start with the document of the copy (CONFIG).

    The operator has not written the document again yet; another instance still
    has it in force.
    """
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(fleet_cluster.Server("p1"))
        port = deployment.find_port()
        async with entry_instances.run_instance(
            cluster, peer_port=port
        ) as instance:
            saved = cluster.store.make_copy()
            lose_changes(cluster.store)
            put_document(cluster, 2, routes=3)
            await wait_for_status(instance, "/once/x", 404)
            cluster.store.restore(saved)
            await anyio.sleep(0.5)
            async with entry_instances.run_instance(
                cluster, "n2", "127.0.0.2", port, waits_for_lease=False
            ) as started:
                await wait_for_status(started, "/once/x", 404)
                put_document(cluster, 2, routes=3)
                put_document(cluster, 3, routes=4)
                await wait_for_status(started, "/once/x", 200)


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


def list_holders(engine: fleet_cluster.Server) -> dict[int, set[str]]:
    """Returns who sent orders to an engine, by fencing token."""
    holders: dict[int, set[str]] = {}
    for order in engine.orders:
        holders.setdefault(order["FencingToken"], set()).add(order["Holder"])
    return holders


@pytest.mark.parametrize("first_era", [0, 1])
async def test_holder_goes_on_after_it_has_written_its_lease_anew(
    first_era: int,
) -> None:
    """The restored record is of another machine, with the same epoch.

    Guards against two holders with one fencing token, and against a cell
    without a holder for the term and the quiet period.
    """
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.era = first_era
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        async with entry_instances.run_instance(cluster) as instance:
            assert (await instance.generate("r1", "a1")).status == 200
            saved = cluster.store.make_copy()
            lease = saved.objects["tamaracktide-leases"]["llm.z1"]["Spec"]
            lost = dict(lease)
            lease["holder"] = "n9@127.0.0.9"
            lose_changes(cluster.store)
            cluster.store.restore(saved)
            await anyio.sleep(1.0)
            assert (await instance.generate("r2", "a2")).status == 200
            record = cluster.store.objects["tamaracktide-leases"]["llm.z1"]
            assert record["Spec"]["holder"] == lost["holder"]
            assert record["Spec"]["epoch"] > lost["epoch"]
            assert record["Spec"]["era"] == first_era + 1
            tokens = [order["FencingToken"] for order in engine.orders]
            assert tokens == sorted(set(tokens))


async def test_machine_without_the_lease_takes_no_restored_record_over() -> (
    None
):
    """Guards against two holders that order within the quiet period.

    The copy is of a time before the lease was first written, so the record is
    missing; another instance starts after the restoration.
    """
    async with fleet_cluster.run_cluster() as cluster:
        saved = cluster.store.make_copy()
        engine = await cluster.add_server(fleet_cluster.Server("e1", slots=3))
        store_proxy, address = await cluster.add_store_proxy()
        async with entry_instances.run_instance(
            cluster, store_address=address
        ) as holder:
            assert (await holder.generate("r1", "a1")).status == 200
            # The holder reaches neither the store nor the other instance.
            store_proxy.is_unavailable = True
            cluster.store.restore(saved)
            put_document(cluster, 1, routes=4)
            cluster.register(engine)
            async with entry_instances.run_instance(
                cluster, "n2", "127.0.0.2", waits_for_lease=False
            ):
                await anyio.sleep(5.0)
                leases = cluster.store.objects.get("tamaracktide-leases", {})
                assert leases == {}
                assert (await holder.generate("r2", "a2")).status == 200
            assert list_holders(engine).keys() == {
                engine.orders[0]["FencingToken"]
            }
