"""Tests of the store client against the contract of `object_api.port`."""

import json

import fleet_cluster
import pytest

from fleet import store as fleet_store
from tamaracktide import errors

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def test_writes_are_conditional() -> None:
    """A write with a stale version fails and changes nothing."""
    async with fleet_cluster.run_cluster() as cluster:
        store = fleet_store.FleetStore(cluster.address)
        version = await store.create("k/x", b'{"a":1}')
        with pytest.raises(errors.PreconditionFailedError):
            await store.create("k/x", b'{"a":2}')
        newer = await store.update("k/x", b'{"a":3}', version)
        with pytest.raises(errors.PreconditionFailedError):
            await store.update("k/x", b'{"a":4}', version)
        found = await store.read("k/x")
        assert (json.loads(found.value), found.version) == ({"a": 3}, newer)
        with pytest.raises(errors.ObjectMissingError):
            await store.read("k/y")
        await store.close()


async def test_listing_reads_all_pages() -> None:
    """The page after a truncated one starts after its last name."""
    async with fleet_cluster.run_cluster() as cluster:
        for index in range(5):
            cluster.store.put("k", f"n{index}", index)
        store = fleet_store.FleetStore(cluster.address)
        found = await store.list_values("k/")
        assert [item.key for item in found.items] == [
            f"k/n{index}" for index in range(5)
        ]
        await store.close()


async def test_watch_returns_changes_and_removals() -> None:
    """Removed objects have no value."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.put("k", "x", 1)
        store = fleet_store.FleetStore(cluster.address)
        listing = await store.list_values("k/")
        cluster.store.put("k", "x", 2)
        cluster.store.remove("k", "x")
        changes = await store.watch_values("k/", listing.version, 1.0)
        assert [item.value for item in changes.items] == [b"2", None]
        assert changes.version > listing.version
        await store.close()


async def test_lost_response_is_an_uncertain_outcome() -> None:
    """A write without a response may have taken effect."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.drop_responses = True
        store = fleet_store.FleetStore(cluster.address)
        with pytest.raises(errors.PlatformUnavailableError):
            await store.create("k/x", b"1")
        assert "x" in cluster.store.objects["k"]
        await store.close()


async def test_changes_beyond_the_bound_are_listed_again() -> None:
    """Guards against a follower that reads the same changes again and again.

    A listing comes in pages, each of them within the bound.
    """
    async with fleet_cluster.run_cluster() as cluster:
        store = fleet_store.FleetStore(cluster.address, max_answer_bytes=2048)
        listing = await store.list_values("k/")
        for index in range(20):
            cluster.store.put("k", f"n{index:02}", "x" * 200)
        changes = await store.watch_values("k/", listing.version, 1.0)
        assert changes.reset
        assert not changes.items
        found = await store.list_values("k/")
        assert len(found.items) == 20
        await store.close()


async def test_listing_starts_again_if_the_store_is_restored_meanwhile() -> (
    None
):
    """Guards against a listing whose pages are of two eras."""
    async with fleet_cluster.run_cluster() as cluster:
        for index in range(5):
            cluster.store.put("k", f"n{index}", "old")
        saved = cluster.store.make_copy()
        store = fleet_store.FleetStore(cluster.address)
        eras: list[int] = []

        def restore_after_the_first_page(era: int) -> None:
            eras.append(era)
            if len(eras) == 1:
                cluster.store.restore(saved)
                cluster.store.put("k", "n0", "new")

        store.listen_for_eras(restore_after_the_first_page)
        found = await store.list_values("k/")
        assert [item.value for item in found.items] == [b'"new"'] + [
            b'"old"'
        ] * 4
        assert {item.era for item in found.items} == {found.era} == {2}
        assert eras == [1, 2, 2, 2, 2]
        await store.close()


@pytest.mark.parametrize(
    ("named", "expected"), [("", 0), ("3", 3), ("x", 0), ("9" * 30, 0)]
)
async def test_era_of_a_store_that_names_none_is_zero(
    named: str, expected: int
) -> None:
    """The same holds for a value that is no number of reasonable size."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.era = named
        store = fleet_store.FleetStore(cluster.address)
        listing = await store.list_values("config/")
        assert listing.era == expected
        await store.close()


async def test_era_is_observed_in_failures_too() -> None:
    """It is known before the call raises."""
    async with fleet_cluster.run_cluster() as cluster:
        cluster.store.era = 4
        store = fleet_store.FleetStore(cluster.address)
        eras: list[int] = []
        store.listen_for_eras(eras.append)
        with pytest.raises(errors.ObjectMissingError):
            await store.read("k/x")
        assert eras == [4]
        await store.close()
