"""Tests of the platform clients against the stand-in platform."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
from typing import Any

import anyio
import httpcore
import pytest

from tamaracktide import errors
from tamaracktide.object_api import instances
from tamaracktide.object_api import objects
from tamaracktide.object_api import settings as client_settings
from tamaracktide.standins.platform import app as platform_app
from tamaracktide.standins.platform import directory
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


class Platform:
    """A running stand-in platform with a client."""

    def __init__(self, address: str) -> None:
        """Creates a client in zone `a`."""
        self.address = address
        self.settings = client_settings.PlatformSettings(
            address=address, token="secret", zone="a", timeout_s=20.0
        )
        self.client = objects.ObjectClient(self.settings)

    def make_short_timeout_client(self) -> objects.ObjectClient:
        """Returns a client with a short timeout."""
        return objects.ObjectClient(
            dataclasses.replace(self.settings, timeout_s=0.5)
        )

    async def administer(
        self, method: str, path: str, body: object = None
    ) -> Any:  # noqa: ANN401
        """Sends an administrative request and returns its JSON response."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method,
                f"http://{self.address}/admin/{path}",
                content=json.dumps(body).encode(),
            )
        assert response.status in (200, 204)
        return json.loads(response.content or b"null")

    async def set_faults(self, **faults: object) -> None:
        """Sets the faults that the platform injects."""
        await self.administer("POST", "faults", faults)


@contextlib.asynccontextmanager
async def run_platform(**changes: Any) -> AsyncIterator[Platform]:  # noqa: ANN401
    """Runs a stand-in platform."""
    settings = platform_settings.PlatformSettings(
        address="127.0.0.1:1", token="secret", **changes
    )
    app = platform_app.Platform(settings, anyio.current_time())
    async with server.run_embedded(web.make_app(app.handle)) as address:
        platform = Platform(address)
        yield platform
        await platform.client.close()


async def create_many(client: objects.ObjectClient) -> None:
    """Writes many objects."""
    for number in range(100):
        await client.create(f"many/{number}", b"")


async def test_writes_are_conditional() -> None:
    """Versions increase, and a failed precondition changes nothing."""
    async with run_platform() as platform:
        client = platform.client
        assert await client.create("t/ä b?%#", b"one") == 1
        assert await client.update("t/ä b?%#", b"two", 1) == 2
        with pytest.raises(errors.PreconditionFailedError):
            await client.create("t/ä b?%#", b"three")
        with pytest.raises(errors.PreconditionFailedError):
            await client.update("t/ä b?%#", b"three", 1)
        with pytest.raises(errors.PreconditionFailedError):
            await client.delete("t/ä b?%#", 1)
        stored = await client.read("t/ä b?%#")
        assert stored == objects.StoredObject("t/ä b?%#", b"two", 2)
        assert await client.list("t/") == objects.Listing(
            2, (objects.ListedObject("t/ä b?%#", 2, 3),)
        )
        await client.delete("t/ä b?%#", 2)
        with pytest.raises(errors.ObjectMissingError):
            await client.read("t/ä b?%#")
        with pytest.raises(errors.ObjectMissingError):
            await client.delete("t/ä b?%#")


