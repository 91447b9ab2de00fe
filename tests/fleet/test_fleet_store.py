"""The store's client keeps the port's contract."""

import json

import fleet_cluster
import pytest

from fleet import store as fleet_store
from tamaracktide import errors

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


async def test_objects_are_written_under_conditions() -> None:
    """A write at another version fails and changes nothing."""
    async with fleet_cluster.run_world() as world:
        store = fleet_store.FleetStore(world.address)
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


async def test_listing_goes_over_all_pages() -> None:
    """A truncated page is continued after its last name."""
    async with fleet_cluster.run_world() as world:
        for index in range(5):
            world.store.put("k", f"n{index}", index)
        store = fleet_store.FleetStore(world.address)
        found = await store.list_values("k/")
        assert [item.key for item in found.items] == [
            f"k/n{index}" for index in range(5)
        ]
        await store.close()


async def test_watch_tells_changes_and_removals() -> None:
    """Removed objects come without a value."""
    async with fleet_cluster.run_world() as world:
        world.store.put("k", "x", 1)
        store = fleet_store.FleetStore(world.address)
        listing = await store.list_values("k/")
        world.store.put("k", "x", 2)
        world.store.remove("k", "x")
        changes = await store.watch_values("k/", listing.version, 1.0)
        assert [item.value for item in changes.items] == [b"2", None]
        assert changes.version > listing.version
        await store.close()


async def test_lost_answer_is_an_uncertain_outcome() -> None:
    """A write without an answer may have taken effect, and says so."""
    async with fleet_cluster.run_world() as world:
        world.store.lose_answers = True
        store = fleet_store.FleetStore(world.address)
        with pytest.raises(errors.PlatformUnavailableError):
            await store.create("k/x", b"1")
        assert "x" in world.store.objects["k"]
        await store.close()