async def test_watch_returns_changes_of_its_prefix_only() -> None:
    """A pending watch returns the change under its prefix."""
    async with run_platform() as platform:
        client = platform.client
        await client.create("u/x", b"")
        results = []

        async def watch() -> None:
            results.append(await client.watch("t/", 1, 30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            await client.create("u/y", b"")
            await client.create("t/x", b"")
        change = objects.Change("t/x", 3, False)
        assert results == [objects.WatchResult(3, (change,))]
        idle = await client.watch("t/", 3, 0.05)
        assert idle == objects.WatchResult(3, ())


async def test_watch_from_a_compacted_version_resets() -> None:
    """A version that is no longer in the history requires a new listing."""
    async with run_platform(history_limit=1) as platform:
        for key in ("a", "b", "c"):
            await platform.client.create(key, b"")
        result = await platform.client.watch("", 1, 5.0)
    assert result.reset


async def test_write_with_a_lost_reply_may_have_applied() -> None:
    """The outcome is uncertain; the record shows that the write applied."""
    async with run_platform() as platform:
        await platform.set_faults(lose_replies=1)
        with pytest.raises(errors.PlatformUnavailableError):
            await platform.client.create("a", b"1")
        assert (await platform.client.read("a")).version == 1
        await platform.set_faults(outage=True)
        with pytest.raises(errors.PlatformUnavailableError):
            await platform.client.update("a", b"2", 1)
        record = await platform.administer("GET", "record")
        await platform.set_faults(outage=False)
        assert (await platform.client.read("a")).value == b"1"
    outcomes = [(w["outcome"], w["reply_lost"]) for w in record]
    assert outcomes == [("applied", True), ("unavailable", False)]


async def test_outage_fails_pending_watches() -> None:
    """A watch that is pending when an outage begins fails."""
    async with run_platform() as platform:

        async def watch() -> None:
            with pytest.raises(errors.PlatformUnavailableError):
                await platform.client.watch("", 0, 30.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            while not (await platform.administer("GET", "counters"))["watches"]:
                await anyio.sleep(0.01)
            await platform.set_faults(outage=True)


async def test_rate_limit_returns_retry_after() -> None:
    """Writes above the rate limit are rejected without effect."""
    async with run_platform(writes_per_s=1.0) as platform:
        await platform.client.create("a", b"")
        with pytest.raises(errors.PlatformUnavailableError) as caught:
            await create_many(platform.client)
        counters = await platform.administer("GET", "counters")
    assert caught.value.retry_after_s == 1.0
    assert counters["rejected"] == 1


async def test_partitioned_zone_gets_no_response() -> None:
    """Clients in a partitioned zone time out; others are served."""
    async with run_platform() as platform:
        await platform.set_faults(cut_zones=["a"])
        short_timeout_client = platform.make_short_timeout_client()
        with pytest.raises(errors.PlatformUnavailableError):
            await short_timeout_client.create("a", b"")
        await short_timeout_client.close()
        await platform.set_faults(cut_zones=["b"])
        with pytest.raises(errors.ObjectMissingError):
            await platform.client.read("a")


async def test_watch_from_a_partitioned_zone_gets_no_response() -> None:
    """A change does not reach a watch from a partitioned zone."""
    async with run_platform() as platform:

        async def watch() -> None:
            with pytest.raises(errors.PlatformUnavailableError):
                await platform.make_short_timeout_client().watch("", 0, 1.0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            while not (await platform.administer("GET", "counters"))["watches"]:
                await anyio.sleep(0.01)
            await platform.set_faults(cut_zones=["a"])
            zone_b_client = objects.ObjectClient(
                dataclasses.replace(platform.settings, zone="b")
            )
            await zone_b_client.create("x", b"")
            await zone_b_client.close()


async def test_slow_write_applies_after_the_timeout() -> None:
    """A write may still take effect after its client has timed out."""
    async with run_platform() as platform:
        short_timeout_client = platform.make_short_timeout_client()
        await platform.set_faults(slow_s=1.0)
        with pytest.raises(errors.PlatformUnavailableError):
            await short_timeout_client.create("a", b"late")
        await short_timeout_client.close()
        with anyio.fail_after(10):
            while not await platform.administer("GET", "record"):
                await anyio.sleep(0.02)
        await platform.set_faults(slow_s=0.0)
        assert (await platform.client.read("a")).value == b"late"


async def test_other_errors_have_their_own_codes() -> None:
    """A large value and a wrong token are neither outage nor conflict."""
    async with run_platform() as platform:
        with pytest.raises(errors.PlatformError, match="2004"):
            await platform.client.create("a", b"x" * 1_000_001)
        unauthenticated_client = objects.ObjectClient(
            client_settings.PlatformSettings(address=platform.address)
        )
        with pytest.raises(errors.PlatformError, match="2001"):
            await unauthenticated_client.read("a")
        await unauthenticated_client.close()


async def test_unreachable_platform_is_unavailable() -> None:
    """A refused connection is reported with its cause."""
    settings = client_settings.PlatformSettings(address="127.0.0.1:1")
    client = objects.ObjectClient(settings)
    with pytest.raises(errors.PlatformUnavailableError, match="ConnectError"):
        await client.read("a")
    await client.close()


async def test_instances_are_listed() -> None:
    """The list reflects added, changed and deleted entries."""
    entry = directory.InstanceEntry(
        role="engine", zone="a", address="127.0.0.1:1"
    )
    async with run_platform(instances={"e1": entry}) as platform:
        client = instances.InstanceClient(platform.settings)
        leaving = {
            "role": "gateway",
            "zone": "b",
            "address": "127.0.0.1:2",
            "inner_address": "127.0.0.1:3",
            "state": "leaving",
        }
        await platform.administer("PUT", "instances/g1", leaving)
        listed = await client.list()
        await platform.administer("DELETE", "instances/e1")
        remaining = await client.list()
        await client.close()
    assert listed == (
        instances.Instance("e1", "engine", "a", "127.0.0.1:1"),
        instances.Instance("g1", **leaving),  # type: ignore[arg-type]
    )
    assert remaining == listed[1:]
